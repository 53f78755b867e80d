//! The names of tenants, found without going over all of them.

use petrelshore::interface::TenantId;
use std::collections::HashMap;

/// Tenants by their places in the settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenants {
    places: HashMap<String, TenantId>,
}

impl Tenants {
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    pub fn len(&self) -> usize {
        self.places.len()
    }

    pub fn place(&self, name: &str) -> Option<TenantId> {
        self.places.get(name).copied()
    }
}

/// Of a name that stands twice the first place counts.
impl FromIterator<String> for Tenants {
    fn from_iter<I: IntoIterator<Item = String>>(names: I) -> Self {
        let mut places = HashMap::new();
        for (place, name) in names.into_iter().enumerate() {
            places.entry(name).or_insert(TenantId(place));
        }
        Tenants { places }
    }
}
