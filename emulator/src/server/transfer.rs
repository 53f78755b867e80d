//! Fetches a KV cache from the prefill server that holds it.

use async_io::Timer;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use serde_json::{Value, json};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
const STATUS_LINE_BYTES: usize = 12;

/// The KV cache could not be fetched from its prefill server.
#[derive(Debug)]
pub(super) struct CacheMissing;

impl fmt::Display for CacheMissing {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the KV cache could not be fetched from the prefill server")
    }
}

impl std::error::Error for CacheMissing {}

/// The location of a KV cache: its request ID and the address of its prefill server.
struct Source<'a> {
    request: &'a str,
    address: SocketAddr,
}

impl<'a> Source<'a> {
    fn parse(transfer_params: &'a Value) -> Option<Source<'a>> {
        let text = |name: &str| transfer_params.get(name).and_then(Value::as_str);
        let (request, host) = (text("remote_request_id")?, text("remote_host")?);
        let port = u16::try_from(transfer_params.get("remote_port")?.as_u64()?).ok()?;
        let address = format!("{host}:{port}").parse().ok()?;
        Some(Source { request, address })
    }

    async fn fetch(&self) -> std::io::Result<bool> {
        let Source { request, address } = self;
        let mut stream = TcpStream::connect(address).await?;
        let body = json!({ "request_id": request }).to_string();
        let message = format!(
            "POST /v1/kv/fetch HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(message.as_bytes()).await?;
        let mut status_line = [0u8; STATUS_LINE_BYTES];
        stream.read_exact(&mut status_line).await?;
        Ok(status_line.ends_with(b" 200"))
    }
}

/// Fetches the KV cache that the transfer parameters describe, over a new connection.
pub(super) async fn fetch_cache(transfer_params: &Value) -> Result<(), CacheMissing> {
    let source = Source::parse(transfer_params).ok_or(CacheMissing)?;
    let expired = async {
        Timer::after(FETCH_TIMEOUT).await;
        Ok(false)
    };
    match future::or(source.fetch(), expired).await {
        Ok(true) => Ok(()),
        Ok(false) | Err(_) => Err(CacheMissing),
    }
}
