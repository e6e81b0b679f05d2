//! Queries that bring down each node that begins a request of them.
//!
//! Connections break at one node after the other and nothing is ever answered; where a node fails by itself,
//! other requests of the query are answered. Such a query is rejected, and its repeats are known by their
//! fingerprint until its client's time ends. While nodes fail, and for a client's marked repeat, one node
//! gets the query first (a canary request), the others once it has answered or a quarter of the time is gone.
//! Hurts a bystander whose first node is brought down by another query.

use crate::types::{Micros, Query, QueryFingerprint, QueryId};

use super::{drop_old, RoutingEngine};

#[cfg(test)]
mod tests;

/// Queries of death that are known at a time: more at once are no single queries' doing.
const MAX_KNOWN: usize = 128;

/// A query that brought nodes down.
#[derive(Clone, Debug)]
pub(super) struct KnownQueryOfDeath {
    /// When its client leaves.
    pub(super) until: Micros,
    pub(super) fingerprint: QueryFingerprint,
}

impl RoutingEngine {
    /// Whether a query brings nodes down. One that broke its canary's connection, or a repeat of such, needs
    /// no second proof.
    pub(super) fn is_query_of_death(&self, query: &Query) -> bool {
        let needs_second_proof = query.placed && !query.is_client_retry;
        let tolerated = usize::from(needs_second_proof);
        let nodes_failed = || query.nodes_with_broken_connections() > tolerated;
        query.is_unanswered() && nodes_failed()
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

    /// Remembers a query that ends, if it brings nodes down; true if it does.
    pub(super) fn remember_if_deadly(&mut self, id: QueryId) -> bool {
        let now = self.now;
        let deadly = self
            .queries
            .get(&id)
            .filter(|query| self.is_query_of_death(query))
            .map(|query| KnownQueryOfDeath {
                until: query.deadline,
                fingerprint: query.fingerprint(),
            });
        drop_old(&mut self.queries_of_death, |known| known.until < now);
        let is_deadly = deadly.is_some();
        self.queries_of_death.extend(deadly);
        // Where all nodes fail, every query looks deadly, and each new one is compared with all known ones.
        while self.queries_of_death.len() > MAX_KNOWN {
            self.queries_of_death.pop_front();
        }
        is_deadly
    }

    /// While nodes fail, and for a client's repeat, one node is tried before the others get the query.
    pub(super) fn needs_canary(&self, query: &Query) -> bool {
        let nodes_are_failing = self
            .last_node_failure
            .is_some_and(|at| self.now.since(at) < self.config.slow_start_duration);
        (nodes_are_failing || query.is_client_retry) && query.is_unanswered()
    }

    /// A canary request is in flight, and less than a quarter of the time is gone.
    pub(super) fn awaits_canary(&self, query: &Query) -> bool {
        let first = query.in_flight_since().min();
        let time_left = query.soft_deadline.since(self.now);
        first.is_some_and(|at| self.now.since(at).times(3.0) < time_left)
            && self.needs_canary(query)
    }
}
