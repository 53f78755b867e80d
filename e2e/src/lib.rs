//! Rehearsals on loopback: gateways in front of a fleet of emulated servers, with clients and scripted faults. The
//! auditor checks the five rules against what clients and servers observed on their sockets.

pub mod auditor;
pub mod client;
pub mod fleet;
pub mod grpc_client;
pub mod load;
pub mod rehearse;
pub mod script;
