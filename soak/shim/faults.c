/*
 * Faults in a gateway's system calls and wall clock, for tests and the soak.
 *
 * Preloaded into one process. PETRELSHORE_FAULTS names a file of 64-bit words (see `enum word`) that is mapped and
 * read at each call, so that a test may change faults while the process runs. Rates are "one call in so many", zero
 * for never. A call that is made to fail has done nothing, unless it says otherwise.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum word {
    SEED,
    WALL_OFFSET_NANOS, /* added to the wall clock */
    INTERRUPTED,       /* EINTR from recv, send, read, write, poll, epoll */
    SHORT_TRANSFER,    /* recv and send move one to a few bytes */
    ACCEPT_FAILS,
    SOCKET_FAILS,
    CONNECT_FAILS,
    BROKEN,            /* an established connection that this process made ends with an error */
    DISK_FAILS,        /* ENOSPC or EIO from writes and syncs of regular files, and a short write before it */
    HELD_UP_NANOS,     /* how long a send is held up */
    HELD_UP,           /* one send in so many is held up */
    CALLS_FAILED,      /* counted by this library */
    NO_MEMORY,         /* ENOBUFS or ENOMEM from recv and send */
    WORDS
};

static volatile int64_t *words;
static __thread uint64_t state;

/* The C library's own function. */
#define REAL(name)                                                            \
    ({                                                                        \
        static __typeof__(&name) next;                                        \
        if (!next) next = (__typeof__(&name))dlsym(RTLD_NEXT, #name);         \
        next;                                                                 \
    })

__attribute__((constructor)) static void start(void) {
    const char *file = getenv("PETRELSHORE_FAULTS");
    if (!file) return;
    /* Whoever plays the faults may be killed: nothing of it is to run on. */
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int fd = open(file, O_RDWR | O_CLOEXEC);
    if (fd < 0) return;
    void *mapped = mmap(0, WORDS * sizeof(int64_t), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (mapped != MAP_FAILED) words = mapped;
}

static uint64_t chance(void) {
    if (!state) state = (uint64_t)words[SEED] * 0x9e3779b97f4a7c15u + 0x632be59bd9b4e019u;
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return state;
}

static int due(enum word rate) {
    if (!words || words[rate] <= 0) return 0;
    if (chance() % (uint64_t)words[rate]) return 0;
    __atomic_fetch_add((int64_t *)&words[CALLS_FAILED], 1, __ATOMIC_RELAXED);
    return 1;
}

static int one_of(const int *errors, size_t count) { return errors[chance() % count]; }

#define FAIL_WITH(...)                                                        \
    do {                                                                      \
        static const int errors[] = {__VA_ARGS__};                            \
        errno = one_of(errors, sizeof errors / sizeof *errors);               \
        return -1;                                                            \
    } while (0)

static int family(int fd) {
    int domain = -1;
    socklen_t size = sizeof domain;
    return getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size) ? -1 : domain;
}

static int is_inet(int fd) {
    int domain = family(fd);
    return domain == AF_INET || domain == AF_INET6;
}

static size_t shortened(size_t length) {
    if (length > 1 && due(SHORT_TRANSFER)) return 1 + chance() % (length < 7 ? length - 1 : 6);
    return length;
}

/* Sockets that this process has connected: others' connections to it are theirs to break. */
enum { DESCRIPTORS = 1 << 16 };
static unsigned char connected[DESCRIPTORS];

static void note_connected(int fd, int is) {
    if (fd >= 0 && fd < DESCRIPTORS) connected[fd] = is;
}

/* Both ways of the connection are over, as after a time-out of its retransmissions. */
static int broken(int fd) {
    if (fd < 0 || fd >= DESCRIPTORS || !connected[fd] || !due(BROKEN)) return 0;
    shutdown(fd, SHUT_RDWR);
    return 1;
}

/* Once in four seconds at the most: the terms name one delay, and a request may live for three. */
static void hold_up(void) {
    static time_t last;
    struct timespec now, held = {words[HELD_UP_NANOS] / 1000000000, words[HELD_UP_NANOS] % 1000000000};
    clock_gettime(CLOCK_MONOTONIC, &now);
    if (now.tv_sec < last + 5) return;
    last = now.tv_sec;
    nanosleep(&held, 0);
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    if (words && length) {
        if (due(INTERRUPTED)) FAIL_WITH(EINTR);
        if (is_inet(fd)) {
            if (due(NO_MEMORY)) FAIL_WITH(ENOMEM, ENOBUFS);
            if (!(flags & MSG_PEEK) && broken(fd)) FAIL_WITH(ETIMEDOUT, EHOSTUNREACH, ECONNRESET);
        }
        if (!(flags & MSG_PEEK)) length = shortened(length);
    }
    return REAL(recv)(fd, buffer, length, flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    if (words && length && is_inet(fd)) {
        if (due(HELD_UP)) hold_up();
        if (due(INTERRUPTED)) FAIL_WITH(EINTR);
        if (due(NO_MEMORY)) FAIL_WITH(ENOMEM, ENOBUFS);
        if (broken(fd)) FAIL_WITH(ETIMEDOUT, EHOSTUNREACH, ECONNRESET, EPIPE);
        length = shortened(length);
    }
    return REAL(send)(fd, buffer, length, flags);
}

ssize_t read(int fd, void *buffer, size_t length) {
    if (words && length && due(INTERRUPTED)) FAIL_WITH(EINTR);
    return REAL(read)(fd, buffer, length);
}

ssize_t write(int fd, const void *buffer, size_t length) {
    struct stat told;
    if (words && length && fd > 2 && !fstat(fd, &told) && S_ISREG(told.st_mode)) {
        if (due(INTERRUPTED)) FAIL_WITH(EINTR);
        if (due(DISK_FAILS)) {
            if (length > 1 && chance() % 2) return REAL(write)(fd, buffer, length / 2);
            FAIL_WITH(ENOSPC, EIO);
        }
    }
    return REAL(write)(fd, buffer, length);
}

int fsync(int fd) {
    if (due(DISK_FAILS)) FAIL_WITH(ENOSPC, EIO);
    return REAL(fsync)(fd);
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    if (due(ACCEPT_FAILS)) FAIL_WITH(ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EINTR, EPROTO, ENETDOWN);
    int accepted = REAL(accept4)(fd, address, size, flags);
    note_connected(accepted, 0);
    return accepted;
}

int socket(int domain, int type, int protocol) {
    if ((domain == AF_INET || domain == AF_INET6) && due(SOCKET_FAILS)) FAIL_WITH(ENFILE, EMFILE, ENOBUFS, ENOMEM);
    int made = REAL(socket)(domain, type, protocol);
    note_connected(made, 0);
    return made;
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    if (words && is_inet(fd) && due(CONNECT_FAILS)) FAIL_WITH(EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EINTR, EAGAIN);
    note_connected(fd, 1);
    return REAL(connect)(fd, address, size);
}

int poll(struct pollfd *fds, nfds_t count, int timeout) {
    if (due(INTERRUPTED)) FAIL_WITH(EINTR);
    return REAL(poll)(fds, count, timeout);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
    if (due(INTERRUPTED)) FAIL_WITH(EINTR);
    return REAL(epoll_wait)(fd, events, most, timeout);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    int result = REAL(clock_gettime)(clock, now);
    if (!result && words && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t nanos = now->tv_sec * INT64_C(1000000000) + now->tv_nsec + words[WALL_OFFSET_NANOS];
        now->tv_sec = nanos / 1000000000;
        now->tv_nsec = nanos % 1000000000;
    }
    return result;
}
