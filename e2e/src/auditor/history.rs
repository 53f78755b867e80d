//! The events of a record, grouped by request.

use super::{FINAL_RESPONSE_RULE, SLOW_START_RULE, Verdict};
use petrelshore_emulator::model::Step;
use petrelshore_emulator::record::{Entry, Event, FinalOutcome, Nanos};
use std::collections::BTreeMap;

/// The start of a request, as its client recorded it.
pub(super) struct Sent<'a> {
    pub(super) at: Nanos,
    pub(super) gateway: &'a str,
    pub(super) traffic: &'a str,
    pub(super) deadline: Nanos,
}

/// A final response, as its client recorded it.
#[derive(Clone, Copy)]
pub(super) struct Response {
    pub(super) at: Nanos,
    pub(super) outcome: FinalOutcome,
    /// The time from the request to the first token, in nanoseconds.
    pub(super) first_token: Option<Nanos>,
}

/// An attempt that arrived at a server.
pub(super) struct Arrival<'a> {
    pub(super) at: Nanos,
    pub(super) server: &'a str,
    pub(super) request: &'a str,
    pub(super) is_prefill: bool,
}

/// One client's request, with its responses and its attempts at servers.
#[derive(Default)]
pub(super) struct Request<'a> {
    pub(super) sent: Option<Sent<'a>>,
    pub(super) responses: Vec<Response>,
    pub(super) arrivals: Vec<Arrival<'a>>,
}

/// A period for which a gateway was down after it was killed.
pub(super) struct Downtime {
    pub(super) killed: Nanos,
    pub(super) restarted: Nanos,
}

/// Identifies an attempt by its server and its request ID.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId<'a> {
    pub(super) server: &'a str,
    pub(super) request: &'a str,
}

/// The events of a whole record.
#[derive(Default)]
pub(super) struct History<'a> {
    /// Requests, by the number that the client gave them.
    pub(super) requests: BTreeMap<u64, Request<'a>>,
    /// The error codes of rejected attempts.
    pub(super) rejections: BTreeMap<AttemptId<'a>, &'a str>,
    /// The cell of each server.
    pub(super) cells: BTreeMap<&'a str, &'a str>,
    downtimes: BTreeMap<&'a str, Vec<Downtime>>,
}

impl<'a> History<'a> {
    /// Groups the entries of a record. Violations that a single event proves are added to the verdict.
    pub(super) fn from_entries(entries: &'a [Entry], verdict: &mut Verdict) -> Self {
        let mut history = History::default();
        for entry in entries {
            history.add(entry, verdict);
        }
        history
    }

    fn add(&mut self, entry: &'a Entry, verdict: &mut Verdict) {
        let at = entry.at;
        match &entry.event {
            Event::RequestSent { client, gateway, traffic, deadline } => {
                let sent = Sent { at, gateway, traffic, deadline: *deadline };
                self.requests.entry(*client).or_default().sent = Some(sent);
            }
            Event::ResponseReceived { client, outcome, first_token, .. } => {
                let response = Response { at, outcome: *outcome, first_token: *first_token };
                self.requests.entry(*client).or_default().responses.push(response);
            }
            Event::DataAfterFinal { client } => {
                let description = format!("client {client} received data after its final response");
                verdict.add(FINAL_RESPONSE_RULE, at, description);
            }
            Event::AttemptArrived { server, request, step, client: Some(client), .. } => {
                let is_prefill = step == Step::Prefill.name();
                let arrival = Arrival { at, server, request, is_prefill };
                self.requests.entry(*client).or_default().arrivals.push(arrival);
                verdict.arrivals += 1;
            }
            Event::AttemptRejected { server, request, code } => {
                self.rejections.insert(AttemptId { server, request }, code);
            }
            Event::FaultSet { server, cell, .. } => {
                self.cells.insert(server, cell);
            }
            Event::ServerOverloaded { server } => {
                verdict.add(SLOW_START_RULE, at, format!("{server} was overloaded while it was warming up"));
            }
            Event::GatewayKilled { gateway } => {
                let downtime = Downtime { killed: at, restarted: Nanos::MAX };
                self.downtimes.entry(gateway).or_default().push(downtime);
            }
            Event::GatewayRestarted { gateway } => {
                let downtimes = self.downtimes.get_mut(gateway.as_str());
                if let Some(downtime) = downtimes.and_then(|downtimes| downtimes.last_mut()) {
                    downtime.restarted = at;
                }
            }
            _ => {}
        }
    }

    /// The periods for which a gateway was down, ordered by time.
    pub(super) fn downtimes(&self, gateway: &str) -> &[Downtime] {
        self.downtimes.get(gateway).map_or(&[], Vec::as_slice)
    }
}
