//! Rule 5: while a sequence has no attempt in flight, its reserved KV cache is used or released in time.

use super::history::{AttemptId, History};
use super::{Bounds, CACHE_RELEASE_RULE, MILLISECOND, Verdict, gateway_name};
use petrelshore_emulator::profile::Fault;
use petrelshore_emulator::record::{Entry, Event, Nanos};
use std::collections::{BTreeMap, BTreeSet};

/// The attempts and KV caches of one sequence.
#[derive(Default)]
struct Sequence<'a> {
    gateway: &'a str,
    /// The time at which the sequence's first attempt arrived at any server; zero before that.
    first_arrival: Nanos,
    in_flight: usize,
    reserved: BTreeSet<AttemptId<'a>>,
    /// The time since which KV cache is reserved with no attempt in flight.
    idle_since: Option<Nanos>,
}

/// The state that the check of the rule tracks through a record.
struct CacheAudit<'a> {
    history: &'a History<'a>,
    bounds: &'a Bounds,
    sequences: BTreeMap<&'a str, Sequence<'a>>,
    /// Servers that don't read from their sockets or don't respond.
    unresponsive: BTreeSet<&'a str>,
}

pub(super) fn check(entries: &[Entry], history: &History, bounds: &Bounds, verdict: &mut Verdict) {
    let mut audit = CacheAudit { history, bounds, sequences: BTreeMap::new(), unresponsive: BTreeSet::new() };
    for entry in entries {
        audit.add(entry, verdict);
    }
    let end = entries.last().map_or(0, |entry| entry.at);
    for (id, sequence) in &audit.sequences {
        audit.check_idle_time(id, sequence, end, verdict);
    }
}

impl<'a> CacheAudit<'a> {
    fn add(&mut self, entry: &'a Entry, verdict: &mut Verdict) {
        let attempt = match &entry.event {
            Event::FaultSet { server, fault, .. } => return self.set_fault(server, fault),
            Event::AttemptArrived { server, request, .. }
            | Event::AttemptEnded { server, request }
            | Event::CacheReserved { server, request }
            | Event::CacheReleased { server, request } => AttemptId { server, request },
            _ => return,
        };
        let id = attempt.request.split('-').next().unwrap_or(attempt.request);
        let mut sequence = self.sequences.remove(id).unwrap_or_default();
        self.check_idle_time(id, &sequence, entry.at, verdict);
        match &entry.event {
            Event::AttemptArrived { gateway, .. } => {
                sequence.gateway = gateway_name(gateway);
                if sequence.first_arrival == 0 {
                    sequence.first_arrival = entry.at;
                }
                sequence.in_flight += 1;
            }
            Event::AttemptEnded { .. } => sequence.in_flight = sequence.in_flight.saturating_sub(1),
            // An unresponsive server can't process a release request, so a reservation there isn't checked.
            Event::CacheReserved { .. } if !self.unresponsive.contains(attempt.server) => {
                sequence.reserved.insert(attempt);
                verdict.reservations += 1;
            }
            Event::CacheReleased { .. } => {
                sequence.reserved.remove(&attempt);
            }
            _ => {}
        }
        let reachable = sequence.reserved.iter().any(|attempt| !self.unresponsive.contains(attempt.server));
        let idle = reachable && sequence.in_flight == 0;
        sequence.idle_since = if idle { sequence.idle_since.or(Some(entry.at)) } else { None };
        self.sequences.insert(id, sequence);
    }

    fn set_fault(&mut self, server: &'a str, fault: &str) {
        if fault == Fault::Hangs.to_string() || fault == Fault::Silent.to_string() {
            self.unresponsive.insert(server);
        } else {
            self.unresponsive.remove(server);
        }
    }

    fn check_idle_time(&self, id: &str, sequence: &Sequence, until: Nanos, verdict: &mut Verdict) {
        let Some(since) = sequence.idle_since else { return };
        // A killed gateway need not release its KV caches. Attempts that arrive while the gateway is down were already
        // in transit when the gateway was killed.
        let mut downtimes = self.history.downtimes(sequence.gateway).iter();
        let gateway_killed =
            downtimes.any(|downtime| downtime.restarted > sequence.first_arrival && downtime.killed <= until);
        if until > since + self.bounds.release_timeout + self.bounds.slack && !gateway_killed {
            let millis = (until - since) / MILLISECOND;
            let description = format!(
                "a KV cache of sequence {id} stayed reserved for {millis} ms with no attempt in flight"
            );
            verdict.add(CACHE_RELEASE_RULE, until, description);
        }
    }
}

/// Counts the KV caches that servers still hold at the end of a record. KV caches of gateways that were killed after
/// the reservation are not counted: servers drop these KV caches later by themselves.
pub fn caches_left_behind(entries: &[Entry]) -> usize {
    let mut held: BTreeMap<AttemptId, &str> = BTreeMap::new();
    let mut gateways: BTreeMap<&str, &str> = BTreeMap::new();
    let mut down: BTreeSet<&str> = BTreeSet::new();
    for entry in entries {
        match &entry.event {
            Event::AttemptArrived { gateway, request, .. } => {
                let gateway = gateway_name(gateway);
                // An attempt that arrives from a gateway that is down was in transit when the gateway was killed.
                gateways.insert(request, if down.contains(gateway) { "" } else { gateway });
            }
            Event::GatewayRestarted { gateway } => {
                down.remove(gateway.as_str());
            }
            Event::CacheReserved { server, request } => {
                let gateway = gateways.get(request.as_str()).copied().unwrap_or_default();
                held.insert(AttemptId { server, request }, gateway);
            }
            Event::CacheReleased { server, request } => {
                held.remove(&AttemptId { server, request });
            }
            Event::GatewayKilled { gateway } => {
                down.insert(gateway);
                held.retain(|_, holder| *holder != gateway);
                gateways.retain(|_, holder| *holder != gateway);
            }
            _ => {}
        }
    }
    held.into_values().filter(|gateway| !gateway.is_empty()).count()
}
