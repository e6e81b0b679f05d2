//! Numbers drawn from a seed.

/// A small generator: the same plays for the same seed.
pub(crate) struct Draw(u64);

impl Draw {
    pub(crate) fn new(seed: u64) -> Draw {
        let mut of = Draw(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x2545_f491_4f6c_dd1d);
        for _ in 0..8 {
            of.below(2);
        }
        of
    }

    pub(crate) fn below(&mut self, most: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 16) % most
    }

    pub(crate) fn between(&mut self, from: u64, to: u64) -> u64 {
        from + self.below(to - from)
    }

    pub(crate) fn one<T: Copy>(&mut self, of: &[T]) -> T {
        of[self.below(of.len() as u64) as usize]
    }
}
