//! Tracks the requests in flight at a gateway: every sequence, its attempts and its timers.
//!
//! This crate does no I/O and reads no clock. A runtime reports events together with the time, and executes the actions
//! or commands that the crate returns. The gateways, the capacity simulation and the bench adapter are such runtimes.
//!
//! - [`RequestManager`] tracks sequences and their timers, and schedules attempts with [`petrelshore::Scheduler`] or
//!   another [`policy`]. Most runtimes use it through a request table: [`buffered`] for APIs that compose the answers
//!   themselves, or [`passthrough`] for streams whose events are forwarded unchanged.
//! - Attempts: [`attempt_outcome`] defines what the end of an exchange proves, [`timeouts`] how long a stream may be
//!   silent, [`stream_resumption`] which broken streams are resumed, and [`send_gate`] whether an attempt may be sent.
//! - KV caches: [`cache_leases`] tracks which servers may hold a KV cache of a sequence, and [`cache_releases`] tracks
//!   the pending releases.
//! - Admission: [`ingress_limits`] and [`capacity`] limit the requests in flight, and [`cancellation_limits`] limits
//!   how many requests a client may cancel. [`idempotency`] replays the answers of repeated requests, and
//!   [`token_estimate`] estimates the lengths of prompts.
//! - Connections: [`connection_pool`] manages connections to model servers and [`client_connections`] connections from
//!   clients. [`flow_control`] and [`http2_abuse`] serve connections that carry many streams.
//! - [`endpoint_history`] keeps an older endpoint list from undoing what newer lists have told.
//! - [`graceful_shutdown`] plans the time from the stop signal to the exit, and [`error_response`] defines the errors
//!   that clients receive.
//! - [`event_budget`] limits how many individual events are logged.
//! - [`invariants`] counts violations at run time, and [`settings_validation`] checks whether the settings allow the
//!   rules to be kept.

pub mod attempt_outcome;
pub mod cache_leases;
pub mod cache_releases;
pub mod cancellation_limits;
pub mod capacity;
pub mod client_connections;
pub mod connection_pool;
pub mod endpoint_history;
pub mod error_response;
pub mod event_budget;
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

pub use policy::PolicyKind;
pub use request_manager::{
    Action, CancelReason, Counts, Dispatch, FailureReason, Finality, NewSequence, Relay, RequestManager,
};
pub use request_table::{buffered, passthrough};
