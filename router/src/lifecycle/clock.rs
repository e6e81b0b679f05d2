//! The one clock: Unix time in microseconds, so that nodes' starts compare, and only ever forward.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ternpick::types::Micros;

#[derive(Clone, Copy)]
pub struct Clock {
    unix: Micros,
    from: Instant,
}

impl Clock {
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            unix: micros(unix),
            from: Instant::now(),
        }
    }

    pub fn now(&self) -> Micros {
        self.unix + micros(self.from.elapsed())
    }

    pub fn instant(&self, at: Micros) -> Instant {
        self.from + Duration::from_micros(at.since(self.unix).0)
    }
}

fn micros(of: Duration) -> Micros {
    Micros(u64::try_from(of.as_micros()).unwrap_or(u64::MAX))
}
