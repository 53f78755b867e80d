//! The gateway: a shell on async-io round the request manager.
//!
//! One thread holds everything. A front hands an [`Ask`] to [`Gateway::take`] and reads its [`Answer`]; the
//! gateway tells the request manager what happens, and carries out what it answers: attempts at model servers, breaking
//! them off, letting go of states. It decides nothing.

mod answer;
mod gateway;

pub use answer::{Answer, Ask, Next};
pub use gateway::{Gateway, ReloadError};
pub use petrelshore::interface::Idempotency;
pub use petrelshore_gateway_core::Chooser;
pub use petrelshore_gateway_core::buffered::{FinalAnswer, Rejection, Request, Usage};
pub use petrelshore_runtime::{Clock, Spawner};
