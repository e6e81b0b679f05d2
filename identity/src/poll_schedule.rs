//! When a source (the key service, the feed of revocations) is asked: at its regular time, sooner where something
//! unknown came up, later and later while it fails. Whatever callers send, it is never asked more often than stated.

use nanorand::{Rng, WyRand};
use ternpick::types::Micros;

/// A failing source is first asked again after this part of the regular time, then twice as late each time.
const FIRST_RETRY_INTERVALS: f64 = 0.2;
/// Waiting times are spread by this share, so that many routers do not ask together.
const JITTER_FRACTION: f64 = 0.2;
/// A failing source is asked this many regular times apart at the most.
const MAX_RETRY_INTERVALS: f64 = 8.0;

pub struct PollSchedule {
    interval: Micros,
    /// Between two calls, whatever comes up.
    min_interval: Micros,
    /// When it is asked next; none while a call is out.
    next: Option<Micros>,
    started_at: Option<Micros>,
    /// Something unknown came up while a call was out.
    early_poll_requested: bool,
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

    /// When to ask; none while a call is out.
    pub fn next(&self) -> Option<Micros> {
        self.next
    }

    fn earliest(&self) -> Micros {
        self.started_at
            .map_or(Micros(0), |started_at| started_at + self.min_interval)
    }

    /// Something came up that the source may know by now. True if it is asked sooner for it.
    pub fn request_early(&mut self, now: Micros) -> bool {
        // A source that fails is not asked sooner for being needed.
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

    pub fn started(&mut self, now: Micros) {
        (self.next, self.started_at, self.early_poll_requested) = (None, Some(now), false);
    }

    fn jittered(&mut self, duration: Micros) -> Micros {
        let fraction = self.rng.generate::<f64>();
        duration.times(1.0 - JITTER_FRACTION + 2.0 * JITTER_FRACTION * fraction)
    }

    pub fn succeeded(&mut self, now: Micros) {
        self.failures = 0;
        let at_interval = now + self.jittered(self.interval);
        self.next = Some(if self.early_poll_requested {
            self.earliest().max(now)
        } else {
            at_interval
        });
    }

    pub fn failed(&mut self, now: Micros) {
        let intervals = FIRST_RETRY_INTERVALS * f64::from(2u32.saturating_pow(self.failures));
        self.failures = self.failures.saturating_add(1);
        let wait = self.jittered(self.interval.times(intervals.min(MAX_RETRY_INTERVALS)));
        self.next = Some((now + wait).max(self.earliest()));
    }

    /// How many calls in a row have failed.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const S: u64 = 1_000_000;

    fn schedule() -> PollSchedule {
        PollSchedule::new(Micros(5 * S), Micros(S), 7)
    }

    #[test]
    fn a_flood_of_unknown_keys_asks_once_a_second_at_most() {
        let (mut schedule, mut calls) = (schedule(), 0);
        for ms in 0..20_000 {
            let now = Micros(ms * 1000);
            schedule.request_early(now);
            if schedule.next().is_some_and(|next| next <= now) {
                calls += 1;
                schedule.started(now);
                schedule.succeeded(now + Micros(3000));
            }
        }
        assert!((19..=21).contains(&calls), "{calls} calls in 20 s");
    }

    #[test]
    fn a_source_that_fails_is_asked_later_and_later_needed_or_not() {
        let (mut schedule, mut now, mut waits) = (schedule(), Micros(0), Vec::new());
        for _ in 0..9 {
            schedule.started(now);
            schedule.failed(now);
            schedule.request_early(now);
            let next = schedule.next().expect("a time");
            waits.push(next.since(now).0 as f64 / S as f64);
            now = next;
        }
        assert!(
            waits[0] < 1.3 && waits[3] > 4.0 && waits[8] > 30.0 && waits[8] < 50.0,
            "{waits:?}"
        );
        schedule.started(now);
        schedule.succeeded(now);
        assert!(schedule
            .next()
            .is_some_and(|next| next.since(now).0 <= 6 * S));
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]
        #[test]
        fn calls_never_come_closer_than_stated(steps in proptest::collection::vec((0u8..4, 0u64..3 * S), 1..80)) {
            let (mut schedule, mut now, mut last) = (schedule(), Micros(0), None::<Micros>);
            for (what, later) in steps {
                now += Micros(later);
                match (what, schedule.next()) {
                    (0, _) => drop(schedule.request_early(now)),
                    (1, None) => schedule.succeeded(now),
                    (2, None) => schedule.failed(now),
                    (_, Some(next)) if next <= now => {
                        prop_assert!(last.is_none_or(|last| now.since(last).0 >= S));
                        last = Some(now);
                        schedule.started(now);
                    }
                    _ => {}
                }
                prop_assert!(schedule.next().is_none_or(|next| next.since(now).0 <= 60 * S), "it is always asked again");
            }
        }
    }
}
