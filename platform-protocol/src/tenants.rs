//! The names of tenants, found without going over all of them.

use petrelshore::interface::TenantId;
use std::collections::HashMap;

/// Tenants' ids by their names. An id is the tenant's place in the settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenants {
    ids: HashMap<String, TenantId>,
}

impl Tenants {
    /// Whether the settings define no tenants.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// How many names there are.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// The id of a tenant.
    pub fn id(&self, name: &str) -> Option<TenantId> {
        self.ids.get(name).copied()
    }
}

/// Of a name that comes twice the first place counts.
impl FromIterator<String> for Tenants {
    fn from_iter<I: IntoIterator<Item = String>>(names: I) -> Self {
        let mut ids = HashMap::new();
        for (place, name) in names.into_iter().enumerate() {
            ids.entry(name).or_insert(TenantId(place));
        }
        Tenants { ids }
    }
}
