//! A client for model servers with disaggregated prefill and decode, as public engines define it: OpenAI-style completions
//! with `kv_transfer_params` handed from the prefill server to the decode server, and load in `endpoint-load-metrics`
//! headers.
//!
//! [`Client::prefill`], [`Client::decode`] and [`Client::release`] make one exchange each and report how it ended; what an
//! end proves is decided in the request manager. Dropping a future of theirs, or a [`DecodeStream`], aborts the exchange by
//! closing its connection. `docs/engine.md` says what of the wire format is published and what was added.

mod client;
mod decode_stream;
mod orca;
mod pool;
mod request;
mod sse;
mod wire_format;

pub use client::Client;
pub use decode_stream::DecodeStream;
pub use orca::{Load, parse as parse_load};
pub use petrelshore_runtime::Spawner;
pub use request::{CompletionRequest, PrefillResult, Reply};
pub use sse::{Events, InvalidEvent};
