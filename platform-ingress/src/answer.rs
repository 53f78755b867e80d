//! Writes the answer to a request as its parts arrive.

use crate::failure::CloseReason;
use crate::registry::{ConnectionContext, Registry};
use crate::response::{self, Persistence};
use async_io::Timer;
use futures_lite::future;
use petrelshore_gateway_core::passthrough::FinalAnswer;
use petrelshore_http1::connection::HttpConnection;
use petrelshore_http1::head::RequestHead;
use petrelshore_ingress::listener::stall_timeout;
use petrelshore_platform_gateway::{Answer, AnswerItem};

/// Writes an answer as its parts arrive. The connection persists if the answer is complete and the head of the response
/// did not announce that the connection closes.
pub(crate) async fn write_answer(
    context: ConnectionContext<'_>,
    head: &RequestHead,
    http: &mut HttpConnection,
    mut answer: Answer,
) -> Result<(), CloseReason> {
    let mut stream_started = false;
    let mut persistence = if head.keep_alive { Persistence::KeepAlive } else { Persistence::Close };
    loop {
        let next = next_unless_closed(context.registry, http, &mut answer).await?;
        if !stream_started && (context.registry.is_shutting_down() || context.close_signal.is_evicted()) {
            persistence = Persistence::Close;
        }
        match next {
            AnswerItem::Events(events) => {
                let head = if stream_started { String::new() } else { response::stream_head(persistence) };
                stream_started = true;
                write(http, &response::chunk(head, &events)).await?;
            }
            // The last chunk is left out, so that the client does not take the stream for complete.
            AnswerItem::FinalAnswer(FinalAnswer::Rejected { .. } | FinalAnswer::Aborted { .. })
                if stream_started =>
            {
                return Err(CloseReason::Truncated);
            }
            AnswerItem::FinalAnswer(answer) => return write_final_answer(http, answer, persistence).await,
        }
    }
}

/// Returns the next part of an answer, or an error once the client has closed the connection.
async fn next_unless_closed(
    registry: &Registry,
    http: &mut HttpConnection,
    answer: &mut Answer,
) -> Result<AnswerItem, CloseReason> {
    let closed = async {
        http.wait_closed(registry.pipelined_limit()).await;
        Err(CloseReason::ClientClosed)
    };
    let next = async { Ok(answer.next().await) };
    future::or(next, closed).await
}

/// Writes the end of a stream, or an error response.
async fn write_final_answer(
    http: &HttpConnection,
    answer: FinalAnswer,
    persistence: Persistence,
) -> Result<(), CloseReason> {
    match answer {
        FinalAnswer::Completed => write(http, response::LAST_CHUNK).await?,
        FinalAnswer::Rejected { retry_after, .. } => {
            let text = "the request was rejected, a retry is harmless\n";
            write(http, response::complete(503, text, persistence, retry_after).as_bytes()).await?;
        }
        FinalAnswer::Aborted { .. } => {
            let text = "the request was aborted, it may have run\n";
            write(http, response::complete(502, text, persistence, None).as_bytes()).await?;
        }
    }
    match persistence {
        Persistence::KeepAlive => Ok(()),
        Persistence::Close => Err(CloseReason::Announced),
    }
}

/// Writes to a client. Fails if the connection breaks or if the write takes longer than the stall timeout.
pub(crate) async fn write(http: &HttpConnection, bytes: &[u8]) -> Result<(), CloseReason> {
    let timed_out = async {
        Timer::after(stall_timeout()).await;
        Err(CloseReason::Unwritable)
    };
    let written = async { http.write_all(bytes).await.map_err(|_| CloseReason::Unwritable) };
    future::or(written, timed_out).await
}
