//! The schedule of the polls of a source (the key service or the revocation feed). A source is polled at a regular
//! interval, earlier when a caller presents an unknown key, and with exponential backoff while it fails. Callers cannot
//! cause polls more often than the minimum interval.

use nanorand::{Rng, WyRand};
use ternpick::types::Micros;

/// The delay before the first retry of a failed poll, as a fraction of the poll interval. It doubles with each further
/// failure.
const FIRST_RETRY_INTERVALS: f64 = 0.2;
/// The random variation of intervals and delays, as a fraction of them, so that routers do not poll at the same time.
const JITTER_FRACTION: f64 = 0.2;
/// The maximum delay between retries, in poll intervals.
const MAX_RETRY_INTERVALS: f64 = 8.0;

/// The schedule of the polls of one source.
pub struct PollSchedule {
    interval: Micros,
    /// The minimum time between the starts of two polls.
    min_interval: Micros,
    /// When the next poll is due; none while a poll is in progress.
    next: Option<Micros>,
    /// When the last poll started.
    started_at: Option<Micros>,
    /// Whether an early poll was requested while a poll was in progress.
    early_poll_requested: bool,
    /// The number of consecutive failed polls.
    failures: u32,
    rng: WyRand,
}

impl PollSchedule {
    pub fn new(interval: Micros, min_interval: Micros, seed: u64) -> Self {
        let rng = WyRand::new_seed(seed);
        PollSchedule {
            interval,
            min_interval,
            next: Some(Micros(0)),
            started_at: None,
            early_poll_requested: false,
            failures: 0,
            rng,
        }
    }

    /// Returns when the next poll is due; none while a poll is in progress.
    pub fn next(&self) -> Option<Micros> {
        self.next
    }

    fn earliest(&self) -> Micros {
        self.started_at
            .map_or(Micros(0), |started_at| started_at + self.min_interval)
    }

    /// Requests an early poll, because the source may have newer data that is needed. Returns whether the next poll is
    /// now due earlier.
    pub fn request_early(&mut self, now: Micros) -> bool {
        // A request does not shorten the backoff of a source that fails.
        if self.failures > 0 {
            return false;
        }
        match self.next {
            None => !std::mem::replace(&mut self.early_poll_requested, true),
            Some(next) => {
                let sooner = self.earliest().max(now);
                self.next = Some(next.min(sooner));
                sooner < next
            }
        }
    }

    /// Records that a poll has started.
    pub fn started(&mut self, now: Micros) {
        (self.next, self.started_at, self.early_poll_requested) = (None, Some(now), false);
    }

    fn jittered(&mut self, duration: Micros) -> Micros {
        let fraction = self.rng.generate::<f64>();
        duration.times(1.0 - JITTER_FRACTION + 2.0 * JITTER_FRACTION * fraction)
    }

    /// Records that the poll has succeeded, and schedules the next one.
    pub fn succeeded(&mut self, now: Micros) {
        self.failures = 0;
        let at_interval = now + self.jittered(self.interval);
        self.next = Some(if self.early_poll_requested {
            self.earliest().max(now)
        } else {
            at_interval
        });
    }

    /// Records that the poll has failed, and schedules the retry.
    pub fn failed(&mut self, now: Micros) {
        let intervals = FIRST_RETRY_INTERVALS * f64::from(2u32.saturating_pow(self.failures));
        self.failures = self.failures.saturating_add(1);
        let wait = self.jittered(self.interval.times(intervals.min(MAX_RETRY_INTERVALS)));
        self.next = Some((now + wait).max(self.earliest()));
    }

    /// Returns the number of consecutive failed polls.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}

#[cfg(test)]
mod tests;
