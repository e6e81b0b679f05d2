//! Whether one side is better than another: the same worlds, loads and seeds under both, differences day by day, and an
//! interval round their mean. No claim is made where the interval holds zero.

use std::collections::BTreeMap;

use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

use crate::measure::Figures;
use crate::sim::Day;

/// How sure an interval is.
pub const SURE: f64 = 0.95;

#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Interval {
    pub mean: f64,
    pub low: f64,
    pub high: f64,
    pub count: usize,
}

/// The mean of some figures with its interval, by Student's t; without two figures there is none.
pub fn interval(of: &[f64]) -> Option<Interval> {
    let count = of.len();
    if count < 2 {
        return None;
    }
    let n = count as f64;
    let mean = of.iter().sum::<f64>() / n;
    let spread = (of.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / (n - 1.0) / n).sqrt();
    let t = StudentsT::new(0.0, 1.0, n - 1.0)
        .map_or(f64::INFINITY, |of| of.inverse_cdf(0.5 + SURE / 2.0));
    let wide = if spread > 0.0 { t * spread } else { 0.0 };
    Some(Interval {
        mean,
        low: mean - wide,
        high: mean + wide,
        count,
    })
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    Better,
    Worse,
    NoDifferenceSeen,
    TooFewDays,
}

impl std::fmt::Display for Verdict {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.pad(match self {
            Verdict::Better => "better",
            Verdict::Worse => "worse",
            Verdict::NoDifferenceSeen => "no difference seen",
            Verdict::TooFewDays => "too few days",
        })
    }
}

/// One figure of one world at one load: the second side less the first.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    pub world: String,
    pub load: f64,
    pub figure: &'static str,
    pub first: f64,
    pub second: f64,
    pub difference: Option<Interval>,
    pub verdict: Verdict,
}

type Of = fn(&Figures) -> f64;

/// Figures that are compared, and whether more is better.
const FIGURES: [(&str, Of, bool); 7] = [
    ("service", |f| f.service, true),
    ("lost", |f| f.lost as f64 / f.lookups.max(1) as f64, false),
    (
        "refused",
        |f| f.refused as f64 / f.lookups.max(1) as f64,
        false,
    ),
    ("p50 ms", |f| f.p50_ms, false),
    ("p99 ms", |f| f.p99_ms, false),
    ("calls a lookup", |f| f.calls_a_lookup, false),
    ("imbalance", |f| f.imbalance, false),
];

fn verdict(difference: Option<Interval>, more_is_better: bool) -> Verdict {
    match difference {
        None => Verdict::TooFewDays,
        Some(of) if of.low > 0.0 => {
            if more_is_better {
                Verdict::Better
            } else {
                Verdict::Worse
            }
        }
        Some(of) if of.high < 0.0 => {
            if more_is_better {
                Verdict::Worse
            } else {
                Verdict::Better
            }
        }
        Some(_) => Verdict::NoDifferenceSeen,
    }
}

/// Compares days that were played under the same world, load and seed; others are passed over.
pub fn compare<'a>(
    first: impl Iterator<Item = &'a Day>,
    second: impl Iterator<Item = &'a Day>,
) -> Vec<Row> {
    let key = |day: &Day| (day.world.clone(), day.load.to_bits(), day.seed);
    let other: BTreeMap<_, &Day> = second.map(|day| (key(day), day)).collect();
    let mut pairs: BTreeMap<(String, u64), Vec<(&Day, &Day)>> = BTreeMap::new();
    for day in first {
        if let Some(pair) = other.get(&key(day)) {
            pairs
                .entry((day.world.clone(), day.load.to_bits()))
                .or_default()
                .push((day, pair));
        }
    }
    let mut rows = Vec::new();
    for ((world, load), pairs) in pairs {
        let mean = |of: &mut dyn Iterator<Item = f64>| of.sum::<f64>() / pairs.len() as f64;
        for (figure, of, more_is_better) in FIGURES {
            let differences: Vec<f64> = pairs
                .iter()
                .map(|(a, b)| of(&b.figures) - of(&a.figures))
                .collect();
            let difference = interval(&differences);
            rows.push(Row {
                world: world.clone(),
                load: f64::from_bits(load),
                figure,
                first: mean(&mut pairs.iter().map(|(a, _)| of(&a.figures))),
                second: mean(&mut pairs.iter().map(|(_, b)| of(&b.figures))),
                difference,
                verdict: verdict(difference, more_is_better),
            });
        }
    }
    rows
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    #[test]
    fn an_interval_of_known_figures_is_the_textbooks() {
        // Mean 5, standard deviation 2.138, of 8: 5 +- 2.365 * 0.756.
        let of = interval(&[2.0, 4.0, 4.0, 4.0, 5.0, 5.0, 7.0, 9.0]).expect("an interval");
        assert!(
            (of.mean - 5.0).abs() < 1e-9
                && (of.low - 3.2125).abs() < 1e-3
                && (of.high - 6.7875).abs() < 1e-3
        );
        assert_eq!(interval(&[1.0]), None);
    }

    #[test_case(&[0.1, 0.11, 0.12], true, Verdict::Better; "surely more")]
    #[test_case(&[0.1, 0.11, 0.12], false, Verdict::Worse; "surely more of what is bad")]
    #[test_case(&[0.1, -0.1, 0.02], true, Verdict::NoDifferenceSeen; "either way")]
    #[test_case(&[0.0, 0.0, 0.0], true, Verdict::NoDifferenceSeen; "the same")]
    #[test_case(&[0.5], true, Verdict::TooFewDays; "one day")]
    fn a_verdict_needs_its_interval(differences: &[f64], more_is_better: bool, is: Verdict) {
        assert_eq!(verdict(interval(differences), more_is_better), is);
    }
}
