//! Messages of the wire to one gateway, as typed events.

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

/// The mark of the timer for the next poll of the endpoint list. Other marks are the ids of sequences.
pub(crate) const POLL_MARK: &str = "list";
/// The wire's number for the tenant of requests without one.
const NO_TENANT: &str = "0";

/// What a gateway is started with.
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

/// A timer that has fired.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Timer {
    /// The endpoint list is to be polled.
    PollEndpoints,
    /// A sequence may be scheduled again.
    RetryScheduling(SequenceId),
    /// A mark that this adapter never set.
    Unknown,
}

/// What a server reported of its load, if it did.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerLoad {
    pub(crate) server: ServerId,
    pub(crate) report: Option<LoadReport>,
}

/// An event for one gateway.
pub(crate) enum Event {
    /// A client's request.
    Request(NewSequence),
    /// An attempt's first token has come.
    FirstToken { id: SequenceId, attempt: usize },
    /// An attempt has ended. `is_last` where none will follow it.
    AttemptFinished { id: SequenceId, attempt: usize, outcome: Outcome, is_last: bool, load: ServerLoad },
    /// A client has cancelled its request.
    ClientCancelled(SequenceId),
    /// A timer has fired.
    TimerFired(Timer),
    /// A server was asked for its load.
    LoadReported(ServerLoad),
    /// The endpoint list, or what has changed in it.
    EndpointList { scope: SnapshotKind, endpoints: Vec<Endpoint> },
    /// The endpoint list could not be polled.
    EndpointPollFailed,
    /// A message that means nothing to this gateway.
    Ignored,
}

impl Event {
    /// Decodes a message that comes on a line of its own.
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

    /// Decodes an endpoint list with the lines of its entries.
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
