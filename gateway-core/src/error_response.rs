//! What a client is told of a request that was not answered, and what it may do by itself then.
//!
//! Every front words these in its own protocol; which of them may be tried again is decided here, once for all. A
//! retry is called harmless only where nothing ran. An abort promises nothing, and no front may word it as something
//! that clients send again by themselves.

use crate::Reason;
use crate::buffered::{Final, Refusal};
use crate::ingress_limits::Shut;
use petrelshore::interface::Nanos;
use std::fmt;

/// When to come back where nothing tells a better time: to a gateway that stops or that is busy reading, or with a
/// key that is in hand.
pub const SOON: Nanos = 1_000_000_000;

/// What a client may do by itself after an answer that is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// Nothing ran: coming again is harmless, after this time.
    After(Nanos),
    /// Nothing ran, but the same request would fail again.
    Mended,
    /// The work may have run.
    Never,
}

/// Why a request was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    Rejected(Reason),
    Aborted(Reason),
    /// The gateway holds all that it may.
    GatewayFull,
    /// This client holds all that one may.
    ClientFull,
    /// This client withdraws what it asks before it is answered.
    Withdrawing,
    /// Too many bodies of requests are being read.
    Reading,
    Draining,
    KeyInHand,
    KeyReused,
    /// The client's time is too short for any answer.
    NoTime,
    /// The request is larger than any may be.
    TooLarge,
}

impl Cause {
    /// One word for programs, the same in every front.
    pub fn code(self) -> &'static str {
        match self {
            Cause::Rejected(_) => "rejected",
            Cause::Aborted(_) => "aborted",
            Cause::GatewayFull | Cause::Reading => "overloaded",
            Cause::ClientFull => "too_many_in_hand",
            Cause::Withdrawing => "too_many_withdrawn",
            Cause::Draining => "draining",
            Cause::KeyInHand => "idempotency_key_in_use",
            Cause::KeyReused => "idempotency_key_reused",
            Cause::NoTime => "no_time",
            Cause::TooLarge => "too_large",
        }
    }

    /// The field of the request's head that is to blame, if one is.
    pub fn field(self) -> Option<&'static str> {
        matches!(self, Cause::KeyInHand | Cause::KeyReused).then_some("Idempotency-Key")
    }
}

/// A request's end without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unanswered {
    pub cause: Cause,
    pub retry: Retry,
}

impl Unanswered {
    /// Of a final answer; none for one that was generated.
    pub fn of(last: &Final) -> Option<Unanswered> {
        match last {
            Final::Generated { .. } => None,
            Final::Rejected { retry_after, reason } => Some(Unanswered {
                cause: Cause::Rejected(*reason),
                retry: Retry::After(retry_after.unwrap_or(SOON)),
            }),
            Final::Aborted { reason } => {
                Some(Unanswered { cause: Cause::Aborted(*reason), retry: Retry::Never })
            }
        }
    }
}

impl From<Refusal> for Unanswered {
    fn from(refusal: Refusal) -> Unanswered {
        let (cause, retry) = match refusal {
            Refusal::GatewayFull { retry_after } => (Cause::GatewayFull, Retry::After(retry_after)),
            Refusal::ClientFull { retry_after } => (Cause::ClientFull, Retry::After(retry_after)),
            Refusal::Withdrawing { retry_after } => (Cause::Withdrawing, Retry::After(retry_after)),
            Refusal::Draining { retry_after } => (Cause::Draining, Retry::After(retry_after)),
            Refusal::KeyInHand { retry_after } => (Cause::KeyInHand, Retry::After(retry_after)),
            Refusal::KeyReused => (Cause::KeyReused, Retry::Mended),
            Refusal::NoTime => (Cause::NoTime, Retry::Mended),
        };
        Unanswered { cause, retry }
    }
}

impl From<Shut> for Unanswered {
    fn from(shut: Shut) -> Unanswered {
        match shut {
            Shut::TooLarge => Unanswered { cause: Cause::TooLarge, retry: Retry::Mended },
            Shut::Full | Shut::AddressFull => Unanswered { cause: Cause::Reading, retry: Retry::After(SOON) },
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Reason::NoRoom => "no model server can take it in time",
            Reason::Failed => "the model servers failed at it",
            Reason::OutOfTime => "it was not answered in time",
            Reason::Broken => "the answer broke off",
            Reason::Stalled => "the client took nothing of its answer",
            Reason::Draining => "this gateway is stopping",
            Reason::TooLong => "the answer is larger than a whole answer may be",
            Reason::Repeated => "a request with this idempotency key ended before and its answer is not kept",
        })
    }
}

impl fmt::Display for Unanswered {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.cause {
            Cause::Rejected(reason) => write!(f, "rejected: {reason}; trying again is harmless"),
            Cause::Aborted(reason) => write!(f, "aborted: {reason}; the work may have run"),
            Cause::GatewayFull => f.write_str("the gateway holds all that it may"),
            Cause::ClientFull => f.write_str("too many requests of yours are in hand"),
            Cause::Withdrawing => {
                f.write_str("too many requests of yours were withdrawn before their answer")
            }
            Cause::Reading => f.write_str("too many requests are being read"),
            Cause::Draining => f.write_str("this gateway is stopping"),
            Cause::KeyInHand => f.write_str("a request with this idempotency key is still running"),
            Cause::KeyReused => f.write_str("this idempotency key stands for another request"),
            Cause::NoTime => f.write_str("the time given is too short for any answer"),
            Cause::TooLarge => f.write_str("the request is larger than any may be"),
        }
    }
}
