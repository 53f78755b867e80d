//! petrelshore decides where a language-model sequence is read and where its answer is written.
//! `Scheduler` in `scheduler` decides; `interface` holds the plain types it is told and answers with, `fleet` the servers
//! that it knows.

pub mod attempt_history;
pub mod bounded;
pub mod decay;
pub mod fleet;
pub mod interface;
mod scheduler;
pub mod statistics;

pub use attempt_history::cache_held_since;
pub use scheduler::Scheduler;
