//! Simulated clients. Most wait for their responses; some disconnect early, and some send invalid requests.

use crate::message::{Connection, read_chunk, read_head, with_timeout};
use crate::record::{Class, ClientOutcome, Event, Process};
use crate::testbed::Testbed;
use async_io::Timer;
use async_net::TcpStream;
use futures_lite::io::BufReader;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::rc::Rc;
use std::time::Duration;

/// Pause between two requests of a client, in milliseconds.
const REQUEST_PAUSE_MS: (u64, u64) = (20, 250);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// The share of requests whose client disconnects without waiting for the response.
const DISCONNECT_SHARE: f64 = 0.12;
/// Time from a request until such a client disconnects, in milliseconds.
const DISCONNECT_AFTER_MS: (u64, u64) = (0, 400);
/// The share of requests that are invalid.
const INVALID_SHARE: f64 = 0.04;
const SLOW_WRITE_SHARE: f64 = 0.05;
/// Pause between two parts of a slowly written request, in milliseconds.
const SLOW_WRITE_PAUSE_MS: (u64, u64) = (1, 120);
/// The probability that a client reuses its idle connection for the next request.
const REUSE_SHARE: f64 = 0.8;
/// The share of complete responses after which a client closes its connection.
const CLOSE_SHARE: f64 = 0.02;
/// Time within which a gateway must reject an invalid request or close its connection; it includes some slack.
const INVALID_REQUEST_TIMEOUT: Duration = Duration::from_millis(3_400);
/// Time without any data after which a client treats a response as timed out.
const IDLE_TIMEOUT: Duration = Duration::from_millis(8_000);
/// The shortest deadline of a request, as a percentage of the longest.
const MIN_DEADLINE_PERCENT: u64 = 40;
const MAX_BODY_BYTES: usize = 4_000;
/// The number of idempotency keys that all requests share.
const IDEMPOTENCY_KEYS: u64 = 64;

struct Request {
    id: u64,
    class: Class,
    deadline: Duration,
    text: String,
}

impl Request {
    fn new(testbed: &Testbed, id: u64) -> Request {
        let (class, kind) = match testbed.random.below(4) {
            0 => (Class::AtMostOnce, "unlock"),
            1 => (Class::Keyed, "order"),
            _ => (Class::Idempotent, "chat"),
        };
        let max_deadline_ms = testbed.parameters.max_deadline.as_millis() as u64;
        let deadline =
            testbed.random.duration_ms(max_deadline_ms * MIN_DEADLINE_PERCENT / 100, max_deadline_ms);
        let body = format!("{{\"messages\":\"{}\"}}", "x".repeat(testbed.random.below(MAX_BODY_BYTES)));
        let text = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nHost: soak\r\nReq-Id: {id:016x}\r\nReq-Kind: {kind}\r\n\
             Req-Key: {:016x}\r\nReq-Deadline-Ms: {}\r\n\
             Req-Extra: prompt_len=1000,prefix_len=0,max_out=200\r\nContent-Length: {}\r\n\r\n{body}",
            id % IDEMPOTENCY_KEYS,
            deadline.as_millis(),
            body.len()
        );
        Request { id, class, deadline, text }
    }

    /// Returns the request as an invalid text that no gateway can serve.
    fn to_invalid_text(&self, testbed: &Testbed) -> String {
        match testbed.random.below(6) {
            0 => self.text[..self.text.len() / 2].to_owned(),
            1 => self.text[..40].to_owned(),
            2 => self.text.replace("Req-Deadline-Ms: ", "Req-Deadline-Ms: soon"),
            3 => self.text.replace("Content-Length: ", "Transfer-Encoding: chunked\r\nContent-Length: "),
            4 => self.text.replace("Req-Kind: ", "Req-Kind: no-"),
            _ => "\u{1}\u{2}\u{3}\r\n\r\n".to_owned(),
        }
    }
}

/// A connection to a gateway's process.
struct GatewayConnection {
    connection: Connection,
    process: Process,
    /// True once the connection has served a request.
    reused: bool,
}

/// The next step of a client after a request.
enum Next {
    /// The client may send another request on the connection.
    Reuse(GatewayConnection),
    /// The client sends the same request again on this new connection.
    Resend(GatewayConnection),
    /// The client opens a new connection for its next request.
    Close,
}

/// Sends one request after the other until the run ends.
pub async fn run(testbed: Rc<Testbed>, number: usize) {
    let mut idle: Option<GatewayConnection> = None;
    for count in 0.. {
        Timer::after(testbed.random.duration_ms(REQUEST_PAUSE_MS.0, REQUEST_PAUSE_MS.1)).await;
        if testbed.finished.get() {
            return;
        }
        let id = (testbed.seed << 40) | ((number as u64) << 24) | count;
        let request = Request::new(&testbed, id);
        if testbed.random.happens(INVALID_SHARE) {
            send_invalid(&testbed, &request).await;
            continue;
        }
        let connection = match idle.take().filter(|_| testbed.random.happens(REUSE_SHARE)) {
            Some(connection) => Some(connection),
            None => connect(&testbed).await,
        };
        let Some(connection) = connection else { continue };
        idle = send_with_retry(&testbed, &request, connection).await;
    }
}

/// Sends a request, and resends it once if a reused connection closed before any server read the request. Returns the
/// connection if the client may reuse it.
async fn send_with_retry(
    testbed: &Testbed,
    request: &Request,
    connection: GatewayConnection,
) -> Option<GatewayConnection> {
    let next = match send(testbed, request, connection).await {
        Next::Resend(connection) => send(testbed, request, connection).await,
        next => next,
    };
    match next {
        Next::Reuse(connection) => Some(connection),
        Next::Resend(_) | Next::Close => None,
    }
}

async fn connect(testbed: &Testbed) -> Option<GatewayConnection> {
    let process = {
        let open = testbed.open_gateways.borrow();
        let index = testbed.random.below(open.len());
        open.iter().nth(index).map(|(gateway, run)| Process { gateway: *gateway, run: *run })?
    };
    let connecting = TcpStream::connect(testbed.gateway_address(process.gateway));
    let stream = with_timeout(CONNECT_TIMEOUT, connecting).await?.ok()?;
    let _ = stream.set_nodelay(true);
    Some(GatewayConnection { connection: BufReader::new(stream), process, reused: false })
}

/// Sends a request and reads its response.
async fn send(testbed: &Testbed, request: &Request, mut gateway: GatewayConnection) -> Next {
    let started_at = testbed.record.now();
    if !write_request(testbed, &mut gateway.connection, &request.text).await {
        // The client never wrote the last byte, so the gateway did not accept the request.
        return if gateway.reused { resend(testbed).await } else { Next::Close };
    }
    testbed.record.write(Event::RequestSent {
        request: request.id,
        process: gateway.process,
        class: request.class,
        deadline: request.deadline,
        started_at,
    });
    let disconnects = testbed.random.happens(DISCONNECT_SHARE);
    let response = read_response(testbed, request.id, &mut gateway.connection, gateway.reused);
    let outcome = if disconnects {
        let after = testbed.random.duration_ms(DISCONNECT_AFTER_MS.0, DISCONNECT_AFTER_MS.1);
        with_timeout(after, response).await
    } else {
        Some(response.await)
    };
    let Some(outcome) = outcome else {
        drop(gateway);
        testbed.record.write(Event::ClientDisconnected { request: request.id });
        return Next::Close;
    };
    testbed.record.write(Event::ResponseEnded { request: request.id, outcome });
    match outcome {
        ClientOutcome::Complete(_) if !testbed.random.happens(CLOSE_SHARE) => {
            gateway.reused = true;
            Next::Reuse(gateway)
        }
        // A server may have executed a request that it has read, and only the gateway knew whether a retry is safe. The
        // client must not resend such a request.
        ClientOutcome::NoResponse { reused: true } if !testbed.was_forwarded(request.id) => {
            resend(testbed).await
        }
        _ => Next::Close,
    }
}

async fn resend(testbed: &Testbed) -> Next {
    connect(testbed).await.map_or(Next::Close, Next::Resend)
}

async fn write_request(testbed: &Testbed, connection: &mut Connection, text: &str) -> bool {
    let bytes = text.as_bytes();
    let stream = connection.get_mut();
    if !testbed.random.happens(SLOW_WRITE_SHARE) {
        return stream.write_all(bytes).await.is_ok();
    }
    for part in bytes.chunks(bytes.len() / 4 + 1) {
        if stream.write_all(part).await.is_err() {
            return false;
        }
        Timer::after(testbed.random.duration_ms(SLOW_WRITE_PAUSE_MS.0, SLOW_WRITE_PAUSE_MS.1)).await;
    }
    true
}

async fn read_response(
    testbed: &Testbed,
    request: u64,
    connection: &mut Connection,
    reused: bool,
) -> ClientOutcome {
    let head = match with_timeout(IDLE_TIMEOUT, read_head(connection)).await {
        None => return ClientOutcome::TimedOut,
        Some(Ok(Some(head))) => head,
        Some(_) => return ClientOutcome::NoResponse { reused },
    };
    testbed.record.write(Event::ResponseStarted { request });
    let status = head.status();
    if let Some(length) = head.field("Content-Length").and_then(|length| length.parse().ok()) {
        let mut body = vec![0; length];
        let read = with_timeout(IDLE_TIMEOUT, connection.read_exact(&mut body)).await;
        return match read {
            Some(Ok(_)) => ClientOutcome::Complete(status),
            _ => ClientOutcome::Truncated,
        };
    }
    loop {
        match with_timeout(IDLE_TIMEOUT, read_chunk(connection)).await {
            None => return ClientOutcome::TimedOut,
            Some(Err(_)) => return ClientOutcome::Truncated,
            Some(Ok(data)) if data.is_empty() => return ClientOutcome::Complete(status),
            Some(Ok(data)) => record_events(testbed, request, &data),
        }
    }
}

/// Records how long each event was in transit, from the send time in the event (`t`, in microseconds).
fn record_events(testbed: &Testbed, request: u64, data: &[u8]) {
    let now = testbed.record.now();
    for event in String::from_utf8_lossy(data).split("\"t\":").skip(1) {
        let digits: String = event.chars().take_while(char::is_ascii_digit).collect();
        if let Ok(micros) = digits.parse() {
            let delay = now.saturating_sub(Duration::from_micros(micros));
            testbed.record.write(Event::StreamEventReceived { request, delay });
        }
    }
}

/// Sends an invalid request, and records whether the gateway answers with an error or closes the connection.
async fn send_invalid(testbed: &Testbed, request: &Request) {
    let Some(mut gateway) = connect(testbed).await else { return };
    let text = request.to_invalid_text(testbed);
    let started_at = testbed.record.now();
    let _ = gateway.connection.get_mut().write_all(text.as_bytes()).await;
    let remaining = INVALID_REQUEST_TIMEOUT.saturating_sub(testbed.record.now().saturating_sub(started_at));
    let response = with_timeout(remaining, read_head(&mut gateway.connection)).await;
    let served = matches!(&response, Some(Ok(Some(head))) if head.status() == 200);
    let answered = response.is_some();
    testbed.record.write(Event::InvalidRequestFinished { process: gateway.process, answered, served });
}
