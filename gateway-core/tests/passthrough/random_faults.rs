//! Random faults of servers and connections: no KV cache is held past its release deadline.

use crate::common::{MS, S, START};
use crate::fixtures::{at, endpoint, new_sequence, with_decode_servers};
use oorandom::Rand64;
use petrelshore::interface::{Endpoint, EndpointState, Nanos, SequenceId, ServerId, SnapshotKind, Step};
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::passthrough::Command;
use petrelshore_gateway_core::{Dispatch, NewSequence, Relay};
use std::collections::BTreeMap;

/// The state of one sequence at the model servers.
#[derive(Default)]
struct ObservedSequence {
    /// The prefill servers that hold a KV cache for the sequence.
    holders: Vec<ServerId>,
    in_flight: Option<InFlightAttempt>,
    /// The time since which a KV cache is held while no server has an attempt of the sequence.
    idle_since: Option<Nanos>,
}

#[derive(Clone, Copy)]
struct InFlightAttempt {
    dispatch: Dispatch,
    /// True if the server provably has the attempt.
    delivered: bool,
    /// The time at which connecting fails if the connection is not established.
    connect_deadline: Nanos,
}

impl ObservedSequence {
    /// Updates `idle_since` and returns an error if a KV cache is held for too long.
    fn check(&mut self, now: Nanos) -> Result<(), String> {
        let idle = !self.holders.is_empty() && !self.in_flight.is_some_and(|attempt| attempt.delivered);
        self.idle_since = if idle { self.idle_since.or(Some(now)) } else { None };
        match self.idle_since {
            Some(since) if now - since > 300 * MS => {
                Err(format!("a KV cache is held for {} ms without an attempt", (now - since) / MS))
            }
            _ => Ok(()),
        }
    }
}

/// Runs some sequences with servers that answer, fail or are unreachable at random.
fn random_run(seed: u64) -> Result<(), String> {
    let mut random = Rand64::new(seed.into());
    let mut random_below = |below: u64| random.rand_range(0..below);
    let mut requests = with_decode_servers();
    let listed_endpoint =
        |n: u64, state| (Endpoint { state, ..endpoint(n, usize::from(n > 3)) }, at(n as u16));
    let entries: Vec<_> = (1..10).map(|n| listed_endpoint(n, EndpointState::Ready)).collect();
    requests.update_endpoints(START, SnapshotKind::Full, &entries);
    let (mut now, mut commands) = (START, Vec::new());
    let mut observed: BTreeMap<SequenceId, ObservedSequence> = Default::default();
    for step in 0..400 {
        if step % 16 == 0 {
            let id = SequenceId(step);
            let new =
                NewSequence { first_token_deadline: now + 5 * S, ..new_sequence(id, Relay::Passthrough) };
            requests
                .accept(now, new, "hello", &mut commands)
                .map_err(|rejection| format!("{rejection:?}"))?;
        }
        loop {
            for command in std::mem::take(&mut commands) {
                match command {
                    Command::Send { dispatch, .. } => {
                        let connect_deadline = now + dispatch.connect_timeout;
                        let attempt = InFlightAttempt { dispatch, delivered: false, connect_deadline };
                        observed.entry(dispatch.id).or_default().in_flight = Some(attempt);
                    }
                    Command::Cancel { id, attempt, .. } => {
                        let observed = observed.entry(id).or_default();
                        observed.in_flight.take_if(|in_flight| in_flight.dispatch.attempt == attempt);
                    }
                    Command::Release(release) => {
                        let id = SequenceId(u64::from_str_radix(&release.request_id, 16).unwrap());
                        // A release request releases the KV caches of all servers for its request id,
                        // whichever server gets the request.
                        observed.entry(id).or_default().holders.clear();
                        requests.release_finished(
                            now,
                            &release,
                            requests.release_pending_since(&release),
                            Some(release.server).filter(|_| random_below(3) > 0),
                        );
                    }
                    Command::Answer { .. } | Command::Remove { .. } => {}
                }
            }
            for observed in observed.values_mut() {
                observed.check(now)?;
            }
            // An attempt fails if its connection is not established by the connect deadline.
            let is_overdue = |(_, observed): &(&SequenceId, &ObservedSequence)| {
                observed
                    .in_flight
                    .is_some_and(|attempt| !attempt.delivered && now >= attempt.connect_deadline)
            };
            let overdue: Vec<SequenceId> = observed.iter().filter(is_overdue).map(|(id, _)| *id).collect();
            for id in &overdue {
                let attempt = observed.get_mut(id).and_then(|observed| observed.in_flight.take()).unwrap();
                requests.attempt_ended(now, &attempt.dispatch, AttemptEnd::NotConnected, &mut commands);
            }
            if !overdue.is_empty() {
                continue;
            }
            // Time passes in random steps, but never past the next deadline.
            let connect_deadlines = observed
                .values()
                .filter_map(|observed| observed.in_flight)
                .filter(|attempt| !attempt.delivered)
                .map(|attempt| attempt.connect_deadline);
            let next_event =
                connect_deadlines.chain(requests.next_timeout()).min().unwrap_or(Nanos::MAX).max(now + 1);
            now = (now + 1 + random_below(60 * MS)).min(next_event);
            requests.on_timeout(now, &mut commands);
            if random_below(3) == 0 {
                break;
            }
        }
        if random_below(12) == 0 {
            let state = [EndpointState::Ready, EndpointState::Draining, EndpointState::Gone]
                [random_below(3) as usize];
            requests.update_endpoints(
                now,
                SnapshotKind::Delta,
                &[listed_endpoint(1 + random_below(9), state)],
            );
        }
        let ids: Vec<SequenceId> = observed.keys().copied().collect();
        let id = ids[random_below(ids.len() as u64) as usize];
        if random_below(25) == 0 {
            requests.client_cancelled(now, id, &mut commands);
            continue;
        }
        let Some(attempt) = observed[&id].in_flight else { continue };
        let dispatch = attempt.dispatch;
        let prefill = dispatch.step == Step::Prefill;
        let observed = observed.get_mut(&id).unwrap();
        if !attempt.delivered {
            if random_below(2) == 0 {
                observed.in_flight = Some(InFlightAttempt { delivered: true, ..attempt });
                requests.attempt_delivered(id, dispatch.attempt);
            } else {
                observed.in_flight = None;
                // The connection was never established, or a reused connection turned out to be dead.
                let end = if random_below(2) == 0 { AttemptEnd::NotConnected } else { AttemptEnd::Reset };
                requests.attempt_ended(now, &dispatch, end, &mut commands);
            }
            continue;
        }
        observed.in_flight = None;
        let end = match random_below(7) {
            0 => AttemptEnd::Reset,
            1 => AttemptEnd::AtCapacity,
            2 => AttemptEnd::ErrorStatus { status: 500 },
            3 if !prefill => AttemptEnd::KvCacheMissing,
            _ if prefill => AttemptEnd::PrefillDone { cached_tokens: 0.0 },
            _ => {
                requests.first_token(now, &dispatch, &mut commands);
                AttemptEnd::Completed
            }
        };
        match (end, prefill) {
            (AttemptEnd::PrefillDone { .. }, _) => observed.holders.push(dispatch.server),
            // The prefill may have completed just as the connection broke.
            (AttemptEnd::Reset, true) if random_below(2) == 0 => observed.holders.push(dispatch.server),
            (AttemptEnd::Completed | AttemptEnd::KvCacheMissing, _) => {
                observed.holders.retain(|holder| Some(*holder) != dispatch.prefill_server);
            }
            _ => {}
        }
        requests.attempt_ended(now, &dispatch, end, &mut commands);
    }
    match requests.violations().is_empty() {
        true => Ok(()),
        false => Err(format!("the run-time checks counted violations: {:?}", requests.violations())),
    }
}

#[test]
fn no_cache_is_held_past_its_deadline_under_random_faults() {
    for seed in 0..200 {
        if let Err(violation) = random_run(seed) {
            panic!("seed {seed}: {violation}");
        }
    }
}
