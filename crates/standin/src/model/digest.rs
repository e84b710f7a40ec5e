//! Hash digests, used to match an answer to its request and to compare reports.

use std::hash::{DefaultHasher, Hash, Hasher};

/// Digest of a request's body, which the matching answer contains.
pub fn digest(body: &[u8]) -> u64 {
    of(body)
}

/// Digest of any value; deterministic across runs of the same build.
pub(super) fn of(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}
