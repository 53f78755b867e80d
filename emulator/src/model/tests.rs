use super::*;

pub const BUILD: Build = Build {
    role: Role::Mixed,
    slots: 2,
    queue: 2,
    memory_tokens: 1000,
    state_for: 10_000_000_000,
    read_tokens_per_second: 1000.0,
    token_nanos: 1_000_000,
    cold_for: 1_000_000_000,
    cold_from: 0.5,
    cold_multiple: 2.0,
    cold_window: 100_000_000,
};

fn job(id: u64, work: Work) -> Job {
    Job { id, work, blocks: vec![1, 2, 3], prompt_tokens: 50, answer_tokens: 3 }
}

fn run(model: &mut ModelBox, until: Nanos) -> Vec<Happened> {
    let mut out = Vec::new();
    while let Some(due) = model.next_due().filter(|due| *due <= until) {
        model.due(due, &mut out);
    }
    out
}

#[test]
fn a_second_read_of_a_text_is_shorter_and_its_state_is_held_until_let_go() {
    let mut model = ModelBox::new(BUILD, 2_000_000_000, false);
    let start = 3_000_000_000;
    model.arrive(start, job(1, Work::Read)).unwrap();
    assert_eq!(run(&mut model, start + 60_000_000), [Happened::Read { id: 1, kept: 0 }]);
    model.arrive(start + 60_000_000, job(2, Work::Read)).unwrap();
    assert_eq!(run(&mut model, start + 63_000_000), [Happened::Read { id: 2, kept: 48 }]);
    assert_eq!(model.memory_share(), 0.1);
    assert!(model.let_go(1) && !model.let_go(1));
}

#[test]
fn answers_wait_for_slots_and_more_than_the_queue_is_refused() {
    let mut model = ModelBox::new(BUILD, 0, false);
    for id in 0..4 {
        model.arrive(0, job(id, Work::Write)).unwrap();
    }
    assert_eq!(model.arrive(0, job(9, Work::Write)), Err(Refused::Full));
    model.cancel(0, 1);
    let last =
        run(&mut model, u64::MAX).into_iter().filter(|h| matches!(h, Happened::Token { last: true, .. }));
    assert_eq!(last.count(), 3);
}

#[test]
fn a_cold_box_that_is_sent_too_much_falls_over_and_a_warm_one_does_not() {
    let flood = |cold| {
        let mut model = ModelBox::new(BUILD, 0, cold);
        for id in 0..4 {
            let _ = model.arrive(id * 1000, job(id, Work::Read));
        }
        model.fallen()
    };
    assert!(flood(true) && !flood(false));
}
