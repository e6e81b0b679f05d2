//! The rounds in which machines go out. Machines that share no limit go together; a round is over once all of its
//! machines are back. The coordinator shows the rounds to operators and takes out the first one.
//!
//! Weighed: greedy by first fit (taken; the scarcest limit first, among equals by deadline and priority), local search
//! on top of it (no gain on random cases, see `docs/measurements/works.md`), and the exact minimum by search, which only
//! small fleets can afford and tests compare with.

mod exact;

use crate::disruption_budget::{DisruptionBudget, LimitUse, Violation};
use crate::ids::RequestNo;

pub use exact::exact_rounds;

/// The order among items: the lower goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// The request's deadline, wall clock in milliseconds since 1970; the largest number if it has none.
    pub deadline_ms: u64,
    /// The highest priority is the lowest number.
    pub inverse_priority: u8,
}

/// Machines that go out together.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkItem {
    /// The request that they belong to.
    pub request: RequestNo,
    /// Their places in the cluster view.
    pub nodes: Vec<usize>,
    /// The order among items.
    pub urgency: Urgency,
    /// How long the work takes, in microseconds.
    pub duration_us: u64,
}

/// Items that go out together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Round {
    /// Places in the list of items.
    pub items: Vec<usize>,
    /// The longest duration of any of them, in microseconds.
    pub duration_us: u64,
}

/// An item that fits into no round.
#[derive(Clone, Debug, PartialEq)]
pub struct Unschedulable {
    /// Its place in the list of items.
    pub item: usize,
    /// The limit that it breaks by itself.
    pub violation: Violation,
}

/// All items, in rounds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule {
    /// In the order in which they go out.
    pub rounds: Vec<Round>,
    /// Items that no round can take.
    pub unschedulable: Vec<Unschedulable>,
    /// No schedule has fewer rounds.
    pub lower_bound: usize,
}

fn uses<'a>(
    item: &'a WorkItem,
    budget: &'a DisruptionBudget,
) -> impl Iterator<Item = LimitUse> + 'a {
    item.nodes.iter().flat_map(|node| budget.uses(*node))
}

/// For each limit, how many machines of all items take of it.
fn demand(items: &[WorkItem], budget: &DisruptionBudget) -> Vec<usize> {
    let mut demand = vec![0; budget.free().len()];
    for used in items.iter().flat_map(|item| uses(item, budget)) {
        demand[used.limit] += 1;
    }
    demand
}

/// The rounds that no schedule can do without: for each limit, the demand divided by what is free.
pub fn lower_bound(items: &[WorkItem], budget: &DisruptionBudget) -> usize {
    demand(items, budget)
        .into_iter()
        .zip(budget.free())
        .filter(|(_, free)| *free > 0)
        .map(|(wanted, free)| wanted.div_ceil(free))
        .max()
        .unwrap_or(0)
}

/// What a round has taken of each limit.
struct Usage(Vec<usize>);

impl Usage {
    fn none(budget: &DisruptionBudget) -> Usage {
        Usage(vec![0; budget.free().len()])
    }

    fn fits(&self, budget: &DisruptionBudget, item: &WorkItem) -> bool {
        let mut wanted = Vec::<(usize, usize)>::new();
        for LimitUse { limit, free } in uses(item, budget) {
            let at = match wanted.iter().position(|(other, _)| *other == limit) {
                Some(at) => at,
                None => {
                    wanted.push((limit, 0));
                    wanted.len() - 1
                }
            };
            wanted[at].1 += 1;
            if self.0[limit] + wanted[at].1 > free {
                return false;
            }
        }
        true
    }

    fn add(&mut self, budget: &DisruptionBudget, item: &WorkItem) {
        for used in uses(item, budget) {
            self.0[used.limit] += 1;
        }
    }

    fn remove(&mut self, budget: &DisruptionBudget, item: &WorkItem) {
        for used in uses(item, budget) {
            self.0[used.limit] -= 1;
        }
    }
}

/// An item's place in the order in which items look for a round.
struct Candidate {
    item: usize,
    urgency: Urgency,
    /// Demand by what is free, of the scarcest limit that it takes of.
    scarcity: f64,
    /// Its number among the items whose limit with the least free is the same. Machines of one set thus come one after
    /// the other, and spread over the rounds.
    rank: usize,
}

impl Candidate {
    fn compare(&self, other: &Candidate) -> std::cmp::Ordering {
        self.urgency
            .cmp(&other.urgency)
            .then(other.scarcity.total_cmp(&self.scarcity))
            .then(self.rank.cmp(&other.rank))
            .then(self.item.cmp(&other.item))
    }
}

/// Puts all items into rounds. `budget`: with nothing out.
pub fn schedule(items: &[WorkItem], budget: &DisruptionBudget) -> Schedule {
    let mut schedule = Schedule::default();
    let candidates = candidates(items, budget, &mut schedule.unschedulable);
    let mut usages = Vec::<Usage>::new();
    for candidate in &candidates {
        let item = &items[candidate.item];
        let first_fit = usages.iter().position(|usage| usage.fits(budget, item));
        let round = first_fit.unwrap_or_else(|| {
            schedule.rounds.push(Round::default());
            usages.push(Usage::none(budget));
            usages.len() - 1
        });
        usages[round].add(budget, item);
        let round = &mut schedule.rounds[round];
        round.items.push(candidate.item);
        round.duration_us = round.duration_us.max(item.duration_us);
    }
    let schedulable: Vec<WorkItem> = items
        .iter()
        .enumerate()
        .filter(|(at, _)| schedule.unschedulable.iter().all(|of| of.item != *at))
        .map(|(_, item)| item.clone())
        .collect();
    let at_least = usize::from(!schedule.rounds.is_empty());
    schedule.lower_bound = lower_bound(&schedulable, budget).max(at_least);
    schedule
}

/// The items that fit a round of their own, in their order; the others go to `unschedulable`.
fn candidates(
    items: &[WorkItem],
    budget: &DisruptionBudget,
    unschedulable: &mut Vec<Unschedulable>,
) -> Vec<Candidate> {
    let demand = demand(items, budget);
    let empty = Usage::none(budget);
    let mut ranks = vec![0; demand.len()];
    let mut candidates = Vec::new();
    for (at, item) in items.iter().enumerate() {
        if !empty.fits(budget, item) {
            if let Err(violation) = budget.clone().take_out_all(&item.nodes) {
                unschedulable.push(Unschedulable {
                    item: at,
                    violation,
                });
            }
            continue;
        }
        let scarcity = uses(item, budget)
            .map(|used| demand[used.limit] as f64 / used.free.max(1) as f64)
            .fold(0.0, f64::max);
        let rank = match uses(item, budget).min_by_key(|used| used.free) {
            Some(used) => {
                ranks[used.limit] += 1;
                ranks[used.limit]
            }
            None => 0,
        };
        candidates.push(Candidate {
            item: at,
            urgency: item.urgency,
            scarcity,
            rank,
        });
    }
    candidates.sort_by(Candidate::compare);
    candidates
}
