//! The gateway: a shell on async-io round the conductor.
//!
//! One thread holds everything. A front hands an [`Ask`] to [`Gateway::take`] and reads its [`Answer`]; the
//! gateway tells the conductor what happens, and carries out what it answers: attempts at model servers, breaking
//! them off, letting go of states. It decides nothing.

mod answer;
mod clock;
mod gateway;
mod timers;

pub use answer::{Answer, Ask, Next};
pub use clock::Clock;
pub use gateway::{Gateway, ReloadError};
pub use petrelshore::interface::Idempotency;
pub use petrelshore_engine_client::Spawner;
pub use petrelshore_gateway_core::Chooser;
pub use petrelshore_gateway_core::buffered::{Final, Refusal, Request, Usage};
pub use timers::Timers;
