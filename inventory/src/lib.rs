//! The inventory of model servers: read from a file, validated as a whole, and merged with observed server restarts.
//!
//! [`read_list`] turns the text of a CSV or YAML file into an [`EndpointList`], or reports every problem with its file,
//! line and field. [`ChangeGuard`] rejects a valid list that differs too much from the current list. [`Membership`]
//! holds the last accepted list and returns the changes for the scheduler. [`cached_list`] stores that list on disk for
//! the next run. Only [`cached_list::store`] and [`cached_list::load`] access the file system.

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
