//! Rehearsals on loopback: fleets of emulated servers with gateways before them, clients, faults by script, and the
//! auditor that judges the five rules from what was observed on the sockets.

pub mod auditor;
pub mod client;
pub mod fleet;
pub mod grpc_client;
pub mod load;
pub mod rehearse;
pub mod script;
