//! The model servers that a gateway knows, and lookups of them. This module makes no decisions.
//!
//! [`Fleet`] keeps the state of each [`Server`] and an [`Index`] of the servers that are listed as ready, so that a
//! decision can examine a few servers without scanning all. A [`Sampler`] draws servers from the index; a
//! [`ServerScan`] visits all servers in batches.

mod candidates;
mod hashing;
mod index;
mod medians;
mod quotas;
mod registry;
mod ring;
mod sampler;
mod scan;
mod server;

pub use candidates::{Candidates, ServerScope, in_scope};
pub use hashing::{jump_hash, mix_bits, rendezvous_rank};
pub use index::{Index, Members};
pub use medians::{Medians, medians};
pub use quotas::{CapacitySums, CellQuota, Quotas, ServerCapacity, ZoneQuota, prefills_by_zone, sum_over};
pub use registry::Fleet;
pub use ring::{Ring, RingMember};
pub use sampler::{SampleSize, Sampler};
pub use scan::{FleetScan, ServerScan};
pub use server::{InFlightAttempt, Server, Slot};
