//! The operators' HTTP endpoints for health and metrics, on a separate listener.

use async_io::Timer;
use async_net::TcpListener;
use futures_lite::future;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::CONTENT_TYPE;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use petrelshore_chat_gateway::Gateway;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use smol_hyper::rt::FuturesIo;
use std::convert::Infallible;
use std::time::Duration;

/// The maximum duration of a connection. Connections are served one at a time and within this limit, so that they take
/// little of the gateway's time.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between a failed accept and the next attempt.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Serves `/health` and `/metrics` until the returned future is dropped.
pub async fn serve(listener: TcpListener, gateway: Gateway) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            Timer::after(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        let service = service_fn(|request| {
            let response = respond(&request, &gateway);
            async move { Ok::<_, Infallible>(response) }
        });
        let exchange = async {
            let mut builder = hyper::server::conn::http1::Builder::new();
            let _ = builder.keep_alive(false).serve_connection(FuturesIo::new(stream), service).await;
        };
        let timeout = async {
            Timer::after(CONNECTION_TIMEOUT).await;
        };
        future::or(exchange, timeout).await;
    }
}

fn respond(request: &Request<Incoming>, gateway: &Gateway) -> Response<Full<Bytes>> {
    let (status, body) = match request.uri().path() {
        "/metrics" => match metrics(gateway) {
            Ok(text) => (StatusCode::OK, text),
            Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        },
        "/health" if gateway.is_draining() => (StatusCode::SERVICE_UNAVAILABLE, "draining\n".to_owned()),
        "/health" => (StatusCode::OK, "ready\n".to_owned()),
        _ => (StatusCode::NOT_FOUND, "not found; the paths are /health and /metrics\n".to_owned()),
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    let content_type = hyper::header::HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

fn metrics(gateway: &Gateway) -> Result<String, std::fmt::Error> {
    let mut registry = Registry::with_prefix("petrelshore");
    let counts = gateway.counts();
    let counters = [
        ("sequences_taken", "Sequences taken", counts.accepted),
        ("sequences_generated", "Final answers: generated", counts.completed),
        ("sequences_rejected", "Final answers: rejected", counts.rejected),
        ("sequences_aborted", "Final answers: aborted", counts.aborted),
        ("sequences_withdrawn", "Clients that left before their final answer", counts.cancelled),
        ("schedule_attempts", "Attempts sent to model servers", counts.attempts),
        ("attempts_timed_out", "Attempts and streams ended by their time", counts.timed_out),
    ];
    for (name, help, value) in counters {
        let counter = Counter::<u64>::default();
        counter.inc_by(value);
        registry.register(name, help, counter);
    }
    let gauges = [
        ("sequences_in_hand", "Sequences that wait for their final answer", gateway.unanswered()),
        ("model_servers_listed", "Model servers on the list", gateway.servers()),
    ];
    for (name, help, value) in gauges {
        let gauge = Gauge::<i64>::default();
        gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        registry.register(name, help, gauge);
    }
    let mut text = String::new();
    encode(&mut text, &registry)?;
    Ok(text)
}
