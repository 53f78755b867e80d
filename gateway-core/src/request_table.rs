//! The request tables: all that a gateway keeps for its requests round the request manager.
//!
//! A table turns events on sockets into events of the [`RequestManager`](crate::RequestManager), and its actions into
//! commands for the runtime. There are two of them: [`buffered`], for APIs that word the answers themselves, and
//! [`passthrough`], for streams whose events pass unchanged. Both keep their entries, capacity and pending releases in a
//! `store`, and apply actions as an `action_handler`.
//!
//! What they know of KV caches differs, and stays apart. In the buffered table each attempt has a request id of its own,
//! and a prefill server hands out transfer parameters for its KV cache, so a release names one KV cache exactly. In the
//! passthrough table all attempts of a sequence share one request id, so a release would also hit the KV cache that a
//! running attempt is to leave or to fetch: pending releases are revoked before each attempt, and
//! [`CacheLeases`](crate::cache_leases::CacheLeases) tell what is to be released afterwards.

mod action_handler;
pub mod buffered;
mod final_answer;
pub mod passthrough;
mod store;
