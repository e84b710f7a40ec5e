//! Seeded random numbers.
//!
//! All randomness that can change a decision comes from a generator made here,
//! so that the seed in a trace or a test is enough to repeat it.

use rand::SeedableRng;

/// The generator that decisions use.
pub type Random = rand_chacha::ChaCha8Rng;

/// Makes a generator from a seed.
pub fn from_seed(seed: u64) -> Random {
    Random::seed_from_u64(seed)
}
