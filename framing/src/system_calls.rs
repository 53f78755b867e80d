//! Which failures of system calls pass by themselves, and what is done until they have.

use rustix::io::Errno;
use std::io;
use std::time::Duration;

/// Before a call that failed for want of memory, descriptors or ports is made again.
pub const RETRY_PAUSE: Duration = Duration::from_millis(5);

/// What a failed call says of whether it is worth repeating.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The call was interrupted, or the error belongs to a connection that is gone already: repeat it at once.
    Again,
    /// This machine is short of memory, buffers, descriptors or ports for now: repeat it after a pause.
    Scarce,
    /// There is no way to the network: it may be back in a moment, or the peer may be cut off.
    Network,
    /// Repeating the call won't help.
    Lasting,
}

/// What an error of `recv`, `send`, `socket` or `connect` says.
pub fn failure(error: &io::Error) -> Failure {
    match Errno::from_io_error(error) {
        Some(Errno::INTR) => Failure::Again,
        Some(
            Errno::NOBUFS
            | Errno::NOMEM
            | Errno::NFILE
            | Errno::MFILE
            | Errno::ADDRNOTAVAIL
            | Errno::ADDRINUSE,
        ) => Failure::Scarce,
        Some(Errno::NETUNREACH | Errno::NETDOWN | Errno::AGAIN | Errno::CONNABORTED) => Failure::Network,
        _ => Failure::Lasting,
    }
}

/// What an error of listening says: an address that is taken, or not of this machine, stays so.
pub fn listen_failure(error: &io::Error) -> Failure {
    match Errno::from_io_error(error) {
        Some(Errno::ADDRINUSE | Errno::ADDRNOTAVAIL) => Failure::Lasting,
        _ => failure(error),
    }
}

/// What an error of `accept` says. Linux hands on errors of the connection that would have been accepted; the next one
/// is not touched by them.
pub fn accept_failure(error: &io::Error) -> Failure {
    match Errno::from_io_error(error) {
        Some(
            Errno::INTR
            | Errno::CONNABORTED
            | Errno::PROTO
            | Errno::NOPROTOOPT
            | Errno::NETDOWN
            | Errno::NETUNREACH
            | Errno::HOSTDOWN
            | Errno::HOSTUNREACH
            | Errno::NONET
            | Errno::OPNOTSUPP
            | Errno::TIMEDOUT
            | Errno::CONNRESET,
        ) => Failure::Again,
        _ => Failure::Scarce,
    }
}

/// Makes a call until it is not interrupted.
pub fn uninterrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}
