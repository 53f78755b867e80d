//! Tests how exchanges end with model servers that behave correctly or faultily, over loopback connections.

mod liveness;
mod responses;
mod reuse;
mod sending;
mod support;
