//! The router's clock: Unix time in microseconds, so that it can be compared with start times of nodes. It never goes
//! back.
//!
//! It reads the wall clock once, at the start of the process, and adds the time that the monotonic clock has counted
//! since.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ternpick::types::Micros;

/// Converts monotonic instants to Unix time and back.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    unix_at_start: Micros,
    monotonic_at_start: Instant,
}

impl Clock {
    /// Starts a clock at the current wall clock time.
    pub(crate) fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            unix_at_start: micros(unix),
            monotonic_at_start: Instant::now(),
        }
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Micros {
        self.time_of(Instant::now())
    }

    /// Returns the Unix time of a monotonic instant.
    pub(crate) fn time_of(&self, instant: Instant) -> Micros {
        self.unix_at_start + micros(instant.saturating_duration_since(self.monotonic_at_start))
    }

    /// Returns the time of an arrival: that of the noted instant, or the current time if none was noted.
    pub(crate) fn arrival(&self, noted: Option<Instant>) -> Micros {
        noted.map_or_else(|| self.now(), |instant| self.time_of(instant))
    }

    /// Returns the monotonic instant of a time of this clock, for timers.
    pub(crate) fn instant(&self, time: Micros) -> Instant {
        self.monotonic_at_start + Duration::from_micros(time.since(self.unix_at_start).0)
    }
}

fn micros(duration: Duration) -> Micros {
    Micros(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
}
