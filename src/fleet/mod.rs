//! The model servers that a gateway knows, and how to find them: plain data, nothing here decides.
//!
//! [`Fleet`] keeps what is known of each [`Server`], and an [`Index`] of those that are listed as ready, so that a
//! decision can turn to a few of them without scanning all. A [`Sampler`] draws from the index, a [`ServerScan`] goes over
//! all servers a batch at a time.

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
