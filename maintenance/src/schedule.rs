//! In which rounds machines go out. Machines that share no limit go together; a round is over once all of it are back.
//!
//! Weighed: greedy by first fit (taken; the tightest first, among equals by deadline and priority), local search on top of
//! it (brought nothing on drawn cases, see `docs/measurements/works.md`), and the exact least by search, which small fleets
//! alone can bear and tests compare with.

use serde::{Deserialize, Serialize};

use crate::disruption_budget::{DisruptionBudget, Violation};
use crate::ids::RequestNo;

/// Machines that go out as one.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkItem {
    pub request: RequestNo,
    pub nodes: Vec<usize>,
    /// Earlier goes first: the deadline, then the priority turned round.
    pub urgency: (u64, u8),
    /// How long the work takes, in microseconds.
    pub lasts: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Round {
    /// Numbers of the items in it.
    pub items: Vec<usize>,
    pub lasts: u64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Schedule {
    pub rounds: Vec<Round>,
    /// Items that no round can take, and what binds.
    pub cannot: Vec<(usize, Violation)>,
    /// No plan has fewer rounds.
    pub bound: usize,
}

/// How scarce the scarcest limit is that an item takes of, by its demand and what is free; and the limit of which a round
/// bears the fewest.
fn tightest(demand: &[usize], room: &DisruptionBudget, item: &WorkItem) -> (f64, Option<usize>) {
    let uses = || item.nodes.iter().flat_map(|node| room.uses(*node));
    let scarce = uses()
        .map(|(limit, free)| demand[limit] as f64 / free.max(1) as f64)
        .fold(0.0, f64::max);
    (
        scarce,
        uses().min_by_key(|(_, free)| *free).map(|(limit, _)| limit),
    )
}

fn demand(items: &[WorkItem], room: &DisruptionBudget) -> Vec<usize> {
    let mut demand = vec![0; room.free().len()];
    for node in items.iter().flat_map(|item| &item.nodes) {
        room.uses(*node).for_each(|(limit, _)| demand[limit] += 1);
    }
    demand
}

/// Rounds that no plan can do without: of each limit, what is wanted by what is free.
pub fn lower_bound(items: &[WorkItem], room: &DisruptionBudget) -> usize {
    let pairs = demand(items, room).into_iter().zip(room.free());
    pairs
        .filter(|(_, free)| *free > 0)
        .map(|(wanted, free)| wanted.div_ceil(free))
        .max()
        .unwrap_or(0)
}

/// What a round has taken of each limit.
struct Taken(Vec<usize>);

impl Taken {
    fn fits(&self, room: &DisruptionBudget, item: &WorkItem) -> bool {
        let mut more = Vec::<(usize, usize)>::new();
        for (limit, free) in item.nodes.iter().flat_map(|node| room.uses(*node)) {
            let at = match more.iter().position(|(of, _)| *of == limit) {
                Some(at) => at,
                None => {
                    more.push((limit, 0));
                    more.len() - 1
                }
            };
            more[at].1 += 1;
            if self.0[limit] + more[at].1 > free {
                return false;
            }
        }
        true
    }

    fn add(&mut self, room: &DisruptionBudget, item: &WorkItem, sign: bool) {
        for (limit, _) in item.nodes.iter().flat_map(|node| room.uses(*node)) {
            self.0[limit] = if sign {
                self.0[limit] + 1
            } else {
                self.0[limit] - 1
            };
        }
    }
}

/// Puts all items into rounds. `room`: with nothing out.
pub fn schedule(items: &[WorkItem], room: &DisruptionBudget) -> Schedule {
    let demand = demand(items, room);
    let mut cannot = Vec::new();
    let limits = room.free().len();
    let mut order: Vec<(usize, f64, usize)> = Vec::new();
    let (nothing, mut ranks) = (Taken(vec![0; limits]), vec![0; limits]);
    for (at, item) in items.iter().enumerate() {
        if nothing.fits(room, item) {
            let (tight, limit) = tightest(&demand, room, item);
            // Of those that want the same, one after the other: neighbours spread over the rounds.
            let rank = limit.map_or(0, |limit| {
                ranks[limit] += 1;
                ranks[limit]
            });
            order.push((at, tight, rank));
        } else if let Err(binds) = room.clone().take_out_all(&item.nodes) {
            cannot.push((at, binds));
        }
    }
    order.sort_by(|(a, tight_a, rank_a), (b, tight_b, rank_b)| {
        let urgency = items[*a].urgency.cmp(&items[*b].urgency);
        urgency
            .then(tight_b.total_cmp(tight_a))
            .then(rank_a.cmp(rank_b))
            .then(a.cmp(b))
    });
    let (mut rounds, mut taken) = (Vec::<Round>::new(), Vec::<Taken>::new());
    for (at, ..) in order {
        let item = &items[at];
        let round = taken
            .iter()
            .position(|taken| taken.fits(room, item))
            .unwrap_or_else(|| {
                rounds.push(Round::default());
                taken.push(Taken(vec![0; limits]));
                taken.len() - 1
            });
        taken[round].add(room, item, true);
        rounds[round].items.push(at);
        rounds[round].lasts = rounds[round].lasts.max(item.lasts);
    }
    let fits: Vec<WorkItem> = items
        .iter()
        .enumerate()
        .filter(|(at, _)| cannot.iter().all(|(of, _)| of != at))
        .map(|(_, item)| item.clone())
        .collect();
    let bound = lower_bound(&fits, room).max(usize::from(!rounds.is_empty()));
    Schedule {
        rounds,
        cannot,
        bound,
    }
}

/// The least rounds there are, by search; none: some item fits nowhere, or it takes more than so many tries.
pub fn exact_rounds(
    items: &[WorkItem],
    room: &DisruptionBudget,
    most_tries: usize,
) -> Option<usize> {
    if items
        .iter()
        .any(|item| room.clone().take_out_all(&item.nodes).is_err())
    {
        return None;
    }
    let mut tries = 0;
    for count in lower_bound(items, room)..=items.len() {
        let mut taken: Vec<Taken> = (0..count)
            .map(|_| Taken(vec![0; room.free().len()]))
            .collect();
        match fill(items, room, &mut taken, 0, &mut tries, most_tries) {
            Some(true) => return Some(count),
            Some(false) => {}
            None => return None,
        }
    }
    None
}

fn fill(
    items: &[WorkItem],
    room: &DisruptionBudget,
    taken: &mut [Taken],
    used: usize,
    tries: &mut usize,
    most: usize,
) -> Option<bool> {
    let Some((item, rest)) = items.split_first() else {
        return Some(true);
    };
    *tries += 1;
    if *tries > most {
        return None;
    }
    // Rounds that nothing is in yet are all alike.
    for round in 0..taken.len().min(used + 1) {
        if taken[round].fits(room, item) {
            taken[round].add(room, item, true);
            let found = fill(rest, room, taken, used.max(round + 1), tries, most);
            taken[round].add(room, item, false);
            if found != Some(false) {
                return found;
            }
        }
    }
    Some(false)
}
