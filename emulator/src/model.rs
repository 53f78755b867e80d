//! A model server as a box: what it holds, how fast it works, and how it fails. No I/O, no clock.
//!
//! Reads are done one after another at the box's pace; answers are written side by side, slower the more there
//! are. A read state stays in memory until it is fetched or let go.

use std::collections::{BTreeMap, HashMap, VecDeque};

pub type Nanos = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    Reader,
    Writer,
    Mixed,
}

/// What a kind of box can do.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
pub struct Build {
    pub role: Role,
    /// Answers written at once, and sequences that may wait besides.
    pub slots: usize,
    pub queue: usize,
    pub memory_tokens: u64,
    /// Engines drop a state that nobody comes for, after a time of their own.
    pub state_for: Nanos,
    pub read_tokens_per_second: f64,
    /// Between two tokens of an answer while the box is otherwise idle; twice that when all slots are used.
    pub token_nanos: Nanos,
    pub cold_for: Nanos,
    pub cold_from: f64,
    /// Falls over when sent so many times what it can do at that moment, for this long.
    pub cold_multiple: f64,
    pub cold_window: Nanos,
}

/// How a box misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    None,
    /// Works so many times slower.
    Slow(f64),
    /// Takes everything, answers nothing.
    Silent,
    /// Says that it is full.
    Full,
    /// Fails after working for a while.
    FailsSlowly(Nanos),
    /// Breaks connections off after so many tokens.
    ResetAfter(u64),
    /// Ends its streams without the closing mark after so many tokens.
    EndsBadly(u64),
    /// Sends what is no event after so many tokens.
    Garbage(u64),
    /// Accepts connections and reads nothing from them.
    Hangs,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    Read,
    /// From a state fetched elsewhere.
    Write,
    /// Prompt and answer both.
    Whole,
}

#[derive(Clone, Debug)]
pub struct Job {
    pub id: u64,
    pub work: Work,
    /// Hashes of the prompt's blocks, each chained to the one before.
    pub blocks: Vec<u64>,
    pub prompt_tokens: u64,
    pub answer_tokens: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    Full,
    /// This role does not do such work.
    Unable,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Happened {
    /// The prompt is read; its state waits here.
    Read {
        id: u64,
        kept: u64,
    },
    Token {
        id: u64,
        number: u64,
        last: bool,
    },
    /// Nobody fetched or released a state for so long that it is dropped.
    Expired {
        id: u64,
    },
}

/// Tokens of one block of kept text.
pub const BLOCK: u64 = 16;

struct Running {
    job: Job,
    written: u64,
    due: Nanos,
}

pub struct ModelBox {
    pub build: Build,
    fault: Fault,
    /// When it started, if it started cold.
    cold_since: Option<Nanos>,
    /// Prompts to be read, the first one being read until `reading_until`.
    reads: VecDeque<(Job, u64)>,
    reading_until: Option<Nanos>,
    running: BTreeMap<u64, Running>,
    waiting: VecDeque<Job>,
    /// States held: tokens, and since when.
    states: BTreeMap<u64, (u64, Nanos)>,
    /// Blocks kept, with when they were last used.
    kept: HashMap<u64, u64>,
    uses: u64,
    /// Work sent of late while cold, in nanoseconds at full pace.
    sent: VecDeque<(Nanos, f64)>,
    fallen: bool,
}

impl ModelBox {
    pub fn new(build: Build, started: Nanos, cold: bool) -> Self {
        ModelBox {
            build,
            fault: Fault::None,
            cold_since: cold.then_some(started),
            reads: VecDeque::new(),
            reading_until: None,
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
            states: BTreeMap::new(),
            kept: HashMap::new(),
            uses: 0,
            sent: VecDeque::new(),
            fallen: false,
        }
    }

    pub fn set_fault(&mut self, fault: Fault) {
        self.fault = fault;
    }

    pub fn fault(&self) -> Fault {
        self.fault
    }

    /// Forgets all kept text, and says nothing of it.
    pub fn forget(&mut self) {
        self.kept.clear();
    }

    /// Pushed over while cold: it does nothing any more.
    pub fn fallen(&self) -> bool {
        self.fallen
    }

    pub fn arrive(&mut self, now: Nanos, job: Job) -> Result<(), Refused> {
        let able = match (self.build.role, job.work) {
            (Role::Reader, Work::Read) | (Role::Mixed, _) | (Role::Writer, Work::Write) => true,
            (Role::Reader, _) | (Role::Writer, _) => false,
        };
        if !able {
            return Err(Refused::Unable);
        }
        self.strain(now, &job);
        let full = match job.work {
            Work::Read => self.reads.len() >= self.build.slots + self.build.queue,
            _ => self.running.len() + self.waiting.len() >= self.build.slots + self.build.queue,
        };
        if full
            || self.fault == Fault::Full
            || self.held_tokens() + job.prompt_tokens > self.build.memory_tokens
        {
            return Err(Refused::Full);
        }
        if job.work == Work::Read {
            let kept = self.take_kept(&job.blocks).min(job.prompt_tokens);
            self.reads.push_back((job, kept));
            self.next_read(now);
        } else {
            self.waiting.push_back(job);
            self.next_answers(now);
        }
        Ok(())
    }

    /// Its client has left: whatever runs or waits for it is dropped.
    pub fn cancel(&mut self, now: Nanos, id: u64) {
        if self.reads.front().is_some_and(|(job, _)| job.id == id) {
            self.reading_until = None;
        }
        self.reads.retain(|(job, _)| job.id != id);
        self.waiting.retain(|job| job.id != id);
        self.running.remove(&id);
        self.next_read(now);
        self.next_answers(now);
    }

    /// Lets go of a state, because it was fetched or released. True where there was one.
    pub fn let_go(&mut self, id: u64) -> bool {
        self.states.remove(&id).is_some()
    }

    pub fn states(&self) -> impl Iterator<Item = (u64, Nanos)> + '_ {
        self.states.iter().map(|(id, (_, since))| (*id, *since))
    }

    pub fn next_due(&self) -> Option<Nanos> {
        if self.fallen || matches!(self.fault, Fault::Silent | Fault::Hangs) {
            return None;
        }
        let expires = self.states.values().map(|(_, since)| since + self.build.state_for);
        self.running.values().map(|running| running.due).chain(self.reading_until).chain(expires).min()
    }

    /// Does what is due by now.
    pub fn due(&mut self, now: Nanos, out: &mut Vec<Happened>) {
        if self.next_due().is_none() {
            return;
        }
        if self.reading_until.is_some_and(|until| until <= now) {
            self.reading_until = None;
            if let Some((job, kept)) = self.reads.pop_front() {
                self.states.insert(job.id, (job.prompt_tokens, now));
                out.push(Happened::Read { id: job.id, kept });
            }
            self.next_read(now);
        }
        let old = |since: &Nanos| since + self.build.state_for <= now;
        let expired: Vec<u64> =
            self.states.iter().filter(|(_, (_, since))| old(since)).map(|(id, _)| *id).collect();
        for id in expired {
            self.states.remove(&id);
            out.push(Happened::Expired { id });
        }
        let due: Vec<u64> = self.running.iter().filter(|(_, r)| r.due <= now).map(|(id, _)| *id).collect();
        let pace = self.pace(now);
        for id in due {
            let Some(running) = self.running.get_mut(&id) else { continue };
            running.written += 1;
            running.due = now + pace;
            let last = running.written >= running.job.answer_tokens;
            out.push(Happened::Token { id, number: running.written, last });
            if last {
                self.running.remove(&id);
            }
        }
        self.next_answers(now);
    }

    pub fn memory_share(&self) -> f64 {
        self.held_tokens() as f64 / self.build.memory_tokens.max(1) as f64
    }

    pub fn queued_prompt_tokens(&self) -> u64 {
        self.reads.iter().map(|(job, kept)| job.prompt_tokens - kept).sum()
    }

    pub fn in_flight(&self) -> usize {
        self.reads.len() + self.running.len() + self.waiting.len()
    }

    fn held_tokens(&self) -> u64 {
        let reading: u64 = self.reads.iter().map(|(job, _)| job.prompt_tokens).sum();
        let states: u64 = self.states.values().map(|(tokens, _)| tokens).sum();
        let running: u64 = self.running.values().map(|r| r.job.prompt_tokens + r.written).sum();
        reading + states + running
    }

    /// The share of its full pace that it has by now.
    fn present(&self, now: Nanos) -> f64 {
        let warm = self.cold_since.map_or(1.0, |since| {
            let age = now.saturating_sub(since) as f64 / self.build.cold_for.max(1) as f64;
            self.build.cold_from + (1.0 - self.build.cold_from) * age.min(1.0)
        });
        match self.fault {
            Fault::Slow(times) => warm / times.max(1.0),
            _ => warm,
        }
    }

    /// Rule 4's other side: a cold box that is sent too much falls over and stays down.
    fn strain(&mut self, now: Nanos, job: &Job) {
        if self.cold_since.is_none_or(|since| now >= since + self.build.cold_for) {
            return self.sent.clear();
        }
        let read = job.prompt_tokens as f64 / self.build.read_tokens_per_second * 1e9;
        let write = job.answer_tokens as f64 * self.build.token_nanos as f64 / self.build.slots.max(1) as f64;
        let work = match job.work {
            Work::Read => read,
            Work::Write => write,
            Work::Whole => read + write,
        };
        self.sent.push_back((now, work));
        while self.sent.front().is_some_and(|(at, _)| at + self.build.cold_window < now) {
            self.sent.pop_front();
        }
        let sent: f64 = self.sent.iter().map(|(_, work)| work).sum();
        if sent > self.build.cold_multiple * self.present(now) * self.build.cold_window as f64 {
            self.fallen = true;
        }
    }

    fn take_kept(&mut self, blocks: &[u64]) -> u64 {
        self.uses += 1;
        let kept = blocks.iter().take_while(|block| self.kept.contains_key(block)).count() as u64;
        for block in blocks {
            self.kept.insert(*block, self.uses);
        }
        let most = (self.build.memory_tokens / BLOCK) as usize;
        if self.kept.len() > most {
            let mut uses: Vec<u64> = self.kept.values().copied().collect();
            uses.sort_unstable();
            let oldest = uses[uses.len() - most / 2];
            self.kept.retain(|_, used| *used >= oldest);
        }
        kept * BLOCK
    }

    fn next_read(&mut self, now: Nanos) {
        if self.reading_until.is_some() {
            return;
        }
        if let Some((job, kept)) = self.reads.front() {
            let tokens = (job.prompt_tokens - kept) as f64;
            let pace = self.build.read_tokens_per_second * self.present(now);
            self.reading_until = Some(now + 1 + (tokens / pace * 1e9) as Nanos);
        }
    }

    fn next_answers(&mut self, now: Nanos) {
        while self.running.len() < self.build.slots {
            let Some(job) = self.waiting.pop_front() else { return };
            let read = match job.work {
                Work::Whole => job.prompt_tokens as f64 / self.build.read_tokens_per_second * 1e9,
                _ => 0.0,
            };
            let due = now + (read / self.present(now)) as Nanos + self.pace(now);
            self.running.insert(job.id, Running { job, written: 0, due });
        }
    }

    fn pace(&self, now: Nanos) -> Nanos {
        let filled = self.running.len() as f64 / self.build.slots.max(1) as f64;
        (self.build.token_nanos as f64 * (1.0 + filled) / self.present(now)) as Nanos
    }
}

#[cfg(test)]
mod tests;
