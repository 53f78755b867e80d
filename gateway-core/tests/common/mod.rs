//! A small deployment of readers and writers.
#![allow(dead_code)] // Each test file uses its own part.

use petrelshore::interface::*;

pub const MS: Nanos = 1_000_000;
pub const S: Nanos = 1_000 * MS;
pub const START: Nanos = 1_000 * S;

pub fn deployment() -> Deployment {
    let kind = |role| Kind { role, memory_tokens: 100_000.0 };
    Deployment {
        gateways: 1,
        zone: ZoneId(0),
        types: vec![TrafficType {
            utility: 1.0,
            latency_slo: S,
            slo_per_prompt_token: 0,
            token_pace: 20 * MS,
            effect: Effect::Repeatable,
            delivery: Delivery::Streamed,
        }],
        kinds: vec![kind(Role::Reader), kind(Role::Writer)],
        tenants: vec![],
        over_share_utility: 0.1,
        weights: Weights::Unused,
        discovery: Discovery::Pushed,
        ask_within: S,
        max_attempts: 4,
        longest_retry_after: None,
        writers_read: false,
        release_within: 500 * MS,
        cold_for: 10 * S,
        cold_from: 0.3,
        cold_multiple: 2.5,
        cold_window: S,
        tick: 0,
        start_stamps: StartStamps::OwnClock,
    }
}
