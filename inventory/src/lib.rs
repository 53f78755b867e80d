//! The inventory of model servers: read from a file, checked as one list, and merged with what connections show.
//!
//! [`read_list`] turns the text of a CSV or YAML file into an [`EndpointList`], or reports every problem with its file,
//! line and field. [`Membership`] holds the last good list and reports changes to the scheduler. [`cached_list`] is how
//! that list survives a kill. Only [`cached_list::store`] and [`cached_list::load`] touch the disk.

pub mod cached_list;
mod change_guard;
mod csv_entries;
mod endpoint_list;
mod entry;
mod entry_validation;
mod list_file;
mod membership;
mod problem;
mod yaml_entries;

pub use change_guard::{ChangeGuard, SuspiciousChange};
pub use endpoint_list::{EndpointList, Server};
pub use list_file::{Format, read_list};
pub use membership::{Change, Membership};
pub use problem::Problem;
