//! HTTP/1.1 messages as the parties of a soak read them: heads, bodies by length, chunks.

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::io::BufReader;
use futures_lite::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, future};
use std::io::{self, ErrorKind};
use std::time::Duration;

/// A head may have so many lines.
const MOST_LINES: usize = 256;

/// One end of a connection.
pub type Connection = BufReader<TcpStream>;

/// A request line or status line with the fields behind it.
pub struct Head {
    pub first: String,
    fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The number behind the protocol's name in a status line.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// The next head; none where the connection ends before its first byte.
pub async fn head(connection: &mut Connection) -> io::Result<Option<Head>> {
    let mut first = String::new();
    if connection.read_line(&mut first).await? == 0 {
        return Ok(None);
    }
    let mut fields = Vec::new();
    for _ in 0..MOST_LINES {
        let mut line = String::new();
        if connection.read_line(&mut line).await? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        match line.trim_end().split_once(':') {
            Some((name, value)) => fields.push((name.to_owned(), value.trim().to_owned())),
            None if line.trim().is_empty() => return Ok(Some(Head { first, fields })),
            None => return Err(ErrorKind::InvalidData.into()),
        }
    }
    Err(ErrorKind::InvalidData.into())
}

/// The body that a head tells by its length.
pub async fn body(connection: &mut Connection, head: &Head) -> io::Result<Vec<u8>> {
    let length = head.field("Content-Length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    connection.read_exact(&mut body).await?;
    Ok(body)
}

/// The next chunk; empty for the last.
pub async fn chunk(connection: &mut Connection) -> io::Result<Vec<u8>> {
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

pub async fn say(connection: &mut Connection, text: &str) -> io::Result<()> {
    connection.get_mut().write_all(text.as_bytes()).await?;
    connection.get_mut().flush().await
}

pub fn as_chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// What comes within the time.
pub async fn within<T>(time: Duration, what: impl Future<Output = T>) -> Option<T> {
    let late = async {
        Timer::after(time).await;
        None
    };
    future::or(async { Some(what.await) }, late).await
}
