//! One short run of the soak on a fixed seed: overlapping faults against processes of this build.

use petrelshore_soak::{Plan, run};
use std::path::{Path, PathBuf};

const SEED: u64 = 1;
const SECONDS: u64 = 10;

#[test]
fn overlapping_faults_break_no_rule() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{}", std::process::id()));
    let plan = Plan {
        seed: SEED,
        seconds: SECONDS,
        gateways: 4,
        servers: 8,
        clients: 30,
        program: PathBuf::from(env!("CARGO_BIN_EXE_petrelshore")),
        folder: folder.clone(),
    };
    let report = run(&plan).unwrap();
    assert!(report.violations.is_empty(), "{}", report.explain(SEED, &folder));
    let (served, requests) = (report.served, report.requests);
    assert!(!report.overlaps.is_empty() && requests > 200 && 2 * served > requests, "{served} of {requests}");
}
