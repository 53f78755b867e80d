//! Randomized faults against `petrelshore platform` processes, judged by what passed on their sockets.

pub mod shim;
