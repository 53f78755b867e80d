//! Looks up tenants by name in constant time.

use petrelshore::interface::TenantId;
use std::collections::HashMap;

/// The ids of the tenants by name. An id is the index of the tenant in the settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tenants {
    ids: HashMap<String, TenantId>,
}

impl Tenants {
    /// Returns whether the settings define no tenants.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Returns the number of distinct names.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Returns the id of the tenant with a name.
    pub fn id(&self, name: &str) -> Option<TenantId> {
        self.ids.get(name).copied()
    }
}

/// If a name occurs more than once, its first index is the id.
impl FromIterator<String> for Tenants {
    fn from_iter<I: IntoIterator<Item = String>>(names: I) -> Self {
        let mut ids = HashMap::new();
        for (index, name) in names.into_iter().enumerate() {
            ids.entry(name).or_insert(TenantId(index));
        }
        Tenants { ids }
    }
}
