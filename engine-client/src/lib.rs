//! A client for model servers with disaggregated prefill and decode, in the wire format of public engines: OpenAI-style
//! completions whose `kv_transfer_params` are passed from the prefill server to the decode server, and load reports in
//! `endpoint-load-metrics` headers. `docs/engine.md` lists which parts of the wire format are published by engines and
//! which are additions.
//!
//! [`Client::prefill`], [`Client::decode`] and [`Client::release`] make one exchange each and report how the exchange
//! ended. The request manager decides what this end proves. Dropping the future of such a call, or a [`DecodeStream`],
//! aborts the exchange by closing its connection.

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
pub use sse::{EventParser, InvalidEvent};
