use super::*;

const PROFILE: Profile = Profile {
    role: Role::Combined,
    slots: 2,
    queue: 2,
    memory_tokens: 1000,
    cache_timeout: 10_000_000_000,
    prefill_tokens_per_second: 1000.0,
    token_interval: 1_000_000,
    warm_up: 1_000_000_000,
    initial_capacity: 0.5,
    overload_factor: 2.0,
    overload_window: 100_000_000,
};

fn job(id: u64, step: Step) -> Job {
    Job { id, step, blocks: vec![1, 2, 3], prompt_tokens: 50, answer_tokens: 3 }
}

fn run_until(model: &mut Model, until: Nanos) -> Vec<Progress> {
    let mut progress = Vec::new();
    while let Some(due) = model.next_timeout().filter(|due| *due <= until) {
        progress.extend(model.on_timeout(due));
    }
    progress
}

#[test]
fn repeated_prefill_is_shorter_and_its_cache_is_held_until_released() {
    let mut model = Model::new(PROFILE);
    let start = 3_000_000_000;
    model.accept(start, job(1, Step::Prefill)).unwrap();
    assert_eq!(
        run_until(&mut model, start + 60_000_000),
        [Progress::PrefillDone { id: 1, cached_tokens: 0 }]
    );
    model.accept(start + 60_000_000, job(2, Step::Prefill)).unwrap();
    assert_eq!(
        run_until(&mut model, start + 63_000_000),
        [Progress::PrefillDone { id: 2, cached_tokens: 48 }]
    );
    assert_eq!(model.memory_share(), 0.1);
    assert!(model.release(1) && !model.release(1));
}

#[test]
fn decodes_wait_for_slots_and_a_full_queue_rejects() {
    let mut model = Model::new(PROFILE);
    for id in 0..4 {
        model.accept(0, job(id, Step::Decode)).unwrap();
    }
    assert_eq!(model.accept(0, job(9, Step::Decode)), Err(Rejection::AtCapacity));
    model.cancel(0, 1);
    let last = run_until(&mut model, u64::MAX)
        .into_iter()
        .filter(|progress| matches!(progress, Progress::Token { last: true, .. }));
    assert_eq!(last.count(), 3);
}

#[test]
fn load_overloads_a_cold_server_but_not_a_warm_server() {
    let overloaded = |mut model: Model| {
        for id in 0..4 {
            let _ = model.accept(id * 1000, job(id, Step::Prefill));
        }
        model.overloaded()
    };
    assert!(overloaded(Model::cold(PROFILE, 0)) && !overloaded(Model::new(PROFILE)));
}
