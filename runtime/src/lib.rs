//! What every gateway process runs on, whatever it serves: a monotonic [`Clock`], one [`TimerDriver`], and a
//! [`Spawner`] for its tasks. Nothing here decides.

mod clock;
mod spawner;
mod timer;

pub use clock::Clock;
pub use spawner::Spawner;
pub use timer::TimerDriver;
