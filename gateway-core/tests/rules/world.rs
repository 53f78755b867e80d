//! A request manager that gets random events, and the observed sequences that check its actions.

use crate::observer::ObservedSequence;
use crate::test_deployment::{MS, SERVERS, TestDeployment, new_sequence};
use oorandom::Rand64;
use petrelshore::interface::{
    Delivery, Endpoint, EndpointState, LoadReport, Nanos, SequenceId, ServerId, SessionId, SnapshotKind, Step,
};
use petrelshore_gateway_core::attempt_outcome::AttemptEnd;
use petrelshore_gateway_core::{Action, Dispatch, NewSequence, Relay, RequestManager};
use std::collections::BTreeMap;

/// An attempt in flight that a random event concerns.
#[derive(Clone, Copy)]
struct PickedAttempt {
    id: SequenceId,
    dispatch: Dispatch,
    streaming: bool,
}

/// The request manager under test, with the servers, the clock and the observed sequences.
pub(crate) struct World {
    pub(crate) test: TestDeployment,
    pub(crate) manager: RequestManager,
    pub(crate) sequences: BTreeMap<SequenceId, ObservedSequence>,
    /// True for each server that is draining.
    draining: [bool; SERVERS],
    random: Rand64,
    pub(crate) now: Nanos,
}

impl World {
    pub(crate) fn new(seed: u64, test: TestDeployment) -> Self {
        let mut manager = RequestManager::new(0, test.deployment.clone(), seed);
        let endpoints: Vec<Endpoint> =
            (0..SERVERS as u64).map(|server| test.endpoint(server, EndpointState::Ready)).collect();
        manager.update_endpoints(0, SnapshotKind::Full, &endpoints);
        let random = Rand64::new(seed.into());
        World { test, manager, sequences: BTreeMap::new(), draining: [false; SERVERS], random, now: MS }
    }

    /// Applies actions to the observed sequences and checks the rules.
    pub(crate) fn apply(&mut self, actions: Vec<Action>) -> Result<(), String> {
        let deployment = &self.test.deployment;
        for action in actions {
            match action {
                Action::Send(dispatch) => {
                    let server_draining = self.draining[dispatch.server.0 as usize];
                    let sequence = self
                        .sequences
                        .get_mut(&dispatch.id)
                        .ok_or("an attempt is sent for an unknown sequence")?;
                    sequence.sent(self.now, dispatch, server_draining, deployment)?;
                }
                Action::Cancel { id, step, .. } => {
                    if let Some(sequence) = self.sequences.get_mut(&id) {
                        sequence.cancelled(self.now, step);
                    }
                }
                Action::Release { id } => {
                    if let Some(sequence) = self.sequences.get_mut(&id) {
                        sequence.released();
                    }
                }
                Action::Reject { id, retry_after, .. } => {
                    let sequence = self.sequences.get_mut(&id).ok_or("an unknown sequence is rejected")?;
                    sequence.rejected(self.now, id, retry_after, deployment)?;
                }
                Action::Abort { id, .. } | Action::Complete { id, .. } => {
                    self.sequences
                        .get_mut(&id)
                        .ok_or("an unknown sequence is aborted or completed")?
                        .final_answers += 1;
                }
                Action::WakeAt { .. } | Action::PollEndpoints { .. } => {}
            }
        }
        self.sequences.iter().try_for_each(|(id, sequence)| sequence.check(self.now, *id, deployment))
    }

    /// Lets a timer expire with a random delay within the timer resolution.
    pub(crate) fn expire_timer(&mut self, deadline: Nanos) -> Result<(), String> {
        let delay = self.random.rand_range(0..self.test.deployment.timer_resolution.max(1));
        self.now = self.now.max(deadline + delay);
        let mut actions = Vec::new();
        self.manager.on_timeout(self.now, &mut actions);
        self.apply(actions)
    }

    /// Generates one random event. `number` becomes the id of a new sequence, and selects the server of a load report.
    pub(crate) fn step(&mut self, number: u64) -> Result<(), String> {
        let mut actions = Vec::new();
        let picked = self.pick_attempt();
        match self.random.rand_range(0..12) {
            0..3 => self.accept(number, &mut actions),
            3..5 => self.receive_first_token(picked)?,
            5..8 => self.end_attempt(picked, &mut actions)?,
            8 => {
                self.report_load(number);
                self.cancel(picked, &mut actions)?;
            }
            9 => self.change_endpoint(),
            _ => self.pass_time()?,
        }
        self.apply(actions)
    }

    fn pick_attempt(&mut self) -> Option<PickedAttempt> {
        let in_flight: Vec<PickedAttempt> = self
            .sequences
            .iter()
            .filter_map(|(id, sequence)| {
                let dispatch = sequence.in_flight?;
                Some(PickedAttempt { id: *id, dispatch, streaming: sequence.streaming })
            })
            .collect();
        if in_flight.is_empty() {
            return None;
        }
        Some(in_flight[self.random.rand_range(0..in_flight.len() as u64) as usize])
    }

    fn accept(&mut self, number: u64, actions: &mut Vec<Action>) {
        let id = SequenceId(number);
        let traffic = self.random.rand_range(0..3) as usize;
        let relay = if self.random.rand_range(0..2) == 0 { Relay::Streamed } else { Relay::Buffered };
        let first_token_deadline = self.now + (200 + self.random.rand_range(0..2_000)) * MS;
        // Half of the clients also have a deadline for the complete answer.
        let completion_budget = self.random.rand_range(0..4_000);
        let completion_deadline =
            completion_budget.is_multiple_of(2).then_some(first_token_deadline + completion_budget * MS);
        let sequence = ObservedSequence {
            traffic,
            relay: Some(relay),
            first_token_deadline,
            completion_deadline,
            ..ObservedSequence::default()
        };
        self.sequences.insert(id, sequence);
        let new = NewSequence {
            session: Some(SessionId(number % 5)),
            relay,
            completion_deadline,
            ..new_sequence(id, traffic, first_token_deadline)
        };
        self.manager.accept(self.now, new, actions);
    }

    fn receive_first_token(&mut self, picked: Option<PickedAttempt>) -> Result<(), String> {
        let Some(PickedAttempt { id, dispatch, streaming: false }) = picked else { return Ok(()) };
        if dispatch.step == Step::Prefill || self.is_buffered(id) {
            return Ok(());
        }
        self.manager.first_token(self.now, id, dispatch.attempt);
        let sequence = self.sequences.get_mut(&id).ok_or("the sequence is not observed")?;
        sequence.streaming = true;
        sequence.caches = 0;
        sequence.client_has_tokens |= sequence.relay == Some(Relay::Streamed);
        Ok(())
    }

    fn end_attempt(
        &mut self,
        picked: Option<PickedAttempt>,
        actions: &mut Vec<Action>,
    ) -> Result<(), String> {
        let Some(PickedAttempt { id, dispatch, streaming }) = picked else { return Ok(()) };
        let end = self.random_end(&dispatch, streaming);
        let sequence = self.sequences.get_mut(&id).ok_or("the sequence is not observed")?;
        sequence.in_flight = None;
        let leaves_cache = dispatch.step == Step::Prefill && !end.proves_not_run();
        let cache_missing = end == AttemptEnd::KvCacheMissing;
        sequence.caches =
            (sequence.caches + usize::from(leaves_cache)).saturating_sub(usize::from(cache_missing));
        sequence.cache_held_since = (sequence.caches > 0).then_some(self.now);
        if end.proves_not_run() && !streaming {
            // An attempt that provably never ran does not count as a possible run.
            sequence.may_have_run = sequence.may_have_run.filter(|run| run.attempt != dispatch.attempt);
        }
        self.manager.attempt_ended(self.now, id, dispatch.attempt, end, actions);
        Ok(())
    }

    /// Returns true if the answer is buffered, so that no token shows before the end.
    fn is_buffered(&self, id: SequenceId) -> bool {
        let traffic = self.sequences.get(&id).map_or(0, |sequence| sequence.traffic);
        self.test.deployment.types[traffic].delivery == Delivery::Buffered
    }

    fn random_end(&mut self, dispatch: &Dispatch, streaming: bool) -> AttemptEnd {
        match self.random.rand_range(0..10) {
            0 => AttemptEnd::NotConnected,
            1 => AttemptEnd::AtCapacity,
            2 if dispatch.step != Step::Prefill => AttemptEnd::KvCacheMissing,
            3 => AttemptEnd::Reset,
            4 => AttemptEnd::ErrorStatus { status: 500 },
            5 => AttemptEnd::Malformed,
            6 => AttemptEnd::ReturnedUnsent,
            _ if dispatch.step == Step::Prefill => AttemptEnd::PrefillDone { cached_tokens: 0.0 },
            _ if streaming || self.is_buffered(dispatch.id) => AttemptEnd::Completed,
            _ => AttemptEnd::Reset,
        }
    }

    fn report_load(&mut self, number: u64) {
        let (server, share) = (ServerId(number % 7), self.random.rand_float());
        let report = LoadReport {
            memory_share: Some(share),
            queued_prompt_tokens: Some(share * 1e4),
            in_flight: None,
        };
        self.manager.load_reported(self.now, server, report);
    }

    fn cancel(&mut self, picked: Option<PickedAttempt>, actions: &mut Vec<Action>) -> Result<(), String> {
        if let Some(PickedAttempt { id, .. }) = picked {
            // The client has left and gets no final answer, so the sequence counts as answered.
            self.sequences.get_mut(&id).ok_or("the sequence is not observed")?.final_answers += 1;
            self.manager.client_cancelled(id, actions);
        }
        Ok(())
    }

    fn change_endpoint(&mut self) {
        let server = self.random.rand_range(0..SERVERS as u64);
        let states = [EndpointState::Ready, EndpointState::Draining];
        let state = states[self.random.rand_range(0..2) as usize];
        self.draining[server as usize] = state != EndpointState::Ready;
        let endpoint = self.test.endpoint(server, state);
        self.manager.update_endpoints(self.now, SnapshotKind::Delta, &[endpoint]);
    }

    /// Lets a random time pass, in which every timer that becomes due expires, as in a runtime.
    fn pass_time(&mut self) -> Result<(), String> {
        let until = self.now + self.random.rand_range(0..400) * MS;
        while let Some(deadline) = self.manager.next_timeout().filter(|deadline| *deadline <= until) {
            self.expire_timer(deadline)?;
        }
        self.now = self.now.max(until);
        Ok(())
    }
}
