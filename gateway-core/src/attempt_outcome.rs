//! What the end of an exchange with a model server proves.
//!
//! Rule 2 rests on this table: only an ending that proves the attempt never ran lets once-only work be tried
//! again or be rejected. Whatever is not provably without effect counts as one that may have had it.

use petrelshore::interface::Outcome;

/// How an exchange with a model server ended, as its socket showed it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ending {
    /// The whole answer came, with its closing mark.
    Generated,
    /// The prompt is read; so many of its tokens had been kept.
    ReadDone { kept: f64 },
    /// No connection was made, so no byte of the request went out.
    NotConnected,
    /// The request came back from the connection unwritten, and no other connection was to be had.
    HandedBack,
    /// The gateway itself did not send it: what was told meanwhile forbids it, or all of its own connections are taken.
    NotSent,
    /// The server said, by its documented code, that it has no room and has not begun.
    RefusedFull,
    /// The server said, by its documented code, that the read state it was to fetch is not there.
    StateMissing,
    /// Any other error status. It may have come after some work.
    Refused { status: u16 },
    /// The connection broke after bytes of the request may have gone out, fresh or pooled alike.
    Reset,
    /// The answer is not what the protocol allows: cut short, oversized, or garbage.
    Malformed,
    /// No sign within the attempt's time.
    TimedOut,
    /// The gateway itself broke it off.
    Cancelled,
}

impl Ending {
    /// The outcome that the decisions are told; `began` once a token has come.
    pub fn outcome(self, began: bool) -> Outcome {
        if began && self.proves_unrun() {
            return Outcome::Error; // what has answered has run, whatever it says later
        }
        match self {
            Ending::Generated => Outcome::Completed,
            Ending::ReadDone { kept } => Outcome::PrefillDone { cached_tokens: kept },
            Ending::NotConnected => Outcome::ConnectFailed,
            Ending::HandedBack | Ending::NotSent => Outcome::NeverSent,
            Ending::RefusedFull => Outcome::AtCapacity,
            Ending::StateMissing => Outcome::KvCacheMissing,
            Ending::Refused { .. } | Ending::Malformed => Outcome::Error,
            Ending::Reset => Outcome::Reset,
            Ending::TimedOut => Outcome::TimedOut,
            Ending::Cancelled => Outcome::Cancelled,
        }
    }

    /// Whether its server said something.
    pub fn answered(self) -> bool {
        !matches!(
            self,
            Ending::NotConnected
                | Ending::HandedBack
                | Ending::NotSent
                | Ending::Reset
                | Ending::TimedOut
                | Ending::Cancelled
        )
    }

    /// Whether the attempt provably never ran.
    pub fn proves_unrun(self) -> bool {
        match self {
            Ending::NotConnected
            | Ending::HandedBack
            | Ending::NotSent
            | Ending::RefusedFull
            | Ending::StateMissing => true,
            Ending::Generated
            | Ending::ReadDone { .. }
            | Ending::Refused { .. }
            | Ending::Reset
            | Ending::Malformed
            | Ending::TimedOut
            | Ending::Cancelled => false,
        }
    }
}
