//! Measures the time that the request manager spends on one request, from admission to completion, for fleets of several
//! sizes.
//!
//! Run with `cargo bench -p petrelshore-capacity`. The times are those of one core; report them as ratios.

use divan::Bencher;
use petrelshore_capacity::gateway::{Load, MeasuredGateway, WARM_UP_REQUESTS};
use petrelshore_capacity::inventory::{self, SECOND, Size};
use petrelshore_gateway_core::PolicyKind;

fn main() {
    divan::main();
}

fn warm_gateway(servers: u64, policy_kind: PolicyKind) -> MeasuredGateway {
    let size = Size { gateways: 4, servers, tenants: 0, tenant_rate: 0.0, slow_start: 10 * SECOND };
    let load = Load { size, rate: 64.0, sessions: 50, prefixes: 7, silent_share: 0.0 };
    let mut gateway = MeasuredGateway::new(load, &inventory::fleet(servers, 0.0, 0), policy_kind);
    (0..WARM_UP_REQUESTS).for_each(|_| gateway.handle_request());
    gateway
}

#[divan::bench(args = [10, 100, 1000])]
fn decisions(bencher: Bencher, servers: u64) {
    let mut gateway = warm_gateway(servers, PolicyKind::Scheduler);
    bencher.bench_local(|| gateway.handle_request());
}

#[divan::bench(args = [10, 100, 1000])]
fn baseline(bencher: Bencher, servers: u64) {
    let mut gateway = warm_gateway(servers, PolicyKind::Baseline);
    bencher.bench_local(|| gateway.handle_request());
}
