//! Whether settings can keep the rules at all. Checked before anything starts, each finding with the rule it breaks.

use crate::timeouts;
use petrelshore::interface::{Deployment, Idempotency, KeyScope, Nanos, Role, TrafficTypeId};
use std::fmt;

/// A state needs two looks of the request manager, and an answer of its reader, to be let go in time.
const RELEASE_LEAST: Nanos = 100_000_000;
/// A client's time must hold a read and a write, with a connection each, and the way back.
const ABANDON_LEAST: Nanos = 100_000_000;

/// A setting that can't hold. `rule` is the one of the five that it would break; none where it breaks service.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    pub rule: Option<u8>,
    pub about: About,
}

#[derive(Clone, Debug, PartialEq)]
pub enum About {
    /// A client's time is too short for any answer.
    AbandonTooShort {
        traffic: TrafficTypeId,
        least: Nanos,
    },
    /// Every answer in time would be late.
    AbandonBeforeSlo {
        traffic: TrafficTypeId,
    },
    /// The group forgets a mark while an attempt with it may still be sent.
    WindowTooShort {
        traffic: TrafficTypeId,
        needed: Nanos,
    },
    NothingReads,
    NothingWrites,
    TooFewAttempts {
        least: usize,
    },
    ReleaseTooShort {
        least: Nanos,
    },
    /// The bound for a cold server leaves it nothing, or is none.
    ColdPart {
        multiple: f64,
        from: f64,
    },
}

impl fmt::Display for About {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |nanos: &Nanos| nanos / 1_000_000;
        match self {
            About::AbandonTooShort { least, .. } => {
                write!(f, "must be {} ms at the least, for a read, a write and the way back", ms(least))
            }
            About::AbandonBeforeSlo { .. } => {
                f.write_str("must be longer than latency_slo, or every late answer is lost")
            }
            About::WindowTooShort { needed, .. } => write!(
                f,
                "must be {} ms at the least: an attempt may be sent until abandon_time, and its group must still \
                 know the first one then",
                ms(needed)
            ),
            About::NothingReads => f.write_str("names nothing that reads prompts"),
            About::NothingWrites => f.write_str("names nothing that writes answers"),
            About::TooFewAttempts { least } => {
                let needed = if *least > 1 { "one to read, one to write" } else { "or nothing can be sent" };
                write!(f, "must be {least} at the least: {needed}")
            }
            About::ReleaseTooShort { least } => {
                write!(f, "must be {} ms at the least for a state to be let go in time", ms(least))
            }
            About::ColdPart { multiple, from } => write!(
                f,
                "a server that starts at {from} of its capacity and falls over at {multiple} times that can be sent \
                 nothing"
            ),
        }
    }
}

/// All that is wrong with a deployment whose types have these abandon times.
pub fn check(deployment: &Deployment, abandon_times: &[Nanos]) -> Vec<Finding> {
    let mut found = Vec::new();
    let mut say = |rule, about| found.push(Finding { rule, about });
    for (index, (traffic, abandon)) in deployment.types.iter().zip(abandon_times).enumerate() {
        let (id, abandon) = (TrafficTypeId(index), *abandon);
        if abandon < ABANDON_LEAST {
            say(Some(1), About::AbandonTooShort { traffic: id, least: ABANDON_LEAST });
        } else if abandon <= traffic.latency_slo {
            say(None, About::AbandonBeforeSlo { traffic: id });
        }
        if let Idempotency::Keyed { window, scope } = traffic.idempotency {
            // Repeats by the gateway end at its own give-up time; a client's own come later, to any server.
            let needed = match scope {
                KeyScope::Fleet => abandon.saturating_mul(2),
                KeyScope::Zone | KeyScope::Cell => timeouts::first_token_deadline(0, abandon),
            };
            if window < needed {
                say(Some(2), About::WindowTooShort { traffic: id, needed });
            }
        }
    }
    let roles = |wanted: &[Role]| deployment.kinds.iter().any(|kind| wanted.contains(&kind.role));
    if !roles(&[Role::Prefill, Role::Combined]) && !deployment.decode_servers_prefill {
        say(None, About::NothingReads);
    }
    if !roles(&[Role::Decode, Role::Combined]) {
        say(None, About::NothingWrites);
    }
    let whole = roles(&[Role::Combined]) || (deployment.decode_servers_prefill && roles(&[Role::Decode]));
    let least = if whole { 1 } else { 2 };
    if deployment.max_attempts < least {
        say(None, About::TooFewAttempts { least });
    }
    if deployment.release_timeout < RELEASE_LEAST {
        say(Some(5), About::ReleaseTooShort { least: RELEASE_LEAST });
    }
    let (multiple, from) = (deployment.slow_start_overload_factor, deployment.slow_start_initial_share);
    if multiple * from <= 0.0 || multiple < 1.0 {
        say(Some(4), About::ColdPart { multiple, from });
    }
    found
}
