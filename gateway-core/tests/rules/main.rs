//! The request manager under generated events: its actions keep the rules that `observer` checks.

mod failures;
mod observer;
mod random_events;
mod test_deployment;
mod world;
