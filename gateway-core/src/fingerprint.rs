//! Hashes that are the same at every gateway and in every run: FNV-1a, which wires and stored lists rely on.

use petrelshore::interface::SessionId;

const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0100_0000_01b3;

/// An FNV-1a hash under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fnv1a(u64);

impl Default for Fnv1a {
    fn default() -> Self {
        Fnv1a(OFFSET_BASIS)
    }
}

impl Fnv1a {
    pub(crate) fn write(&mut self, bytes: &[u8]) {
        self.0 = bytes.iter().fold(self.0, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME));
    }

    pub(crate) fn finish(self) -> u64 {
        self.0
    }
}

fn hash_parts(parts: &[&[u8]]) -> u64 {
    let mut hash = Fnv1a::default();
    parts.iter().for_each(|part| hash.write(part));
    hash.finish()
}

/// A number for a name that is the same at every gateway.
pub fn stable_id(name: &str) -> u64 {
    hash_parts(&[name.as_bytes()])
}

/// The session that a tenant's own key names, the same at every gateway; tenants can't name each other's.
pub fn session_id(tenant: &str, key: &str) -> SessionId {
    SessionId(hash_parts(&[tenant.as_bytes(), &[0], key.as_bytes()]))
}

/// Distinguishes requests under the same idempotency key.
pub fn request_fingerprint(model: &str, prompt: &str, max_tokens: u32) -> u64 {
    hash_parts(&[model.as_bytes(), &max_tokens.to_le_bytes(), prompt.as_bytes()])
}
