/*
 * Injects faults into the system calls and the wall clock of a gateway process, for tests and the soak.
 *
 * The library is preloaded into one process. PETRELSHORE_FAULTS is the path of a file of 64-bit integers (see
 * `enum setting`). The library maps the file and reads it at each call, so that a test may change faults while the
 * process runs. With a rate of n, a fault affects one call in n on average; with a rate of zero, none. A call that
 * fails by injection has had no effect, unless a comment says otherwise.
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

enum setting {
    SEED,
    WALL_OFFSET_NANOS, /* offset that is added to the wall clock */
    INTERRUPTED,       /* rate of EINTR from recv, send, read, write, poll and epoll_wait */
    SHORT_TRANSFER,    /* rate of recv and send calls that move only one to six bytes */
    ACCEPT_FAILS,      /* rate of accept4 calls that fail */
    SOCKET_FAILS,      /* rate of socket calls that fail */
    CONNECT_FAILS,     /* rate of connect calls that fail */
    BROKEN,            /* rate of recv and send calls at which an outgoing connection ends with an error */
    DISK_FAILS,        /* rate of ENOSPC or EIO from writes and syncs of regular files; a write may instead be short */
    HELD_UP_NANOS,     /* time by which a send is delayed */
    HELD_UP,           /* rate of sends that are delayed */
    CALLS_FAILED,      /* number of affected calls, counted by this library */
    NO_MEMORY,         /* rate of ENOBUFS or ENOMEM from recv and send */
    SETTING_COUNT
};

static volatile int64_t *settings;
static __thread uint64_t random_state;

/* The function of the C library that this library replaces. */
#define REAL(name)                                                            \
    ({                                                                        \
        static __typeof__(&name) original;                                    \
        if (!original) original = (__typeof__(&name))dlsym(RTLD_NEXT, #name); \
        original;                                                             \
    })

__attribute__((constructor)) static void map_settings(void) {
    const char *file = getenv("PETRELSHORE_FAULTS");
    if (!file) return;
    /* The test or soak that started this process may be killed; this process must not outlive it. */
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    int fd = open(file, O_RDWR | O_CLOEXEC);
    if (fd < 0) return;
    void *mapped = mmap(0, SETTING_COUNT * sizeof(int64_t), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    if (mapped != MAP_FAILED) settings = mapped;
}

static uint64_t next_random(void) {
    if (!random_state) random_state = (uint64_t)settings[SEED] * 0x9e3779b97f4a7c15u + 0x632be59bd9b4e019u;
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return random_state;
}

/* Draws at the given rate. Returns 1 if the fault affects this call. */
static int draw_fault(enum setting rate) {
    if (!settings || settings[rate] <= 0) return 0;
    if (next_random() % (uint64_t)settings[rate]) return 0;
    __atomic_fetch_add((int64_t *)&settings[CALLS_FAILED], 1, __ATOMIC_RELAXED);
    return 1;
}

static int pick_error(const int *errors, size_t count) { return errors[next_random() % count]; }

#define FAIL_WITH(...)                                                        \
    do {                                                                      \
        static const int errors[] = {__VA_ARGS__};                            \
        errno = pick_error(errors, sizeof errors / sizeof *errors);           \
        return -1;                                                            \
    } while (0)

static int address_family(int fd) {
    int domain = -1;
    socklen_t size = sizeof domain;
    return getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &size) ? -1 : domain;
}

static int is_inet(int fd) {
    int domain = address_family(fd);
    return domain == AF_INET || domain == AF_INET6;
}

static size_t limit_transfer(size_t length) {
    if (length > 1 && draw_fault(SHORT_TRANSFER)) return 1 + next_random() % (length < 7 ? length - 1 : 6);
    return length;
}

/*
 * Marks the sockets that this process has connected. This library breaks only these connections; an accepted
 * connection is left to the faults of the process that opened the connection.
 */
enum { MAX_DESCRIPTORS = 1 << 16 };
static unsigned char connected[MAX_DESCRIPTORS];

static void set_connected(int fd, int value) {
    if (fd >= 0 && fd < MAX_DESCRIPTORS) connected[fd] = value;
}

/* If the fault is drawn, shuts down both directions of the connection, as a retransmission timeout does. */
static int break_connection(int fd) {
    if (fd < 0 || fd >= MAX_DESCRIPTORS || !connected[fd] || !draw_fault(BROKEN)) return 0;
    shutdown(fd, SHUT_RDWR);
    return 1;
}

/*
 * Delays at most one send in four seconds: the requirements allow for a single delay per request, and a request may
 * last three seconds. The difference of five in whole seconds guarantees at least four seconds between two delays.
 */
static void delay_send(void) {
    static time_t last;
    struct timespec now, delay = {settings[HELD_UP_NANOS] / 1000000000, settings[HELD_UP_NANOS] % 1000000000};
    clock_gettime(CLOCK_MONOTONIC, &now);
    if (now.tv_sec < last + 5) return;
    last = now.tv_sec;
    nanosleep(&delay, 0);
}

ssize_t recv(int fd, void *buffer, size_t length, int flags) {
    if (settings && length) {
        if (draw_fault(INTERRUPTED)) FAIL_WITH(EINTR);
        if (is_inet(fd)) {
            if (draw_fault(NO_MEMORY)) FAIL_WITH(ENOMEM, ENOBUFS);
            if (!(flags & MSG_PEEK) && break_connection(fd)) FAIL_WITH(ETIMEDOUT, EHOSTUNREACH, ECONNRESET);
        }
        if (!(flags & MSG_PEEK)) length = limit_transfer(length);
    }
    return REAL(recv)(fd, buffer, length, flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags) {
    if (settings && length && is_inet(fd)) {
        if (draw_fault(HELD_UP)) delay_send();
        if (draw_fault(INTERRUPTED)) FAIL_WITH(EINTR);
        if (draw_fault(NO_MEMORY)) FAIL_WITH(ENOMEM, ENOBUFS);
        if (break_connection(fd)) FAIL_WITH(ETIMEDOUT, EHOSTUNREACH, ECONNRESET, EPIPE);
        length = limit_transfer(length);
    }
    return REAL(send)(fd, buffer, length, flags);
}

ssize_t read(int fd, void *buffer, size_t length) {
    if (settings && length && draw_fault(INTERRUPTED)) FAIL_WITH(EINTR);
    return REAL(read)(fd, buffer, length);
}

ssize_t write(int fd, const void *buffer, size_t length) {
    struct stat status;
    if (settings && length && fd > 2 && !fstat(fd, &status) && S_ISREG(status.st_mode)) {
        if (draw_fault(INTERRUPTED)) FAIL_WITH(EINTR);
        if (draw_fault(DISK_FAILS)) {
            if (length > 1 && next_random() % 2) return REAL(write)(fd, buffer, length / 2);
            FAIL_WITH(ENOSPC, EIO);
        }
    }
    return REAL(write)(fd, buffer, length);
}

int fsync(int fd) {
    if (draw_fault(DISK_FAILS)) FAIL_WITH(ENOSPC, EIO);
    return REAL(fsync)(fd);
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags) {
    if (draw_fault(ACCEPT_FAILS)) FAIL_WITH(ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EINTR, EPROTO, ENETDOWN);
    int accepted = REAL(accept4)(fd, address, size, flags);
    set_connected(accepted, 0);
    return accepted;
}

int socket(int domain, int type, int protocol) {
    if ((domain == AF_INET || domain == AF_INET6) && draw_fault(SOCKET_FAILS))
        FAIL_WITH(ENFILE, EMFILE, ENOBUFS, ENOMEM);
    int created = REAL(socket)(domain, type, protocol);
    set_connected(created, 0);
    return created;
}

int connect(int fd, const struct sockaddr *address, socklen_t size) {
    if (settings && is_inet(fd) && draw_fault(CONNECT_FAILS))
        FAIL_WITH(EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EINTR, EAGAIN);
    set_connected(fd, 1);
    return REAL(connect)(fd, address, size);
}

int poll(struct pollfd *fds, nfds_t count, int timeout) {
    if (draw_fault(INTERRUPTED)) FAIL_WITH(EINTR);
    return REAL(poll)(fds, count, timeout);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
    if (draw_fault(INTERRUPTED)) FAIL_WITH(EINTR);
    return REAL(epoll_wait)(fd, events, max_events, timeout);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    int result = REAL(clock_gettime)(clock, now);
    if (!result && settings && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t nanos = now->tv_sec * INT64_C(1000000000) + now->tv_nsec + settings[WALL_OFFSET_NANOS];
        now->tv_sec = nanos / 1000000000;
        now->tv_nsec = nanos % 1000000000;
    }
    return result;
}
