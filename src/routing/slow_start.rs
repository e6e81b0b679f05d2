//! Slow start: the limit on what a node that has just started may be sent.
//!
//! The platform's rule is that a node that is warming up fails when, within any window, it is sent more than a
//! multiple of its capacity at its age. This router stays within its share of that, estimated from the work of one
//! core or the rate of the median node. First attempts, retries and hedged requests all count.
//! [`crate::start_time`] determines when a node started by this router's own clock.

use crate::types::{Micros, Node, RecentSend};

use super::RoutingEngine;

#[cfg(test)]
mod tests;

/// The share of the slow-start allowance that is used; the rest covers requests that cost more than the mean.
const ALLOWANCE_SAFETY_FACTOR: f64 = 0.9;
/// The platform attributes an excess over the tolerated number of requests to chance, up to this multiple of the
/// square root of that number plus this many requests.
const RANDOM_EXCESS_FACTOR: f64 = 2.0;
/// The number of standard deviations above its mean that a random sum does not exceed, over thousands of windows.
const STANDARD_DEVIATIONS: f64 = 4.0;
/// The cost, relative to the mean, up to which a request counts as a single one.
const MAX_SINGLE_REQUEST_COST: f64 = 1.5;

impl RoutingEngine {
    /// Returns the share of its capacity that a node was guaranteed to have at the beginning of the window that
    /// ends at `at`.
    pub(super) fn warm_share(&self, node: &Node, at: Micros) -> f64 {
        let config = &self.config;
        let age = at.since(node.started.by_local_clock);
        if node.started.by_local_clock.0 == 0 || age >= config.slow_start_duration {
            return 1.0;
        }
        let initial = config.slow_start_initial_share;
        let age_before_window = age.since(config.overload_window);
        initial + (1.0 - initial) * age_before_window.ratio_to(config.slow_start_duration)
    }

    /// Whether a node may be sent `added_cost` more.
    pub(super) fn slow_start_allows(&self, node: &Node, added_cost: f64) -> bool {
        let window = self.config.overload_window;
        if self.warm_share(node, self.now) >= 1.0 || window.0 == 0 {
            return true;
        }
        let share = self.slow_start_share(node, self.now);
        if share < 1.0 {
            return added_cost <= MAX_SINGLE_REQUEST_COST && self.turn_has_come(node, share);
        }
        let sent: f64 = node
            .recent_sends
            .iter()
            .filter(|send| self.now.since(send.sent_at) <= window)
            .map(|send| send.cost)
            .sum();
        // A router that has just started does not know what its previous process sent.
        let just_started = |started: Micros| {
            started > node.started.by_local_clock && self.now.since(started) <= window
        };
        !self.first_list_at.is_some_and(just_started)
            && sent + added_cost <= share.max(MAX_SINGLE_REQUEST_COST)
    }

    /// Whether it is this router's turn to send a request to a node of which its share is less than one request
    /// per window.
    ///
    /// The router may send one request in as many windows as it takes its shares to add up to one. The time of the
    /// first one is random, counted from when the router was notified of the start: if many routers each sent a
    /// request immediately, they would overload the node.
    fn turn_has_come(&self, node: &Node, share: f64) -> bool {
        let first = RecentSend {
            sent_at: node.notified_at,
            cost: f64::from(node.tie_breaker) / f64::from(u32::MAX),
        };
        let last = node
            .recent_sends
            .back()
            .copied()
            .filter(|send| send.sent_at >= node.notified_at)
            .unwrap_or(first);
        let mean_share = (self.slow_start_share(node, last.sent_at) + share) / 2.0;
        let earned = mean_share
            * self
                .now
                .since(last.sent_at)
                .ratio_to(self.config.overload_window);
        earned > last.cost
    }

    /// Returns this router's share of what a node tolerates in a window, in requests of the mean cost. If the
    /// share of each router is less than one request, routers send at random times and the sum deviates by the
    /// square root of its size; the share is reduced accordingly.
    fn slow_start_share(&self, node: &Node, at: Micros) -> f64 {
        let config = &self.config;
        let capacity = self.warm_share(node, at) * ALLOWANCE_SAFETY_FACTOR;
        let tolerated = config.overload_multiple * capacity * config.overload_window.0 as f64 / 1e6
            * self.statistics.warm_rate;
        let deviation =
            STANDARD_DEVIATIONS / 2.0 * (1.0 - tolerated / config.router_count).max(0.0).sqrt();
        let limit = tolerated + RANDOM_EXCESS_FACTOR * (tolerated.sqrt() + 1.0);
        ((deviation * deviation + limit).sqrt() - deviation)
            .powi(2)
            .min(tolerated)
            / config.router_count
    }
}
