//! Accepts connections, and serves them, resets them or leaves their requests unanswered.

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

/// The start of a completion request. Other requests, such as release requests, are not recorded as attempts.
const COMPLETION_REQUEST: &str = "POST /v1/completions ";
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Accepts and serves connections until the returned future is dropped.
pub(super) async fn accept(listener: TcpListener, state: Rc<ServerState>) {
    // The connections run on an executor of their own that is dropped with this future, so that they close when the
    // server is dropped, as those of a killed process do.
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
    // A message on this channel resets the connection, by dropping the stream while hyper serves it.
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

/// Reads from a connection and never responds. Records the first request on the connection for the auditor if it is a
/// completion request.
async fn hang(mut stream: TcpStream, state: &Rc<ServerState>) {
    let mut received = String::new();
    let mut buffer = vec![0u8; READ_BUFFER_BYTES];
    let mut attempt = None;
    while let Ok(count @ 1..) = stream.read(&mut buffer).await {
        received.push_str(&String::from_utf8_lossy(&buffer[..count]));
        if attempt.is_none() && is_complete(&received) && received.starts_with(COMPLETION_REQUEST) {
            attempt = Some(unanswered_attempt(&received, state));
        }
    }
}

fn header_value<'a>(request: &'a str, name: &str) -> &'a str {
    let value = request.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
    value.unwrap_or_default().trim()
}

fn is_complete(request: &str) -> bool {
    let length = header_value(request, "content-length").parse().unwrap_or(usize::MAX);
    request.split_once("\r\n\r\n").is_some_and(|(_, body)| body.len() >= length)
}

fn unanswered_attempt(request: &str, state: &Rc<ServerState>) -> Attempt {
    let is_prefill = request.contains("\"do_remote_decode\":true");
    Attempt::start(
        state.clone(),
        header_value(request, "x-request-id").to_owned(),
        header_value(request, "user-agent").to_owned(),
        None,
        if is_prefill { Step::Prefill } else { Step::Decode },
        prompt::client_number(request),
    )
}
