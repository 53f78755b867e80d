//! The prefill exchange of a client that uses prefill and decode servers without a gateway.

use super::Load;
use crate::client::request;
use async_net::TcpStream;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Sends a question to a prefill server and returns the request to send to the decode server.
pub(super) async fn prefill(address: SocketAddr, load: &Load, question: &str) -> Option<String> {
    let transfer = json!({ "do_remote_decode": true, "do_remote_prefill": false });
    let response = exchange(address, &completion(load, question, 1, false, transfer)).await?;
    let transfer = response.get("kv_transfer_params")?.clone();
    Some(completion(load, question, load.tokens, true, transfer))
}

fn completion(load: &Load, question: &str, tokens: u64, stream: bool, transfer: Value) -> String {
    let body = json!({
        "model": load.model, "prompt": format!("{}{question}", "You explain events. ".repeat(20)),
        "max_tokens": tokens, "stream": stream, "kv_transfer_params": transfer,
    });
    let request_id = format!("load-{question}").replace(' ', "-");
    request("/v1/completions", &[("x-request-id", &request_id)], &body.to_string())
}

/// Sends a request and returns the JSON body of the response.
async fn exchange(address: SocketAddr, request: &str) -> Option<Value> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.ok()?;
    let text = String::from_utf8(response).ok()?;
    serde_json::from_str(text.split_once("\r\n\r\n")?.1).ok()
}
