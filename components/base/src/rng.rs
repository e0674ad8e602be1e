//! Seeded random number generator.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Creates a generator that yields the same sequence for the same seed on every platform.
pub fn seeded_rng(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}
