//! Holds the task of a request's attempt in flight.

use async_executor::Task;

/// Holds the task of a request's single attempt in flight. Dropping the slot cancels the task, which closes the
/// connection of the attempt.
#[derive(Default)]
pub struct AttemptSlot(Option<RunningAttempt>);

struct RunningAttempt {
    /// The number of the attempt within its request.
    number: usize,
    task: Task<()>,
}

impl AttemptSlot {
    /// Stores the task of a new attempt and cancels the task that the slot held before. `task` is `None` if no task
    /// could be spawned.
    pub fn start(&mut self, number: usize, task: Option<Task<()>>) {
        self.0 = task.map(|task| RunningAttempt { number, task });
    }

    /// Removes and returns the task if attempt `number` is in flight.
    pub fn take(&mut self, number: usize) -> Option<Task<()>> {
        self.0.take_if(|running| running.number == number).map(|running| running.task)
    }
}
