//! Runs the command with small measurements and with invalid arguments.

use serde_json::Value;
use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_petrelshore-capacity"))
        .args(arguments)
        .output()
        .expect("the petrelshore-capacity binary starts")
}

/// Runs the command with `--json` among the arguments, checks that it succeeds, and returns the printed rows.
fn rows(arguments: &[&str]) -> Vec<Value> {
    let output = run(arguments);
    assert!(output.status.success(), "{arguments:?}: {}", String::from_utf8_lossy(&output.stderr));
    let text = String::from_utf8(output.stdout).expect("standard output is UTF-8");
    text.lines().map(|line| serde_json::from_str(line).expect("each line is a JSON object")).collect()
}

fn number(row: &Value, field: &str) -> f64 {
    row[field].as_f64().unwrap_or_else(|| panic!("field {field} is missing or not a number in {row}"))
}

const SLOPES_ARGUMENTS: [&str; 16] = [
    "--json",
    "slopes",
    "--servers",
    "200,1000,4200",
    "--tenants",
    "0,640",
    "--slow-start",
    "0,0.143,1",
    "--silent",
    "0,0.1",
    "--requests",
    "150",
    "--row-ms",
    "60000",
    "--memory-at",
    "1000",
];

#[test]
fn slopes_examine_a_bounded_number_of_servers() {
    let rows = rows(&SLOPES_ARGUMENTS);
    let costs: Vec<&Value> = rows.iter().filter(|row| row["us_per_request"].is_number()).collect();
    assert_eq!(costs.len(), 3 * 2 * 3 * 2 + 1);
    for row in &costs {
        for field in ["servers", "tenants", "slow_start", "examined"] {
            number(row, field);
        }
        assert!(number(row, "us_per_request") > 0.0);
    }
    // The limits apply to counts of examined servers, which are the same in every run, unlike times. The counts exclude
    // servers examined for a waiting request.
    let max_examined = costs.iter().map(|row| number(row, "examined_most")).fold(0.0, f64::max);
    assert!(
        max_examined <= 2_500.0,
        "{max_examined} servers were examined for one request with all its attempts"
    );
    let examined_when_warm = |servers: f64| {
        let matches_case = |row: &&&Value| {
            number(row, "servers") == servers
                && number(row, "slow_start") == 0.0
                && number(row, "silent") == 0.0
                && number(row, "tenants") == 640.0
        };
        number(
            costs
                .iter()
                .find(matches_case)
                .expect("the measurement has a row for these servers and 640 tenants"),
            "examined",
        )
    };
    assert!(
        examined_when_warm(4_200.0) <= 1.5 * examined_when_warm(1_000.0),
        "{} servers examined per request with 4,200 servers, {} with 1,000",
        examined_when_warm(4_200.0),
        examined_when_warm(1_000.0)
    );
    let fits = rows.iter().filter(|row| row["fit_of"].is_string()).count();
    let lists = rows.iter().filter(|row| row["whole_bytes"].is_number()).count();
    let memory = rows.iter().filter(|row| row["memory_after"].is_number()).count();
    assert_eq!((fits, lists, memory), (12, 3, 1));
}

#[test]
fn scan_policy_examines_all_servers() {
    let rows = rows(&[
        "--json",
        "slopes",
        "--servers",
        "1000",
        "--tenants",
        "0",
        "--slow-start",
        "0",
        "--requests",
        "50",
        "--row-ms",
        "60000",
        "--memory-at",
        "100",
        "--policy",
        "scan",
    ]);
    assert!(number(&rows[0], "examined") > 1_000.0, "{}", rows[0]);
}

#[test]
fn small_fleet_keeps_rules_and_slow_start_budget() {
    let runs =
        rows(&["--json", "fleet", "--gateways", "35", "--servers", "280", "--seconds", "8", "--seed", "3"]);
    assert_eq!(runs.len(), 4, "one row for each of two scenarios under each of two policies");
    for run in &runs {
        for field in ["served", "cached", "max_over_mean", "slow_start_worst", "rules_broken", "peak_mib"] {
            number(run, field);
        }
        assert_eq!(number(run, "rules_broken"), 0.0, "{run}");
        assert!(number(run, "slow_start_worst") <= 1.0, "{run}");
        assert!(number(run, "served") >= 0.95, "{run}");
        assert!(number(run, "requests") > 5_000.0, "{run}");
    }
    let [scan, candidates] = [&runs[0], &runs[1]];
    assert_eq!((scan["policy"].as_str(), candidates["policy"].as_str()), (Some("scan"), Some("candidates")));
    assert!(number(candidates, "examined_per_request") < number(scan, "examined_per_request") / 2.0);
    assert!(
        runs[3]["slow_start_worst"].as_f64() > Some(0.0),
        "servers of the restarted zone received calls in slow start"
    );
}

#[test]
fn simulations_depend_only_on_their_seed() {
    let simulate = |seed: &str| -> Value {
        let mut rows = rows(&[
            "--json",
            "fleet",
            "--gateways",
            "21",
            "--servers",
            "140",
            "--seconds",
            "6",
            "--seed",
            seed,
            "--policy",
            "candidates",
            "--scene",
            "zone",
        ]);
        let mut summary = rows.pop().expect("the simulation prints a summary row");
        // These fields depend on the machine.
        for field in ["us_per_request", "real_seconds", "peak_mib"] {
            summary[field].take();
        }
        summary
    };
    assert!(simulate("1") == simulate("1") && simulate("1") != simulate("2"));
}

#[test]
fn invalid_arguments_are_rejected_in_one_line() {
    let rejected: [(&[&str], &str); 8] = [
        (&["fleet", "--gateways", "0"], "--gateways must be from 1"),
        (&["fleet", "--servers", "0"], "--servers must be from 1"),
        (&["fleet", "--seconds", "0"], "--seconds must be from 1"),
        (&["fleet", "--rate", "0"], "--rate must be from 1"),
        (&["fleet", "--gateways", "9000", "--servers", "90000"], "half of this machine's memory"),
        (&["slopes", "--servers", "0"], "--servers must be from 1"),
        (&["slopes", "--requests", "0"], "--requests must be from 1"),
        (&["slopes", "--slow-start", "1.5"], "from 0 to 1"),
    ];
    for (arguments, expected_message) in rejected {
        let output = run(arguments);
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && output.stdout.is_empty(), "{arguments:?}: {message}");
        assert!(
            message.lines().count() == 1 && message.contains(expected_message),
            "{arguments:?}: {message}"
        );
    }
    for unparsable in [&["fleet", "--gateway", "3"][..], &["slope"], &[], &["fleet", "--policy", "best"]] {
        let output = run(unparsable);
        assert!(!output.status.success() && output.stdout.is_empty(), "{unparsable:?}");
    }
}
