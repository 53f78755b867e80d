//! petrelshore decides where the prompt of a language-model sequence is prefilled and where its answer is decoded.
//!
//! [`Scheduler`] makes the decisions. [`interface`] defines the plain types of its inputs and outputs, [`fleet`] keeps
//! the servers that it knows, and [`statistics`] its measurements.

pub mod attempt_history;
pub mod bounded;
pub mod decay;
pub mod fleet;
pub mod interface;
mod scheduler;
pub mod statistics;

pub use attempt_history::cache_held_since;
pub use scheduler::Scheduler;
