//! Tests of the passthrough request table and of the request manager's passthrough streams.

#[path = "../common/mod.rs"]
mod common;

mod capacity;
mod fixtures;
mod random_faults;
mod releases;
mod sending;
mod streams;
