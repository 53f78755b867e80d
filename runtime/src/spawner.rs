//! Spawns a gateway's tasks.

use async_executor::{LocalExecutor, Task};
use std::rc::{Rc, Weak};

/// Spawns on an executor without keeping it alive: tasks hold the gateway, and the gateway must not hold them, or
/// dropping the executor would leave their sockets open.
#[derive(Clone)]
pub struct Spawner(Weak<LocalExecutor<'static>>);

impl Spawner {
    /// A spawner on that executor.
    pub fn new(executor: &Rc<LocalExecutor<'static>>) -> Self {
        Spawner(Rc::downgrade(executor))
    }

    /// Spawns `work`; nothing once the executor is gone. Dropping the task cancels it.
    pub fn spawn(&self, work: impl Future<Output = ()> + 'static) -> Option<Task<()>> {
        self.0.upgrade().map(|executor| executor.spawn(work))
    }

    /// Runs `work` to its end in the background.
    pub fn run(&self, work: impl Future<Output = ()> + 'static) {
        if let Some(task) = self.spawn(work) {
            task.detach();
        }
    }
}
