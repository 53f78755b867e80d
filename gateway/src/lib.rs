//! The gateway: a shell on async-io round the conductor.
