//! When a source (the key service, the feed of revocations) is asked: at its regular time, sooner where something
//! unknown came up, later and later while it fails. Whatever callers send, it is never asked more often than stated.

use nanorand::{Rng, WyRand};
use ternpick::types::Micros;

/// A failing source is first asked again after this part of the regular time, then twice as late each time.
const FIRST_AGAIN: f64 = 0.2;
/// Waiting times are spread by this share, so that many routers do not ask together.
const SPREAD: f64 = 0.2;
/// A failing source is asked this many regular times apart at the most.
const MOST_APART: f64 = 8.0;

pub struct Refresh {
    every: Micros,
    /// Between two calls, whatever comes up.
    least_apart: Micros,
    /// When it is asked next; none while a call is out.
    next: Option<Micros>,
    began: Option<Micros>,
    /// Something unknown came up while a call was out.
    again: bool,
    failures: u32,
    chance: WyRand,
}

impl Refresh {
    pub fn new(every: Micros, least_apart: Micros, seed: u64) -> Self {
        let chance = WyRand::new_seed(seed);
        Refresh {
            every,
            least_apart,
            next: Some(Micros(0)),
            began: None,
            again: false,
            failures: 0,
            chance,
        }
    }

    /// When to ask; none while a call is out.
    pub fn next(&self) -> Option<Micros> {
        self.next
    }

    fn not_before(&self) -> Micros {
        self.began
            .map_or(Micros(0), |began| began + self.least_apart)
    }

    /// Something came up that the source may know by now. True if it is asked sooner for it.
    pub fn wanted(&mut self, now: Micros) -> bool {
        // A source that fails is not asked sooner for being needed.
        if self.failures > 0 {
            return false;
        }
        match self.next {
            None => !std::mem::replace(&mut self.again, true),
            Some(next) => {
                let sooner = self.not_before().max(now);
                self.next = Some(next.min(sooner));
                sooner < next
            }
        }
    }

    pub fn began(&mut self, now: Micros) {
        (self.next, self.began, self.again) = (None, Some(now), false);
    }

    fn spread(&mut self, of: Micros) -> Micros {
        let lot = self.chance.generate::<f64>();
        of.times(1.0 - SPREAD + 2.0 * SPREAD * lot)
    }

    pub fn succeeded(&mut self, now: Micros) {
        self.failures = 0;
        let regular = now + self.spread(self.every);
        self.next = Some(if self.again {
            self.not_before().max(now)
        } else {
            regular
        });
    }

    pub fn failed(&mut self, now: Micros) {
        let apart = FIRST_AGAIN * f64::from(2u32.saturating_pow(self.failures));
        self.failures = self.failures.saturating_add(1);
        let wait = self.spread(self.every.times(apart.min(MOST_APART)));
        self.next = Some((now + wait).max(self.not_before()));
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

    fn refresh() -> Refresh {
        Refresh::new(Micros(5 * S), Micros(S), 7)
    }

    #[test]
    fn a_flood_of_unknown_keys_asks_once_a_second_at_most() {
        let (mut refresh, mut calls) = (refresh(), 0);
        for ms in 0..20_000 {
            let now = Micros(ms * 1000);
            refresh.wanted(now);
            if refresh.next().is_some_and(|next| next <= now) {
                calls += 1;
                refresh.began(now);
                refresh.succeeded(now + Micros(3000));
            }
        }
        assert!((19..=21).contains(&calls), "{calls} calls in 20 s");
    }

    #[test]
    fn a_source_that_fails_is_asked_later_and_later_needed_or_not() {
        let (mut refresh, mut now, mut waits) = (refresh(), Micros(0), Vec::new());
        for _ in 0..9 {
            refresh.began(now);
            refresh.failed(now);
            refresh.wanted(now);
            let next = refresh.next().expect("a time");
            waits.push(next.since(now).0 as f64 / S as f64);
            now = next;
        }
        assert!(
            waits[0] < 1.3 && waits[3] > 4.0 && waits[8] > 30.0 && waits[8] < 50.0,
            "{waits:?}"
        );
        refresh.began(now);
        refresh.succeeded(now);
        assert!(refresh
            .next()
            .is_some_and(|next| next.since(now).0 <= 6 * S));
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]
        #[test]
        fn calls_never_come_closer_than_stated(steps in proptest::collection::vec((0u8..4, 0u64..3 * S), 1..80)) {
            let (mut refresh, mut now, mut last) = (refresh(), Micros(0), None::<Micros>);
            for (what, later) in steps {
                now += Micros(later);
                match (what, refresh.next()) {
                    (0, _) => drop(refresh.wanted(now)),
                    (1, None) => refresh.succeeded(now),
                    (2, None) => refresh.failed(now),
                    (_, Some(next)) if next <= now => {
                        prop_assert!(last.is_none_or(|last| now.since(last).0 >= S));
                        last = Some(now);
                        refresh.began(now);
                    }
                    _ => {}
                }
                prop_assert!(refresh.next().is_none_or(|next| next.since(now).0 <= 60 * S), "it is always asked again");
            }
        }
    }
}
