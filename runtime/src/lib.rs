//! The runtime of every gateway process, independent of the API that the gateway serves.
//!
//! A gateway runs on one thread. Tasks on its sockets report events to a request table, and the [`EventDriven`] gateway
//! executes the commands that the table returns. This package provides the parts that both gateways share: a monotonic
//! [`Clock`], the [`TimerDriver`], the [`Spawner`], the [`EventLoop`], the [`AttemptSlot`] of a request, and helpers to
//! wait for a condition ([`wait_until`]) or for the first successful call of several ([`first_success()`]). The package
//! makes no routing decisions.

mod attempt_slot;
mod clock;
mod event_loop;
mod first_success;
mod request_table;
mod spawner;
mod timer;
mod wait;

pub use attempt_slot::AttemptSlot;
pub use clock::Clock;
pub use event_loop::{Delivery, EventDriven, EventLoop};
pub use first_success::{Call, first_success};
pub use request_table::RequestTable;
pub use spawner::Spawner;
pub use timer::TimerDriver;
pub use wait::{wait_for, wait_until};
