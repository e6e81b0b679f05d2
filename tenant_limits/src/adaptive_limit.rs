//! The shared limit on queries in flight. It shrinks while answers are late, and grows while it is reached and answers
//! are in time (additive and multiplicative increase, multiplicative decrease).

use ternpick::types::Micros;

use crate::config::SharedLimitConfig;

/// The limit adapts after so many queries have ended, or after so much time.
const WINDOW_QUERIES: u32 = 32;
const WINDOW_DURATION: Micros = Micros(500_000);
/// Where a larger share of a window's queries was late, the limit shrinks to this part of itself.
const MAX_LATE_SHARE: f64 = 0.1;
const DECREASE_FACTOR: f64 = 0.85;
/// While it is reached and answers are in time, it grows by one and by this part of itself.
const INCREASE_SHARE: f64 = 0.05;
/// The weight of the newest query in the smoothed duration.
const SMOOTHING: f64 = 0.1;

pub(crate) struct AdaptiveLimit {
    bounds: SharedLimitConfig,
    limit: f64,
    window: Window,
    /// How long a query takes, smoothed; none before the first has ended.
    typical_duration: Option<Micros>,
}

#[derive(Default)]
struct Window {
    started_at: Micros,
    ended: u32,
    late: u32,
    /// The limit was reached in it.
    was_reached: bool,
}

impl AdaptiveLimit {
    pub(crate) fn new(bounds: SharedLimitConfig) -> Self {
        let upper = bounds.max.max(bounds.min);
        AdaptiveLimit {
            bounds,
            limit: bounds.initial.clamp(bounds.min, upper) as f64,
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

    pub(crate) fn reconfigure(&mut self, bounds: SharedLimitConfig) {
        self.bounds = bounds;
        self.limit = self.limit.clamp(bounds.min as f64, bounds.max as f64);
    }

    /// Continues from another process's limit; what is no number is ignored.
    pub(crate) fn restore(&mut self, limit: f64) {
        if limit.is_finite() {
            self.set(limit);
        }
    }

    /// Remembers that a query found the limit reached.
    pub(crate) fn note_reached(&mut self) {
        self.window.was_reached = true;
    }

    /// Counts a query that has ended, and adapts at the end of a window.
    pub(crate) fn query_ended(&mut self, now: Micros, duration: Micros, late: bool) {
        let before = self.typical_duration.unwrap_or(duration);
        let smoothed = before.times(1.0 - SMOOTHING).0 + duration.times(SMOOTHING).0;
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
        let upper = self.bounds.max.max(self.bounds.min) as f64;
        self.limit = limit.clamp(self.bounds.min as f64, upper);
    }
}
