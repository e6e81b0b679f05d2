//! Two processes serve one router's share, while one takes over from the other or finishes what it has
//! admitted: each has a share of the retry budget, and one of them sends to nodes that warm up.

use std::collections::VecDeque;

use crate::types::Micros;

use super::RoutingEngine;

#[cfg(test)]
mod tests;

/// The whole budget, while this process serves a share of it.
#[derive(Debug)]
pub(super) struct SavedBudget {
    retry_budget_min: f64,
    retry_budget_ratio: f64,
    slow_start_initial_share: f64,
    /// Retries and hedged requests that count against the whole and not against the share.
    extra_attempts: VecDeque<Micros>,
}

impl RoutingEngine {
    /// Two processes serve one router's share: `spare` retries of its budget are this one's. One that only
    /// finishes what it has admitted (`goes_on` is false) earns no more, and leaves nodes that warm up to the
    /// other.
    pub fn serve_share(&mut self, spare: f64, goes_on: bool) {
        self.restore_budget();
        let config = &mut self.config;
        let mut saved = SavedBudget {
            retry_budget_min: config.retry_budget_min,
            retry_budget_ratio: config.retry_budget_ratio,
            slow_start_initial_share: config.slow_start_initial_share,
            extra_attempts: VecDeque::new(),
        };
        config.retry_budget_min = spare;
        if !goes_on {
            config.retry_budget_ratio = 0.0;
            config.slow_start_initial_share = 0.0;
            saved.extra_attempts = std::mem::take(&mut self.extra_attempts);
        }
        self.saved_budget = Some(saved);
        self.statistics_are_stale = true;
    }

    /// The whole share is this one's again, and nothing is in flight to nodes but its own.
    pub fn serve_whole(&mut self) {
        for node in self.nodes.values_mut() {
            node.in_flight_elsewhere.attempts.clear();
        }
        self.restore_budget();
    }

    /// Takes back the whole budget, with all that was spent of it.
    fn restore_budget(&mut self) {
        let Some(saved) = self.saved_budget.take() else {
            return;
        };
        self.config.retry_budget_min = saved.retry_budget_min;
        self.config.retry_budget_ratio = saved.retry_budget_ratio;
        self.config.slow_start_initial_share = saved.slow_start_initial_share;
        let mut extra_attempts = saved.extra_attempts;
        extra_attempts.append(&mut self.extra_attempts);
        self.extra_attempts = extra_attempts;
        self.statistics_are_stale = true;
    }
}
