//! The requests in flight at a gateway: each sequence, its attempts, and every timer.
//!
//! There is no I/O and no clock in here. A runtime reports events together with the time, and executes the actions or
//! commands that it gets back; the gateways, the capacity simulation and the bench adapter are such runtimes.
//!
//! - [`RequestManager`] tracks sequences and their timers, and schedules attempts by [`petrelshore::Scheduler`], or by
//!   another [`policy`]. Most runtimes use it through a request table: [`buffered`], for APIs that word the answers
//!   themselves, or [`passthrough`], for streams whose events pass unchanged.
//! - Attempts: [`attempt_outcome`] tells what the end of an exchange proves, [`timeouts`] how long a stream may be silent,
//!   [`stream_resumption`] whether a broken one is resumed, [`send_gate`] whether an attempt may be sent at all.
//! - KV caches: [`cache_leases`] tracks where a sequence may have left one, [`cache_releases`] the pending releases.
//! - Admission: [`ingress_limits`] and [`capacity`] bound what is in flight, [`cancellation_limits`] what a client may
//!   cancel; [`idempotency`] replays the answers of repeated requests, [`token_estimate`] estimates lengths.
//! - Connections: [`connection_pool`] to model servers, [`client_connections`] from clients, [`flow_control`] and
//!   [`http2_abuse`] for connections that carry many streams.
//! - [`graceful_shutdown`] plans the time from the stop signal to the exit, and [`error_response`] words the errors.
//! - [`event_budget`] bounds how many single events are logged.
//! - [`invariants`] counts violations at run time, and [`settings_validation`] tells whether settings can keep the rules.

pub mod attempt_outcome;
pub mod cache_leases;
pub mod cache_releases;
pub mod cancellation_limits;
pub mod capacity;
pub mod client_connections;
pub mod connection_pool;
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

pub use policy::Chooser;
pub use request_manager::{
    Action, CancelReason, Counts, Dispatch, FailureReason, Finality, NewSequence, Relay, RequestManager,
};
pub use request_table::{buffered, passthrough};
