//! The split of a router's retry budget between two processes during a hot restart, while one takes over from the
//! other or finishes the queries that it has admitted. Each process gets a share of the retry budget, and only one
//! of them sends to nodes that are warming up.

use std::collections::VecDeque;

use crate::types::Micros;

use super::RoutingEngine;

#[cfg(test)]
mod tests;

/// The settings of the whole budget, while this process uses a share of it.
#[derive(Debug)]
pub(super) struct SavedBudget {
    retry_budget_min: f64,
    retry_budget_ratio: f64,
    slow_start_initial_share: f64,
    /// The times of retries and hedged requests that count against the whole budget but not against the share.
    extra_attempts: VecDeque<Micros>,
}

impl RoutingEngine {
    /// Limits this process to a share of the router's retry budget, with `retry_budget_min` as its minimum. A
    /// process that only finishes what it has admitted (`admits_queries` is false) earns no further retries and
    /// leaves nodes that are warming up to the other process.
    pub fn serve_share(&mut self, retry_budget_min: f64, admits_queries: bool) {
        self.restore_budget();
        let config = &mut self.config;
        let mut saved = SavedBudget {
            retry_budget_min: config.retry_budget_min,
            retry_budget_ratio: config.retry_budget_ratio,
            slow_start_initial_share: config.slow_start_initial_share,
            extra_attempts: VecDeque::new(),
        };
        config.retry_budget_min = retry_budget_min;
        if !admits_queries {
            config.retry_budget_ratio = 0.0;
            config.slow_start_initial_share = 0.0;
            saved.extra_attempts = std::mem::take(&mut self.extra_attempts);
        }
        self.saved_budget = Some(saved);
        self.statistics_are_stale = true;
    }

    /// Restores the whole retry budget once the other process has finished, and drops that process's attempts in
    /// flight.
    pub fn serve_whole(&mut self) {
        for node in self.nodes.values_mut() {
            node.in_flight_elsewhere.attempts.clear();
        }
        self.restore_budget();
    }

    /// Restores the settings of the whole budget, including everything that was spent of it.
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
