//! The router's one clock: Unix time in microseconds, so that start times of nodes compare, and only ever forward.
//!
//! Reads the wall clock once, at the start of the process, and goes on by the monotonic clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ternpick::types::Micros;

/// Time since the Unix epoch as this process counts it.
#[derive(Clone, Copy)]
pub(crate) struct Clock {
    unix_at_start: Micros,
    monotonic_at_start: Instant,
}

impl Clock {
    /// A clock that is set by the wall clock now.
    pub(crate) fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            unix_at_start: micros(unix),
            monotonic_at_start: Instant::now(),
        }
    }

    /// The time now.
    pub(crate) fn now(&self) -> Micros {
        self.time_of(Instant::now())
    }

    /// The time of a monotonic instant.
    pub(crate) fn time_of(&self, instant: Instant) -> Micros {
        self.unix_at_start + micros(instant.saturating_duration_since(self.monotonic_at_start))
    }

    /// The time of an arrival: when it was noted, else now.
    pub(crate) fn arrival(&self, noted: Option<Instant>) -> Micros {
        noted.map_or_else(|| self.now(), |instant| self.time_of(instant))
    }

    /// The monotonic instant of a time of this clock, for timers.
    pub(crate) fn instant(&self, at: Micros) -> Instant {
        self.monotonic_at_start + Duration::from_micros(at.since(self.unix_at_start).0)
    }
}

fn micros(duration: Duration) -> Micros {
    Micros(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
}
