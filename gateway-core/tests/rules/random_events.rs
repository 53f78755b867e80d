//! Random events: the request manager keeps the rules whatever the order of events.

use crate::test_deployment::TestDeployment;
use crate::world::World;
use oorandom::Rand64;
use quickcheck::{QuickCheck, TestResult};

/// The maximum number of timers that may expire in one run; guards against a timer that is set again without end.
const MAX_TIMERS: usize = 100_000;

/// Runs random events until every sequence is answered.
fn run(seed: u64, test: TestDeployment) -> Result<(), String> {
    let mut world = World::new(seed, test);
    for number in 0..300 {
        world.step(number)?;
    }
    // No more events arrive: the timers alone must end every sequence.
    for _ in 0..MAX_TIMERS {
        let Some(deadline) = world.manager.next_timeout() else { break };
        world.expire_timer(deadline)?;
    }
    // No KV cache is left: a KV cache that is still held would violate rule 5 after the release timeout.
    world.now += 2 * world.test.deployment.release_timeout;
    world.apply(Vec::new())?;
    let unanswered = world.sequences.values().filter(|sequence| sequence.final_answers != 1).count();
    if unanswered + world.manager.unanswered() > 0 {
        return Err(format!("rule 1: {unanswered} sequences without exactly one final answer"));
    }
    Ok(())
}

#[test]
fn rules_hold_under_random_events() {
    let holds = |seed: u64| match run(seed, TestDeployment::usual()) {
        Ok(()) => TestResult::passed(),
        Err(violation) => TestResult::error(format!("seed {seed}: {violation}")),
    };
    QuickCheck::new().tests(300).quickcheck(holds as fn(u64) -> TestResult);
}

#[test]
fn rules_hold_under_random_events_in_any_deployment() {
    for seed in 0..1_000 {
        let test = TestDeployment::any(&mut Rand64::new(!u128::from(seed)));
        run(seed, test).unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
    }
}

#[test]
fn terminate_all_answers_every_sequence() {
    for seed in 0..50 {
        let mut world = World::new(seed, TestDeployment::usual());
        for number in 0..60 {
            world.step(number).unwrap();
        }
        let mut actions = Vec::new();
        world.manager.terminate_all(world.now, &mut actions);
        world.apply(actions).unwrap();
        assert!(world.sequences.values().all(|sequence| sequence.final_answers == 1), "seed {seed}");
        assert_eq!((world.manager.unanswered(), world.manager.next_timeout()), (0, None));
    }
}
