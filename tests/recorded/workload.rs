//! The simulated clients: their queries, second phases, retries and disconnects.

use std::collections::BTreeSet;

use ternpick::types::*;

use super::player::{Event, Player};

/// The content of a query, which a client's retries repeat.
#[derive(Clone, Debug)]
pub(super) struct QuerySpec {
    pub(super) index: IndexNo,
    pub(super) customer: CustomerNo,
    pub(super) shards: Vec<u32>,
    pub(super) hints: Vec<Option<Micros>>,
    pub(super) time_allowed: Micros,
    pub(super) retry_count: u32,
    /// Whether the query crashes each node that starts one of its shard requests.
    pub(super) is_query_of_death: bool,
}

/// The state of a query that has been sent.
pub(super) struct QueryState {
    pub(super) spec: QuerySpec,
    process: usize,
    wire_no: WireQueryNo,
    in_second_phase: bool,
    answered: BTreeSet<ShardRequestId>,
    ended: bool,
}

impl Player {
    pub(super) fn next_query(&mut self) {
        let mean_interval = self.scenario.query_interval.0;
        // Of each 10 s, one is a burst of queries, and two have few queries, so that connections become idle.
        let second = self.now.0 / 1_000_000 % 10;
        let interval = match second {
            3 => mean_interval / 4,
            7 | 8 => mean_interval * 5,
            _ => mean_interval,
        };
        let delay = Micros(interval / 2 + self.random.below(interval));
        self.schedule(delay, Event::NextQuery);
        let spec = self.draw_query();
        self.send_query(spec);
    }

    fn draw_query(&mut self) -> QuerySpec {
        let weights = &self.scenario.index_weights;
        let mut drawn = self.random.below(weights.iter().sum());
        let mut index = 0;
        while drawn >= weights[index] {
            drawn -= weights[index];
            index += 1;
        }
        let count = 1 + self.random.below(self.scenario.max_shard_requests);
        let shards = (0..count).map(|_| self.random.below(16) as u32).collect();
        let mut hints = Vec::new();
        for _ in 0..count {
            let hint = Micros(5_000 + self.random.below(40_000));
            let has_hint = self.scenario.has_cost_hints && self.random.per_mille(900);
            hints.push(has_hint.then_some(hint));
        }
        let objective = self.scenario.config.indexes[index].latency_objective;
        let time_allowed = Micros(objective.0 / 2 + self.random.below(objective.0 * 4));
        QuerySpec {
            index: IndexNo(index as u8),
            customer: CustomerNo(self.random.below(4) as u16),
            shards,
            hints,
            time_allowed,
            retry_count: 0,
            is_query_of_death: self
                .random
                .per_mille(self.scenario.query_of_death_per_mille),
        }
    }

    pub(super) fn send_query(&mut self, spec: QuerySpec) {
        self.next_id += 1000;
        let id = QueryId(self.next_id);
        let wire_no = WireQueryNo(self.next_id / 1000);
        let process = self.active;
        let client_leaves = self.random.per_mille(self.scenario.client_leaves_per_mille);
        if client_leaves {
            let delay = Micros(self.random.below(spec.time_allowed.0));
            self.schedule(delay, Event::ClientLeaves(id));
        }
        self.queries.insert(
            id,
            QueryState {
                spec: spec.clone(),
                process,
                wire_no,
                in_second_phase: false,
                answered: BTreeSet::new(),
                ended: false,
            },
        );
        let (index, customer) = (spec.index, spec.customer);
        let (request_count, time_allowed) = (spec.shards.len(), spec.time_allowed);
        let is_retry = spec.retry_count > 0;
        let details = format!(
            "{} index {} customer {} of {request_count} in {} retry {}",
            id.0, index.0, customer.0, time_allowed.0, spec.retry_count
        );
        self.input(process, "query", &details, |engine, now, out| {
            engine.query_received(
                now,
                id,
                wire_no,
                index,
                customer,
                request_count,
                time_allowed,
                is_retry,
                out,
            );
        });
        let sum: f64 = (1..=request_count).map(|rank| 1.0 / rank as f64).sum();
        for (position, shard) in spec.shards.iter().enumerate() {
            let weight = 1.0 / (position + 1) as f64 / sum;
            let number = position as u64 + 1;
            self.send_request(id, number, ShardNo(*shard), weight, spec.hints[position]);
        }
    }

    fn send_request(
        &mut self,
        query: QueryId,
        number: u64,
        shard: ShardNo,
        weight: f64,
        hint: Option<Micros>,
    ) {
        let id = ShardRequestId(query.0 + number);
        self.requests.insert(id, query);
        let state = &self.queries[&query];
        let (process, wire_no) = (state.process, state.wire_no);
        let details = format!("{} shard {} weight {weight} hint {hint:?}", id.0, shard.0);
        self.input(process, "request", &details, |engine, now, out| {
            engine.shard_request_received(now, id, wire_no, shard, weight, hint, out);
        });
    }

    pub(super) fn request_answered(&mut self, request: ShardRequestId) {
        let query = self.requests[&request];
        if let Some(state) = self.queries.get_mut(&query) {
            state.answered.insert(request);
        }
    }

    pub(super) fn query_answered(&mut self, id: QueryId) {
        let Some(state) = self.queries.get_mut(&id) else {
            return;
        };
        let index = &self.scenario.config.indexes[state.spec.index.as_usize()];
        if state.in_second_phase || index.second_phase_size == 0 {
            state.ended = true;
            return;
        }
        state.in_second_phase = true;
        self.schedule(Micros(700), Event::SecondPhase(id));
    }

    /// Sends the second phase of a query: shard requests for the details of what the first phase has found.
    pub(super) fn second_phase(&mut self, id: QueryId) {
        let state = &self.queries[&id];
        let size = self.scenario.config.indexes[state.spec.index.as_usize()].second_phase_size;
        let count = size.min(state.answered.len());
        if state.ended || count == 0 {
            return;
        }
        let shards = state.spec.shards.clone();
        for (position, shard) in shards.iter().take(count).enumerate() {
            let weight = 1.0 / count as f64;
            self.send_request(id, 100 + position as u64, ShardNo(*shard), weight, None);
        }
    }

    pub(super) fn query_ended_without_answer(&mut self, id: QueryId, retry_after: Micros) {
        let retries_anyway = self.random.per_mille(300);
        let Some(state) = self.queries.get_mut(&id) else {
            return;
        };
        state.ended = true;
        let mut spec = state.spec.clone();
        if spec.retry_count < 3 && (spec.is_query_of_death || retries_anyway) {
            spec.retry_count += 1;
            let delay = retry_after.min(Micros(2_000_000)) + Micros(30_000);
            self.schedule(delay, Event::ClientRetry(spec));
        }
    }

    pub(super) fn client_leaves(&mut self, id: QueryId) {
        let state = self.queries.get_mut(&id).expect("a query that was sent");
        state.ended = true;
        let process = state.process;
        self.input(
            process,
            "client-left",
            &id.0.to_string(),
            |engine, now, out| engine.client_left(now, id, out),
        );
    }
}
