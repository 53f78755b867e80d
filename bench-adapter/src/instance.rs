//! One gateway on the wire: a request manager, and the names that translate between the manager and the wire. The
//! request manager makes all decisions.

use crate::endpoints::ServerNames;
use crate::error::WireError;
use crate::event::{Configuration, Event, ServerLoad, Timer};
use crate::line::Line;
use crate::reply::{Command, Reply};
use petrelshore::interface::{Discovery, Nanos};
use petrelshore_gateway_core::{Action, Dispatch, Finality, RequestManager};
use petrelshore_platform_protocol::settings::Names;
use std::fmt::Write;

/// A configured gateway.
pub(crate) struct Instance {
    number: u64,
    manager: RequestManager,
    names: Names,
    servers: ServerNames,
    actions: Vec<Action>,
}

impl Instance {
    /// Starts a gateway and appends its first replies to `replies`.
    pub(crate) fn start(number: u64, now: Nanos, configuration: Configuration, replies: &mut String) -> Self {
        let Configuration { deployment, names, seed } = configuration;
        if deployment.discovery == Discovery::Polled {
            write_reply(replies, number, Command::PollEndpoints);
        }
        Instance {
            number,
            manager: RequestManager::new(now, deployment, seed),
            names,
            servers: ServerNames::default(),
            actions: Vec::new(),
        }
    }

    /// Decodes a message for this gateway; `entries` are the entries of an endpoint list.
    pub(crate) fn decode(&mut self, line: &Line, entries: &[Line], now: Nanos) -> Result<Event, WireError> {
        match line.kind {
            "MEMBERS" => Event::decode_list(line, entries, &self.names, &mut self.servers),
            _ => Event::decode(line, &self.names, now),
        }
    }

    /// Handles an event and appends the resulting replies to `replies`.
    pub(crate) fn handle(&mut self, now: Nanos, event: Event, replies: &mut String) {
        match event {
            Event::Request(new) => self.manager.accept(now, new, &mut self.actions),
            Event::FirstToken { id, attempt } => self.manager.first_token(now, id, attempt),
            Event::AttemptFinished { id, attempt, outcome, is_last, load } => {
                self.load_reported(now, load);
                self.manager.attempt_finished(
                    now,
                    id,
                    attempt,
                    outcome,
                    Finality::final_if(is_last),
                    &mut self.actions,
                );
            }
            Event::ClientCancelled(id) => self.manager.client_cancelled(id, &mut self.actions),
            Event::TimerFired(Timer::PollEndpoints) => {
                write_reply(replies, self.number, Command::PollEndpoints);
            }
            Event::TimerFired(Timer::RetryScheduling(id)) => {
                self.manager.retry_scheduling(now, id, &mut self.actions);
            }
            Event::LoadReported(load) => self.load_reported(now, load),
            Event::EndpointList { scope, endpoints } => {
                self.manager.update_endpoints(now, scope, &endpoints);
            }
            Event::EndpointPollFailed => self.manager.endpoint_poll_failed(now, &mut self.actions),
            Event::TimerFired(Timer::Unknown) | Event::Ignored => {}
        }
        self.write_actions(replies);
    }

    fn load_reported(&mut self, now: Nanos, load: ServerLoad) {
        if let Some(report) = load.report {
            self.manager.load_reported(now, load.server, report);
        }
    }

    /// Writes the actions as replies, except those that have no message on the wire: the bench itself enforces the
    /// attempt timeouts, ends the attempts of cancelled requests, and takes the outcome of the last attempt as the
    /// final answer.
    fn write_actions(&mut self, replies: &mut String) {
        for action in self.actions.drain(..) {
            let command = match action {
                Action::Send(Dispatch { id, timeout, server, .. }) => {
                    Command::Forward { id, timeout, server: self.servers.name(server) }
                }
                Action::WakeAt { id, at } => Command::WakeAt { id, at },
                Action::PollEndpoints { at } => Command::PollAt { at },
                Action::Reject { id, retry_after, .. } => Command::Reject { id, retry_after },
                Action::Abort { id, .. } => Command::Abort { id },
                Action::Release { id } => Command::Release { id },
                Action::Cancel { .. } | Action::Complete { .. } => continue,
            };
            write_reply(replies, self.number, command);
        }
    }
}

fn write_reply(replies: &mut String, instance: u64, command: Command) {
    // Writing to a string can't fail.
    let _ = writeln!(replies, "{}", Reply { instance, command });
}
