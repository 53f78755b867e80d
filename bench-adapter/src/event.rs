//! Decodes the messages of the wire to one gateway into typed events.

use crate::endpoints::{ServerNames, decode_endpoints};
use crate::error::WireError;
use crate::line::Line;
use petrelshore::interface::{
    Deployment, Endpoint, LoadReport, Nanos, Outcome, PrefixId, SequenceId, ServerId, SessionId,
    SnapshotKind, TenantId, TrafficTypeId,
};
use petrelshore_gateway_core::fingerprint::stable_id;
use petrelshore_gateway_core::{NewSequence, Relay};
use petrelshore_platform_protocol::settings::{self, Names};

/// The mark of the timer for the next poll of the endpoint list. The marks of other timers are sequence ids.
pub(crate) const POLL_MARK: &str = "list";
/// The value of the field `team` in a request without a tenant.
const NO_TENANT: &str = "0";

/// The settings and the random seed that a gateway is started with.
pub(crate) struct Configuration {
    pub(crate) deployment: Deployment,
    pub(crate) names: Names,
    pub(crate) seed: u64,
}

impl Configuration {
    pub(crate) fn decode(line: &Line) -> Result<Self, WireError> {
        let options = serde_json::from_str(line.required("options")?).map_err(WireError::Options)?;
        let (deployment, names) = settings::decode(&options).map_err(WireError::Settings)?;
        Ok(Configuration { deployment, names, seed: line.parsed_required("prng")? })
    }
}

/// A timer that fired.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Timer {
    /// The time to poll the endpoint list has come.
    PollEndpoints,
    /// The time to schedule a sequence again has come.
    RetryScheduling(SequenceId),
    /// The timer has a mark that the adapter never sets.
    Unknown,
}

/// A server and its load report; the report is `None` if the message carries none.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerLoad {
    pub(crate) server: ServerId,
    pub(crate) report: Option<LoadReport>,
}

/// An event for one gateway.
pub(crate) enum Event {
    /// A client sent a request.
    Request(NewSequence),
    /// The first token of an attempt arrived.
    FirstToken { id: SequenceId, attempt: usize },
    /// An attempt ended. `is_last` is true if no further attempt of the sequence may follow.
    AttemptFinished { id: SequenceId, attempt: usize, outcome: Outcome, is_last: bool, load: ServerLoad },
    /// A client cancelled its request.
    ClientCancelled(SequenceId),
    /// A timer fired.
    TimerFired(Timer),
    /// The reply to a request for a server's load arrived.
    LoadReported(ServerLoad),
    /// The endpoint list, or the changes to it, arrived.
    EndpointList { scope: SnapshotKind, endpoints: Vec<Endpoint> },
    /// The endpoint list could not be polled.
    EndpointPollFailed,
    /// The message has no effect on the gateway.
    Ignored,
}

impl Event {
    /// Decodes a message that consists of a single line.
    pub(crate) fn decode(line: &Line, names: &Names, now: Nanos) -> Result<Self, WireError> {
        match line.kind {
            "REQ" => decode_request(line, names, now).map(Event::Request),
            "ACCEPTED" => {
                let attempt = line.parsed_required("n")?;
                Ok(Event::FirstToken { id: line.sequence()?, attempt })
            }
            "CLOSED_ATTEMPT" => decode_attempt_finished(line, names),
            "WITHDRAWN" => line.sequence().map(Event::ClientCancelled),
            "DUE" => decode_timer(line).map(Event::TimerFired),
            "STATUS_BACK" => decode_load(line, names).map(Event::LoadReported),
            "HOLD_RESULT" | "WHISPER" => Ok(Event::Ignored),
            other => Err(WireError::UnknownMessage { message: other.to_owned() }),
        }
    }

    /// Decodes an endpoint list from its first line and the lines of its entries.
    pub(crate) fn decode_list(
        line: &Line,
        entries: &[Line],
        names: &Names,
        servers: &mut ServerNames,
    ) -> Result<Self, WireError> {
        let scope = match line.required("kind")? {
            "changes" => SnapshotKind::Delta,
            "all" => SnapshotKind::Full,
            "remembered" => SnapshotKind::Cached,
            "refused" => return Ok(Event::EndpointPollFailed),
            other => return Err(line.invalid("kind", other)),
        };
        Ok(Event::EndpointList { scope, endpoints: decode_endpoints(entries, names, servers)? })
    }
}

fn decode_request(line: &Line, names: &Names, now: Nanos) -> Result<NewSequence, WireError> {
    let tenant = decode_tenant(line, names)?;
    Ok(NewSequence {
        id: line.sequence()?,
        traffic: TrafficTypeId(line.index_of_name("type", &names.types)?),
        tenant,
        session: line.hex_id("sessionId")?.map(SessionId),
        prefix: line.hex_id("systemPrompt")?.filter(|id| *id != 0).map(PrefixId),
        prompt_tokens: line.number_required("promptTokens")?,
        prefix_tokens: line.number("prefixTokens")?.unwrap_or(0.0),
        max_output_tokens: line.number_required("maxTokens")?,
        output_length_hint: line.parsed("effort")?,
        resumed: line.flag("again")?,
        relay: Relay::Streamed,
        first_token_deadline: now.saturating_add(line.parsed_required::<Nanos>("budget")?),
        completion_deadline: None,
    })
}

fn decode_tenant(line: &Line, names: &Names) -> Result<Option<TenantId>, WireError> {
    match line.text("team") {
        None | Some(NO_TENANT) => Ok(None),
        Some(team) => names.tenants.id(team).map(Some).ok_or_else(|| line.invalid("team", team)),
    }
}

fn decode_attempt_finished(line: &Line, names: &Names) -> Result<Event, WireError> {
    let outcome = decode_outcome(line)?;
    Ok(Event::AttemptFinished {
        id: line.sequence()?,
        attempt: line.parsed_required("n")?,
        outcome,
        is_last: line.flag("last")?,
        load: decode_load(line, names)?,
    })
}

fn decode_outcome(line: &Line) -> Result<Outcome, WireError> {
    let disposition = line.parsed_required::<u32>("disposition")?;
    let note = line.number("note")?.unwrap_or(0.0);
    Ok(match (disposition, note) {
        (0, _) => Outcome::Completed,
        (1, _) => Outcome::Error,
        (2, 1.0) => Outcome::KvCacheMissing,
        (2, _) => Outcome::AtCapacity,
        (3, _) => Outcome::TimedOut,
        (4, _) => Outcome::ConnectFailed,
        (5, _) => Outcome::Reset,
        (6, _) => Outcome::Cancelled,
        (7, _) => Outcome::NeverSent,
        (202, cached_tokens) => Outcome::PrefillDone { cached_tokens },
        (other, _) => return Err(line.out_of_range("disposition", other)),
    })
}

fn decode_load(line: &Line, names: &Names) -> Result<ServerLoad, WireError> {
    let server = ServerId(stable_id(line.required("server")?));
    Ok(ServerLoad { server, report: line.load_report(&names.report)? })
}

fn decode_timer(line: &Line) -> Result<Timer, WireError> {
    let mark = line.required("mark")?;
    if mark == POLL_MARK {
        return Ok(Timer::PollEndpoints);
    }
    let sequence = u64::from_str_radix(mark, 16).map(SequenceId);
    Ok(sequence.map_or(Timer::Unknown, Timer::RetryScheduling))
}

#[cfg(test)]
mod tests;
