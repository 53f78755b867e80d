//! Health and plain metrics, on a listener of their own.

use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use petrelshore_gateway::Gateway;
use std::time::Duration;

const WITHIN: Duration = Duration::from_secs(2);
const REQUEST: usize = 2048;

/// Answers one request at a time: nothing here may take the gateway's time.
pub async fn serve(listener: TcpListener, gateway: Gateway) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            async_io::Timer::after(Duration::from_millis(50)).await;
            continue;
        };
        let late = async {
            async_io::Timer::after(WITHIN).await;
        };
        future::or(answer(stream, &gateway), late).await;
    }
}

async fn answer(mut stream: TcpStream, gateway: &Gateway) {
    let mut request = [0u8; REQUEST];
    let Ok(count) = stream.read(&mut request).await else { return };
    let text = String::from_utf8_lossy(&request[..count]);
    let (status, body) = match text.split_whitespace().nth(1) {
        Some("/metrics") => ("200 OK", metrics(gateway)),
        Some("/health") if gateway.draining() => ("503 Service Unavailable", "draining\n".to_owned()),
        Some("/health") => ("200 OK", "ready\n".to_owned()),
        _ => ("404 Not Found", "there are /health and /metrics here\n".to_owned()),
    };
    let head = format!(
        "HTTP/1.1 {status}\r\ncontent-type: text/plain; version=0.0.4\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let _ = stream.write_all(head.as_bytes()).await;
    let _ = stream.write_all(body.as_bytes()).await;
    let _ = stream.close().await;
}

fn metrics(gateway: &Gateway) -> String {
    let counts = gateway.counts();
    let totals = [
        ("sequences_taken", counts.taken),
        ("sequences_generated", counts.generated),
        ("sequences_rejected", counts.rejected),
        ("sequences_aborted", counts.aborted),
        ("sequences_withdrawn", counts.withdrawn),
        ("schedule_attempts", counts.attempts),
        ("attempts_timed_out", counts.timed_out),
    ];
    let now = [("sequences_in_hand", gateway.in_hand()), ("model_servers_listed", gateway.servers())];
    let mut text = String::new();
    for (name, value) in totals {
        text.push_str(&format!(
            "# TYPE petrelshore_{name}_total counter\npetrelshore_{name}_total {value}\n"
        ));
    }
    for (name, value) in now {
        text.push_str(&format!("# TYPE petrelshore_{name} gauge\npetrelshore_{name} {value}\n"));
    }
    text
}
