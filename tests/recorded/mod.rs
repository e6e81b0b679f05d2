//! Generates inputs for the routing engine from a seed, and records the engine's decisions.

pub(crate) mod fleet;
mod operations;
pub(crate) mod player;
pub(crate) mod recorder;
pub(crate) mod scenario;
mod workload;

/// FNV-1a, 64 bits.
pub(crate) fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// SplitMix64: random numbers that do not depend on the code under test.
pub(crate) struct Random(u64);

impl Random {
    pub(crate) fn new(seed: u64) -> Random {
        Random(seed)
    }

    /// A source for a single event, seeded by the values that identify the event. Its numbers do not depend on how
    /// many were drawn elsewhere before.
    pub(crate) fn seeded_by(values: &[u64]) -> Random {
        let bytes: Vec<u8> = values
            .iter()
            .flat_map(|value| value.to_le_bytes())
            .collect();
        Random(hash(&bytes))
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// A number from 0 to `limit`, exclusive.
    pub(crate) fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit.max(1)
    }

    /// True with a probability of `probability` in a thousand.
    pub(crate) fn per_mille(&mut self, probability: u64) -> bool {
        self.below(1000) < probability
    }
}
