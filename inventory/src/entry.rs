//! An entry of an inventory file before it is checked, the same for every format.

use std::collections::BTreeMap;

/// The fields that an entry may have, by their names in files.
pub(crate) const FIELDS: [&str; 7] = ["name", "address", "kind", "cell", "zone", "weight", "state"];
/// The fields that every entry has.
pub(crate) const REQUIRED_FIELDS: [&str; 4] = ["name", "address", "kind", "zone"];

/// One entry, its fields still as text.
#[derive(Default)]
pub(crate) struct Entry {
    pub(crate) line: u64,
    pub(crate) fields: BTreeMap<&'static str, String>,
}

impl Entry {
    /// The text of a field; none where it is empty.
    pub(crate) fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str).filter(|text| !text.is_empty())
    }
}
