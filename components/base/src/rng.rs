//! Seeded random numbers.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Generator with a fixed seed: the same seed gives the same numbers on every machine.
pub fn seeded_rng(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}
