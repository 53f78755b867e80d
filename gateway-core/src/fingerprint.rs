//! FNV-1a hashes, which are the same at every gateway and in every run. Wire formats and stored endpoint lists rely on
//! that.

use petrelshore::interface::SessionId;

const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0100_0000_01b3;

/// An incremental FNV-1a hash.
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

/// The numeric id of a name, the same at every gateway.
pub fn stable_id(name: &str) -> u64 {
    hash_parts(&[name.as_bytes()])
}

/// The session id of a tenant's session key, the same at every gateway. The hash includes the tenant, so no tenant can
/// refer to the session of another.
pub fn session_id(tenant: &str, key: &str) -> SessionId {
    SessionId(hash_parts(&[tenant.as_bytes(), &[0], key.as_bytes()]))
}

/// A fingerprint of a request's content, to detect different requests with the same idempotency key.
pub fn request_fingerprint(model: &str, prompt: &str, max_tokens: u32) -> u64 {
    hash_parts(&[model.as_bytes(), &max_tokens.to_le_bytes(), prompt.as_bytes()])
}
