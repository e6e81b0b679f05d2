//! The random source of the decision module. The caller seeds it, so that the same seed and inputs give the same
//! decisions.

use nanorand::WyRand;

/// A source of random numbers that belongs to one router.
pub struct RandomSource(
    /// The underlying generator.
    pub WyRand,
);

impl RandomSource {
    /// Creates a source that gives the same numbers for the same seed.
    pub fn new(seed: u64) -> Self {
        RandomSource(WyRand::new_seed(seed))
    }
}

impl Default for RandomSource {
    fn default() -> Self {
        RandomSource::new(0)
    }
}
