//! Short rehearsals with several gateways. The auditor judges one record of all gateways.

use async_executor::LocalExecutor;
use futures_lite::future;
use petrelshore_chat_gateway::PolicyKind;
use petrelshore_e2e::rehearse::{Outcome, rehearse};
use petrelshore_e2e::script;
use petrelshore_emulator::record::Event;
use std::path::Path;
use std::rc::Rc;

fn rehearse_script(name: &str, text: &str) -> Outcome {
    let script = script::read_text(Path::new(name), text).unwrap();
    let folder = std::env::temp_dir().join(format!("petrelshore-{name}-{}", std::process::id()));
    let executor = Rc::new(LocalExecutor::new());
    let run = rehearse(&executor, &folder, &script, "", PolicyKind::Scheduler, |_| {});
    let outcome = future::block_on(executor.run(run)).unwrap();
    let _ = std::fs::remove_dir_all(&folder);
    outcome
}

/// Returns the recorded faults, the kills and restarts of gateways, and the events of the sequences that the violations
/// name, so that a rare failure can be analyzed from the output of the test.
fn trace(outcome: &Outcome) -> String {
    let words: Vec<&str> = outcome
        .verdict
        .violations
        .iter()
        .flat_map(|violation| violation.description.split([' ', '-']))
        .collect();
    let is_named = |request: &str| words.contains(&request.split('-').next().unwrap_or(request));
    let lines = outcome.entries.iter().filter(|entry| match &entry.event {
        Event::FaultSet { .. } | Event::GatewayKilled { .. } | Event::GatewayRestarted { .. } => true,
        Event::AttemptArrived { request, .. }
        | Event::AttemptRejected { request, .. }
        | Event::AttemptEnded { request, .. }
        | Event::CacheReserved { request, .. }
        | Event::CacheReleased { request, .. } => is_named(request),
        _ => false,
    });
    lines.map(|entry| format!("{entry:?}\n")).collect()
}

#[test]
fn mass_restart_does_not_overload_cold_servers() {
    let outcome = rehearse_script(
        "mass-restart",
        r#"{
          name = "mass-restart", lasts_ms = 7000, gateways = 3,
          fleet = { cells = 2, readers = 1, writers = 2, slots = 12, cold_ms = 3000, cold_multiple = 1.5 },
          clients = [
            { model = 'rider_query, front = 'both, per_second = 20, max_tokens = 8 },
            { model = 'unlock_once, front = 'grpc, per_second = 5, max_tokens = 5 },
            { model = 'dock_tokened, per_second = 5, max_tokens = 5 },
          ],
          faults = [
            { at_ms = 1500, what = 'silent, servers = ["writer-*"] },
            { at_ms = 2500, what = 'kill, servers = ["writer-*"] },
            { at_ms = 3500, what = 'restart, servers = ["writer-*"] },
            { at_ms = 4500, what = 'kill_gateway, gateways = [1] },
            { at_ms = 5000, what = 'start_gateway, gateways = [1] },
          ],
        }"#,
    );
    assert_eq!(outcome.verdict.violations, [], "{}", trace(&outcome));
    assert_eq!((outcome.left_in_gateways, outcome.left_in_servers), (0, 0));
    // The absence of violations proves something only if requests were sent, reserved KV cache and were completed.
    let completed: usize = outcome.outcomes.values().filter_map(|outcomes| outcomes.get("generated")).sum();
    assert!(outcome.verdict.requests > 100 && outcome.verdict.reservations > 20 && completed > 50);
}

#[test]
fn drain_is_respected_by_all_gateways() {
    let outcome = rehearse_script(
        "drain",
        r#"{
          name = "drain", lasts_ms = 3000, gateways = 3,
          fleet = { cells = 2, readers = 2, writers = 3 },
          clients = [
            { model = 'rider_query, front = 'both, per_second = 25, max_tokens = 8, leave_share = 0.1 },
            { model = 'unlock_once, per_second = 10, max_tokens = 5 },
            { model = 'dock_tokened, front = 'grpc, per_second = 10, max_tokens = 5 },
          ],
          faults = [
            { at_ms = 700, what = 'drain, servers = ["writer-1-1", "reader-2-1"] },
            { at_ms = 1200, what = 'reset_after, servers = ["writer-2-1"], by = 1 },
            { at_ms = 1800, what = 'unlist, servers = ["writer-1-2"] },
            { at_ms = 2300, what = 'undrain, servers = ["writer-1-1"] },
          ],
        }"#,
    );
    // Neither API is starved by the traffic of the other.
    let served: Vec<f64> = outcome.service_by_api.values().copied().collect();
    assert!(served.len() == 2 && served.iter().all(|share| *share > 0.5), "{:?}", outcome.service_by_api);
    assert_eq!(outcome.verdict.violations, [], "{}", trace(&outcome));
    assert_eq!((outcome.left_in_gateways, outcome.left_in_servers), (0, 0));
    assert!(outcome.verdict.drain_notifications == 9 && outcome.service > 0.5, "service {}", outcome.service);
}
