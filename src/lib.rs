//! petrelshore decides where a language-model sequence is read and where its answer is written.
//! `Brain` in `brain` decides; `interface` holds the plain types it is told and answers with.

mod brain;
pub mod decay;
pub mod interface;

pub use brain::{Brain, held_since};
