//! Deployments and lists of model servers of any size, in the proportions of the service.

use petrelshore::interface::*;

pub const MILLISECOND: Nanos = 1_000_000;
pub const SECOND: Nanos = 1_000 * MILLISECOND;
/// Zones over the whole service.
pub const ZONES: usize = 7;
/// Model servers of a cell.
pub const CELL: u64 = 20;
/// Of so many servers that many are prefill servers: 26 in 100.
const PREFILL: (u64, u64) = (13, 50);
/// Prompt and answer tokens that a server's memory holds.
pub const MEMORY_TOKENS: f64 = 400_000.0;
/// The odd constant of a multiplicative hash: it spreads names as those of real servers are.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// What varies between deployments of one size.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub gateways: usize,
    pub servers: u64,
    pub tenants: usize,
    /// Requests a second of each tenant over all gateways, by its quota.
    pub tenant_rate: f64,
    /// How long a server counts as cold after its start.
    pub slow_start: Nanos,
}

pub fn deployment(size: Size, zone: usize) -> Deployment {
    let traffic = TrafficType {
        priority_weight: 1.0,
        latency_slo: 1_500 * MILLISECOND,
        slo_per_prompt_token: 0,
        token_interval: 38 * MILLISECOND,
        idempotency: Idempotency::Idempotent,
        delivery: Delivery::Streamed,
    };
    Deployment {
        gateways: size.gateways,
        zone: ZoneId(zone),
        types: vec![traffic],
        kinds: [Role::Prefill, Role::Decode]
            .map(|role| ServerKind { role, memory_tokens: MEMORY_TOKENS })
            .into(),
        tenants: vec![Tenant { per_second: size.tenant_rate }; size.tenants],
        over_quota_factor: 0.1,
        weights: Weights::Unused,
        discovery: Discovery::Pushed,
        max_poll_interval: SECOND,
        max_attempts: 4,
        max_retry_after: Some(SECOND),
        decode_servers_prefill: false,
        release_timeout: 500 * MILLISECOND,
        slow_start_duration: size.slow_start,
        slow_start_initial_share: 0.3,
        slow_start_overload_factor: 2.5,
        slow_start_window: 2 * SECOND,
        timer_resolution: 0,
        start_time_clock: StartTimeClock::Local,
    }
}

/// The zone of a server by its number: cells go round the zones.
pub fn zone_of(number: u64) -> usize {
    (number / CELL) as usize % ZONES
}

/// Whether a server by its number is a prefill server.
pub fn prefills(number: u64) -> bool {
    (number * PREFILL.0) % PREFILL.1 < PREFILL.0
}

pub fn endpoint(number: u64, since: Nanos) -> Endpoint {
    Endpoint {
        server: ServerId(number.wrapping_add(1).wrapping_mul(SPREAD)),
        kind: ServerKindId(usize::from(!prefills(number))),
        cell: CellId((number / CELL) as i64),
        zone: ZoneId(zone_of(number)),
        weight: 1.0,
        started_at: since,
        state: EndpointState::Ready,
    }
}

/// A list of so many servers, of which this share started at `started` and the others long ago.
pub fn fleet(servers: u64, slow_start: f64, started: Nanos) -> Vec<Endpoint> {
    let cold =
        |number: u64| ((number + 1) as f64 * slow_start).floor() > (number as f64 * slow_start).floor();
    (0..servers).map(|number| endpoint(number, if cold(number) { started } else { 0 })).collect()
}
