//! What the end of an exchange with a model server proves.
//!
//! Rule 2 rests on this table: only an ending that proves the attempt never ran lets once-only work be tried
//! again or be rejected. Whatever is not provably without effect counts as one that may have had it.

use petrelshore::interface::Outcome;

/// How an exchange with a model server ended, as its socket showed it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptEnd {
    /// The whole answer came, with its closing mark.
    Completed,
    /// The prompt is read; so many of its tokens had been kept.
    PrefillDone { cached_tokens: f64 },
    /// No connection was made, so no byte of the request went out.
    NotConnected,
    /// The request came back from the connection unwritten, and no other connection was to be had.
    ReturnedUnsent,
    /// The gateway itself did not send it: what was told meanwhile forbids it, or all of its own connections are taken.
    NotSent,
    /// The server said, by its documented code, that it has no room and has not begun.
    AtCapacity,
    /// The server said, by its documented code, that the read state it was to fetch is not there.
    KvCacheMissing,
    /// Any other error status. It may have come after some work.
    ErrorStatus { status: u16 },
    /// The connection broke after bytes of the request may have gone out, fresh or pooled alike.
    Reset,
    /// The answer is not what the protocol allows: cut short, oversized, or garbage.
    Malformed,
    /// No sign within the attempt's time.
    TimedOut,
    /// The gateway itself broke it off.
    Cancelled,
}

impl AttemptEnd {
    /// The outcome that the decisions are told; `began` once a token has come.
    pub fn outcome(self, began: bool) -> Outcome {
        if began && self.proves_not_run() {
            return Outcome::Error; // what has answered has run, whatever it says later
        }
        match self {
            AttemptEnd::Completed => Outcome::Completed,
            AttemptEnd::PrefillDone { cached_tokens: kept } => Outcome::PrefillDone { cached_tokens: kept },
            AttemptEnd::NotConnected => Outcome::ConnectFailed,
            AttemptEnd::ReturnedUnsent | AttemptEnd::NotSent => Outcome::NeverSent,
            AttemptEnd::AtCapacity => Outcome::AtCapacity,
            AttemptEnd::KvCacheMissing => Outcome::KvCacheMissing,
            AttemptEnd::ErrorStatus { .. } | AttemptEnd::Malformed => Outcome::Error,
            AttemptEnd::Reset => Outcome::Reset,
            AttemptEnd::TimedOut => Outcome::TimedOut,
            AttemptEnd::Cancelled => Outcome::Cancelled,
        }
    }

    /// Whether its server said something.
    pub fn server_answered(self) -> bool {
        !matches!(
            self,
            AttemptEnd::NotConnected
                | AttemptEnd::ReturnedUnsent
                | AttemptEnd::NotSent
                | AttemptEnd::Reset
                | AttemptEnd::TimedOut
                | AttemptEnd::Cancelled
        )
    }

    /// Whether the attempt provably never ran.
    pub fn proves_not_run(self) -> bool {
        match self {
            AttemptEnd::NotConnected
            | AttemptEnd::ReturnedUnsent
            | AttemptEnd::NotSent
            | AttemptEnd::AtCapacity
            | AttemptEnd::KvCacheMissing => true,
            AttemptEnd::Completed
            | AttemptEnd::PrefillDone { .. }
            | AttemptEnd::ErrorStatus { .. }
            | AttemptEnd::Reset
            | AttemptEnd::Malformed
            | AttemptEnd::TimedOut
            | AttemptEnd::Cancelled => false,
        }
    }
}
