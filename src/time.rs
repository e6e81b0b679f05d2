//! Time in whole microseconds. The caller reads the clock; nothing here does.

use std::ops::{Add, AddAssign};

/// A point in time, or a span of time, in whole microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(
    /// The microseconds.
    pub u64,
);

impl Micros {
    /// The time from `earlier` to this one; zero if `earlier` lies ahead.
    pub fn since(self, earlier: Micros) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }

    /// This span so many times, rounded down.
    pub fn times(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor) as u64)
    }

    /// How many times `other` goes into this time.
    pub fn over(self, other: Micros) -> f64 {
        self.0 as f64 / other.0.max(1) as f64
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Micros {
    fn add_assign(&mut self, other: Micros) {
        *self = *self + other;
    }
}
