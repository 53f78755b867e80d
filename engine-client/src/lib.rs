//! Speaks to model servers as prefill/decode engines publish it: OpenAI-style completions with
//! `kv_transfer_params` handed from the reader to the writer, load in `endpoint-load-metrics` headers.
//!
//! [`Client::read`] and [`Client::write`] make one exchange each and say how it ended; what an ending proves is
//! decided in the request manager. Dropping either future, or a [`DecodeStream`], breaks the exchange off by closing its
//! connection. `docs/engine.md` says what of the wire is published and what was added.

mod client;
mod orca;
mod pool;
mod sse;

pub use client::{Client, CompletionRequest, DecodeStream, PrefillResult, Reply};
pub use orca::{Load, parse as parse_load};
pub use petrelshore_runtime::Spawner;
pub use sse::{Events, Oversized};
