//! Rule `lost`: each accepted request gets one final response in time.

use super::history::{Request, Timed};
use super::{Oracle, Rule, TRANSIT_SLACK, Violation};
use crate::record::{ClientOutcome, ExchangeOutcome, Process, Role, Time};
use std::time::Duration;

/// A response that starts later than this after its client's deadline counts as lost.
const RESPONSE_SLACK: Duration = Duration::from_millis(500);
/// Requests sent later than this after the stop signal have to be answered before the process is killed.
const STOP_SLACK: Duration = Duration::from_millis(700);
/// A gateway that abandons an exchange counts as the cause of the truncated stream if the stream ends at the client at
/// most this long afterwards.
const STREAM_END_TIMEOUT: Duration = Duration::from_secs(1);
/// A stream counts as idle if its response started at least this long ago. The start of the response stands in for the
/// last event of the stream, because the history does not contain the time of that event.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(4_500);

/// A lost response.
struct Loss {
    at: Time,
    description: String,
}

impl Oracle<'_> {
    /// Checks that a request got one final response in time.
    pub(super) fn check_response(&self, id: u64, request: &Request, violations: &mut Vec<Violation>) {
        let (Some(process), Some(&sent)) = (request.process, request.sent.last()) else { return };
        let due = sent + request.deadline + RESPONSE_SLACK;
        let slack = self.slack(sent, due);
        let until = request.response.map_or(due, |response| response.at);
        let crashed = self.crashed_by(process, until.max(due) + slack);
        if request.disconnected.is_some() || crashed || due + slack > self.history.end {
            return;
        }
        let loss = match request.response {
            None => Some(Loss { at: due, description: "no response".to_owned() }),
            Some(response) => self.loss(request, process, response, due + slack, due),
        };
        if let Some(Loss { at, description }) = loss {
            let (request, process) = (Some(id), Some(process));
            violations.push(Violation { rule: Rule::Lost, at, request, process, description });
        }
    }

    /// Returns the reason why a response counts as lost, or `None` for a valid response. The response has to start by
    /// `limit`; a reported delay is measured from `due`.
    fn loss(
        &self,
        request: &Request,
        process: Process,
        response: Timed<ClientOutcome>,
        limit: Time,
        due: Time,
    ) -> Option<Loss> {
        let at = response.at;
        match response.value {
            ClientOutcome::TimedOut => {
                Some(Loss { at, description: "the client timed out waiting for data".to_owned() })
            }
            ClientOutcome::NoResponse { reused } => {
                let forwarded = !request.exchanges.is_empty();
                let description = format!(
                    "connection closed without response; reused: {reused}, request forwarded: {forwarded}"
                );
                (!reused || forwarded).then_some(Loss { at, description })
            }
            ClientOutcome::Truncated => self.truncation(request, process, at),
            ClientOutcome::Complete(status) => {
                let started = request.response_started.unwrap_or(at);
                (started > limit).then(|| {
                    let description =
                        format!("response with status {status} started {:?} late", started - due);
                    Loss { at: started, description }
                })
            }
        }
    }

    /// Returns true if a process was killed by the time `at` without a stop signal.
    fn crashed_by(&self, process: Process, at: Time) -> bool {
        self.process(process).is_some_and(|process| {
            process.stop_signal.is_none() && process.killed.is_some_and(|killed| killed <= at)
        })
    }

    /// Returns the loss if the gateway is the cause of a truncated stream. A gateway has to forward a stream to its end
    /// if the server wrote the end; other streams may be truncated if the connection to the server broke.
    fn truncation(&self, request: &Request, process: Process, at: Time) -> Option<Loss> {
        let last = self.arrivals_of(request).rfind(|arrival| arrival.role == Role::Decode);
        let end = last.and_then(|arrival| arrival.end);
        let caused_by_gateway = match end {
            // The end of the stream may have been in transit when the connection broke.
            Some(Timed { at: ended, value: ExchangeOutcome::Completed | ExchangeOutcome::Abandoned })
                if self.connections_broke(process.gateway, ended) =>
            {
                false
            }
            Some(Timed { value: ExchangeOutcome::Completed, .. }) => true,
            // The gateway abandoned a stream that was still receiving events.
            Some(Timed { at: abandoned, value: ExchangeOutcome::Abandoned }) => {
                abandoned + STREAM_END_TIMEOUT >= at && !is_idle(request, at)
            }
            _ => false,
        };
        if !caused_by_gateway || self.truncated_by_stop(request, process, at) {
            return None;
        }
        let end = match end {
            Some(Timed { at, value }) => format!("Some(({at:?}, {value}))"),
            None => "None".to_owned(),
        };
        Some(Loss { at, description: format!("stream truncated; end of the exchange at the server: {end}") })
    }

    /// Returns true if a graceful shutdown excuses a truncated stream: a request that was sent at most [`STOP_SLACK`]
    /// after the stop signal may still be in flight at the kill, and clients that resume streams move to another
    /// gateway.
    fn truncated_by_stop(&self, request: &Request, process: Process, at: Time) -> bool {
        let Some(process) = self.process(process) else { return false };
        let Some(stop) = process.stop_signal else { return false };
        let accepted_early = request.sent.iter().all(|sent| *sent <= stop + STOP_SLACK);
        let killed = process.killed.is_some_and(|killed| at >= killed);
        self.parameters.resume_streams || (accepted_early && killed)
    }

    /// Returns true if a fault was breaking the outgoing connections of a gateway at the time `at`, or had ended at
    /// most [`TRANSIT_SLACK`] before. To the servers, such a break looks as if the gateway had closed the connection.
    fn connections_broke(&self, gateway: usize, at: Time) -> bool {
        let Some(gateway) = self.history.gateways.get(&gateway) else { return false };
        let changes = &gateway.connections_breaking;
        let breaking = changes.iter().rfind(|change| change.at <= at).is_some_and(|change| change.value);
        let just_ended =
            changes.iter().any(|change| !change.value && change.at <= at && at <= change.at + TRANSIT_SLACK);
        breaking || just_ended
    }
}

/// Returns true if a stream counts as idle at the time `at`, measured from the start of the response. If a server hangs
/// or a link is cut, the gateway abandons the stream some seconds after the last event.
fn is_idle(request: &Request, at: Time) -> bool {
    request.response_started.is_some_and(|started| at.saturating_sub(started) >= STREAM_IDLE_TIMEOUT)
}
