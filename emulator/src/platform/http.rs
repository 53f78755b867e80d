//! Reads HTTP requests for the emulated platform.

use std::io::BufRead;
use std::thread;
use std::time::Duration;

/// The time for which a silent connection stays open.
const HANG_TIME: Duration = Duration::from_secs(30);

/// A request that was read completely.
pub(super) struct Request {
    /// The request line without the HTTP version: method and path.
    pub(super) line: String,
    /// The value of the `Req-Id` header; empty if the request has none.
    pub(super) id: String,
}

/// Reads the next request. Returns `None` if the connection ended or the request is invalid.
pub(super) fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (mut start_line, mut id, mut length) = (String::new(), String::new(), 0);
    reader.read_line(&mut start_line).ok().filter(|count| *count > 0)?;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|count| *count > 0)?;
        match line.trim().split_once(": ") {
            Some(("Req-Id", value)) => id = value.to_owned(),
            Some(("Content-Length", value)) => length = value.parse().ok()?,
            Some(_) => {}
            None => break,
        }
    }
    reader.read_exact(&mut vec![0; length]).ok()?;
    let line = start_line.rsplit_once(' ').map_or("", |(line, _)| line);
    Some(Request { line: line.to_owned(), id })
}

/// Keeps the caller's connection open and silent for `HANG_TIME`, then returns an error so that the caller closes it.
pub(super) fn hang() -> std::io::Result<()> {
    thread::sleep(HANG_TIME);
    Err(std::io::ErrorKind::TimedOut.into())
}
