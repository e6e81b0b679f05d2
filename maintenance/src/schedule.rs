//! Divides machines into rounds in which they go out. The machines of a round may be out together under all limits; a
//! round ends when all of its machines are in service again. The coordinator shows the rounds to operators and takes
//! machines out in their order.
//!
//! The algorithm is greedy first fit, by deadline and priority and then by the scarcest limit. Local search on top of
//! it brought no gain on random cases, see `docs/measurements/works.md`. The search for the exact minimum is
//! affordable only for small fleets; tests compare the schedule with it.

mod exact;

use crate::disruption_budget::{DisruptionBudget, LimitUse, Violation};
use crate::ids::RequestNo;

pub use exact::exact_rounds;

/// The order among items: the lower one goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// The request's deadline, wall clock in milliseconds since 1970; the largest `u64` if it has none.
    pub deadline_ms: u64,
    /// The inverse of the request's priority, so that the highest priority is the lowest number.
    pub inverse_priority: u8,
}

/// Machines that have to go out together.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkItem {
    /// The request to which the machines belong.
    pub request: RequestNo,
    /// The machines' positions in the cluster view.
    pub nodes: Vec<usize>,
    /// The order among items.
    pub urgency: Urgency,
    /// The expected duration of the work, in microseconds.
    pub duration_us: u64,
}

/// Items that go out together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Round {
    /// Positions in the list of items.
    pub items: Vec<usize>,
    /// The longest duration of an item of this round, in microseconds.
    pub duration_us: u64,
}

/// An item that fits into no round.
#[derive(Clone, Debug, PartialEq)]
pub struct Unschedulable {
    /// The position in the list of items.
    pub item: usize,
    /// The limit that the item breaks even when nothing else is out.
    pub violation: Violation,
}

/// All items, divided into rounds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule {
    /// The rounds, in the order in which they go out.
    pub rounds: Vec<Round>,
    /// The items that fit into no round.
    pub unschedulable: Vec<Unschedulable>,
    /// A lower bound of the number of rounds of any schedule.
    pub lower_bound: usize,
}

fn uses<'a>(
    item: &'a WorkItem,
    budget: &'a DisruptionBudget,
) -> impl Iterator<Item = LimitUse> + 'a {
    item.nodes.iter().flat_map(|node| budget.uses(*node))
}

/// For each limit, the number of machines of all items that use it.
fn demand(items: &[WorkItem], budget: &DisruptionBudget) -> Vec<usize> {
    let mut demand = vec![0; budget.free().len()];
    for used in items.iter().flat_map(|item| uses(item, budget)) {
        demand[used.limit] += 1;
    }
    demand
}

/// The minimum number of rounds of any schedule: the largest quotient, over all limits, of the demand and the number of
/// machines that may be out.
pub fn lower_bound(items: &[WorkItem], budget: &DisruptionBudget) -> usize {
    demand(items, budget)
        .into_iter()
        .zip(budget.free())
        .filter(|(_, free)| *free > 0)
        .map(|(demand, free)| demand.div_ceil(free))
        .max()
        .unwrap_or(0)
}

/// For each limit, the number of machines of a round that use it.
struct Usage(Vec<usize>);

impl Usage {
    fn none(budget: &DisruptionBudget) -> Usage {
        Usage(vec![0; budget.free().len()])
    }

    fn fits(&self, budget: &DisruptionBudget, item: &WorkItem) -> bool {
        let mut wanted = Vec::<(usize, usize)>::new();
        for LimitUse { limit, free } in uses(item, budget) {
            let slot = match wanted.iter().position(|(other, _)| *other == limit) {
                Some(slot) => slot,
                None => {
                    wanted.push((limit, 0));
                    wanted.len() - 1
                }
            };
            wanted[slot].1 += 1;
            if self.0[limit] + wanted[slot].1 > free {
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

/// An item, with the values that determine when it is assigned to a round.
struct Candidate {
    item: usize,
    urgency: Urgency,
    /// The demand divided by the number of machines that may be out, for the scarcest limit that the item uses.
    scarcity: f64,
    /// The item's number among the items whose tightest limit is the same one. Sorting by this number alternates
    /// between the limits, so the machines of one shard set are spread over the rounds.
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

/// Divides all items into rounds. `budget` is the free budget at the beginning of each round.
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
        .filter(|(index, _)| {
            schedule
                .unschedulable
                .iter()
                .all(|found| found.item != *index)
        })
        .map(|(_, item)| item.clone())
        .collect();
    let min_rounds = usize::from(!schedule.rounds.is_empty());
    schedule.lower_bound = lower_bound(&schedulable, budget).max(min_rounds);
    schedule
}

/// The items that fit into a round of their own, in the order of their assignment. The others go to `unschedulable`.
fn candidates(
    items: &[WorkItem],
    budget: &DisruptionBudget,
    unschedulable: &mut Vec<Unschedulable>,
) -> Vec<Candidate> {
    let demand = demand(items, budget);
    let empty = Usage::none(budget);
    let mut ranks = vec![0; demand.len()];
    let mut candidates = Vec::new();
    for (index, item) in items.iter().enumerate() {
        if !empty.fits(budget, item) {
            if let Err(violation) = budget.clone().take_out_all(&item.nodes) {
                unschedulable.push(Unschedulable {
                    item: index,
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
            item: index,
            urgency: item.urgency,
            scarcity,
            rank,
        });
    }
    candidates.sort_by(Candidate::compare);
    candidates
}
