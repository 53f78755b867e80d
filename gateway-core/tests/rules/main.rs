//! The request manager under generated events: whatever happens, the rules hold in its actions.

mod failures;
mod observer;
mod random_events;
mod test_deployment;
mod world;
