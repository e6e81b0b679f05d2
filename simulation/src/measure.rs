//! What a day is measured by: gain had of what there was, times, work, and how soon service was back.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::node::Node;
use crate::plan::{Index, World};
use crate::sim::{SECOND, ZERO};

/// Service counts as back once this share of what it was before is had for so many seconds on end.
pub const BACK_AT: f64 = 0.95;
pub const BACK_FOR: usize = 5;
/// Ranks of nodes whose work is told.
const RANKS: usize = 21;
/// The longest time that is told apart, in microseconds.
const LONGEST: u64 = 3_600_000_000;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// Share of the offered gain that was had.
    pub service: f64,
    pub lookups: u64,
    pub in_time: u64,
    pub late: u64,
    pub partial: u64,
    pub refused: u64,
    pub lost: u64,
    /// Milliseconds from when a lookup was due to its answer.
    pub mean_ms: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    pub tries_a_lookup: f64,
    pub calls_a_lookup: f64,
    /// Calls after the first of a part, as a share of all.
    pub further_calls: f64,
    pub dials_a_lookup: f64,
    pub probes_a_second: f64,
    /// Share of the fleet's time that was worked, warm or not.
    pub busy: f64,
    /// Work of the busiest node over that of the mean one.
    pub imbalance: f64,
    /// Share of their time that nodes worked, the least busy first, at even steps of rank.
    pub by_rank: Vec<f64>,
}

pub struct Measure {
    settle: u64,
    seconds: u64,
    offered: Vec<f64>,
    had: Vec<f64>,
    times: Histogram<u64>,
    figures: Figures,
    tries: u64,
    calls: u64,
    further: u64,
    dials: u64,
    probes: u64,
}

impl Measure {
    pub fn new(world: &World) -> Measure {
        let seconds = world.seconds as usize;
        let times = Histogram::new_with_bounds(1, LONGEST, 3);
        Measure {
            settle: world.settle,
            seconds: world.seconds,
            offered: vec![0.0; seconds],
            had: vec![0.0; seconds],
            times: times.unwrap_or_else(|_| unreachable!("the bounds are in order")),
            figures: Figures::default(),
            tries: 0,
            calls: 0,
            further: 0,
            dials: 0,
            probes: 0,
        }
    }

    fn second(due: u64) -> usize {
        (due.saturating_sub(ZERO) / SECOND) as usize
    }

    fn counts(&self, due: u64) -> bool {
        let second = Measure::second(due) as u64;
        (self.settle..self.seconds).contains(&second)
    }

    /// A lookup is due. What brings nodes down is not service, answered or not.
    pub fn offered(&mut self, due: u64, index: &Index, deadly: bool) {
        if let Some(offered) = self
            .offered
            .get_mut(Measure::second(due))
            .filter(|_| !deadly)
        {
            *offered += index.gain;
        }
    }

    /// A lookup is over for its client; `answer`: the share of its parts, and whether it was called whole.
    #[allow(clippy::too_many_arguments)] // a field of each kind
    pub fn closed(
        &mut self,
        now: u64,
        index: &Index,
        due: u64,
        tries: u32,
        answer: Option<(f64, bool)>,
        refused: bool,
        deadly: bool,
    ) {
        if deadly {
            return;
        }
        let took = now.saturating_sub(due);
        let gain = match answer {
            Some((share, _)) if took <= index.soft => index.gain * share.min(1.0),
            Some((share, _)) if took <= index.hard => index.gain * share.min(1.0) * index.late,
            _ => 0.0,
        };
        if let Some(had) = self.had.get_mut(Measure::second(due)) {
            *had += gain;
        }
        if !self.counts(due) {
            return;
        }
        let f = &mut self.figures;
        f.lookups += 1;
        self.tries += u64::from(tries);
        match answer {
            Some((_, whole)) => {
                f.partial += u64::from(!whole);
                if took <= index.soft {
                    f.in_time += 1
                } else {
                    f.late += 1
                }
                self.times.saturating_record(took.max(1));
            }
            None if refused => f.refused += 1,
            None => f.lost += 1,
        }
    }

    pub fn part_call(&mut self, now: u64, further: bool) {
        if self.counts(now) {
            self.calls += 1;
            self.further += u64::from(further);
        }
    }

    pub fn dialled(&mut self, now: u64) {
        self.dials += u64::from(self.counts(now));
    }

    pub fn probed(&mut self, now: u64) {
        self.probes += u64::from(self.counts(now));
    }

    pub fn by_second(&self) -> Vec<f64> {
        self.offered
            .iter()
            .zip(&self.had)
            .map(|(of, had)| if *of > 0.0 { had / of } else { 1.0 })
            .collect()
    }

    pub fn figures(&self, nodes: &[Node], world: &World) -> Figures {
        let from = self.settle as usize;
        let (offered, had) = (
            self.offered[from..].iter().sum::<f64>(),
            self.had[from..].iter().sum::<f64>(),
        );
        let mut f = self.figures.clone();
        let lookups = f.lookups.max(1) as f64;
        let at = |q| self.times.value_at_quantile(q) as f64 / 1e3;
        let mut work: Vec<f64> = nodes.iter().map(|node| node.worked as f64).collect();
        work.sort_by(f64::total_cmp);
        let mean = work.iter().sum::<f64>() / work.len().max(1) as f64;
        f.service = if offered > 0.0 { had / offered } else { 1.0 };
        f.mean_ms = self.times.mean() / 1e3;
        (f.p50_ms, f.p99_ms, f.p999_ms) = (at(0.5), at(0.99), at(0.999));
        f.tries_a_lookup = self.tries as f64 / lookups;
        f.calls_a_lookup = self.calls as f64 / lookups;
        f.further_calls = self.further as f64 / self.calls.max(1) as f64;
        f.dials_a_lookup = self.dials as f64 / lookups;
        f.probes_a_second = self.probes as f64 / (self.seconds - self.settle) as f64;
        let time = (self.seconds * SECOND) as f64 * world.nodes.cores as f64;
        f.busy = mean / time;
        f.by_rank = ranks(&work).map(|worked| worked / time).collect();
        f.imbalance = if mean > 0.0 {
            work.last().copied().unwrap_or(0.0) / mean
        } else {
            1.0
        };
        f
    }
}

/// Of sorted figures those at even steps, the first and the last among them.
fn ranks(sorted: &[f64]) -> impl Iterator<Item = f64> + '_ {
    let last = sorted.len().saturating_sub(1);
    (0..RANKS).filter_map(move |at| sorted.get(at * last / (RANKS - 1)).copied())
}

/// Seconds from the end of the last trouble until service is as it was before the first; none: not within the day,
/// which for a trouble that has gone means that the system holds itself down.
pub fn back_after(by_second: &[f64], settle: u64, begins: u64, ends: u64) -> Option<f64> {
    let (settle, begins, ends) = (settle as usize, begins as usize, ends as usize);
    let before = by_second
        .get(settle..begins)
        .filter(|some| !some.is_empty());
    let usual = before.map_or(1.0, |some| some.iter().sum::<f64>() / some.len() as f64);
    let after = by_second.get(ends..)?;
    let back = |some: &[f64]| some.iter().sum::<f64>() / some.len() as f64 >= usual * BACK_AT;
    after
        .windows(BACK_FOR)
        .position(back)
        .map(|seconds| seconds as f64)
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    #[test_case(&[1.0; 20], Some(0.0); "nothing was lost")]
    #[test_case(&[1.0, 1.0, 1.0, 1.0, 1.0, 0.2, 0.2, 0.2, 0.5, 0.5, 0.5, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0], Some(3.0); "back after three")]
    #[test_case(&[1.0, 1.0, 1.0, 1.0, 1.0, 0.2, 0.2, 0.2, 0.3, 0.3, 0.3, 0.3, 0.3, 0.3, 0.3, 0.3], None; "held down")]
    fn service_is_back_when_it_is_as_before(by_second: &[f64], back: Option<f64>) {
        assert_eq!(back_after(by_second, 1, 5, 8), back);
    }
}
