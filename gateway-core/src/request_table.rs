//! The request tables: the state that a gateway keeps for its requests in addition to the request manager.
//!
//! A table turns events on sockets into events of the [`RequestManager`](crate::RequestManager), and the request
//! manager's actions into commands for the runtime. There are two tables: [`buffered`], for APIs that compose their
//! responses themselves, and [`passthrough`], for streams whose events are forwarded unchanged. Both keep their
//! entries, capacity and pending releases in a `RequestStore`, and apply actions through the trait `ActionHandler`.
//!
//! The two tables track KV caches differently, so this state is not shared. In the buffered table each attempt has a
//! request id of its own, and a prefill server returns transfer parameters for its KV cache, so a release identifies
//! exactly one KV cache. In the passthrough table all attempts of a sequence share one request id, so a release would
//! also release the KV cache that a running attempt creates or fetches. Therefore pending releases are revoked before
//! each attempt, and [`CacheLeases`](crate::cache_leases::CacheLeases) records the KV caches to release afterwards.

mod action_handler;
pub mod buffered;
mod final_answer;
pub mod passthrough;
mod store;
