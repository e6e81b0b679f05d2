//! Outcomes in words and tables.

use std::collections::{BTreeMap, HashMap};
use std::io::BufRead;
use std::path::Path;

use serde::{Deserialize, Serialize};
use ternpick_history::{Counts, Event, EventKind, Verdict};

use super::Outcome;
use crate::report::text_table;

pub fn words(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Accepted(counts) => {
            let faults: u64 = counts.faults.values().sum();
            format!(
                "accepted: {} lookups, {} answered, {} decided, {} refused before they were taken, {} lost with their router; \
                 {} proposals, {} in force, {} nowhere, {} open; {} parts; {faults} faults, {} ends",
                counts.lookups,
                counts.answered,
                counts.decided,
                counts.refused,
                counts.lost,
                counts.proposals,
                counts.in_force,
                counts.nowhere,
                counts.open,
                counts.parts,
                counts.ended
            )
        }
        Verdict::Rejected(broken) => {
            format!(
                "REJECTED, {}, line {}: {}",
                broken.rule, broken.line, broken.message
            )
        }
        Verdict::Inconclusive(words) => format!("no verdict: {words}"),
    }
}

pub fn line(of: &Outcome) -> String {
    let well = of.well_after_ms.map_or("NOT WELL AGAIN".into(), |ms| {
        format!("well again after {ms} ms")
    });
    format!(
        "{} seed {}: {}; {well}",
        of.name,
        of.seed,
        words(&of.verdict)
    )
}

/// All outcomes in the folders of a folder.
pub fn read(out: &Path) -> Result<Vec<Outcome>, Box<dyn std::error::Error>> {
    let mut all = Vec::new();
    for entry in std::fs::read_dir(out)? {
        let path = entry?.path().join("outcome.json");
        if path.exists() {
            all.push(serde_json::from_slice(&std::fs::read(path)?)?);
        }
    }
    all.sort_by_key(|of: &Outcome| of.seed);
    Ok(all)
}

/// Quantiles of some figures: how many, the middle, nine of ten, 99 of a hundred, the largest.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Spread {
    pub count: usize,
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub most: f64,
}

pub fn spread(mut of: Vec<f64>) -> Spread {
    of.sort_by(f64::total_cmp);
    let at = |q: f64| {
        of.get(((of.len() as f64 * q) as usize).min(of.len().saturating_sub(1)))
            .copied()
            .unwrap_or(0.0)
    };
    Spread {
        count: of.len(),
        p50: at(0.5),
        p90: at(0.9),
        p99: at(0.99),
        most: at(1.0),
    }
}

/// From the asking to the first part at a node, over a history, and how many were refused without a version.
pub fn first_parts(history: &Path) -> std::io::Result<(Spread, u64)> {
    let (mut asked, mut took, mut refused) = (HashMap::new(), Vec::new(), 0);
    for line in std::io::BufReader::new(std::fs::File::open(history)?).lines() {
        let event: Event = serde_json::from_str(&line?).map_err(std::io::Error::other)?;
        match event.kind {
            EventKind::Asked { lookup, .. } => {
                asked.insert(lookup, event.at);
            }
            EventKind::PartStarted { lookup, .. } => {
                if let Some(at) = asked.remove(&lookup) {
                    took.push((event.at - at) as f64);
                }
            }
            EventKind::Answered {
                lookup,
                status,
                version,
                ..
            } => {
                refused += u64::from(status == 503 && version.is_none());
                asked.remove(&lookup);
            }
            EventKind::Unanswered { lookup, .. } => {
                asked.remove(&lookup);
            }
            _ => {}
        }
    }
    Ok((spread(took), refused))
}

/// The soft deadline of the rig's indexes, in microseconds.
const SOFT: u64 = 600_000;

/// Of the lookups that were asked, the share with an answer within the soft deadline.
pub fn in_time(history: &Path) -> std::io::Result<f64> {
    let (mut asked, mut all, mut good) = (HashMap::new(), 0u64, 0u64);
    for line in std::io::BufReader::new(std::fs::File::open(history)?).lines() {
        let event: Event = serde_json::from_str(&line?).map_err(std::io::Error::other)?;
        match event.kind {
            EventKind::Asked { lookup, .. } => {
                all += 1;
                asked.insert(lookup, event.at);
            }
            EventKind::Answered { lookup, status, .. } => {
                let took = asked.remove(&lookup).map(|at| event.at - at);
                good += u64::from(status == 200 && took.is_some_and(|took| took <= SOFT));
            }
            _ => {}
        }
    }
    Ok(good as f64 / all.max(1) as f64)
}

/// All runs together.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Sum {
    pub runs: usize,
    pub good: usize,
    pub seconds: f64,
    pub counts: Counts,
    /// Milliseconds from proposal to in force, as the command saw it: said once, and said again.
    pub took: Spread,
    pub took_again: Spread,
    pub well_after_ms: Spread,
}

pub fn sum(outcomes: &[Outcome]) -> Sum {
    let mut counts = Counts::default();
    for of in outcomes {
        let Verdict::Accepted(one) = &of.verdict else {
            continue;
        };
        for (all, one) in [
            (&mut counts.events, one.events),
            (&mut counts.lookups, one.lookups),
            (&mut counts.answered, one.answered),
            (&mut counts.decided, one.decided),
            (&mut counts.unguarded, one.unguarded),
            (&mut counts.refused, one.refused),
            (&mut counts.lost, one.lost),
            (&mut counts.proposals, one.proposals),
            (&mut counts.in_force, one.in_force),
            (&mut counts.nowhere, one.nowhere),
            (&mut counts.open, one.open),
            (&mut counts.parts, one.parts),
            (&mut counts.ended, one.ended),
        ] {
            *all += one;
        }
        for (kind, count) in &one.faults {
            *counts.faults.entry(kind.clone()).or_default() += count;
        }
        for (status, count) in &one.statuses {
            *counts.statuses.entry(*status).or_default() += count;
        }
    }
    let took = |again: bool| {
        let all = outcomes
            .iter()
            .flat_map(|of| &of.took)
            .filter(|took| took.again == again);
        spread(all.map(|took| took.micros as f64 / 1e3).collect())
    };
    Sum {
        runs: outcomes.len(),
        good: outcomes.iter().filter(|of| of.is_good()).count(),
        seconds: outcomes.iter().map(|of| of.seconds).sum(),
        counts,
        took: took(false),
        took_again: took(true),
        well_after_ms: spread(
            outcomes
                .iter()
                .filter_map(|of| of.well_after_ms)
                .map(|ms| ms as f64)
                .collect(),
        ),
    }
}

pub fn table(outcomes: &[Outcome]) -> String {
    let all = sum(outcomes);
    let row = |name: &str, of: &Spread| {
        let mut cells = vec![name.to_owned(), of.count.to_string()];
        cells.extend([of.p50, of.p90, of.p99, of.most].map(|figure| format!("{figure:.0}")));
        cells
    };
    let first = outcomes.iter().map(|of| {
        let mut cells = vec![
            format!("{} {}", of.name, of.seed),
            of.first_part.count.to_string(),
        ];
        cells.extend(
            [of.first_part.p50, of.first_part.p90, of.first_part.p99]
                .map(|micros| format!("{:.2}", micros / 1e3)),
        );
        cells.push(of.refused_whole.to_string());
        cells.push(format!(
            "{:.0}",
            of.carried as f64 / of.seconds / of.cpu.len().max(1) as f64
        ));
        cells.push(
            of.cpu
                .iter()
                .map(|micros| format!("{:.1}", *micros as f64 / 1e3))
                .collect::<Vec<_>>()
                .join(" "),
        );
        cells
    });
    let first = match outcomes.len() {
        0..=12 => text_table(
            &[
                "to the first part, ms",
                "lookups",
                "p50",
                "p90",
                "p99",
                "refused",
                "messages a router and s",
                "CPU ms a s",
            ],
            &first.collect::<Vec<_>>(),
        ),
        _ => String::new(),
    };
    let spans = text_table(
        &["milliseconds", "count", "p50", "p90", "p99", "most"],
        &[
            row("proposal to in force", &all.took),
            row("the same, said again", &all.took_again),
            row("well again", &all.well_after_ms),
        ],
    );
    let list = |of: &BTreeMap<String, u64>| {
        of.iter()
            .map(|(name, count)| format!("{name} {count}"))
            .collect::<Vec<_>>()
            .join(", ")
    };
    let statuses = all
        .counts
        .statuses
        .iter()
        .map(|(status, count)| (status.to_string(), *count))
        .collect();
    let bad: Vec<String> = outcomes
        .iter()
        .filter(|of| !of.is_good())
        .map(line)
        .collect();
    format!(
        "{} runs, {} good, {:.0} s in all\n{}\nanswers: {}\nfaults: {}\n{spans}{first}{}",
        all.runs,
        all.good,
        all.seconds,
        words(&Verdict::Accepted(all.counts.clone())),
        list(&statuses),
        list(&all.counts.faults),
        bad.iter()
            .map(|line| format!("{line}\n"))
            .collect::<String>()
    )
}
