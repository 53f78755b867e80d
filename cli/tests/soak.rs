//! Short soak runs with fixed seeds: overlapping faults against gateway processes of this build.

use petrelshore_soak::{Plan, run};
use std::path::{Path, PathBuf};

/// The longest client deadlines of these seeds are 3 s, 0.9 s and 1.6 s; a shutdown ends sooner when deadlines are
/// shorter.
const SEEDS: [u64; 3] = [1, 5, 12];
const SECONDS: u64 = 12;

#[test]
fn overlapping_faults_break_no_rule() {
    for seed in SEEDS {
        let folder =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}-{}", std::process::id()));
        let plan = Plan {
            seed,
            seconds: SECONDS,
            gateways: 4,
            servers: 8,
            clients: 30,
            program: PathBuf::from(env!("CARGO_BIN_EXE_petrelshore")),
            folder: folder.clone(),
        };
        let report = run(&plan).unwrap();
        assert!(report.violations.is_empty(), "{}", report.explain(seed, &folder));
        let (served, requests) = (report.served, report.requests);
        assert!(
            !report.overlaps.is_empty() && requests > 200 && 2 * served > requests,
            "seed {seed}: {served} of {requests} requests served, or no overlapping faults"
        );
    }
}
