//! Holds what a gateway has in hand: sequences, the state of each schedule attempt, and every timer.
//!
//! [`buffered`] keeps what belongs to a serving gateway's sequences round it, [`passthrough`] the same where events pass unchanged.
//!
//! No I/O and no clock: a shell reports events with the time, and carries out the [`Action`]s it gets back. The
//! bench's adapter and the gateway are two such shells. Where to send and what follows an outcome is asked of
//! `petrelshore::Scheduler`; what only a serving gateway meets is decided beside it: what an ending proves
//! ([`attempt_outcome`]), who may come in ([`ingress_limits`]) and how much may be held at once ([`capacity`]), how long a running stream
//! may be silent or stalled ([`timeouts`]) and whether one that broke goes on ([`stream_resumption`]), what a request is to the
//! decisions ([`token_estimate`]), which connection it rides on ([`connection_pool`]), which states are still to be let go
//! ([`cache_releases`]) and where a sequence left one ([`cache_leases`]), whom a full table closes ([`client_connections`]), how a gateway leaves
//! that is told to stop ([`graceful_shutdown`]), what a repeated request is told ([`idempotency`]), how much a client may withdraw
//! ([`cancellation_limits`]), and what one that got no answer may do by itself ([`error_response`]). Of connections that carry many
//! calls it is decided how their peers may behave ([`http2_abuse`]) and which stream is at fault when all stand still
//! ([`flow_control`]).
//! [`send_gate`] says in the last instant whether an attempt may still begin, and [`invariants`] counts what breaks a rule all the
//! same. [`settings_validation`] says whether settings can keep the rules at all; [`policy`] has a baseline to compare with.

pub mod attempt_outcome;
pub mod cache_leases;
pub mod cache_releases;
pub mod cancellation_limits;
pub mod capacity;
pub mod client_connections;
pub mod connection_pool;
pub mod error_response;
pub mod fingerprint;
pub mod flow_control;
pub mod graceful_shutdown;
pub mod http2_abuse;
pub mod idempotency;
pub mod ingress_limits;
pub mod invariants;
pub mod policy;
pub mod request_manager;
pub mod request_table;
pub mod send_gate;
pub mod settings_validation;
pub mod stream_resumption;
pub mod timeouts;
pub mod token_estimate;

pub use policy::Chooser;
pub use request_manager::{
    Action, Counts, Dispatch, FailureReason, Finality, NewSequence, Relay, RequestManager,
};
pub use request_table::{buffered, passthrough};
