//! The endpoint list: full lists and updates, lost watches, and drains by operators.
//!
//! Draining and gone nodes get no new requests as soon as their state is known. When a node has restarted, the state
//! of its previous process is discarded. [`crate::watch_schedule`] decides when discovery is called and how long a
//! call waits.

use nanorand::Rng;

use crate::actions::Actions;
use crate::start_time::earliest_start;
use crate::types::{Endpoint, EndpointState, Micros, Node, NodeId};

use super::{drop_old, RoutingEngine, RuleMatch};

#[cfg(test)]
mod tests;

/// The minimum delay before a lost watch is renewed. A random delay of up to the same length is added.
const WATCH_RETRY_DELAY: Micros = Micros(500_000);
/// The factor applied to [`WATCH_RETRY_DELAY`] where an agent pushes endpoint lists.
const PUSHED_LIST_DELAY_FACTOR: f64 = 0.1;

impl RoutingEngine {
    /// Handles endpoints received from discovery: the full list if `is_full`, otherwise only those that have
    /// changed.
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
            let earliest_start = earliest_start(last_list_at, now, endpoint.started_at, newest);
            self.update_endpoint(endpoint, earliest_start);
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

    fn update_endpoint(&mut self, endpoint: &Endpoint, earliest_start: Micros) {
        let now = self.now;
        // A number is drawn for known nodes too, so that later random numbers do not depend on which nodes are
        // known.
        let tie_breaker = self.rng.0.generate();
        let was_known = self.nodes.contains_key(&endpoint.node);
        let node = self.nodes.entry(endpoint.node).or_insert_with(|| Node {
            tie_breaker,
            ..Node::default()
        });
        let has_restarted = node
            .started
            .observe(endpoint.started_at, now, earliest_start);
        // A node that is gone without a drain, or that has restarted unnoticed, has failed.
        let was_ready = was_known && node.endpoint.state == EndpointState::Ready;
        if was_ready && (has_restarted || endpoint.state == EndpointState::Gone) {
            self.last_node_failure = Some(now);
        }
        if has_restarted || !was_known {
            reset_for_new_process(node, now);
        }
        node.endpoint = *endpoint;
    }

    /// Handles a change of the drains requested by operators. For each node, the caller passes the stricter of the
    /// operators' and discovery's states.
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

    /// Handles a watch that broke or could not be established. Without a watch the router soon counts as notified of
    /// changes that it has not received, so it renews the watch, after a random delay so that not all routers call
    /// discovery at the same time.
    pub fn endpoint_watch_failed(&mut self, now: Micros, out: &mut dyn Actions) {
        self.now = now;
        // An agent that pushes lists has only this router as a caller, and a change that the agent has counts as
        // notified.
        let delay = if self.config.discovery_is_polled {
            WATCH_RETRY_DELAY
        } else {
            WATCH_RETRY_DELAY.times(PUSHED_LIST_DELAY_FACTOR)
        };
        let jitter = Micros(self.rng.0.generate_range(0..delay.0));
        self.next_watch_at = Some(now + delay + jitter);
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

/// Discards the state of a node's previous process. Attempts sent since the start of the new process are kept in
/// `recent_sends`, although this router is notified of the start only now.
fn reset_for_new_process(node: &mut Node, now: Micros) {
    let started = node.started;
    let mut recent_sends = std::mem::take(&mut node.recent_sends);
    drop_old(&mut recent_sends, |send| {
        send.sent_at < started.by_local_clock
    });
    *node = Node {
        tie_breaker: node.tie_breaker,
        notified_at: now,
        started,
        in_flight: std::mem::take(&mut node.in_flight),
        recent_sends,
        ..Node::default()
    };
}
