//! Slow start: how much a node that has just started may be sent.
//!
//! The platform's rule is that a node falls when it is sent more than a multiple of what it can do at its age
//! within any window. This router keeps to its share of that, judged by the work of one core or the rate of
//! the median node. First attempts, retries, hedged requests and what is in flight count. When a node
//! started, by this router's own clock, is [`crate::start_time`].

use crate::types::{Micros, Node, RecentSend};

use super::RoutingEngine;

#[cfg(test)]
mod tests;

/// The share of the warm-up allowance that is used; the rest covers requests heavier than the mean.
const SAFETY: f64 = 0.9;
/// Beyond what is borne, so many of its root and so many requests are put down to chance, by the platform.
const CHANCE_ALLOWANCE: f64 = 2.0;
/// A sum of chances stays this many deviations above its mean or lower, over thousands of windows.
const DEVIATIONS: f64 = 4.0;
/// A request this many times the mean counts as one.
const LARGE_REQUEST: f64 = 1.5;

impl RoutingEngine {
    /// The share of its capacity that a node surely had when the window up to a time began.
    pub(super) fn warm_share(&self, node: &Node, at: Micros) -> f64 {
        let config = &self.config;
        let age = at.since(node.started.by_local_clock);
        if node.started.by_local_clock.0 == 0 || age >= config.slow_start_duration {
            return 1.0;
        }
        let initial = config.slow_start_initial_share;
        let age_before_window = age.since(config.overload_window);
        initial + (1.0 - initial) * age_before_window.over(config.slow_start_duration)
    }

    /// Whether a node may be sent so much more.
    pub(super) fn slow_start_allows(&self, node: &Node, more: f64) -> bool {
        let window = self.config.overload_window;
        if self.warm_share(node, self.now) >= 1.0 || window.0 == 0 {
            return true;
        }
        let share = self.slow_start_share(node, self.now);
        if share < 1.0 {
            return more <= LARGE_REQUEST && self.turn_has_come(node, share);
        }
        let sent: f64 = node
            .recent_sends
            .iter()
            .filter(|send| self.now.since(send.at) <= window)
            .map(|send| send.cost)
            .sum();
        // A router that has just started does not know what it sent before.
        let just_started = |started: Micros| {
            started > node.started.by_local_clock && self.now.since(started) <= window
        };
        !self.first_list_at.is_some_and(just_started) && sent + more <= share.max(LARGE_REQUEST)
    }

    /// Where the share is under one request, this router may send one in so many windows that the shares add
    /// up to it, the first at a time drawn from when it was notified of the start: many routers that each
    /// sent one at once would push the node over.
    fn turn_has_come(&self, node: &Node, share: f64) -> bool {
        let first = RecentSend {
            at: node.notified_at,
            cost: f64::from(node.tie_breaker) / f64::from(u32::MAX),
        };
        let last = node
            .recent_sends
            .back()
            .copied()
            .filter(|send| send.at >= node.notified_at)
            .unwrap_or(first);
        let mean_share = (self.slow_start_share(node, last.at) + share) / 2.0;
        let earned = mean_share * self.now.since(last.at).over(self.config.overload_window);
        earned > last.cost
    }

    /// This router's share of what a node bears in a window, in requests of the mean cost. With less than a
    /// request each, routers send by chance, and the sum swings by the root of its size: so much less is
    /// sent.
    fn slow_start_share(&self, node: &Node, at: Micros) -> f64 {
        let config = &self.config;
        let capacity = self.warm_share(node, at) * SAFETY;
        let bears = config.overload_multiple * capacity * config.overload_window.0 as f64 / 1e6
            * self.statistics.warm_rate;
        let swing = DEVIATIONS / 2.0 * (1.0 - bears / config.router_count).max(0.0).sqrt();
        let most = bears + CHANCE_ALLOWANCE * (bears.sqrt() + 1.0);
        ((swing * swing + most).sqrt() - swing).powi(2).min(bears) / config.router_count
    }
}
