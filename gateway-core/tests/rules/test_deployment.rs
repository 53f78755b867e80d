//! Deployments, endpoints and sequences for the tests of the rules.

use oorandom::Rand64;
use petrelshore::interface::{
    CellId, Delivery, Deployment, Discovery, Endpoint, EndpointState, Idempotency, KeyScope, Nanos, Role,
    SequenceId, ServerId, ServerKind, ServerKindId, StartTimeClock, TrafficType, TrafficTypeId, Weights,
    ZoneId,
};
use petrelshore_gateway_core::{NewSequence, Relay};

pub(crate) const MS: Nanos = 1_000_000;
/// The number of servers.
pub(crate) const SERVERS: usize = 6;
/// Indices of the traffic types of [`deployment`].
pub(crate) const IDEMPOTENT: usize = 0;
pub(crate) const AT_MOST_ONCE: usize = 1;
pub(crate) const KEYED: usize = 2;

/// Time in which a KV cache must be released, in nanoseconds.
const RELEASE_TIMEOUT: Nanos = 500 * MS;

/// A deployment and the server kind of each server.
pub(crate) struct TestDeployment {
    pub(crate) deployment: Deployment,
    /// Index into the server kinds of the deployment, by server.
    kinds: [usize; SERVERS],
}

impl TestDeployment {
    /// Two prefill servers, three decode servers and one combined server.
    pub(crate) fn usual() -> Self {
        TestDeployment { deployment: deployment(), kinds: [0, 0, 1, 1, 1, 2] }
    }

    /// A random mix of roles and limits, within what the settings allow.
    pub(crate) fn any(random: &mut Rand64) -> Self {
        let mut deployment = deployment();
        let mut below = |bound: u64| random.rand_range(0..bound) as usize;
        let kinds: &[usize] = [&[0, 1, 2][..], &[0, 1], &[0, 2], &[1, 2], &[0], &[1], &[2]][below(7)];
        deployment.max_attempts = 1 + below(3);
        deployment.decode_servers_prefill = below(2) == 0;
        deployment.gateways = [1, 300][below(2)];
        deployment.weights = [Weights::Size, Weights::Unused][below(2)];
        deployment.max_retry_after = [None, Some(0), Some(60_000 * MS)][below(3)];
        deployment.release_timeout = [30, 200, 500, 5_000][below(4)] * MS;
        deployment.timer_resolution = [0, 4, 25][below(3)] * MS;
        let scope = [KeyScope::Fleet, KeyScope::Zone, KeyScope::Cell][below(3)];
        deployment.types[KEYED].idempotency =
            Idempotency::Keyed { scope, window: [0, 100, 3_000][below(3)] * MS };
        for traffic in &mut deployment.types {
            traffic.delivery = [Delivery::Streamed, Delivery::Buffered][below(2)];
            traffic.priority_weight = [0.0, 0.5, 4.0][below(3)];
            traffic.latency_slo = [1, 500, 60_000][below(3)] * MS;
        }
        TestDeployment { deployment, kinds: std::array::from_fn(|_| kinds[below(kinds.len() as u64)]) }
    }

    pub(crate) fn endpoint(&self, server: u64, state: EndpointState) -> Endpoint {
        let zone = ZoneId(server as usize / 3);
        Endpoint { kind: ServerKindId(self.kinds[server as usize]), zone, ..endpoint(server, state) }
    }
}

fn deployment() -> Deployment {
    let keyed = Idempotency::Keyed { scope: KeyScope::Cell, window: 3_000 * MS };
    Deployment {
        gateways: 2,
        zone: ZoneId(0),
        types: vec![
            traffic_type(1.0, Idempotency::Idempotent),
            traffic_type(2.0, Idempotency::AtMostOnce),
            traffic_type(2.0, keyed),
        ],
        kinds: [Role::Prefill, Role::Decode, Role::Combined]
            .map(|role| ServerKind { role, memory_tokens: 10_000.0 })
            .into(),
        tenants: vec![],
        over_quota_factor: 0.1,
        weights: Weights::Unused,
        discovery: Discovery::Pushed,
        max_poll_interval: 1_000 * MS,
        max_attempts: 4,
        max_retry_after: Some(1_000 * MS),
        decode_servers_prefill: false,
        release_timeout: RELEASE_TIMEOUT,
        slow_start_duration: 1_000 * MS,
        slow_start_initial_share: 0.3,
        slow_start_overload_factor: 2.5,
        slow_start_window: 500 * MS,
        timer_resolution: 0,
        start_time_clock: StartTimeClock::Local,
    }
}

fn traffic_type(priority_weight: f64, idempotency: Idempotency) -> TrafficType {
    TrafficType {
        priority_weight,
        latency_slo: 500 * MS,
        slo_per_prompt_token: 0,
        token_interval: 20 * MS,
        idempotency,
        delivery: Delivery::Streamed,
    }
}

/// An endpoint of the usual deployment: servers 0 and 1 prefill, 2 to 4 decode, and 5 is combined.
pub(crate) fn endpoint(server: u64, state: EndpointState) -> Endpoint {
    let kind = match server {
        0..2 => 0,
        2..5 => 1,
        _ => 2,
    };
    Endpoint {
        server: ServerId(server),
        kind: ServerKindId(kind),
        cell: CellId((server % 2) as i64),
        zone: ZoneId(0),
        weight: 1.0,
        started_at: 0,
        state,
    }
}

pub(crate) fn new_sequence(id: SequenceId, traffic: usize, first_token_deadline: Nanos) -> NewSequence {
    NewSequence {
        id,
        traffic: TrafficTypeId(traffic),
        tenant: None,
        session: None,
        prefix: None,
        prompt_tokens: 100.0,
        prefix_tokens: 0.0,
        max_output_tokens: 50.0,
        output_length_hint: None,
        resumed: false,
        relay: Relay::Passthrough,
        first_token_deadline,
        completion_deadline: None,
    }
}
