//! Detection of queries of death, which crash every node that starts one of their shard requests.
//!
//! The connections of such a query break at one node after the other, and none of its requests is ever answered.
//! If a node fails for another reason, other requests of the query are answered. A query of death is rejected, and
//! its client retries are recognized by their fingerprint until its deadline has passed.
//!
//! While nodes are failing, and for a query marked as a client retry, one node gets the query first (a canary
//! request). The other nodes get it once the canary request is answered or a quarter of the time has passed. This
//! harms an innocent query whose first node is crashed by another query.

use crate::types::{Micros, Query, QueryFingerprint, QueryId};

use super::{drop_old, RoutingEngine};

#[cfg(test)]
mod tests;

/// The maximum number of known queries of death. If there are more at once, single queries are not the cause.
const MAX_KNOWN_QUERIES: usize = 128;

/// A query that crashed nodes.
#[derive(Clone, Debug)]
pub(super) struct KnownQueryOfDeath {
    /// The deadline of the query.
    pub(super) expires_at: Micros,
    pub(super) fingerprint: QueryFingerprint,
}

impl RoutingEngine {
    /// Whether a query is a query of death. Normally two nodes must have failed. One is enough for a query whose
    /// canary request broke the connection, or for a client retry.
    pub(super) fn is_query_of_death(&self, query: &Query) -> bool {
        let needs_second_failure = query.placed && !query.is_client_retry;
        let tolerated = usize::from(needs_second_failure);
        let enough_nodes_failed = || query.nodes_with_broken_connections() > tolerated;
        query.is_unanswered() && enough_nodes_failed()
            || query.is_client_retry
                && query.all_requests_received()
                && self.is_known_query_of_death(query)
    }

    fn is_known_query_of_death(&self, query: &Query) -> bool {
        let fingerprint = query.fingerprint();
        self.queries_of_death
            .iter()
            .any(|known| known.fingerprint == fingerprint)
    }

    /// Records a query that ends if it is a query of death, and returns whether it is one.
    pub(super) fn record_if_query_of_death(&mut self, id: QueryId) -> bool {
        let now = self.now;
        let query_of_death = self
            .queries
            .get(&id)
            .filter(|query| self.is_query_of_death(query))
            .map(|query| KnownQueryOfDeath {
                expires_at: query.deadline,
                fingerprint: query.fingerprint(),
            });
        drop_old(&mut self.queries_of_death, |known| known.expires_at < now);
        let is_query_of_death = query_of_death.is_some();
        self.queries_of_death.extend(query_of_death);
        // When all nodes fail, every query looks like a query of death, and each new one is compared with all
        // known ones.
        while self.queries_of_death.len() > MAX_KNOWN_QUERIES {
            self.queries_of_death.pop_front();
        }
        is_query_of_death
    }

    /// Whether one node is tried before the others get the query: while nodes are failing, and for client retries.
    pub(super) fn needs_canary(&self, query: &Query) -> bool {
        let nodes_are_failing = self
            .last_node_failure
            .is_some_and(|at| self.now.since(at) < self.config.slow_start_duration);
        (nodes_are_failing || query.is_client_retry) && query.is_unanswered()
    }

    /// Whether a canary request is in flight and less than a quarter of the time has passed.
    pub(super) fn awaits_canary(&self, query: &Query) -> bool {
        let first = query.in_flight_since().min();
        let time_left = query.soft_deadline.since(self.now);
        first.is_some_and(|at| self.now.since(at).times(3.0) < time_left)
            && self.needs_canary(query)
    }
}
