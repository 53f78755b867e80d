//! petrelshore decides where a language-model sequence is read and where its answer is written.
//! `Scheduler` in `scheduler` decides; `interface` holds the plain types it is told and answers with, `fleet` the servers
//! that it knows.

pub mod bounded;
pub mod decay;
pub mod fleet;
pub mod interface;
pub mod proof;
mod scheduler;
pub mod statistics;

pub use proof::held_since;
pub use scheduler::Scheduler;
