//! Spawns a gateway's tasks.

use async_executor::{LocalExecutor, Task};
use std::rc::{Rc, Weak};

/// Spawns tasks on an executor without keeping the executor alive. The tasks hold the gateway and the gateway holds the
/// spawner, so a strong reference to the executor would form a cycle: the executor and its tasks would never be
/// dropped, and their sockets would stay open.
#[derive(Clone)]
pub struct Spawner(Weak<LocalExecutor<'static>>);

impl Spawner {
    /// Creates a spawner for `executor`.
    pub fn new(executor: &Rc<LocalExecutor<'static>>) -> Self {
        Spawner(Rc::downgrade(executor))
    }

    /// Spawns `work`. Returns `None` once the executor has been dropped. Dropping the returned task cancels `work`.
    pub fn spawn(&self, work: impl Future<Output = ()> + 'static) -> Option<Task<()>> {
        self.0.upgrade().map(|executor| executor.spawn(work))
    }

    /// Runs `work` to completion in the background. Does nothing once the executor has been dropped.
    pub fn run(&self, work: impl Future<Output = ()> + 'static) {
        if let Some(task) = self.spawn(work) {
            task.detach();
        }
    }
}
