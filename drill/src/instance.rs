//! One gateway: its decisions, its sequences in hand and its timers. It decides nothing itself.

use crate::decode::{Line, Malformed, Names, settings};
use petrelshore::Brain;
use petrelshore::interface::*;
use std::collections::HashMap;
use std::fmt::Write;

const LIST_MARK: &str = "list";

pub struct Instance {
    number: u64,
    brain: Brain,
    names: Names,
    servers: HashMap<ServerId, String>,
    sequences: HashMap<SeqId, Sequence>,
}

impl Instance {
    pub fn configure(number: u64, now: Nanos, line: &Line, reply: &mut String) -> Result<Self, Malformed> {
        let (deployment, names) = settings(line.need("options")?)?;
        if deployment.discovery == Discovery::Asked {
            let _ = writeln!(reply, "SUBSCRIBE i={number} want=1");
        }
        Ok(Instance {
            number,
            brain: Brain::new(now, deployment, line.whole("prng")?),
            names,
            servers: HashMap::new(),
            sequences: HashMap::new(),
        })
    }

    pub fn request(&mut self, now: Nanos, line: &Line, reply: &mut String) -> Result<(), Malformed> {
        let tenant = match line.text("team") {
            None | Some("0") => None,
            Some(_) => Some(TenantId(line.index("team", &self.names.tenants)?)),
        };
        let seq = Sequence {
            id: line.ticket()?,
            traffic: TypeId(line.index("type", &self.names.types)?),
            tenant,
            session: line.hex("sessionId")?.map(SessionId),
            prefix: line.hex("systemPrompt")?.filter(|id| *id != 0).map(PrefixId),
            prompt_tokens: line.amount("promptTokens")?,
            prefix_tokens: line.number("prefixTokens")?.unwrap_or(0.0),
            max_out: line.amount("maxTokens")?,
            hint: line.parsed("effort")?,
            resumed: line.flag("again")?,
            arrived: now,
            abandon_at: now.saturating_add(line.whole::<Nanos>("budget")?),
            attempts: Vec::new(),
            state: None,
            admitted: false,
            ended: false,
        };
        let id = seq.id;
        self.sequences.insert(id, seq);
        self.schedule(now, id, reply);
        Ok(())
    }

    pub fn listed(
        &mut self,
        now: Nanos,
        line: &Line,
        entries: &[Line],
        reply: &mut String,
    ) -> Result<(), Malformed> {
        let scope = match line.need("kind")? {
            "changes" => ListScope::Changes,
            "all" => ListScope::Whole,
            "remembered" => ListScope::Remembered,
            "refused" => {
                let at = now + self.brain.refused();
                let _ = writeln!(reply, "REMIND i={} mark={LIST_MARK} fireAt={at}", self.number);
                return Ok(());
            }
            other => return Err(format!("MEMBERS: field kind is malformed or out of range: '{other}'")),
        };
        let entries = entries.iter().map(|entry| self.listing(entry)).collect::<Result<Vec<_>, _>>()?;
        self.brain.listed(now, scope, &entries);
        Ok(())
    }

    fn listing(&mut self, line: &Line) -> Result<Listing, Malformed> {
        let name = line.need("server")?;
        let server = server_id(name);
        if self.servers.entry(server).or_insert_with(|| name.to_owned()) != name {
            return Err(format!("SERVER: field server: '{name}' cannot be told from another name"));
        }
        Ok(Listing {
            server,
            kind: KindId(line.index("flavor", &self.names.kinds)?),
            cell: CellId(line.parsed("pack")?.unwrap_or(0)),
            zone: ZoneId(line.index("regionPart", &self.names.zones)?),
            weight: line.number("weight")?.unwrap_or(1.0),
            since: line.parsed("since")?.unwrap_or(0),
            condition: match line.need("condition")? {
                "Ready" => Condition::Ready,
                "Terminating" => Condition::Draining,
                "Gone" => Condition::Gone,
                other => {
                    return Err(format!("SERVER: field condition is malformed or out of range: '{other}'"));
                }
            },
        })
    }

    pub fn accepted(&mut self, now: Nanos, line: &Line) -> Result<(), Malformed> {
        let n = line.whole("n")?;
        if let Some(seq) = self.sequences.get_mut(&line.ticket()?) {
            self.brain.began(now, seq, n);
        }
        Ok(())
    }

    pub fn closed(&mut self, now: Nanos, line: &Line, reply: &mut String) -> Result<(), Malformed> {
        let outcome = match (line.whole::<u32>("disposition")?, line.number("note")?.unwrap_or(0.0)) {
            (0, _) => Outcome::Generated,
            (1, _) => Outcome::Error,
            (2, 1.0) => Outcome::NoState,
            (2, _) => Outcome::Full,
            (3, _) => Outcome::TimedOut,
            (4, _) => Outcome::ConnectFailed,
            (5, _) => Outcome::Reset,
            (6, _) => Outcome::Cancelled,
            (7, _) => Outcome::NeverSent,
            (202, kept) => Outcome::ReadDone { kept },
            (other, _) => {
                return Err(format!("CLOSED_ATTEMPT: field disposition is out of range: '{other}'"));
            }
        };
        let (id, n, last) = (line.ticket()?, line.whole("n")?, line.flag("last")?);
        self.report(now, line)?;
        let Some(seq) = self.sequences.get_mut(&id) else { return Ok(()) };
        match self.brain.settle(now, seq, n, outcome, last) {
            Settled::Schedule => self.schedule(now, id, reply),
            Settled::Wait => {}
            Settled::Ended { release } => {
                if release {
                    let _ = writeln!(reply, "FREE_STATE i={} ticket={:016x}", self.number, id.0);
                }
                self.drop_if_over(id);
            }
        }
        Ok(())
    }

    /// A load report, if the line carries one.
    pub fn report(&mut self, now: Nanos, line: &Line) -> Result<(), Malformed> {
        let server = server_id(line.need("server")?);
        if let Some(report) = line.report(&self.names.report)? {
            self.brain.reported(now, server, report);
        }
        Ok(())
    }

    pub fn withdrawn(&mut self, line: &Line, reply: &mut String) -> Result<(), Malformed> {
        let id = line.ticket()?;
        if let Some(seq) = self.sequences.get_mut(&id) {
            seq.ended = true;
            let _ = writeln!(reply, "FREE_STATE i={} ticket={:016x}", self.number, id.0);
            self.drop_if_over(id);
        }
        Ok(())
    }

    pub fn due(&mut self, now: Nanos, line: &Line, reply: &mut String) -> Result<(), Malformed> {
        let mark = line.need("mark")?;
        if mark == LIST_MARK {
            let _ = writeln!(reply, "SUBSCRIBE i={} want=1", self.number);
        } else if let Ok(id) = u64::from_str_radix(mark, 16) {
            self.schedule(now, SeqId(id), reply);
        }
        Ok(())
    }

    /// Asks where to send a sequence and carries the answer out.
    fn schedule(&mut self, now: Nanos, id: SeqId, reply: &mut String) {
        let Some(seq) = self.sequences.get_mut(&id) else { return };
        let (i, ticket) = (self.number, id.0);
        let released = match self.brain.schedule(now, seq) {
            Schedule::Send(server) => {
                let (limit, name) = (self.brain.wait(now, seq).max(1), &self.servers[&server]);
                let _ = writeln!(reply, "FORWARD i={i} ticket={ticket:016x} tryFor={limit} server={name}");
                return;
            }
            Schedule::NotYet => {
                if !seq.ended && seq.attempts.iter().all(|a| matches!(a.status, Status::Closed(_))) {
                    let at = now + self.brain.wait(now, seq).max(1);
                    let _ = writeln!(reply, "REMIND i={i} mark={ticket:016x} fireAt={at}");
                }
                return;
            }
            Schedule::Rejected { retry_after, release } => {
                let _ = match retry_after {
                    Some(pause) => writeln!(reply, "NOT_NOW i={i} ticket={ticket:016x} coolDown={pause}"),
                    None => writeln!(reply, "NOT_NOW i={i} ticket={ticket:016x}"),
                };
                release
            }
            Schedule::Aborted { release } => {
                let _ = writeln!(reply, "GIVE_UP i={i} ticket={ticket:016x}");
                release
            }
        };
        if released {
            let _ = writeln!(reply, "FREE_STATE i={i} ticket={ticket:016x}");
        }
        self.drop_if_over(id);
    }

    /// An ended sequence is kept only while an attempt of it is out.
    fn drop_if_over(&mut self, id: SeqId) {
        let closed = |attempt: &Attempt| matches!(attempt.status, Status::Closed(_));
        if self.sequences.get(&id).is_some_and(|seq| seq.ended && seq.attempts.iter().all(closed)) {
            self.sequences.remove(&id);
        }
    }
}

/// A number for a server's name that is the same at every gateway (FNV-1a).
fn server_id(name: &str) -> ServerId {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    ServerId(name.bytes().fold(0xcbf2_9ce4_8422_2325, mix))
}
