//! Handlers for queries, shard requests, clients that disconnect, and the beginning of a shutdown.

use crate::actions::Actions;
use crate::types::{
    CustomerNo, IndexNo, Micros, Query, QueryId, ShardNo, ShardRequest, ShardRequestId, WireQueryNo,
};

use super::{smooth, RoutingEngine, SLOW_SMOOTHING};

impl RoutingEngine {
    /// Handles a new query, which `expected` shard requests follow. `time_allowed` is the time after which the
    /// client stops waiting.
    #[expect(
        clippy::too_many_arguments,
        reason = "a decoded field goes straight into a call"
    )]
    pub fn query_received(
        &mut self,
        now: Micros,
        id: QueryId,
        wire_no: WireQueryNo,
        index: IndexNo,
        customer: CustomerNo,
        expected: usize,
        time_allowed: Micros,
        is_client_retry: bool,
        out: &mut dyn Actions,
    ) {
        self.now = now;
        self.count_admitted();
        // During a shutdown no query gets more time than the process has left.
        let time_allowed = self
            .shutdown_answers_by
            .map_or(time_allowed, |by| time_allowed.min(by.since(now)));
        let row = &mut self.config.indexes[index.as_usize()];
        row.has_queries = true;
        let config = row.clone();
        let soft_deadline = now + config.latency_objective.min(time_allowed);
        let partial_response_at = config
            .partial_response_after
            .map_or(soft_deadline, |after| soft_deadline.min(now + after));
        self.queries.insert(
            id,
            Query {
                id,
                wire_no,
                is_client_retry,
                index,
                config,
                partial_response_at,
                customer,
                soft_deadline,
                deadline: now + time_allowed,
                time_allowed,
                expected_requests: expected,
                ..Query::default()
            },
        );
        self.run_rules(out);
    }

    /// Handles a shard request of a query. `weight` is its share of the query's answer, `cost_hint` the work that
    /// the client expects it to take.
    #[expect(
        clippy::too_many_arguments,
        reason = "a decoded field goes straight into a call"
    )]
    pub fn shard_request_received(
        &mut self,
        now: Micros,
        id: ShardRequestId,
        query: WireQueryNo,
        shard: ShardNo,
        weight: f64,
        cost_hint: Option<Micros>,
        out: &mut dyn Actions,
    ) {
        self.now = now;
        self.count_admitted();
        self.record_cost_hint(cost_hint);
        // A request belongs to the newest query with that number. It may also arrive after its query has ended in
        // the same batch.
        let query = self
            .queries
            .values_mut()
            .rev()
            .find(|candidate| candidate.wire_no == query);
        if let Some(query) = query {
            query.requests.push(ShardRequest {
                id,
                shard,
                weight,
                cost_hint,
                ..ShardRequest::default()
            });
        }
        self.run_rules(out);
    }

    /// Updates the mean cost hint. The first hint makes the statistics stale immediately: when it only took effect
    /// with the next answer or list, the slow-start share of a cold node jumped at all routers at the same time.
    fn record_cost_hint(&mut self, hint: Option<Micros>) {
        let Some(hint) = hint else {
            return;
        };
        self.statistics_are_stale |= self.mean_cost_hint.is_none();
        let mean = smooth(self.mean_cost_hint, hint.0 as f64, SLOW_SMOOTHING);
        self.mean_cost_hint = Some(mean);
    }

    /// Handles a client that no longer waits for its query.
    pub fn client_left(&mut self, now: Micros, id: QueryId, out: &mut dyn Actions) {
        self.now = now;
        self.close_query(id, out);
        self.run_rules(out);
    }

    /// Handles the beginning of a shutdown: all queries, those in flight and those still to come, end by
    /// `answers_by`. Every admitted query still gets a final answer, even if nodes fail.
    pub fn shutdown_started(&mut self, now: Micros, answers_by: Micros, out: &mut dyn Actions) {
        self.now = now;
        self.shutdown_answers_by = Some(answers_by);
        for query in self.queries.values_mut() {
            query.deadline = query.deadline.min(answers_by);
            query.soft_deadline = query.soft_deadline.min(answers_by);
            query.partial_response_at = query.partial_response_at.min(answers_by);
        }
        self.run_rules(out);
    }

    /// Removes a query and cancels its attempts in flight.
    pub(super) fn close_query(&mut self, id: QueryId, out: &mut dyn Actions) {
        let Some(query) = self.queries.remove(&id) else {
            return;
        };
        self.cancel_in_flight(&query.requests, out);
    }
}
