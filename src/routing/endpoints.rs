//! The endpoint list: lists and watch events as they come, lost watches, and drains by operators.
//!
//! Draining and gone nodes get nothing new from the moment that is known. A new start voids what was known of
//! the old process. When discovery is called, and how long a call waits, is [`crate::watch_schedule`].

use nanorand::Rng;

use crate::actions::Actions;
use crate::start_time::not_before;
use crate::types::{Endpoint, EndpointState, Micros, Node, NodeId};

use super::{drop_old, RoutingEngine, RuleMatch};

#[cfg(test)]
mod tests;

/// The pause before a lost watch is asked for again: this, and as much again by chance.
const WATCH_RETRY: Micros = Micros(500_000);
/// Where an agent pushes lists, the share of that pause.
const PUSHED_LIST_SHARE: f64 = 0.1;

impl RoutingEngine {
    /// Endpoints have come: the whole list if `is_full`, else those that have changed.
    pub fn endpoints_changed(
        &mut self,
        now: Micros,
        list: &[Endpoint],
        is_full: bool,
        out: &mut dyn Actions,
    ) {
        self.now = now;
        self.first_list_at = self.first_list_at.or(Some(now));
        let last_list_at = self.last_list_at.replace(now);
        let newest = list.iter().map(|endpoint| endpoint.started_at).max();
        let newest = newest.unwrap_or_default();
        if is_full {
            for node in self.nodes.values_mut() {
                node.endpoint.state = EndpointState::Gone;
            }
        }
        for endpoint in list {
            let not_before = not_before(last_list_at, now, endpoint.started_at, newest);
            self.update_endpoint(endpoint, not_before);
        }
        self.nodes.retain(|_, node| {
            node.endpoint.state != EndpointState::Gone || !node.in_flight.is_empty()
        });
        self.rebuild_shard_groups();
        if self.watch_is_lost {
            self.watch_is_lost = false;
            out.log(&format!(
                "endpoint watch restored, {} nodes known",
                self.nodes.len()
            ));
        }
        self.run_rules(out);
    }

    fn update_endpoint(&mut self, endpoint: &Endpoint, not_before: Micros) {
        let now = self.now;
        // Drawn for known nodes too: the numbers that follow do not depend on what is known.
        let tie_breaker = self.rng.0.generate();
        let was_known = self.nodes.contains_key(&endpoint.node);
        let node = self.nodes.entry(endpoint.node).or_insert_with(|| Node {
            tie_breaker,
            ..Node::default()
        });
        let has_restarted = node.started.observe(endpoint.started_at, now, not_before);
        // Gone without a drain, or back before it was missed: the node failed.
        let was_ready = was_known && node.endpoint.state == EndpointState::Ready;
        if was_ready && (has_restarted || endpoint.state == EndpointState::Gone) {
            self.last_node_failure = Some(now);
        }
        if has_restarted || !was_known {
            reset_for_new_process(node, now);
        }
        node.endpoint = *endpoint;
    }

    /// Operators drain nodes, or no longer. Of their word and discovery's the caller lists the stricter.
    pub fn operator_drains_changed(
        &mut self,
        now: Micros,
        list: &[Endpoint],
        out: &mut dyn Actions,
    ) {
        self.now = now;
        for endpoint in list {
            self.nodes
                .entry(endpoint.node)
                .and_modify(|node| node.endpoint.state = endpoint.state);
        }
        self.statistics_are_stale = true;
        self.run_rules(out);
    }

    /// The watch broke or could not be had. Without one the router soon counts as notified of what it has not
    /// received, so it asks again; after a pause drawn by chance, so that not all routers ask at once.
    pub fn endpoint_watch_failed(&mut self, now: Micros, out: &mut dyn Actions) {
        self.now = now;
        // An agent that pushes lists is asked by nobody else, and what it has counts as notified.
        let pause = if self.config.discovery_is_polled {
            WATCH_RETRY
        } else {
            WATCH_RETRY.times(PUSHED_LIST_SHARE)
        };
        let jitter = Micros(self.rng.0.generate_range(0..pause.0));
        self.next_watch_at = Some(now + pause + jitter);
        if !self.watch_is_lost {
            self.watch_is_lost = true;
            out.log(&format!(
                "endpoint watch lost, {} nodes known, retrying",
                self.nodes.len()
            ));
        }
        self.run_rules(out);
    }

    pub(super) fn watch_is_due(&self) -> Option<RuleMatch> {
        self.next_watch_at
            .filter(|&at| at <= self.now)
            .map(|_| RuleMatch::default())
    }

    pub(super) fn renew_watch(&mut self, _: RuleMatch, out: &mut dyn Actions) {
        self.next_watch_at = None;
        out.watch_endpoints();
    }

    pub(super) fn rebuild_shard_groups(&mut self) {
        self.shard_groups.clear();
        for (id, node) in &self.nodes {
            let group: &mut Vec<NodeId> = self
                .shard_groups
                .entry(node.endpoint.shard_group)
                .or_default();
            group.push(*id);
        }
        self.statistics_are_stale = true;
    }
}

/// A new process is not known yet. What it was sent since its start counts, though this router is notified of
/// the start only now.
fn reset_for_new_process(node: &mut Node, now: Micros) {
    let started = node.started;
    let mut recent_sends = std::mem::take(&mut node.recent_sends);
    drop_old(&mut recent_sends, |send| send.at < started.by_local_clock);
    *node = Node {
        tie_breaker: node.tie_breaker,
        notified_at: now,
        started,
        in_flight: std::mem::take(&mut node.in_flight),
        recent_sends,
        ..Node::default()
    };
}
