//! Finds the minimum number of rounds by exhaustive search. Tests compare the schedule with it.

use super::{lower_bound, Usage, WorkItem};
use crate::disruption_budget::DisruptionBudget;

/// The search stopped after the maximum number of steps.
struct OutOfSteps;

struct Search<'a> {
    budget: &'a DisruptionBudget,
    steps: usize,
    max_steps: usize,
}

/// The minimum number of rounds for all items. `None` if an item fits into no round, or the search takes more than
/// `max_steps` steps.
pub fn exact_rounds(
    items: &[WorkItem],
    budget: &DisruptionBudget,
    max_steps: usize,
) -> Option<usize> {
    if items
        .iter()
        .any(|item| budget.clone().take_out_all(&item.nodes).is_err())
    {
        return None;
    }
    let mut search = Search {
        budget,
        steps: 0,
        max_steps,
    };
    for count in lower_bound(items, budget)..=items.len() {
        let mut rounds: Vec<Usage> = (0..count).map(|_| Usage::none(budget)).collect();
        if search.place_all(items, &mut rounds, 0).ok()? {
            return Some(count);
        }
    }
    None
}

impl Search<'_> {
    /// Whether all items fit into the rounds; the first `used` rounds are those that have items.
    fn place_all(
        &mut self,
        items: &[WorkItem],
        rounds: &mut [Usage],
        used: usize,
    ) -> Result<bool, OutOfSteps> {
        let Some((item, rest)) = items.split_first() else {
            return Ok(true);
        };
        self.steps += 1;
        if self.steps > self.max_steps {
            return Err(OutOfSteps);
        }
        // All empty rounds are equivalent: trying one of them is enough.
        for round in 0..rounds.len().min(used + 1) {
            if rounds[round].fits(self.budget, item) {
                rounds[round].add(self.budget, item);
                let found = self.place_all(rest, rounds, used.max(round + 1))?;
                rounds[round].remove(self.budget, item);
                if found {
                    return Ok(true);
                }
            }
        }
        Ok(false)
    }
}
