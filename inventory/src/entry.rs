//! An entry of an inventory file before validation, in the same form for every file format.

use std::collections::BTreeMap;

/// The names of the fields that an entry may have, as inventory files spell them.
pub(crate) const FIELDS: [&str; 7] = ["name", "address", "kind", "cell", "zone", "weight", "state"];
/// The names of the fields that every entry must have.
pub(crate) const REQUIRED_FIELDS: [&str; 4] = ["name", "address", "kind", "zone"];

/// An entry whose fields are still text.
#[derive(Default)]
pub(crate) struct Entry {
    /// The line of the file at which the entry starts.
    pub(crate) line: u64,
    /// The text of each field that the file gives, by field name.
    pub(crate) fields: BTreeMap<&'static str, String>,
}

impl Entry {
    /// Returns the text of a field, or `None` if the field is missing or empty.
    pub(crate) fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str).filter(|text| !text.is_empty())
    }
}
