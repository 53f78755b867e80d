//! What a gateway has seen of late: fading sums and bounded tables. Plain data, nothing here decides.

use crate::bounded::BoundedTable;
use crate::decay::{DecayingSum, FadingShare, FadingTimes};
use crate::fleet::Server;
use crate::interface::*;

/// What a server may treat apart: a traffic type of a tenant.
pub type Stream = (TrafficTypeId, Option<TenantId>);

/// A text that servers keep of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Text {
    Session(SessionId),
    Prefix(PrefixId),
}

/// Text that a server was sent, and how much it had been sent in all by then.
#[derive(Clone, Copy, Debug)]
pub struct Kept {
    pub tokens: f64,
    pub read_before: f64,
}

/// How long what is seen counts (as half-lives), and how many entries each table has at the most.
#[derive(Clone, Copy, Debug)]
pub struct Memory {
    pub times: Nanos,
    pub prefills: Nanos,
    pub texts: Nanos,
    pub most_streams: usize,
    pub most_failures: usize,
    pub most_kept: usize,
    pub most_prefixes: usize,
}

pub struct Statistics {
    /// Since when anything has been counted.
    pub started: Nanos,
    /// Answer times, of all servers together, by step.
    pub times: [FadingTimes; 4],
    /// Attempts that failed, of all servers together and by server.
    pub failed: BoundedTable<Stream, FadingShare>,
    pub failed_at: BoundedTable<(u64, Stream), FadingShare>,
    /// Sequences admitted: those whose prompt is read first, and those taken whole.
    pub admitted: [DecayingSum; 2],
    /// Their prompt tokens.
    pub admitted_tokens: DecayingSum,
    pub tenants: Vec<DecayingSum>,
    /// Time that prefills took, and the prompt work they were sent into.
    pub read_time: DecayingSum,
    pub read_tokens: DecayingSum,
    /// Texts that servers were sent, by the server's start.
    pub kept: BoundedTable<(u64, Text), Kept>,
    /// Where a text was sent last, the newest first.
    pub last_sent: BoundedTable<Text, Vec<ServerId>>,
    /// How often a shared text was sent, and all of them together.
    pub prefixes: BoundedTable<PrefixId, DecayingSum>,
    pub texts: DecayingSum,
    /// The share of prefills that did not find their shared text.
    pub missed: FadingShare,
}

impl Statistics {
    pub fn new(now: Nanos, tenants: usize, memory: Memory) -> Self {
        let sum = || DecayingSum::new(memory.times);
        Statistics {
            started: now,
            times: std::array::from_fn(|_| FadingTimes::new(memory.times)),
            failed: BoundedTable::new(memory.most_streams),
            failed_at: BoundedTable::new(memory.most_failures),
            admitted: std::array::from_fn(|_| sum()),
            admitted_tokens: sum(),
            tenants: vec![sum(); tenants],
            read_time: DecayingSum::new(memory.prefills),
            read_tokens: DecayingSum::new(memory.prefills),
            kept: BoundedTable::new(memory.most_kept),
            last_sent: BoundedTable::new(memory.most_kept),
            prefixes: BoundedTable::new(memory.most_prefixes),
            texts: DecayingSum::new(memory.texts),
            missed: FadingShare::new(memory.texts),
        }
    }

    /// A server, known by its start, was sent a text; the last `most` servers are remembered for each text.
    pub fn text_sent(&mut self, server: &Server, text: Text, kept: Kept, most: usize) {
        self.kept.insert((server.generation, text), kept);
        let last = self.last_sent.entry_or_insert_with(text, Vec::new);
        last.retain(|known| *known != server.endpoint.server);
        last.insert(0, server.endpoint.server);
        last.truncate(most);
    }

    /// The servers that a text was sent to last.
    pub fn sent_to(&self, text: Text) -> impl Iterator<Item = ServerId> {
        self.last_sent.get(&text).into_iter().flatten().copied()
    }

    /// Prompt tokens of the mean sequence that was admitted.
    pub fn mean_prompt(&self, now: Nanos) -> f64 {
        let admitted: f64 = self.admitted.iter().map(|sum| sum.read(now)).sum();
        self.admitted_tokens.read(now) / admitted.max(1e-9)
    }
}
