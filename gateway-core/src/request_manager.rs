//! The sequences in hand: events in, actions out.

use crate::attempt_outcome::AttemptEnd;
use crate::invariants::{InvariantChecks, Violation};
use crate::policy::{Chooser, Policy};
use crate::stream_resumption::{BrokenStream, resume_deadline};
use crate::timeouts;
use petrelshore::interface::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Whether what a writer says goes to the client at once, or when it is whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relay {
    /// The client sees each token: a stream that breaks has ended for it.
    Streamed,
    /// The client has seen nothing before the end: a broken stream may be decoded again.
    Buffered,
    /// The client gets one writer's own events, unchanged: a stream that breaks has ended for good.
    Passthrough,
}

/// A sequence as a front hands it over.
#[derive(Clone, Debug)]
pub struct NewSequence {
    pub id: SequenceId,
    pub traffic: TrafficTypeId,
    pub tenant: Option<TenantId>,
    pub session: Option<SessionId>,
    pub prefix: Option<PrefixId>,
    pub prompt_tokens: f64,
    pub prefix_tokens: f64,
    pub max_output_tokens: f64,
    pub output_length_hint: Option<Nanos>,
    pub resumed: bool,
    pub relay: Relay,
    /// When the sequence is given up if no token has come.
    pub first_token_deadline: Nanos,
    /// When it is broken off although its stream runs, where its client said so.
    pub completion_deadline: Option<Nanos>,
}

/// An attempt to be sent now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Dispatch {
    pub id: SequenceId,
    /// Number of the attempt within its sequence, from zero.
    pub attempt: usize,
    pub server: ServerId,
    pub step: Step,
    /// The reader from which a writer fetches the read state.
    pub prefill_server: Option<ServerId>,
    /// Time to the end of a read or to the first token.
    pub timeout: Nanos,
    /// Tokens that the client has seen of earlier attempts; the answer goes on after them.
    pub tokens_delivered: u32,
    /// Time for its connection, where it needs a new one.
    pub connect_timeout: Nanos,
    /// It may not begin later: the servers that know its sequence's mark forget it then.
    pub send_deadline: Nanos,
    /// Something is held while it is on its way: a used connection must prove in the time for a new one that its
    /// server is there.
    pub holds_cache: bool,
    /// Send on a new connection: a pooled one that closes under it would leave once-only work unproven.
    pub new_connection: bool,
}

/// Why a sequence was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum FailureReason {
    /// No server could take it, or too late for it to be worth anything.
    AtCapacity,
    /// Its attempts are used up.
    AttemptsExhausted,
    /// Its client's time was about to end.
    DeadlineExceeded,
    /// The stream broke after the client had seen part of it.
    StreamBroken,
    /// The client took nothing of its stream.
    ClientStalled,
    /// The gateway is stopping.
    ShuttingDown,
    /// The answer is larger than one that is given whole may be.
    AnswerTooLarge,
    /// A request with its key ended before, and its answer is not kept.
    AlreadyRan,
}

/// What a shell carries out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    Send(Dispatch),
    /// Break an attempt off; of a read, let go of what it may leave behind.
    Cancel {
        id: SequenceId,
        attempt: usize,
        server: ServerId,
        step: Step,
    },
    /// Let go of every state held for it that no attempt waits on.
    Release {
        id: SequenceId,
    },
    /// Final: trying again is harmless.
    Reject {
        id: SequenceId,
        retry_after: Option<Nanos>,
        reason: FailureReason,
    },
    /// Final: nothing is promised.
    Abort {
        id: SequenceId,
        reason: FailureReason,
    },
    /// Final: the last attempt's outcome ended it.
    Complete {
        id: SequenceId,
        outcome: Outcome,
        reason: Option<FailureReason>,
    },
    /// Ask again at that time. Shells that run [`RequestManager::due`] need not act.
    WakeAt {
        id: SequenceId,
        at: Nanos,
    },
    /// Ask for the list at that time.
    PollEndpoints {
        at: Nanos,
    },
}

/// What has passed so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub accepted: u64,
    pub completed: u64,
    pub rejected: u64,
    pub aborted: u64,
    pub cancelled: u64,
    pub attempts: u64,
    pub timed_out: u64,
}

struct Held {
    sequence: Sequence,
    relay: Relay,
    /// When its timer is due; `NEVER` without one.
    due: Nanos,
    ends_by: Nanos,
    /// Its stream's last token.
    heard: Nanos,
    stalled_since: Option<Nanos>,
    /// Tokens of its stream, over all attempts, and how often it has gone on after a break.
    tokens: u32,
    went_on: usize,
    /// Tokens that were seen when it last went on.
    done: u32,
}

const NEVER: Nanos = Nanos::MAX;

pub struct RequestManager {
    scheduler: Policy,
    types: Vec<TrafficType>,
    held: HashMap<SequenceId, Held>,
    timers: BTreeSet<(Nanos, SequenceId)>,
    draining: bool,
    counts: Counts,
    release_within: Nanos,
    audit: InvariantChecks,
}

impl RequestManager {
    pub fn new(now: Nanos, deployment: Deployment, seed: u64) -> Self {
        Self::with(now, deployment, seed, Chooser::Decisions)
    }

    /// a request manager that asks another policy.
    pub fn with(now: Nanos, deployment: Deployment, seed: u64, chooser: Chooser) -> Self {
        RequestManager {
            types: deployment.types.clone(),
            release_within: deployment.release_timeout,
            audit: InvariantChecks::default(),
            scheduler: Policy::new(now, deployment, seed, chooser),
            held: HashMap::new(),
            timers: BTreeSet::new(),
            draining: false,
            counts: Counts::default(),
        }
    }

    /// A front hands a sequence over; from here on it is owed exactly one final answer.
    pub fn accept(&mut self, now: Nanos, new: NewSequence, out: &mut Vec<Action>) {
        let id = new.id;
        self.counts.accepted += 1;
        let held = Held {
            relay: new.relay,
            due: NEVER,
            ends_by: match new.relay {
                Relay::Passthrough => {
                    timeouts::passthrough_deadline(new.first_token_deadline, new.max_output_tokens)
                }
                _ => timeouts::stream_deadline(
                    new.first_token_deadline,
                    &self.types[new.traffic.0],
                    new.max_output_tokens,
                ),
            }
            .min(new.completion_deadline.unwrap_or(NEVER)),
            heard: now,
            stalled_since: None,
            tokens: 0,
            went_on: 0,
            done: 0,
            sequence: Sequence {
                id,
                traffic: new.traffic,
                tenant: new.tenant,
                session: new.session,
                prefix: new.prefix,
                prompt_tokens: new.prompt_tokens,
                prefix_tokens: new.prefix_tokens,
                max_output_tokens: new.max_output_tokens,
                output_length_hint: new.output_length_hint,
                resumed: new.resumed,
                arrived_at: now,
                first_token_deadline: new.first_token_deadline,
                attempts: Vec::new(),
                kv_cache: None,
                cache_held_since: None,
                admitted: false,
                completed: false,
            },
        };
        self.held.insert(id, held);
        if self.draining {
            self.finish(now, id, FailureReason::ShuttingDown, out);
        } else {
            self.schedule(now, id, FailureReason::AtCapacity, out);
        }
    }

    /// Its server has an attempt: its last byte went out on a connection that has just come up, or that still proves
    /// to lead there. Endings that are answers prove it by themselves.
    pub fn attempt_delivered(&mut self, id: SequenceId, attempt: usize) {
        let held = self.held.get_mut(&id);
        if let Some(attempt) = held.and_then(|held| held.sequence.attempts.get_mut(attempt)) {
            attempt.delivered = true;
        }
    }

    /// The first token of an attempt has come.
    pub fn first_token(&mut self, now: Nanos, id: SequenceId, attempt: usize) {
        let Some(held) = self.held.get_mut(&id) else { return };
        if held.sequence.attempts.get(attempt).is_none_or(|a| a.status != AttemptStatus::InFlight) {
            return;
        }
        self.scheduler.first_token(now, &mut held.sequence, attempt);
        held.heard = now;
        held.tokens += 1;
        self.rearm(now, id);
    }

    /// A token of a running stream has come.
    pub fn token_received(&mut self, now: Nanos, id: SequenceId) {
        // The timer is moved when it comes due, not for each token.
        if let Some(held) = self.held.get_mut(&id) {
            held.heard = now;
            held.tokens += 1;
        }
    }

    /// The client has stopped taking its stream, or takes it again.
    pub fn client_stalled(&mut self, now: Nanos, id: SequenceId, stalled: bool) {
        let Some(held) = self.held.get_mut(&id) else { return };
        held.heard = now;
        held.stalled_since = stalled.then_some(now);
        self.rearm(now, id);
    }

    /// An attempt has ended, as its socket showed. What the client has seen of it decides whether it goes on.
    pub fn attempt_ended(
        &mut self,
        now: Nanos,
        id: SequenceId,
        attempt: usize,
        ending: AttemptEnd,
        out: &mut Vec<Action>,
    ) {
        let Some(held) = self.held.get(&id) else { return };
        let Some(status) = held.sequence.attempts.get(attempt).map(|a| a.status) else { return };
        let began = status == AttemptStatus::Streaming;
        if ending.server_answered() {
            self.attempt_delivered(id, attempt);
        }
        let Some(held) = self.held.get(&id) else { return };
        let outcome = ending.outcome(began);
        let broke = began && outcome != Outcome::Completed && held.relay != Relay::Buffered;
        let last = outcome == Outcome::Completed || (broke && !self.goes_on(now, id));
        let reason = (outcome != Outcome::Completed).then_some(FailureReason::StreamBroken);
        self.settle(now, id, attempt, outcome, last, reason, out);
    }

    /// Makes a stream that broke ready to go on after its last token; false where it ends here.
    fn goes_on(&mut self, now: Nanos, id: SequenceId) -> bool {
        let goes = |held: &&mut Held| !held.sequence.completed && held.relay != Relay::Passthrough;
        let Some(held) = self.held.get_mut(&id).filter(goes) else { return false };
        let done = f64::from(held.tokens);
        let max_out = held.sequence.max_output_tokens + f64::from(held.done);
        let broken = BrokenStream {
            resumptions: held.went_on,
            tokens_received: done,
            max_output_tokens: max_out,
            deadline: held.ends_by,
        };
        let Some(until) = resume_deadline(now, &self.types[held.sequence.traffic.0], &broken) else {
            return false;
        };
        // What the client has seen is part of the prompt now.
        held.sequence.prompt_tokens += done - f64::from(held.done);
        held.sequence.max_output_tokens = max_out - done;
        (held.sequence.resumed, held.sequence.first_token_deadline) = (true, until);
        (held.went_on, held.done) = (held.went_on + 1, held.tokens);
        true
    }

    /// An attempt has ended with a known outcome; `last` where that ended its sequence.
    pub fn attempt_finished(
        &mut self,
        now: Nanos,
        id: SequenceId,
        attempt: usize,
        outcome: Outcome,
        last: bool,
        out: &mut Vec<Action>,
    ) {
        let reason = (outcome != Outcome::Completed).then_some(FailureReason::StreamBroken);
        // Whoever knows an outcome knows that it was sent; those that prove the opposite say so.
        self.attempt_delivered(id, attempt);
        self.settle(now, id, attempt, outcome, last, reason, out);
    }

    /// The client has left. What runs for it is broken off, what is held for it is let go.
    pub fn client_cancelled(&mut self, id: SequenceId, out: &mut Vec<Action>) {
        let Some(held) = self.held.get_mut(&id) else { return };
        if !held.sequence.completed {
            held.sequence.completed = true;
            self.counts.cancelled += 1;
        }
        if let Some(attempt) = held.sequence.attempts.len().checked_sub(1) {
            let last = &held.sequence.attempts[attempt];
            if !matches!(last.status, AttemptStatus::Finished(_)) {
                out.push(Action::Cancel { id, attempt, server: last.server, step: last.step });
            }
        }
        out.push(Action::Release { id });
        self.disarm(id);
        self.drop_if_over(id);
    }

    /// The list of servers, or what has changed in it.
    pub fn update_endpoints(&mut self, now: Nanos, scope: SnapshotKind, entries: &[Endpoint]) {
        self.scheduler.update_endpoints(now, scope, entries);
    }

    /// The list could not be had.
    pub fn endpoint_poll_failed(&mut self, now: Nanos, out: &mut Vec<Action>) {
        out.push(Action::PollEndpoints { at: now + self.scheduler.endpoint_poll_failed() });
    }

    pub fn load_reported(&mut self, now: Nanos, server: ServerId, report: LoadReport) {
        self.scheduler.load_reported(now, server, report);
    }

    /// When [`RequestManager::due`] next has something to do.
    pub fn next_timeout(&self) -> Option<Nanos> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Acts on every timer that is due by now.
    pub fn on_timeout(&mut self, now: Nanos, out: &mut Vec<Action>) {
        while let Some((at, id)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.timers.remove(&(at, id));
            if let Some(held) = self.held.get_mut(&id) {
                held.due = NEVER;
                self.timer(now, id, out);
            }
        }
    }

    /// Asks again for a sequence that nothing could take, where a shell keeps that timer itself.
    pub fn retry_scheduling(&mut self, now: Nanos, id: SequenceId, out: &mut Vec<Action>) {
        self.schedule(now, id, FailureReason::AtCapacity, out);
    }

    /// Takes nothing further. Running streams go on.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Ends so many of the streams that run, for their clients to ask for the rest elsewhere, the newest first: they
    /// have the most left. Those that were moved before go last, as each move costs a read. What has not begun goes on.
    pub fn terminate_streams(&mut self, now: Nanos, most: usize, out: &mut Vec<Action>) {
        let mut running: Vec<(bool, Reverse<Nanos>, SequenceId)> = self.running().collect();
        running.sort_unstable();
        for (.., id) in running.into_iter().take(most) {
            self.finish(now, id, FailureReason::ShuttingDown, out);
        }
    }

    /// Streams that run.
    pub fn running_streams(&self) -> usize {
        self.running().count()
    }

    fn running(&self) -> impl Iterator<Item = (bool, Reverse<Nanos>, SequenceId)> {
        let streams = |held: &&Held| {
            held.sequence.attempts.last().is_some_and(|a| a.status == AttemptStatus::Streaming)
        };
        self.held
            .values()
            .filter(streams)
            .map(|Held { sequence, .. }| (sequence.resumed, Reverse(sequence.arrived_at), sequence.id))
    }

    /// The time to drain is over: whatever is in hand gets its final answer now.
    pub fn terminate_all(&mut self, now: Nanos, out: &mut Vec<Action>) {
        self.draining = true;
        let mut ids: Vec<SequenceId> = self.held.keys().copied().collect();
        ids.sort_unstable();
        for id in ids {
            self.finish(now, id, FailureReason::ShuttingDown, out);
        }
    }

    /// Whether anything of a sequence is left: its answer owed, or an attempt out.
    pub fn contains(&self, id: SequenceId) -> bool {
        self.held.contains_key(&id)
    }

    /// Sequences in hand that still wait for their final answer.
    pub fn unanswered(&self) -> usize {
        let Counts { accepted: taken, completed: generated, rejected, aborted, cancelled: withdrawn, .. } =
            self.counts;
        (taken - generated - rejected - aborted - withdrawn) as usize
    }

    /// Servers that decisions have looked at so far.
    pub fn servers_examined(&self) -> u64 {
        self.scheduler.servers_examined()
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// What broke a rule so far, as counted at run time.
    pub fn violations(&self) -> &BTreeMap<Violation, u64> {
        self.audit.violations()
    }

    /// Carries out what the decisions answer for a sequence without an attempt out.
    fn schedule(&mut self, now: Nanos, id: SequenceId, why: FailureReason, out: &mut Vec<Action>) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let send_by = self.scheduler.send_deadline(&held.sequence).unwrap_or(NEVER);
        let (held_since, effect) =
            (held.sequence.cache_held_since, self.types[held.sequence.traffic.0].idempotency);
        let release = match self.scheduler.schedule(now, &mut held.sequence) {
            Decision::Send(server) => {
                self.audit.attempt_sent(now, &held.sequence, effect);
                let limit = self.scheduler.next_timeout(now, &held.sequence).max(1);
                self.counts.attempts += 1;
                let held_for = self
                    .scheduler
                    .cache_release_deadline(&held.sequence)
                    .map(|until| until.saturating_sub(now));
                let connect_within = timeouts::connect_timeout(limit, held_for);
                if let Some(dispatch) = dispatch(&self.types, held, server, limit, connect_within) {
                    out.push(Action::Send(Dispatch { send_deadline: send_by, ..dispatch }));
                }
                self.arm(id, now.saturating_add(limit));
                return;
            }
            Decision::Wait => {
                let closed = |a: &Attempt| matches!(a.status, AttemptStatus::Finished(_));
                if !held.sequence.completed && held.sequence.attempts.iter().all(closed) {
                    let at = now + self.scheduler.next_timeout(now, &held.sequence).max(1);
                    out.push(Action::WakeAt { id, at });
                    self.arm(id, at);
                }
                return;
            }
            // Its client has seen part of the answer: that is no rejection, whatever may run again.
            Decision::Reject { release, .. } if held.went_on > 0 => {
                self.counts.aborted += 1;
                out.push(Action::Abort { id, reason: FailureReason::StreamBroken });
                release
            }
            Decision::Reject { retry_after, release } => {
                self.counts.rejected += 1;
                self.audit.rejected(now, &held.sequence, effect);
                self.audit.answered(now, &held.sequence);
                let reason = given_up(now, &held.sequence, why);
                out.push(Action::Reject { id, retry_after, reason });
                release
            }
            Decision::Abort { release } => {
                self.counts.aborted += 1;
                self.audit.answered(now, &held.sequence);
                let reason = given_up(now, &held.sequence, why);
                out.push(Action::Abort { id, reason });
                release
            }
        };
        if release {
            self.audit.cache_released(now, held_since, self.release_within);
            out.push(Action::Release { id });
        }
        self.disarm(id);
        self.drop_if_over(id);
    }

    #[allow(clippy::too_many_arguments)]
    fn settle(
        &mut self,
        now: Nanos,
        id: SequenceId,
        attempt: usize,
        outcome: Outcome,
        last: bool,
        reason: Option<FailureReason>,
        out: &mut Vec<Action>,
    ) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let answered = held.sequence.completed;
        match self.scheduler.attempt_finished(now, &mut held.sequence, attempt, outcome, last) {
            NextStep::Schedule => self.schedule(now, id, FailureReason::AttemptsExhausted, out),
            NextStep::Wait => {}
            NextStep::Complete { release } => {
                if !answered {
                    match outcome {
                        Outcome::Completed => self.counts.completed += 1,
                        _ => self.counts.aborted += 1,
                    }
                    out.push(Action::Complete { id, outcome, reason });
                }
                if release {
                    out.push(Action::Release { id });
                }
                self.disarm(id);
                self.drop_if_over(id);
            }
        }
    }

    /// A sequence's timer is due: its attempt's time is up, its stream is silent, or it is time to ask again.
    fn timer(&mut self, now: Nanos, id: SequenceId, out: &mut Vec<Action>) {
        let Some(held) = self.held.get(&id) else { return };
        let Some(attempt) = held.sequence.attempts.len().checked_sub(1) else {
            return self.schedule(now, id, FailureReason::AtCapacity, out);
        };
        let Attempt { server, step, status, .. } = held.sequence.attempts[attempt];
        let reason = match status {
            AttemptStatus::Finished(_) => {
                return self.schedule(now, id, FailureReason::AttemptsExhausted, out);
            }
            AttemptStatus::InFlight => FailureReason::DeadlineExceeded,
            AttemptStatus::Streaming => {
                if now < self.stream_until(held) {
                    return self.rearm(now, id);
                }
                match held.stalled_since {
                    _ if now >= held.ends_by => FailureReason::DeadlineExceeded,
                    Some(_) => FailureReason::ClientStalled,
                    None => FailureReason::StreamBroken,
                }
            }
        };
        self.counts.timed_out += 1;
        out.push(Action::Cancel { id, attempt, server, step });
        let began = status == AttemptStatus::Streaming;
        // A stalled client is no word against its writer.
        let ending = if held.stalled_since.is_some() { AttemptEnd::Cancelled } else { AttemptEnd::TimedOut };
        let streamed = held.relay != Relay::Buffered;
        let late = now >= held.ends_by || reason == FailureReason::ClientStalled;
        let over = began && (late || (streamed && !self.goes_on(now, id)));
        self.settle(now, id, attempt, ending.outcome(began), over, over.then_some(reason), out);
    }

    /// Gives a sequence up at once: the decisions say whether trying again is harmless.
    fn finish(&mut self, now: Nanos, id: SequenceId, reason: FailureReason, out: &mut Vec<Action>) {
        let Some(held) = self.held.get_mut(&id).filter(|held| !held.sequence.completed) else { return };
        held.sequence.first_token_deadline = now;
        let running =
            held.sequence.attempts.iter().rposition(|a| !matches!(a.status, AttemptStatus::Finished(_)));
        let Some(attempt) = running else { return self.schedule(now, id, reason, out) };
        let Attempt { server, step, status, .. } = held.sequence.attempts[attempt];
        out.push(Action::Cancel { id, attempt, server, step });
        let last = status == AttemptStatus::Streaming && held.relay != Relay::Buffered;
        match self.scheduler.attempt_finished(now, &mut held.sequence, attempt, Outcome::Cancelled, last) {
            NextStep::Complete { .. } => {
                self.counts.aborted += 1;
                out.push(Action::Complete { id, outcome: Outcome::Cancelled, reason: Some(reason) });
                out.push(Action::Release { id });
                self.disarm(id);
                self.drop_if_over(id);
            }
            _ => self.schedule(now, id, reason, out),
        }
    }

    /// Until when a running stream may go on as it does.
    fn stream_until(&self, held: &Held) -> Nanos {
        let traffic = &self.types[held.sequence.traffic.0];
        let pause = match held.stalled_since {
            Some(since) => since.saturating_add(timeouts::stall_timeout()),
            None if held.relay == Relay::Passthrough => {
                held.heard.saturating_add(timeouts::passthrough_silence_timeout())
            }
            None => held.heard.saturating_add(timeouts::silence_timeout(traffic)),
        };
        pause.min(held.ends_by)
    }

    fn rearm(&mut self, now: Nanos, id: SequenceId) {
        let Some(held) = self.held.get(&id) else { return };
        if held.sequence.attempts.last().is_some_and(|a| a.status == AttemptStatus::Streaming) {
            let at = self.stream_until(held).max(now + 1);
            self.arm(id, at);
        }
    }

    fn arm(&mut self, id: SequenceId, at: Nanos) {
        self.disarm(id);
        if let Some(held) = self.held.get_mut(&id) {
            held.due = at;
            self.timers.insert((at, id));
        }
    }

    fn disarm(&mut self, id: SequenceId) {
        if let Some(held) = self.held.get_mut(&id) {
            self.timers.remove(&(held.due, id));
            held.due = NEVER;
        }
    }

    /// An ended sequence is kept only while an attempt of it is out.
    fn drop_if_over(&mut self, id: SequenceId) {
        let closed = |attempt: &Attempt| matches!(attempt.status, AttemptStatus::Finished(_));
        if self
            .held
            .get(&id)
            .is_some_and(|held| held.sequence.completed && held.sequence.attempts.iter().all(closed))
        {
            self.disarm(id);
            self.held.remove(&id);
        }
    }
}

fn dispatch(
    types: &[TrafficType],
    held: &Held,
    server: ServerId,
    limit: Nanos,
    connect_within: Nanos,
) -> Option<Dispatch> {
    let sequence = &held.sequence;
    let attempt = sequence.attempts.len().checked_sub(1)?;
    let step = sequence.attempts[attempt].step;
    let writes = matches!(step, Step::Decode | Step::MigratedDecode);
    Some(Dispatch {
        id: sequence.id,
        attempt,
        server,
        step,
        prefill_server: sequence.kv_cache.map(|held| held.server).filter(|_| writes),
        timeout: limit,
        tokens_delivered: held.done,
        connect_timeout: connect_within,
        send_deadline: NEVER,
        holds_cache: sequence.cache_held_since.is_some(),
        new_connection: step != Step::Prefill
            && types[sequence.traffic.0].idempotency == Idempotency::AtMostOnce,
    })
}

/// A sequence that ran to its client's time is told so, whatever came before.
fn given_up(now: Nanos, sequence: &Sequence, why: FailureReason) -> FailureReason {
    if why != FailureReason::ShuttingDown && now >= sequence.first_token_deadline {
        FailureReason::DeadlineExceeded
    } else {
        why
    }
}
