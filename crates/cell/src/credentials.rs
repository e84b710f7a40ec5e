//! Keys of tenants, held as digests.
//!
//! Keys are secrets. They are replaced by their SHA-256 digest when a configuration or a request is
//! read, so that no key appears in a log line, an error or a message between hosts.

use derive_more::Debug;
use sha2::{Digest, Sha256};

/// SHA-256 digest of a tenant's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[debug("KeyDigest(..)")]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// The bytes of the digest.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }
}
