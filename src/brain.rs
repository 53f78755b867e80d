//! Where a sequence is read, where its answer is written, and what follows each outcome.
//!
//! A gateway keeps one `Brain` and holds its sequences itself. It asks three things: `schedule` (where to
//! send this sequence, or not yet, or never), `settle` (what to do after this outcome) and `wait` (how long
//! to wait: for the attempt just sent, else before asking again). Other facts are told: `listed`, `refused`,
//! `began`, `reported`; `probes` names the servers to probe. The types that cross are in `src/interface.rs`;
//! fading sums are in `src/decay.rs`. Why: `docs/design.md`.

use crate::decay::{DecayingSum, FadingTimes};
use crate::interface::*;
use oorandom::Rand64;
use std::collections::{BTreeMap, HashMap};

/// Memory of measured times and rates: long against one answer, short against a trouble.
const HALF_LIFE: Nanos = 4_000_000_000;
/// A high quantile, about the 95th of a hundred, in deviations of the logarithm.
const HIGH: f64 = 1.65;
/// A server is slow when its high quantile is this many times its fellows'.
const SLOW: f64 = 3.0;
/// An attempt may take this many times what its fellows take of late, a sixth of the SLO at the least.
const PATIENCE: f64 = 4.5;
/// Answers of late that a verdict on a server needs.
const EVIDENCE: f64 = 1.5;
/// First pause after a failure that speaks against the server; doubles with each further one.
const SHUN: Nanos = 500_000_000;
const SHUN_DOUBLINGS: u32 = 4;
/// Reports show a server as it was about this long before they arrive.
const REPORT_LAG: Nanos = 300_000_000;
/// Pause before a server that was full is asked again, about a report's delay.
const FULL_PAUSE: Nanos = 250_000_000;
/// Pause between probes of a server whose load only probes tell: a few streams' starts.
const PROBE: Nanos = 2_000_000_000;
/// A writer reported or reckoned fuller than this has no room.
const FULL: f64 = 0.95;
/// A state leaves its cell when the least loaded writer there is this much fuller than the least in the hall.
const SPILL: f64 = 0.3;
/// Part of the emptiest writer's memory that is kept for sequences worth more.
const RESERVE: f64 = 0.1;
/// Part of a prompt that a session's home reader is hoped to have kept.
const HOME: f64 = 0.25;
/// Texts in a reader's table past which the aged ones are cleared out.
const KEPT: usize = 1000;
/// Part of the latency SLO after which a sequence that nothing can take is given up.
const HOLD: f64 = 0.5;
/// Pause before asking again for a sequence that nothing could take.
const RECHECK: Nanos = 20_000_000;
/// A cold server's ordinary part, against its present share of a warm fellow's traffic.
const COLD_PART: f64 = 1.25;
/// Part of the rule's figure for a cold server that this gateway uses at the most, for chance and unequal
/// gateways.
const COLD_SAFE: f64 = 0.8;
/// Own rate of a tenant past its share of the quota before it counts as over.
const OVER_SHARE: f64 = 1.2;

#[derive(Clone, Copy, PartialEq, Eq, Hash)]
enum Text {
    Session(SessionId),
    Prefix(PrefixId),
}

/// Text that a reader was sent, and how much it had been sent in all by then.
struct Kept {
    tokens: f64,
    read_before: f64,
}

struct Out {
    seq: SeqId,
    sent: Nanos,
    tokens: f64,
    waiting: bool,
}

struct Server {
    listing: Listing,
    report: Report,
    reported: Nanos,
    probed: Option<Nanos>,
    out: Vec<Out>,
    heard: Nanos,
    times: FadingTimes,
    strikes: u32,
    shunned_until: Nanos,
    full_until: Nanos,
    cold_until: Nanos,
    /// When it was last sent something while cold, or listed, and the part of a pause to be kept since.
    cold_sent: Nanos,
    cold_part: f64,
    read_in_all: f64,
    kept: HashMap<Text, Kept>,
    /// Settles ties, drawn anew at each gateway, so that they do not all turn to the same server.
    lot: f64,
}

impl Server {
    fn new(now: Nanos, listing: Listing, cold_for: Nanos, lot: f64) -> Self {
        let cold_until = if listing.since > 0 { listing.since.saturating_add(cold_for) } else { 0 };
        Server {
            listing,
            report: Report::default(),
            reported: 0,
            probed: None,
            out: Vec::new(),
            heard: 0,
            times: FadingTimes::new(HALF_LIFE),
            strikes: 0,
            shunned_until: 0,
            full_until: 0,
            cold_until,
            cold_sent: now,
            cold_part: lot,
            read_in_all: 0.0,
            kept: HashMap::new(),
            lot,
        }
    }

    /// Own tokens out here, sent after `since`.
    fn own_tokens(&self, since: Nanos) -> f64 {
        self.out.iter().filter(|out| out.sent >= since).map(|out| out.tokens).sum()
    }

    /// How long the oldest attempt without a sign has waited, if nothing has been heard since it was sent.
    fn silence(&self, now: Nanos) -> Nanos {
        let oldest = self.out.iter().filter(|out| out.waiting).map(|out| out.sent).min();
        oldest.map_or(0, |sent| now.saturating_sub(sent.max(self.heard)))
    }

    fn waited(&self, now: Nanos) -> Nanos {
        self.out.iter().filter(|out| out.waiting).map(|out| now.saturating_sub(out.sent)).max().unwrap_or(0)
    }

    fn fail(&mut self, now: Nanos) {
        self.shunned_until = now + (SHUN << self.strikes.min(SHUN_DOUBLINGS));
        self.strikes += 1;
    }

    fn answer(&mut self, now: Nanos) {
        self.heard = now;
        self.strikes = 0;
    }
}

pub struct Brain {
    deployment: Deployment,
    started: Nanos,
    chance: Rand64,
    servers: BTreeMap<ServerId, Server>,
    admitted: DecayingSum,
    tenants: Vec<DecayingSum>,
    /// Time that reads took, and the prompt work they were sent into.
    read_time: DecayingSum,
    read_tokens: DecayingSum,
    refusals: u32,
}

impl Brain {
    pub fn new(now: Nanos, deployment: Deployment, seed: u64) -> Self {
        let rate = DecayingSum::new(HALF_LIFE);
        Brain {
            started: now,
            chance: Rand64::new(seed.into()),
            servers: BTreeMap::new(),
            admitted: rate.clone(),
            tenants: vec![rate.clone(); deployment.tenants.len()],
            read_time: rate.clone(),
            read_tokens: rate,
            refusals: 0,
            deployment,
        }
    }

    /// The list of servers, or what has changed in it. A server that started anew has forgotten everything.
    pub fn listed(&mut self, now: Nanos, scope: ListScope, entries: &[Listing]) {
        self.refusals = 0;
        self.servers.retain(|_, s| s.listing.condition != Condition::Gone || !s.out.is_empty());
        if scope != ListScope::Changes {
            let named = |id: &ServerId| entries.iter().any(|entry| entry.server == *id);
            for (id, server) in &mut self.servers {
                if !named(id) {
                    server.listing.condition = Condition::Gone;
                }
            }
        }
        for entry in entries {
            match self.servers.get_mut(&entry.server) {
                Some(server) if entry.since <= server.listing.since => server.listing = entry.clone(),
                _ => {
                    let server =
                        Server::new(now, entry.clone(), self.deployment.cold_for, self.chance.rand_float());
                    self.servers.insert(entry.server, server);
                }
            }
        }
    }

    /// The list could not be had: how long to wait before asking again, jittered so gateways spread out.
    pub fn refused(&mut self) -> Nanos {
        self.refusals = (self.refusals + 1).min(SHUN_DOUBLINGS);
        let pause = (SHUN << self.refusals).min(self.deployment.ask_within / 2);
        (pause as f64 * (0.5 + 0.5 * self.chance.rand_float())) as Nanos
    }

    /// The servers to probe now, where loads are told to probes only: each warm one, now and then. Guards
    /// against going by own streams alone where more can be known; costs the price of its probes.
    pub fn probes(&mut self, now: Nanos) -> Vec<ServerId> {
        if !self.deployment.loads_by_probe {
            return Vec::new();
        }
        let due = |s: &&mut Server| {
            let warm = s.listing.condition == Condition::Ready && now >= s.cold_until;
            warm && s.probed.is_none_or(|at| now >= at + PROBE)
        };
        let due = self.servers.values_mut().filter(due);
        due.map(|s| {
            s.probed = Some(now);
            s.listing.server
        })
        .collect()
    }

    /// A server has told its load.
    pub fn reported(&mut self, now: Nanos, server: ServerId, report: Report) {
        if let Some(server) = self.servers.get_mut(&server) {
            (server.report, server.reported) = (report, now);
        }
    }

    /// Where to send this sequence now.
    pub fn schedule(&mut self, now: Nanos, seq: &mut Sequence) -> Schedule {
        if seq.ended || seq.attempts.iter().any(|a| !matches!(a.status, Status::Closed(_))) {
            return Schedule::NotYet;
        }
        let first = !seq.admitted && seq.attempts.is_empty();
        if let Some(TenantId(tenant)) = seq.tenant.filter(|_| first && seq.arrived == now) {
            self.tenants[tenant].add(now, 1.0);
        }
        if now + RECHECK >= seq.abandon_at || self.spent(seq) {
            return self.give_up(now, seq);
        }
        // Guards against asking writers for a state that went with its reader; the clock to release it runs
        // on.
        let state = seq.state.filter(|(reader, since)| {
            let reader = self.servers.get(reader).map(|s| &s.listing);
            reader.is_some_and(|l| l.condition != Condition::Gone && l.since <= *since)
        });
        let (server, step) = match state {
            Some((reader, _)) => (self.pick_writer(now, seq, reader), Step::Write),
            None => match self.pick_mixed(now, seq) {
                Some(mixed) => (Some(mixed), Step::Whole),
                None if seq.attempts.len() + 2 <= self.most_attempts(seq) => match self.pick_reader(now, seq)
                {
                    Some(reader) => (Some(reader), Step::Read),
                    None => (self.pick_whole(now, seq), Step::Whole),
                },
                None => (self.pick_whole(now, seq), Step::Whole),
            },
        };
        let Some(server) = server else {
            return if self.may_hold(now, seq) { Schedule::NotYet } else { self.give_up(now, seq) };
        };
        if first && self.overloaded(now, seq, server, step) {
            return self.give_up(now, seq);
        }
        if first {
            self.admitted.add(now, 1.0);
        }
        seq.admitted = true;
        self.send(now, seq, server, step);
        Schedule::Send(server)
    }

    /// What to do after the outcome of attempt `n`; `last` where it ended the sequence.
    pub fn settle(
        &mut self,
        now: Nanos,
        seq: &mut Sequence,
        n: usize,
        outcome: Outcome,
        last: bool,
    ) -> Settled {
        let Some(attempt) = seq.attempts.get_mut(n) else { return Settled::Wait };
        if matches!(attempt.status, Status::Closed(_)) {
            return Settled::Wait;
        }
        let began = attempt.status == Status::Streaming;
        attempt.status = Status::Closed(outcome);
        let attempt = attempt.clone();
        self.learn(now, seq.id, &attempt, outcome, began);
        if last || seq.ended {
            seq.ended = true;
            return Settled::Ended { release: outcome != Outcome::Generated };
        }
        match outcome {
            Outcome::ReadDone { .. } => seq.state = Some((attempt.server, now)),
            Outcome::NoState => seq.state = None,
            _ => seq.state = seq.state.map(|(reader, _)| (reader, now)),
        }
        Settled::Schedule
    }

    /// How long the attempt that is out may take; without one, how long until `schedule` is worth asking.
    /// Where nothing is known of such servers it is half the time left: a gateway that starts into a jam must
    /// not add to it by reading everything several times.
    pub fn wait(&self, now: Nanos, seq: &Sequence) -> Nanos {
        let left = seq.abandon_at.saturating_sub(now);
        let Some(attempt) = seq.attempts.last().filter(|a| a.status == Status::Out) else {
            return RECHECK.min(left);
        };
        if attempt.step != Step::Read && self.effect(seq) == Effect::OnceOnly {
            return left; // a time-out proves nothing: only an answer lets a once-only sequence end well
        }
        let fellows = self.fellows(now, self.servers[&attempt.server].listing.kind, None);
        let usual = match attempt.step {
            // A queue is no reason to read elsewhere anew.
            Step::Read => fellows.map(|fellows| fellows.max(self.read_pace(now) * attempt.tokens)),
            _ => fellows,
        };
        let least = self.slo(seq) as f64 / 6.0;
        (PATIENCE * usual.map_or(left as f64 / 2.0 / PATIENCE, |usual| usual.max(least))).min(left as f64)
            as Nanos
    }

    /// The first token of attempt `n` has come.
    pub fn began(&mut self, now: Nanos, seq: &mut Sequence, n: usize) {
        let Some(attempt) = seq.attempts.get_mut(n) else { return };
        attempt.status = Status::Streaming;
        seq.state = None;
        if let Some(server) = self.servers.get_mut(&attempt.server) {
            server.answer(now);
            server.times.add(now, now.saturating_sub(attempt.sent) as f64);
            for out in server.out.iter_mut().filter(|out| out.seq == seq.id) {
                out.waiting = false;
            }
        }
    }

    /// The reader with least prompt work. Where no writer beside it has room its state has to be moved once
    /// more, so its prompt counts twice: readers with a writer beside them come first until they have that
    /// much to do.
    fn pick_reader(&self, now: Nanos, seq: &Sequence) -> Option<ServerId> {
        let beside = |cell| {
            let mut near =
                self.servers.values().filter(|s| s.listing.cell == cell && self.role(s) == Role::Writer);
            near.any(|s| self.ready(now, s) && self.has_room(now, s, seq))
        };
        let home = self.home(seq);
        let least = |sound: bool| {
            let open = self.servers.values().filter(|s| {
                self.role(s) == Role::Reader
                    && (if sound { self.ready(now, s) } else { self.allowed(now, s) })
                    && self.in_scope(now, seq, s)
            });
            least_by(open, |s| {
                let far = if beside(s.listing.cell) { 0.0 } else { seq.prompt_tokens };
                let home = if home == Some(s.listing.server) { HOME * seq.prompt_tokens } else { 0.0 };
                self.read_work(now, s, seq) + far - home
            })
        };
        least(true).or_else(|| least(false))
    }

    /// The reader to which every gateway turns with a session that its own table does not know. Guards
    /// against reading long texts anew when a gateway has restarted or a session comes through another one.
    fn home(&self, seq: &Sequence) -> Option<ServerId> {
        let session = seq.session?;
        let known = |s: &Server| s.kept.contains_key(&Text::Session(session));
        let readers = || self.servers.values().filter(|s| self.role(s) == Role::Reader);
        if readers().any(known) {
            return None;
        }
        let ready = readers().filter(|s| s.listing.condition == Condition::Ready);
        let here = |s: &Server| s.listing.zone == self.deployment.zone;
        ready.max_by_key(|s| (here(s), mix(session.0 ^ mix(s.listing.server.0)))).map(|s| s.listing.server)
    }

    /// The least loaded writer of the reader's cell; without one, elsewhere, own zone first.
    fn pick_writer(&self, now: Nanos, seq: &Sequence, reader: ServerId) -> Option<ServerId> {
        let home = &self.servers[&reader].listing;
        let least = |admit: &dyn Fn(&Server) -> bool| {
            let open = self.servers.values().filter(|s| {
                self.role(s) != Role::Reader && self.allowed(now, s) && self.in_scope(now, seq, s) && admit(s)
            });
            least_by(open, |s| self.decode_load(now, s))
        };
        let sound = |s: &Server| self.ready(now, s) && self.has_room(now, s, seq);
        let near = |s: &Server| s.listing.cell == home.cell && self.role(s) == Role::Writer;
        let beside = least(&|s| near(s) && sound(s));
        let load = |id: ServerId| self.decode_load(now, &self.servers[&id]);
        // Guards against a cell whose writers fill while another of the hall has room.
        let roomy = least(&|s| sound(s) && s.listing.zone == home.zone);
        let spill = |near: &ServerId| roomy.filter(|far| load(*far) + SPILL < load(*near));
        beside
            .map(|near| spill(&near).unwrap_or(near))
            .or_else(|| least(&|s| sound(s) && s.listing.zone == self.deployment.zone))
            .or_else(|| least(&sound))
            .or_else(|| least(&near))
            .or_else(|| least(&|_| true))
    }

    /// Mixed servers take their share of sequences whole: while one holds less than the least loaded writer
    /// and has begun all that it was sent. Reading slows its answers, so each gateway gives it one prompt at
    /// a time.
    fn pick_mixed(&self, now: Nanos, seq: &Sequence) -> Option<ServerId> {
        let least = |role: Role| {
            let open = self.servers.values().filter(|s| {
                self.role(s) == role
                    && self.ready(now, s)
                    && self.has_room(now, s, seq)
                    && self.in_scope(now, seq, s)
                    && (role == Role::Writer || s.out.iter().all(|out| !out.waiting))
            });
            least_by(open, |s| self.decode_load(now, s))
        };
        let mixed = least(Role::Mixed)?;
        let load = |id: ServerId| self.decode_load(now, &self.servers[&id]);
        least(Role::Writer).is_none_or(|writer| load(mixed) < load(writer)).then_some(mixed)
    }

    /// Where no reader can be had, or no attempt would be left to answer after a read: whoever does both.
    fn pick_whole(&self, now: Nanos, seq: &Sequence) -> Option<ServerId> {
        let open = self.servers.values().filter(|s| {
            let whole =
                self.role(s) == Role::Mixed || (self.role(s) == Role::Writer && self.deployment.writers_read);
            whole && self.ready(now, s) && self.in_scope(now, seq, s)
        });
        least_by(open, |s| self.decode_load(now, s))
    }

    /// Listed as ready, and within this gateway's part of what a cold server may be sent.
    fn allowed(&self, now: Nanos, server: &Server) -> bool {
        server.listing.condition == Condition::Ready
            && (now >= server.cold_until
                || now >= server.cold_sent.saturating_add(self.cold_pause(now, server)))
    }

    /// Allowed, and nothing speaks against it. After failures it gets one sequence at a time as a trial.
    fn ready(&self, now: Nanos, server: &Server) -> bool {
        self.allowed(now, server)
            && now >= server.full_until
            && (server.strikes == 0 || (now >= server.shunned_until && server.silence(now) == 0))
            && !self.slow(now, server)
    }

    /// Guards against a server that runs far slower than its fellows or has gone silent: by a high quantile
    /// of its answer times, or by how long it has been quiet. Old verdicts fade, so it is tried again.
    fn slow(&self, now: Nanos, server: &Server) -> bool {
        let own = server.times.quantile(now, HIGH).filter(|_| server.times.weight(now) >= EVIDENCE);
        let fellows = self.fellows(now, server.listing.kind, Some(server.listing.server));
        let Some(usual) = fellows.or(own) else { return false };
        own.is_some_and(|own| own > SLOW * usual) || server.silence(now) as f64 > SLOW * usual
    }

    /// The median over a server's fellows of the high quantile of their answer times.
    fn fellows(&self, now: Nanos, kind: KindId, except: Option<ServerId>) -> Option<f64> {
        let role = self.deployment.kinds[kind.0].role;
        let others = self.servers.iter().filter(|(id, s)| Some(**id) != except && self.role(s) == role);
        let times = others.filter(|(_, s)| s.times.weight(now) >= EVIDENCE);
        let mut high: Vec<f64> = times.filter_map(|(_, s)| s.times.quantile(now, HIGH)).collect();
        high.sort_by(f64::total_cmp);
        high.get(high.len() / 2).copied()
    }

    fn has_room(&self, now: Nanos, server: &Server, seq: &Sequence) -> bool {
        self.decode_load(now, server) + self.stream_tokens(seq) / self.memory(server) <= FULL
    }

    /// The reported share of memory with own streams since, never less than all own streams out. A report
    /// that nothing of ours will renew fades, or a server once full would never be tried again.
    fn decode_load(&self, now: Nanos, server: &Server) -> f64 {
        let own = server.own_tokens(0) / self.memory(server);
        let Some(share) = server.report.memory_share else { return own };
        let age = if server.out.is_empty() { now.saturating_sub(server.reported) } else { 0 };
        let share = share * (-(age as f64) / HALF_LIFE as f64).exp2();
        let since = server.own_tokens(server.reported.saturating_sub(REPORT_LAG)) / self.memory(server);
        own.max(share + since)
    }

    /// Queued prompt tokens, reported or own, and this prompt less what the reader should have kept of it.
    fn read_work(&self, now: Nanos, server: &Server, seq: &Sequence) -> f64 {
        let own = server.own_tokens(0);
        let queued = match server.report.queued_prompt_tokens {
            Some(queue) => {
                let age = now.saturating_sub(server.reported) as f64;
                let faded = queue * (-age / REPORT_LAG as f64).exp2();
                own.max(faded + server.own_tokens(server.reported.saturating_sub(REPORT_LAG)))
            }
            None => own,
        };
        queued + seq.prompt_tokens - self.credit(server, seq)
    }

    /// Nanoseconds that a token of prompt work has taken of late, hidden queues included.
    fn read_pace(&self, now: Nanos) -> f64 {
        self.read_time.read(now) / self.read_tokens.read(now).max(1.0)
    }

    /// What the reader should have kept: texts age out as it reads its memory full, with the other gateways'
    /// part.
    fn credit(&self, server: &Server, seq: &Sequence) -> f64 {
        let room = self.memory(server) / self.deployment.gateways as f64;
        let live = |text: Text| {
            let kept = server.kept.get(&text)?;
            (server.read_in_all - kept.read_before < room).then_some(kept.tokens)
        };
        let session = seq.session.and_then(|id| live(Text::Session(id))).unwrap_or(0.0);
        let prefix = seq.prefix.and_then(|id| live(Text::Prefix(id))).unwrap_or(0.0).min(seq.prefix_tokens);
        session.max(prefix).min(seq.prompt_tokens)
    }

    /// Overload is met before the read: nothing is read that can't be answered in time. The less a sequence
    /// is worth, the earlier it is turned away. Also holds against lost servers and slow links; hurts when a
    /// short jam clears faster than it seems.
    fn overloaded(&self, now: Nanos, seq: &Sequence, server: ServerId, step: Step) -> bool {
        if seq.resumed {
            return false;
        }
        let chosen = &self.servers[&server];
        let answer = |s: &Server| {
            let middle = s.times.quantile(now, 0.0).unwrap_or(0.0);
            middle.max(s.waited(now) as f64)
        };
        let wait = if step == Step::Whole {
            answer(chosen)
        } else {
            let near = self.servers.values().filter(|s| {
                s.listing.cell == chosen.listing.cell && self.role(s) == Role::Writer && self.allowed(now, s)
            });
            let write = near.map(answer).min_by(f64::total_cmp).unwrap_or(0.0);
            self.read_pace(now) * self.read_work(now, chosen, seq) + write
        };
        let value = self.value(now, seq);
        let answering = self.servers.values().filter(|s| self.role(s) != Role::Reader && self.ready(now, s));
        let load = answering.map(|s| self.decode_load(now, s)).min_by(f64::total_cmp);
        if load.is_some_and(|load| load > FULL - (1.0 - value) * RESERVE) {
            return true;
        }
        let slack = 0.5 + 0.5 * value;
        let left = (self.slo(seq) as f64).min(seq.abandon_at.saturating_sub(now) as f64);
        wait > left * slack
    }

    /// Utility against the highest, less for a tenant past its share.
    fn value(&self, now: Nanos, seq: &Sequence) -> f64 {
        let highest = self.deployment.types.iter().map(|t| t.utility).fold(f64::MIN_POSITIVE, f64::max);
        let utility = self.deployment.types[seq.traffic.0].utility / highest;
        let over = seq.tenant.is_some_and(|TenantId(tenant)| {
            let part = self.deployment.tenants[tenant].per_second / self.deployment.gateways as f64;
            self.tenants[tenant].per_second(now, self.started) > OVER_SHARE * part
        });
        if over { utility * self.deployment.over_share_utility } else { utility }
    }

    /// A read and a write are everyone's; further attempts go by utility.
    fn most_attempts(&self, seq: &Sequence) -> usize {
        let highest = self.deployment.types.iter().map(|t| t.utility).fold(f64::MIN_POSITIVE, f64::max);
        let utility = self.deployment.types[seq.traffic.0].utility / highest;
        let further = self.deployment.max_attempts.saturating_sub(2) as f64;
        self.deployment.max_attempts.min(2 + (further * utility).ceil() as usize)
    }

    fn spent(&self, seq: &Sequence) -> bool {
        seq.attempts.len() >= self.most_attempts(seq) || !self.may_repeat(seq)
    }

    /// Once-only: never again once an attempt may have run.
    fn may_repeat(&self, seq: &Sequence) -> bool {
        self.effect(seq) != Effect::OnceOnly || self.maybe_ran(seq).is_none()
    }

    /// The first attempt that may have taken effect. Reads have none.
    fn maybe_ran<'a>(&self, seq: &'a Sequence) -> Option<&'a Attempt> {
        seq.attempts.iter().find(|attempt| {
            attempt.step != Step::Read
                && !matches!(
                    attempt.status,
                    Status::Closed(
                        Outcome::Full | Outcome::NoState | Outcome::ConnectFailed | Outcome::NeverSent
                    )
                )
        })
    }

    /// Tokened: once an attempt may have run, only within the group that knows its repeats, and in its time.
    fn in_scope(&self, now: Nanos, seq: &Sequence, server: &Server) -> bool {
        let Effect::Tokened { scope, window } = self.effect(seq) else { return true };
        let Some(first) = self.maybe_ran(seq) else { return true };
        let Some(known) = self.servers.get(&first.server) else { return false };
        now < first.sent + window
            && match scope {
                Scope::All => true,
                Scope::Zone => known.listing.zone == server.listing.zone,
                Scope::Cell => known.listing.cell == server.listing.cell,
            }
    }

    /// A sequence that nothing can take is held for part of its SLO, its state well within the time to
    /// release.
    fn may_hold(&self, now: Nanos, seq: &Sequence) -> bool {
        let until = seq.arrived.saturating_add((self.slo(seq) as f64 * HOLD) as Nanos);
        let pinned = seq
            .state
            .is_some_and(|(_, since)| now + 2 * RECHECK >= since + self.deployment.release_within / 2);
        now < until && !pinned
    }

    /// The final answer: a rejection where a retry is provably harmless, an abort elsewhere.
    fn give_up(&self, now: Nanos, seq: &mut Sequence) -> Schedule {
        let release = !seq.attempts.is_empty();
        let harmless = match (self.maybe_ran(seq), self.effect(seq)) {
            (None, _) | (_, Effect::Repeatable) => true,
            (Some(first), Effect::Tokened { scope: Scope::All, window }) => now < first.sent + window,
            _ => false,
        };
        seq.ended = true;
        seq.state = None;
        if harmless {
            let retry_after =
                self.deployment.longest_retry_after.map(|longest| longest.min(self.slo(seq) / 2));
            Schedule::Rejected { retry_after, release }
        } else {
            Schedule::Aborted { release }
        }
    }

    /// Books an attempt: its load, the text its reader will keep, and its place in a cold server's budget.
    fn send(&mut self, now: Nanos, seq: &mut Sequence, id: ServerId, step: Step) {
        let server = &self.servers[&id];
        let (work, credit) = (self.read_work(now, server, seq), self.credit(server, seq));
        let stream = self.stream_tokens(seq);
        let room = self.memory(server) / self.deployment.gateways as f64;
        let Some(server) = self.servers.get_mut(&id) else { return };
        (server.cold_sent, server.cold_part) = (now, 1.0);
        if step != Step::Write {
            let before = server.read_in_all;
            if server.kept.len() > KEPT {
                server.kept.retain(|_, text| before - text.read_before < room);
            }
            server.read_in_all += seq.prompt_tokens - credit;
            let mut keep = |text, tokens| server.kept.insert(text, Kept { tokens, read_before: before });
            if let Some(id) = seq.session {
                keep(Text::Session(id), seq.prompt_tokens);
            }
            if let Some(id) = seq.prefix {
                keep(Text::Prefix(id), seq.prefix_tokens);
            }
        }
        let tokens = if step == Step::Read { seq.prompt_tokens - credit } else { stream };
        server.out.push(Out { seq: seq.id, sent: now, tokens, waiting: true });
        let tokens = if step == Step::Read { work } else { tokens };
        seq.attempts.push(Attempt { server: id, sent: now, step, status: Status::Out, tokens, credit });
    }

    /// Rule 4: the time one send takes up of this gateway's part of a cold server. What a server of the pool
    /// carries of this gateway's sequences stands for capacity; all gateways keep the same part of it.
    /// Sequences refused do not count, or a storm of retries would pass for capacity. No rate is granted as a
    /// floor and the first send waits for a part of the pause drawn by lot: with hundreds of gateways a floor
    /// or a free first send each would add up to many times the rule's figure.
    fn cold_pause(&self, now: Nanos, server: &Server) -> Nanos {
        let reads = self.role(server) == Role::Reader;
        let pool = self.servers.values().filter(|s| (self.role(s) == Role::Reader) == reads);
        let there = pool.filter(|s| s.listing.condition != Condition::Gone);
        let weight: f64 = there.map(|s| self.weight(s)).sum();
        let fair = self.admitted.per_second(now, self.started) * self.weight(server) / weight.max(1e-9);
        let cold = server.cold_until.saturating_sub(now) as f64 / self.deployment.cold_for.max(1) as f64;
        let present = 1.0 - (1.0 - self.deployment.cold_from) * cold.clamp(0.0, 1.0);
        let most = COLD_SAFE * self.deployment.cold_multiple * self.deployment.cold_from;
        (server.cold_part * 1e9 / (fair * most.min(COLD_PART * present)).max(1e-9)) as Nanos
    }

    /// What an outcome tells of its server.
    fn learn(&mut self, now: Nanos, seq: SeqId, attempt: &Attempt, outcome: Outcome, began: bool) {
        let Some(server) = self.servers.get_mut(&attempt.server) else { return };
        let rtt = now.saturating_sub(attempt.sent);
        server.out.retain(|out| out.seq != seq);
        match outcome {
            Outcome::ReadDone { kept } => {
                server.answer(now);
                server.times.add(now, rtt as f64);
                self.read_time.add(now, rtt as f64);
                self.read_tokens.add(now, attempt.tokens);
                if kept + 1.0 < attempt.credit / 2.0 {
                    server.kept.retain(|_, text| text.read_before >= server.read_in_all);
                }
            }
            Outcome::Generated => server.answer(now),
            Outcome::Full => {
                server.heard = now;
                server.full_until = now + FULL_PAUSE;
            }
            Outcome::NoState | Outcome::Error => server.heard = now,
            Outcome::Reset | Outcome::ConnectFailed => server.fail(now),
            Outcome::TimedOut if !began && server.heard < attempt.sent => server.fail(now),
            Outcome::TimedOut => server.times.add(now, rtt as f64),
            Outcome::Cancelled | Outcome::NeverSent => {}
        }
    }

    fn role(&self, server: &Server) -> Role {
        self.deployment.kinds[server.listing.kind.0].role
    }

    fn memory(&self, server: &Server) -> f64 {
        self.deployment.kinds[server.listing.kind.0].memory_tokens.max(1.0)
    }

    fn weight(&self, server: &Server) -> f64 {
        match self.deployment.weights {
            Weights::Size => server.listing.weight.max(1e-3),
            Weights::Unused => 1.0,
        }
    }

    fn effect(&self, seq: &Sequence) -> Effect {
        self.deployment.types[seq.traffic.0].effect
    }

    fn slo(&self, seq: &Sequence) -> Nanos {
        let traffic = &self.deployment.types[seq.traffic.0];
        traffic.latency_slo.saturating_add((seq.prompt_tokens * traffic.slo_per_prompt_token as f64) as Nanos)
    }

    /// Memory a stream will hold: its prompt and its answer, half the most where its length is not known.
    fn stream_tokens(&self, seq: &Sequence) -> f64 {
        let pace = self.deployment.types[seq.traffic.0].token_pace.max(1) as f64;
        let answer = seq.hint.map_or(seq.max_out / 2.0, |hint| (hint as f64 / pace).min(seq.max_out));
        seq.prompt_tokens + answer
    }
}

/// The server with the least of a measure; ties go by lot.
fn least_by<'a>(
    open: impl Iterator<Item = &'a Server>,
    measure: impl Fn(&Server) -> f64,
) -> Option<ServerId> {
    let measured = open.map(|server| (measure(server), server));
    let least = measured.min_by(|(a, x), (b, y)| a.total_cmp(b).then(x.lot.total_cmp(&y.lot)));
    least.map(|(_, server)| server.listing.server)
}

/// Spreads the bits of a number (the finalizer of splitmix64).
fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
