//! Reading and writing of HTTP/1.1 messages by the clients and servers of a run: heads, bodies with a known length and
//! chunks.

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::io::BufReader;
use futures_lite::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, future};
use std::io::{self, ErrorKind};
use std::time::Duration;

const MAX_HEAD_LINES: usize = 256;

/// A buffered TCP stream: one end of a connection.
pub type Connection = BufReader<TcpStream>;

/// The head of a request or a response.
pub struct Head {
    /// The request line or status line.
    pub start_line: String,
    fields: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of the first header field with this name, ignoring case.
    pub fn field(&self, name: &str) -> Option<&str> {
        let field = self.fields.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        field.map(|(_, value)| value.as_str())
    }

    /// Returns the status code of the status line, or zero if the start line has no valid status code.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads the next head. Returns `None` if the connection ends before the first byte of the head.
pub async fn read_head(connection: &mut Connection) -> io::Result<Option<Head>> {
    let mut start_line = String::new();
    if connection.read_line(&mut start_line).await? == 0 {
        return Ok(None);
    }
    let mut fields = Vec::new();
    for _ in 0..MAX_HEAD_LINES {
        let mut line = String::new();
        if connection.read_line(&mut line).await? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => fields.push((name.to_owned(), value.trim().to_owned())),
            None if line.trim().is_empty() => return Ok(Some(Head { start_line, fields })),
            None => return Err(ErrorKind::InvalidData.into()),
        }
    }
    Err(ErrorKind::InvalidData.into())
}

/// Reads a body with the length from the `Content-Length` field of its head.
pub async fn read_body(connection: &mut Connection, head: &Head) -> io::Result<Vec<u8>> {
    let length = head.field("Content-Length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    connection.read_exact(&mut body).await?;
    Ok(body)
}

/// Reads the next chunk of a chunked body. The last chunk is empty.
pub async fn read_chunk(connection: &mut Connection) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if connection.read_line(&mut line).await? == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16).map_err(|_| ErrorKind::InvalidData)?;
    let mut data = vec![0; size + 2];
    connection.read_exact(&mut data).await?;
    data.truncate(size);
    Ok(data)
}

/// Writes and flushes a text.
pub async fn write_text(connection: &mut Connection, text: &str) -> io::Result<()> {
    connection.get_mut().write_all(text.as_bytes()).await?;
    connection.get_mut().flush().await
}

/// Encodes a text as one chunk of a chunked body.
pub fn encode_chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Returns the output of a future, or `None` if the future does not complete within `time`.
pub async fn with_timeout<T>(time: Duration, work: impl Future<Output = T>) -> Option<T> {
    let expired = async {
        Timer::after(time).await;
        None
    };
    future::or(async { Some(work.await) }, expired).await
}
