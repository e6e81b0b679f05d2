//! The shared limit on queries in flight. It shrinks while too many answers are late, and grows while it is reached
//! and answers are in time (additive and multiplicative increase, multiplicative decrease).

use ternpick::types::Micros;

use crate::config::SharedLimitConfig;

/// The limit adapts after this many queries have ended, or at the first end of a query after [`WINDOW_DURATION`].
const WINDOW_QUERIES: u32 = 32;
/// See [`WINDOW_QUERIES`].
const WINDOW_DURATION: Micros = Micros(500_000);
/// The limit shrinks if more than this share of a window's queries ended late.
const MAX_LATE_SHARE: f64 = 0.1;
/// Factor by which the limit shrinks.
const DECREASE_FACTOR: f64 = 0.85;
/// While the limit is reached and answers are in time, it grows by one query plus this share of itself.
const INCREASE_SHARE: f64 = 0.05;
/// The weight of the latest query in the moving average of the query duration.
const SMOOTHING_WEIGHT: f64 = 0.1;

pub(crate) struct AdaptiveLimit {
    config: SharedLimitConfig,
    limit: f64,
    window: Window,
    /// Moving average of the query duration; `None` until the first query has ended.
    typical_duration: Option<Micros>,
}

#[derive(Default)]
struct Window {
    started_at: Micros,
    /// Queries that ended in this window.
    ended: u32,
    /// Those of them whose answer was late.
    late: u32,
    /// Whether a query found the limit reached in this window.
    was_reached: bool,
}

impl AdaptiveLimit {
    pub(crate) fn new(config: SharedLimitConfig) -> Self {
        let upper = config.max.max(config.min);
        AdaptiveLimit {
            config,
            limit: config.initial.clamp(config.min, upper) as f64,
            window: Window::default(),
            typical_duration: None,
        }
    }

    pub(crate) fn limit(&self) -> f64 {
        self.limit
    }

    pub(crate) fn typical_duration(&self) -> Micros {
        self.typical_duration.unwrap_or_default()
    }

    pub(crate) fn reconfigure(&mut self, config: SharedLimitConfig) {
        self.config = config;
        self.limit = self.limit.clamp(config.min as f64, config.max as f64);
    }

    /// Continues with the limit of another process. A limit that is not finite is ignored.
    pub(crate) fn restore(&mut self, limit: f64) {
        if limit.is_finite() {
            self.set(limit);
        }
    }

    /// Records that a query found the limit reached in this window.
    pub(crate) fn note_reached(&mut self) {
        self.window.was_reached = true;
    }

    /// Counts a query that has ended, and adapts the limit if the window is complete.
    pub(crate) fn query_ended(&mut self, now: Micros, duration: Micros, late: bool) {
        let previous = self.typical_duration.unwrap_or(duration);
        let smoothed =
            previous.times(1.0 - SMOOTHING_WEIGHT).0 + duration.times(SMOOTHING_WEIGHT).0;
        self.typical_duration = Some(Micros(smoothed));
        self.window.ended += 1;
        self.window.late += u32::from(late);
        if self.window.ended >= WINDOW_QUERIES
            || now.since(self.window.started_at) >= WINDOW_DURATION
        {
            self.adapt(now);
        }
    }

    fn adapt(&mut self, now: Micros) {
        let next_window = Window {
            started_at: now,
            ..Window::default()
        };
        let window = std::mem::replace(&mut self.window, next_window);
        let max_late = MAX_LATE_SHARE * f64::from(window.ended);
        let adapted = if f64::from(window.late) > max_late {
            self.limit * DECREASE_FACTOR
        } else if window.was_reached {
            self.limit + (1.0 + INCREASE_SHARE * self.limit)
        } else {
            self.limit
        };
        self.set(adapted);
    }

    fn set(&mut self, limit: f64) {
        let upper = self.config.max.max(self.config.min) as f64;
        self.limit = limit.clamp(self.config.min as f64, upper);
    }
}
