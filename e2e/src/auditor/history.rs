//! A record, sorted by request.

use super::{FINAL_RESPONSE_RULE, SLOW_START_RULE, Verdict};
use petrelshore_emulator::model::Step;
use petrelshore_emulator::record::{Entry, Event, FinalOutcome, Nanos};
use std::collections::BTreeMap;

/// A request as its client sent it.
pub(super) struct Sent<'a> {
    pub(super) at: Nanos,
    pub(super) gateway: &'a str,
    pub(super) traffic: &'a str,
    pub(super) deadline: Nanos,
}

/// A final response as its client saw it.
#[derive(Clone, Copy)]
pub(super) struct Response {
    pub(super) at: Nanos,
    pub(super) outcome: FinalOutcome,
    /// From the request to the first token.
    pub(super) first_token: Option<Nanos>,
}

/// A request that arrived at a server.
pub(super) struct Arrival<'a> {
    pub(super) at: Nanos,
    pub(super) server: &'a str,
    pub(super) request: &'a str,
    pub(super) is_prefill: bool,
}

/// One client's request, with all that was observed of it.
#[derive(Default)]
pub(super) struct Request<'a> {
    pub(super) sent: Option<Sent<'a>>,
    pub(super) responses: Vec<Response>,
    pub(super) arrivals: Vec<Arrival<'a>>,
}

/// The time that a gateway was down after it was killed.
pub(super) struct Downtime {
    pub(super) killed: Nanos,
    pub(super) restarted: Nanos,
}

/// Identifies an attempt.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptId<'a> {
    pub(super) server: &'a str,
    pub(super) request: &'a str,
}

/// A whole record.
#[derive(Default)]
pub(super) struct History<'a> {
    /// By the number of the client's request.
    pub(super) requests: BTreeMap<u64, Request<'a>>,
    /// The error codes of rejected attempts.
    pub(super) rejections: BTreeMap<AttemptId<'a>, &'a str>,
    /// The cell of each server.
    pub(super) cells: BTreeMap<&'a str, &'a str>,
    downtimes: BTreeMap<&'a str, Vec<Downtime>>,
}

impl<'a> History<'a> {
    /// Sorts a record; violations that single events prove go to the verdict.
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
                let description = format!("client {client} got something after its final answer");
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
                verdict.add(SLOW_START_RULE, at, format!("{server} was pushed over while cold"));
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

    /// When a gateway was down.
    pub(super) fn downtimes(&self, gateway: &str) -> &[Downtime] {
        self.downtimes.get(gateway).map_or(&[], Vec::as_slice)
    }
}
