//! Maps and sets in insertion order, with a fast hash function.
//!
//! A scheduling pass looks up each waiting step, its job and its queue, and each worker that the step
//! may use. In an overloaded cell the standard library's hash function took over half of that time.
//! The function used here is keyed at random as well, so that clients cannot choose identifiers that
//! collide.

/// Map in insertion order.
pub type IndexMap<K, V> = indexmap::IndexMap<K, V, ahash::RandomState>;
/// Set in insertion order.
pub type IndexSet<T> = indexmap::IndexSet<T, ahash::RandomState>;
