//! Where log lines go.

use rustix::fs::{FileType, OFlags, fstat};
use std::fs::File;
use std::os::unix::fs::OpenOptionsExt;
use std::sync::Arc;
use tracing_subscriber::fmt::writer::BoxMakeWriter;

/// Standard error as it was inherited, by a name under which it can be opened again.
const STANDARD_ERROR: &str = "/proc/self/fd/2";

/// Standard error. Where it is a pipe whose reader has stopped, lines are dropped: one thread serves all requests, and
/// waits for nobody who reads its log.
pub fn writer() -> BoxMakeWriter {
    match without_waiting() {
        Some(pipe) => BoxMakeWriter::new(Arc::new(pipe)),
        None => BoxMakeWriter::new(std::io::stderr),
    }
}

/// The pipe that standard error is, opened again: what others write to the inherited one is not affected.
fn without_waiting() -> Option<File> {
    let told = fstat(std::io::stderr()).ok()?;
    if FileType::from_raw_mode(told.st_mode) != FileType::Fifo {
        return None;
    }
    let flags = OFlags::NONBLOCK.bits() as i32;
    File::options().write(true).custom_flags(flags).open(STANDARD_ERROR).ok()
}
