//! petrelshore decides where the prompt of a language-model sequence is prefilled and where its answer is decoded.
//!
//! [`Scheduler`] decides. [`interface`] holds the plain types that go into and out of it, [`fleet`] the servers that it
//! knows, and [`statistics`] what it has measured.

pub mod attempt_history;
pub mod bounded;
pub mod decay;
pub mod fleet;
pub mod interface;
mod scheduler;
pub mod statistics;

pub use attempt_history::cache_held_since;
pub use scheduler::Scheduler;
