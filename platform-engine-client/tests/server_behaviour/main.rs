//! How exchanges with model servers that behave well or badly end, on loopback.

mod liveness;
mod responses;
mod reuse;
mod sending;
mod support;
