//! The output of log lines.

use rustix::fs::{FileType, OFlags, fstat};
use std::fs::File;
use std::os::unix::fs::OpenOptionsExt;
use std::sync::Arc;
use tracing_subscriber::fmt::writer::BoxMakeWriter;

/// A path under which the inherited standard error can be opened again.
const STANDARD_ERROR_PATH: &str = "/proc/self/fd/2";

/// Returns a writer to standard error. If standard error is a pipe and its buffer is full, log lines are dropped: a
/// single thread serves all requests and must not block on a log reader that has stopped.
pub fn writer() -> BoxMakeWriter {
    match open_nonblocking_pipe() {
        Some(pipe) => BoxMakeWriter::new(Arc::new(pipe)),
        None => BoxMakeWriter::new(std::io::stderr),
    }
}

/// Opens the pipe of standard error again, in nonblocking mode; `None` if standard error is not a pipe or can't be
/// opened. The mode of the inherited descriptor does not change for other processes that write to it.
fn open_nonblocking_pipe() -> Option<File> {
    let status = fstat(std::io::stderr()).ok()?;
    if FileType::from_raw_mode(status.st_mode) != FileType::Fifo {
        return None;
    }
    let flags = OFlags::NONBLOCK.bits() as i32;
    File::options().write(true).custom_flags(flags).open(STANDARD_ERROR_PATH).ok()
}
