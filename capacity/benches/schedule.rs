//! What one request costs the request manager, from its taking to its end, before fleets of several sizes.
//!
//! Run with `cargo bench -p petrelshore-capacity`. Figures are for one core and are told as ratios.

use divan::Bencher;
use petrelshore_capacity::inventory::{self, SECOND, Size};
use petrelshore_capacity::warm::{Load, WARM_UP, Warm};
use petrelshore_gateway_core::Chooser;

fn main() {
    divan::main();
}

fn warm(servers: u64, chooser: Chooser) -> Warm {
    let size = Size { gateways: 4, servers, tenants: 0, tenant_rate: 0.0, slow_start: 10 * SECOND };
    let load = Load { size, rate: 64.0, sessions: 50, prefixes: 7, silent: 0.0 };
    let mut warm = Warm::new(load, &inventory::fleet(servers, 0.0, 0), chooser);
    (0..WARM_UP).for_each(|_| warm.request());
    warm
}

#[divan::bench(args = [10, 100, 1000])]
fn decisions(bencher: Bencher, servers: u64) {
    let mut warm = warm(servers, Chooser::Decisions);
    bencher.bench_local(|| warm.request());
}

#[divan::bench(args = [10, 100, 1000])]
fn baseline(bencher: Bencher, servers: u64) {
    let mut warm = warm(servers, Chooser::Baseline);
    bencher.bench_local(|| warm.request());
}
