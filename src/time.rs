//! Time in whole microseconds. The decision module never reads a clock; the caller passes the time in.

use std::ops::{Add, AddAssign};

/// A point in time or a duration, in whole microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(
    /// The number of microseconds.
    pub u64,
);

impl Micros {
    /// The duration from `earlier` to this time; zero if `earlier` is later than this time.
    pub fn since(self, earlier: Micros) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }

    /// This duration multiplied by `factor`, rounded down.
    pub fn times(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor) as u64)
    }

    /// The ratio of this duration to `other`.
    pub fn ratio_to(self, other: Micros) -> f64 {
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
