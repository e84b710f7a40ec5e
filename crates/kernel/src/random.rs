//! Seeded random numbers.
//!
//! All random numbers that affect decisions come from these generators, so that
//! the seed recorded in a trace or set in a test reproduces the decisions.

use rand::SeedableRng;

/// Random number generator for decisions; its algorithm is fixed, so traces replay identically.
pub type Random = rand_chacha::ChaCha8Rng;

/// Creates a generator from a seed.
pub fn from_seed(seed: u64) -> Random {
    Random::seed_from_u64(seed)
}
