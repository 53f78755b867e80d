//! Requests as the emulated platform reads them.

use std::io::BufRead;
use std::thread;
use std::time::Duration;

/// How long a silent connection stays open.
const HANG_TIME: Duration = Duration::from_secs(30);

/// A request that was read completely.
pub(super) struct Request {
    /// Method and path.
    pub(super) line: String,
    /// Its request ID; empty where it has none.
    pub(super) id: String,
}

/// Reads the next request; `None` where the connection ended or the request is invalid.
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

/// Keeps a connection open and silent.
pub(super) fn hang() -> std::io::Result<()> {
    thread::sleep(HANG_TIME);
    Err(std::io::ErrorKind::TimedOut.into())
}
