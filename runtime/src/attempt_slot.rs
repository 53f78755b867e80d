//! The task of the attempt that a request has in flight.

use async_executor::Task;

/// Holds the task of the one attempt in flight. Dropping it cancels that task, which closes its connection.
#[derive(Default)]
pub struct AttemptSlot(Option<RunningAttempt>);

struct RunningAttempt {
    /// Number of the attempt within its request.
    number: usize,
    task: Task<()>,
}

impl AttemptSlot {
    /// Holds the task of a new attempt; no task where none could be spawned.
    pub fn start(&mut self, number: usize, task: Option<Task<()>>) {
        self.0 = task.map(|task| RunningAttempt { number, task });
    }

    /// Takes the task out if that attempt is the one in flight.
    pub fn take(&mut self, number: usize) -> Option<Task<()>> {
        self.0.take_if(|running| running.number == number).map(|running| running.task)
    }
}
