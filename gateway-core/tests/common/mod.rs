//! A deployment of prefill and decode servers with one traffic type.
#![allow(dead_code)] // Each test file uses only some of the items.

use petrelshore::interface::*;

pub const MS: Nanos = 1_000_000;
pub const S: Nanos = 1_000 * MS;
/// The time at which tests start their gateways.
pub const START: Nanos = 1_000 * S;

pub fn deployment() -> Deployment {
    let kind = |role| ServerKind { role, memory_tokens: 100_000.0 };
    Deployment {
        gateways: 1,
        zone: ZoneId(0),
        types: vec![TrafficType {
            priority_weight: 1.0,
            latency_slo: S,
            slo_per_prompt_token: 0,
            token_interval: 20 * MS,
            idempotency: Idempotency::Idempotent,
            delivery: Delivery::Streamed,
        }],
        kinds: vec![kind(Role::Prefill), kind(Role::Decode)],
        tenants: vec![],
        over_quota_factor: 0.1,
        weights: Weights::Unused,
        discovery: Discovery::Pushed,
        max_poll_interval: S,
        max_attempts: 4,
        max_retry_after: None,
        decode_servers_prefill: false,
        release_timeout: 500 * MS,
        slow_start_duration: 10 * S,
        slow_start_initial_share: 0.3,
        slow_start_overload_factor: 2.5,
        slow_start_window: S,
        timer_resolution: 0,
        start_time_clock: StartTimeClock::Local,
    }
}
