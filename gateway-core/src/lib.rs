//! Holds what a gateway has in hand: sequences, the state of each schedule attempt, and every timer.
//!
//! [`desk`] keeps what belongs to a serving gateway's sequences round it, [`passage`] the same where events pass unchanged.
//!
//! No I/O and no clock: a shell reports events with the time, and carries out the [`Action`]s it gets back. The
//! bench's adapter and the gateway are two such shells. Where to send and what follows an outcome is asked of
//! `petrelshore::Scheduler`; what only a serving gateway meets is decided beside it: what an ending proves
//! ([`proof`]), who may come in ([`doors`]) and how much may be held at once ([`limits`]), how long a running stream
//! may be silent or stalled ([`pace`]) and whether one that broke goes on ([`continuation`]), what a request is to the
//! decisions ([`intake`]), which connection it rides on ([`connections`]), which states are still to be let go
//! ([`releases`]) and where a sequence left one ([`leases`]), whom a full table closes ([`connection_table`]), how a gateway leaves
//! that is told to stop ([`leaving`]), what a repeated request is told ([`replays`]), how much a client may withdraw
//! ([`withdrawals`]), and what one that got no answer may do by itself ([`answers`]). Of connections that carry many
//! calls it is decided how their peers may behave ([`manners`]) and which stream is at fault when all stand still
//! ([`windows`]).
//! [`permission`] says in the last instant whether an attempt may still begin, and [`audit`] counts what breaks a rule all the
//! same. [`terms`] says whether settings can keep the rules at all; [`policy`] has a baseline to compare with.

pub mod answers;
pub mod audit;
pub mod conductor;
pub mod connection_table;
pub mod connections;
pub mod continuation;
pub mod desk;
pub mod doors;
pub mod intake;
pub mod leases;
pub mod leaving;
pub mod limits;
pub mod manners;
pub mod pace;
pub mod passage;
pub mod permission;
pub mod policy;
pub mod proof;
pub mod releases;
pub mod replays;
pub mod terms;
pub mod windows;
pub mod withdrawals;

pub use conductor::{Action, Conductor, Counts, Dispatch, NewSequence, Reason, Relay};
pub use policy::Chooser;
