//! The random source of the decision module, seeded by its caller: the same seed and inputs give the same
//! decisions.

use nanorand::WyRand;

/// A router's own source of random numbers.
pub struct RandomSource(
    /// The generator itself.
    pub WyRand,
);

impl RandomSource {
    /// A source that gives the same numbers for the same seed.
    pub fn new(seed: u64) -> Self {
        RandomSource(WyRand::new_seed(seed))
    }
}

impl Default for RandomSource {
    fn default() -> Self {
        RandomSource::new(0)
    }
}
