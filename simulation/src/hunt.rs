//! Looks for the worst day: one on which a rule breaks, or else the one that loses most against the oracle; and cuts it
//! down to the least that still shows it. Pure but for the days it plays: chance comes from a seed.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use strum::IntoEnumIterator;

use crate::check::Rule;
use crate::experiment::Run;
use crate::plan::{Kind, Trouble, Who, World};

/// Days of one round are drawn together, so that the cores do not change the search.
const A_ROUND: usize = 16;
/// The worst of those known are changed further.
const KEPT: usize = 4;
const MOST_TROUBLES: usize = 6;
/// A smaller day must show this share of the loss still.
const STILL: f64 = 0.8;

/// A day and what it shows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Find {
    pub run: Run,
    /// A rule that it breaks.
    pub rule: Option<Rule>,
    /// Service of the oracle less that of the policy.
    pub loss: f64,
    pub service: f64,
    pub oracle: f64,
    pub trace: String,
    /// Rules whose breaches were known, and passed over; finds of before it was asked have none.
    #[serde(default)]
    pub known: Vec<Rule>,
}

impl Find {
    fn bad(&self) -> f64 {
        f64::from(u8::from(self.rule.is_some())) * 10.0 + self.loss
    }

    /// Whether another day shows the same.
    fn shows(&self, other: &Find) -> bool {
        match self.rule {
            Some(rule) => other.rule == Some(rule),
            None => other.loss >= self.loss * STILL,
        }
    }
}

/// Plays a day under its policy and under the oracle; rules whose breaches are known already are passed over.
pub fn look(run: &Run, known: &[Rule]) -> Find {
    let day = run.play();
    let oracle = Run {
        policy: Who::Oracle,
        ..run.clone()
    }
    .play();
    Find {
        run: run.clone(),
        rule: day
            .breaches
            .iter()
            .map(|breach| breach.rule)
            .find(|rule| !known.contains(rule)),
        loss: oracle.service - day.service,
        service: day.service,
        oracle: oracle.service,
        trace: day.trace,
        known: known.to_vec(),
    }
}

fn trouble(world: &World, kinds: &[Kind], chance: &mut Pcg64Mcg) -> Trouble {
    let seconds = world.seconds as f64;
    let at = chance
        .random_range(world.settle as f64 + 1.0..(seconds * 0.6).max(world.settle as f64 + 2.0));
    let kind = kinds[chance.random_range(0..kinds.len())];
    let most = if kind == Kind::Deadly { 0.05 } else { 0.5 };
    let zones = world.network.zones;
    Trouble {
        kind,
        at: (at * 1e6) as u64,
        lasts: (chance.random_range(1.0..(seconds * 0.4).max(2.0)) * 1e6) as u64,
        share: chance.random_range(0.01..most),
        times: chance.random_range(1.5..8.0),
        index: chance.random_range(0..world.indexes.len()) as u8,
        zones: vec![chance.random_range(0..zones), chance.random_range(0..zones)],
        both: chance.random(),
    }
}

/// A neighbour of a day: a trouble more, less or other, another load, later news, another shape of work.
fn change(run: &Run, kinds: &[Kind], chance: &mut Pcg64Mcg) -> Run {
    let mut run = run.clone();
    run.seed = chance.random_range(1..1_000_000);
    for _ in 0..chance.random_range(1..=2) {
        let world = &mut run.world;
        let count = world.troubles.len();
        match chance.random_range(0..9) {
            _ if kinds.is_empty() => {}
            0..=3 if count < MOST_TROUBLES => world.troubles.push(trouble(world, kinds, chance)),
            4 if count > 0 => {
                world.troubles[chance.random_range(0..count)] = trouble(world, kinds, chance)
            }
            5 if count > 1 => {
                world.troubles.remove(chance.random_range(0..count));
            }
            6 => run.load = chance.random_range(0.3..1.6),
            7 => world.discovery.lag = chance.random_range(100_000..10_000_000),
            8 => world.nodes.refresh = chance.random_range(10_000..3_000_000),
            _ => {}
        }
    }
    run
}

/// Searches so many rounds from some worlds; the worst come first. Rules that are `known` to break are passed over, and
/// troubles of some kinds are left out.
pub fn hunt(
    from: &[Run],
    rounds: usize,
    seed: u64,
    known: &[Rule],
    without: &[Kind],
    mut told: impl FnMut(&Find),
) -> Vec<Find> {
    let mut chance = Pcg64Mcg::seed_from_u64(seed);
    let kinds: Vec<Kind> = Kind::iter()
        .filter(|kind| !without.contains(kind))
        .collect();
    let mut worst: Vec<Find> = from.par_iter().map(|run| look(run, known)).collect();
    for _ in 0..rounds {
        worst.sort_by(|a, b| b.bad().total_cmp(&a.bad()));
        worst.truncate(KEPT);
        if let Some(find) = worst.first() {
            told(find);
        }
        let drawn: Vec<Run> = (0..A_ROUND)
            .map(|at| change(&worst[at % worst.len().max(1)].run, &kinds, &mut chance))
            .filter(|run| run.world.check().is_ok())
            .collect();
        worst.extend(
            drawn
                .par_iter()
                .map(|run| look(run, known))
                .collect::<Vec<Find>>(),
        );
    }
    worst.sort_by(|a, b| b.bad().total_cmp(&a.bad()));
    worst.truncate(KEPT);
    worst
}

/// Smaller days than this one, the boldest cuts first.
fn smaller(run: &Run) -> Vec<Run> {
    let mut all = Vec::new();
    let with = |change: &dyn Fn(&mut Run)| {
        let mut smaller = run.clone();
        change(&mut smaller);
        smaller
    };
    for at in 0..run.world.troubles.len() {
        all.push(with(&|run| {
            run.world.troubles.remove(at);
        }));
    }
    let ends = run
        .world
        .troubles
        .iter()
        .map(|of| of.end() / 1_000_000)
        .max()
        .unwrap_or(0);
    if ends + 5 < run.world.seconds && run.world.settle < ends + 5 {
        all.push(with(&|run| run.world.seconds = ends + 5));
    }
    if run.world.routers > 1 {
        all.push(with(&|run| run.world.routers /= 2));
    }
    if run.world.indexes.len() > 1 {
        for at in 0..run.world.indexes.len() {
            all.push(with(&|run| {
                run.world.indexes.remove(at);
                run.world.troubles.iter_mut().for_each(|of| of.index = 0);
            }));
        }
    }
    for at in 0..run.world.troubles.len() {
        let of = &run.world.troubles[at];
        if of.lasts > 1_000_000 {
            all.push(with(&|run| run.world.troubles[at].lasts /= 2));
        }
        if of.share > 0.02 && of.share < 1.0 {
            all.push(with(&|run| run.world.troubles[at].share /= 2.0));
        }
        if of.times > 2.0 {
            all.push(with(&|run| run.world.troubles[at].times /= 1.5));
        }
    }
    all.retain(|run| run.world.check().is_ok());
    all
}

/// Cuts a find down as long as what is left shows the same; at most so many days are played.
pub fn shrink(find: &Find, most_days: usize, mut told: impl FnMut(&Find)) -> Find {
    // As this build plays it: another one's trace is no use to a replay.
    let (mut best, mut played) = (look(&find.run, &find.known), 1);
    if !find.shows(&best) {
        return best;
    }
    while played < most_days {
        let tried: Vec<Find> = smaller(&best.run)
            .par_iter()
            .map(|run| look(run, &find.known))
            .collect();
        played += tried.len().max(1);
        let Some(next) = tried.into_iter().find(|tried| find.shows(tried)) else {
            break;
        };
        told(&next);
        best = next;
    }
    best
}
