//! The digest that ties an answer to its request.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Digest of a request's body, which its answer repeats.
pub fn digest(body: &[u8]) -> u64 {
    of(body)
}

/// Digest of any value, the same in every run of one build.
pub(super) fn of(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
