//! Generates deployments and endpoint lists of any size, with zones, cells and roles in the proportions of the service.

use petrelshore::interface::{
    CellId, Delivery, Deployment, Discovery, Endpoint, EndpointState, Idempotency, Nanos, Role, ServerId,
    ServerKind, ServerKindId, StartTimeClock, Tenant, TrafficType, Weights, ZoneId,
};

/// One millisecond, in nanoseconds.
pub const MILLISECOND: Nanos = 1_000_000;
/// One second, in nanoseconds.
pub const SECOND: Nanos = 1_000 * MILLISECOND;
/// Number of zones of the whole service.
pub const ZONES: usize = 7;
/// Number of model servers of a cell.
pub const CELL_SERVERS: u64 = 20;
/// Number of prefill servers in each group of [`GROUP_SERVERS`] servers: 26%.
const GROUP_PREFILL_SERVERS: u64 = 13;
const GROUP_SERVERS: u64 = 50;
/// Number of prompt and answer tokens that the memory of a model server holds.
pub const MEMORY_TOKENS: f64 = 400_000.0;
/// The odd multiplier of a multiplicative hash. The hash spreads server IDs over 64 bits like those of real servers.
const HASH_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// The parameters in which generated deployments differ.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of gateways.
    pub gateways: usize,
    /// Number of model servers.
    pub servers: u64,
    /// Number of tenants.
    pub tenants: usize,
    /// The quota of each tenant, in requests per second over all gateways.
    pub tenant_rate: f64,
    /// The time for which a server is in slow start after its start, in nanoseconds.
    pub slow_start: Nanos,
}

/// Generates the deployment of the given size, as a gateway in zone `zone` sees it.
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

/// Returns the zone of the server with this number. Consecutive cells are assigned to the zones in turn.
pub fn zone_of(number: u64) -> usize {
    (number / CELL_SERVERS) as usize % ZONES
}

/// Returns whether the server with this number is a prefill server.
pub fn is_prefill_server(number: u64) -> bool {
    (number * GROUP_PREFILL_SERVERS) % GROUP_SERVERS < GROUP_PREFILL_SERVERS
}

/// Generates the endpoint of the server with this number.
pub fn endpoint(number: u64, started_at: Nanos) -> Endpoint {
    Endpoint {
        server: ServerId(number.wrapping_add(1).wrapping_mul(HASH_FACTOR)),
        kind: ServerKindId(usize::from(!is_prefill_server(number))),
        cell: CellId((number / CELL_SERVERS) as i64),
        zone: ZoneId(zone_of(number)),
        weight: 1.0,
        started_at,
        state: EndpointState::Ready,
    }
}

/// Generates an endpoint list of `servers` servers. The share `slow_start_share` of the servers started at
/// `started_at`, the other servers at time 0.
pub fn fleet(servers: u64, slow_start_share: f64, started_at: Nanos) -> Vec<Endpoint> {
    let in_slow_start = |number: u64| {
        ((number + 1) as f64 * slow_start_share).floor() > (number as f64 * slow_start_share).floor()
    };
    (0..servers).map(|number| endpoint(number, if in_slow_start(number) { started_at } else { 0 })).collect()
}
