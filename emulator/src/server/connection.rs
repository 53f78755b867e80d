//! Connections: accepted, served, reset, or left hanging.

use super::completions::Attempt;
use super::prompt;
use super::routes::route;
use super::state::ServerState;
use crate::model::Step;
use crate::profile::Fault;
use async_executor::LocalExecutor;
use async_net::{TcpListener, TcpStream};
use futures_lite::{AsyncReadExt, future};
use hyper::service::service_fn;
use smol_hyper::rt::FuturesIo;
use std::rc::Rc;

/// How a request for work starts; others, such as release requests, are no attempts.
const WORK_REQUEST: &str = "POST /v1/completions ";
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Accepts connections for as long as it is polled.
pub(super) async fn accept(listener: TcpListener, state: Rc<ServerState>) {
    // Connections end with the server, as a killed process's do.
    let connections: Rc<LocalExecutor<'static>> = Rc::new(LocalExecutor::new());
    let accepting = async {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let _ = stream.set_nodelay(true);
            connections.spawn(serve(stream, state.clone())).detach();
        }
    };
    connections.run(accepting).await
}

async fn serve(stream: TcpStream, state: Rc<ServerState>) {
    if state.fault() == Fault::Hangs {
        return hang(stream, &state).await;
    }
    // A message on this channel resets the connection: it is dropped while it is served.
    let (reset, resets) = async_channel::bounded::<()>(1);
    let service = service_fn(move |request| {
        let (state, reset) = (state.clone(), reset.clone());
        async move { route(request, state, reset).await }
    });
    let builder = hyper::server::conn::http1::Builder::new();
    let served = async {
        let _ = builder.serve_connection(FuturesIo::new(stream), service).await;
    };
    let reset = async {
        if resets.recv().await.is_err() {
            future::pending::<()>().await;
        }
    };
    future::or(served, reset).await;
}

/// Reads a connection and never responds; records the first request on it, for the auditor.
async fn hang(mut stream: TcpStream, state: &Rc<ServerState>) {
    let mut received = String::new();
    let mut buffer = vec![0u8; READ_BUFFER_BYTES];
    let mut attempt = None;
    while let Ok(count @ 1..) = stream.read(&mut buffer).await {
        received.push_str(&String::from_utf8_lossy(&buffer[..count]));
        if attempt.is_none() && is_complete(&received) && received.starts_with(WORK_REQUEST) {
            attempt = Some(unanswered_attempt(&received, state));
        }
    }
}

fn field<'a>(request: &'a str, name: &str) -> &'a str {
    let value = request.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
    value.unwrap_or_default().trim()
}

fn is_complete(request: &str) -> bool {
    let length = field(request, "content-length").parse().unwrap_or(usize::MAX);
    request.split_once("\r\n\r\n").is_some_and(|(_, body)| body.len() >= length)
}

fn unanswered_attempt(request: &str, state: &Rc<ServerState>) -> Attempt {
    let is_prefill = request.contains("\"do_remote_decode\":true");
    Attempt::start(
        state.clone(),
        field(request, "x-request-id").to_owned(),
        field(request, "user-agent").to_owned(),
        None,
        if is_prefill { Step::Prefill } else { Step::Decode },
        prompt::client_number(request),
    )
}
