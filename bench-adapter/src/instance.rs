//! One gateway on the simulator's wire: a shell round the request manager. It decides nothing itself.

use crate::decode::{Line, Malformed};
use petrelshore::interface::*;
use petrelshore_gateway_core::fingerprint::stable_id;
use petrelshore_gateway_core::{Action, Dispatch, Finality, NewSequence, Relay, RequestManager};
use petrelshore_platform_protocol::settings::{Names, settings};
use std::collections::HashMap;
use std::fmt::Write;

const LIST_MARK: &str = "list";

pub struct Instance {
    number: u64,
    manager: RequestManager,
    names: Names,
    servers: HashMap<ServerId, String>,
    actions: Vec<Action>,
}

impl Instance {
    pub fn configure(number: u64, now: Nanos, line: &Line, reply: &mut String) -> Result<Self, Malformed> {
        let options = serde_json::from_str(line.need("options")?);
        let options = options.map_err(|error| format!("CONFIGURE: field options: {error}"))?;
        let (deployment, names) = settings(&options).map_err(|wrong| format!("CONFIGURE: {wrong}"))?;
        if deployment.discovery == Discovery::Polled {
            let _ = writeln!(reply, "SUBSCRIBE i={number} want=1");
        }
        Ok(Instance {
            number,
            manager: RequestManager::new(now, deployment, line.whole("prng")?),
            names,
            servers: HashMap::new(),
            actions: Vec::new(),
        })
    }

    pub fn request(&mut self, now: Nanos, line: &Line, reply: &mut String) -> Result<(), Malformed> {
        let tenant = match line.text("team") {
            None | Some("0") => None,
            Some(team) => {
                let place = self.names.tenants.place(team);
                Some(place.ok_or_else(|| line.wrong("team", team))?)
            }
        };
        let new = NewSequence {
            id: line.ticket()?,
            traffic: TrafficTypeId(line.index("type", &self.names.types)?),
            tenant,
            session: line.hex("sessionId")?.map(SessionId),
            prefix: line.hex("systemPrompt")?.filter(|id| *id != 0).map(PrefixId),
            prompt_tokens: line.amount("promptTokens")?,
            prefix_tokens: line.number("prefixTokens")?.unwrap_or(0.0),
            max_output_tokens: line.amount("maxTokens")?,
            output_length_hint: line.parsed("effort")?,
            resumed: line.flag("again")?,
            relay: Relay::Streamed,
            first_token_deadline: now.saturating_add(line.whole::<Nanos>("budget")?),
            completion_deadline: None,
        };
        self.manager.accept(now, new, &mut self.actions);
        self.carry_out(reply);
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
            "changes" => SnapshotKind::Delta,
            "all" => SnapshotKind::Full,
            "remembered" => SnapshotKind::Cached,
            "refused" => {
                self.manager.endpoint_poll_failed(now, &mut self.actions);
                self.carry_out(reply);
                return Ok(());
            }
            other => return Err(format!("MEMBERS: field kind is malformed or out of range: '{other}'")),
        };
        let entries = entries.iter().map(|entry| self.endpoint(entry)).collect::<Result<Vec<_>, _>>()?;
        self.manager.update_endpoints(now, scope, &entries);
        Ok(())
    }

    fn endpoint(&mut self, line: &Line) -> Result<Endpoint, Malformed> {
        let name = line.need("server")?;
        let server = ServerId(stable_id(name));
        if self.servers.entry(server).or_insert_with(|| name.to_owned()) != name {
            return Err(format!("SERVER: field server: '{name}' cannot be told from another name"));
        }
        Ok(Endpoint {
            server,
            kind: ServerKindId(line.index("flavor", &self.names.kinds)?),
            cell: CellId(line.parsed("pack")?.unwrap_or(0)),
            zone: ZoneId(line.index("regionPart", &self.names.zones)?),
            weight: line.number("weight")?.unwrap_or(1.0),
            started_at: line.parsed("since")?.unwrap_or(0),
            state: match line.need("condition")? {
                "Ready" => EndpointState::Ready,
                "Terminating" => EndpointState::Draining,
                "Gone" => EndpointState::Gone,
                other => {
                    return Err(format!("SERVER: field condition is malformed or out of range: '{other}'"));
                }
            },
        })
    }

    pub fn accepted(&mut self, now: Nanos, line: &Line) -> Result<(), Malformed> {
        let n = line.whole("n")?;
        self.manager.first_token(now, line.ticket()?, n);
        Ok(())
    }

    pub fn closed(&mut self, now: Nanos, line: &Line, reply: &mut String) -> Result<(), Malformed> {
        let outcome = match (line.whole::<u32>("disposition")?, line.number("note")?.unwrap_or(0.0)) {
            (0, _) => Outcome::Completed,
            (1, _) => Outcome::Error,
            (2, 1.0) => Outcome::KvCacheMissing,
            (2, _) => Outcome::AtCapacity,
            (3, _) => Outcome::TimedOut,
            (4, _) => Outcome::ConnectFailed,
            (5, _) => Outcome::Reset,
            (6, _) => Outcome::Cancelled,
            (7, _) => Outcome::NeverSent,
            (202, kept) => Outcome::PrefillDone { cached_tokens: kept },
            (other, _) => {
                return Err(format!("CLOSED_ATTEMPT: field disposition is out of range: '{other}'"));
            }
        };
        let (id, n, last) = (line.ticket()?, line.whole("n")?, line.flag("last")?);
        self.report(now, line)?;
        let finality = if last { Finality::Final } else { Finality::Retryable };
        self.manager.attempt_finished(now, id, n, outcome, finality, &mut self.actions);
        self.carry_out(reply);
        Ok(())
    }

    /// A load report, if the line carries one.
    pub fn report(&mut self, now: Nanos, line: &Line) -> Result<(), Malformed> {
        let server = ServerId(stable_id(line.need("server")?));
        if let Some(report) = line.report(&self.names.report)? {
            self.manager.load_reported(now, server, report);
        }
        Ok(())
    }

    pub fn withdrawn(&mut self, line: &Line, reply: &mut String) -> Result<(), Malformed> {
        self.manager.client_cancelled(line.ticket()?, &mut self.actions);
        self.carry_out(reply);
        Ok(())
    }

    pub fn due(&mut self, now: Nanos, line: &Line, reply: &mut String) -> Result<(), Malformed> {
        let mark = line.need("mark")?;
        if mark == LIST_MARK {
            let _ = writeln!(reply, "SUBSCRIBE i={} want=1", self.number);
        } else if let Ok(id) = u64::from_str_radix(mark, 16) {
            self.manager.retry_scheduling(now, SequenceId(id), &mut self.actions);
            self.carry_out(reply);
        }
        Ok(())
    }

    /// Writes the actions that are this wire's to carry out. The simulator itself keeps the time limits, breaks
    /// off what its clients have left, and gives the last outcomes as final answers.
    fn carry_out(&mut self, reply: &mut String) {
        let i = self.number;
        for action in self.actions.drain(..) {
            let _ = match action {
                Action::Send(Dispatch { id, timeout: limit, server, .. }) => {
                    let name = &self.servers[&server];
                    writeln!(reply, "FORWARD i={i} ticket={:016x} tryFor={limit} server={name}", id.0)
                }
                Action::WakeAt { id, at } => writeln!(reply, "REMIND i={i} mark={:016x} fireAt={at}", id.0),
                Action::PollEndpoints { at } => writeln!(reply, "REMIND i={i} mark={LIST_MARK} fireAt={at}"),
                Action::Reject { id, retry_after: Some(pause), .. } => {
                    writeln!(reply, "NOT_NOW i={i} ticket={:016x} coolDown={pause}", id.0)
                }
                Action::Reject { id, retry_after: None, .. } => {
                    writeln!(reply, "NOT_NOW i={i} ticket={:016x}", id.0)
                }
                Action::Abort { id, .. } => writeln!(reply, "GIVE_UP i={i} ticket={:016x}", id.0),
                Action::Release { id } => writeln!(reply, "FREE_STATE i={i} ticket={:016x}", id.0),
                Action::Cancel { .. } | Action::Complete { .. } => Ok(()),
            };
        }
    }
}
