//! The clients: their queries, second phases, retries and departures.

use std::collections::BTreeSet;

use ternpick::types::*;

use super::player::{Event, Player};

/// What a client asks for, and asks for again.
#[derive(Clone, Debug)]
pub(super) struct QuerySpec {
    pub(super) index: IndexNo,
    pub(super) customer: CustomerNo,
    pub(super) shards: Vec<u32>,
    pub(super) hints: Vec<Option<Micros>>,
    pub(super) time_allowed: Micros,
    pub(super) retries: u32,
    /// It brings down each node that begins one of its requests.
    pub(super) deadly: bool,
}

/// A query that has been sent.
pub(super) struct ModelQuery {
    pub(super) spec: QuerySpec,
    process: usize,
    wire_no: WireQueryNo,
    in_second_phase: bool,
    answered: BTreeSet<ShardRequestId>,
    ended: bool,
}

impl Player {
    pub(super) fn next_query(&mut self) {
        let gap = self.scenario.query_gap.0;
        // A burst every few seconds, and quiet times in which connections are idle.
        let phase = self.now.0 / 1_000_000 % 10;
        let gap = match phase {
            3 => gap / 4,
            7 | 8 => gap * 5,
            _ => gap,
        };
        let delay = Micros(gap / 2 + self.random.below(gap));
        self.schedule(delay, Event::NextQuery);
        let spec = self.draw_query();
        self.send_query(spec);
    }

    fn draw_query(&mut self) -> QuerySpec {
        let mix = &self.scenario.index_mix;
        let mut drawn = self.random.below(mix.iter().sum());
        let mut index = 0;
        while drawn >= mix[index] {
            drawn -= mix[index];
            index += 1;
        }
        let count = 1 + self.random.below(self.scenario.most_requests);
        let shards = (0..count).map(|_| self.random.below(16) as u32).collect();
        let mut hints = Vec::new();
        for _ in 0..count {
            let hint = Micros(5_000 + self.random.below(40_000));
            let given = self.scenario.hints && self.random.per_mille(900);
            hints.push(given.then_some(hint));
        }
        let objective = self.scenario.config.indexes[index].latency_objective;
        let time_allowed = Micros(objective.0 / 2 + self.random.below(objective.0 * 4));
        QuerySpec {
            index: IndexNo(index as u8),
            customer: CustomerNo(self.random.below(4) as u16),
            shards,
            hints,
            time_allowed,
            retries: 0,
            deadly: self.random.per_mille(self.scenario.deadly_per_mille),
        }
    }

    pub(super) fn send_query(&mut self, spec: QuerySpec) {
        self.next_id += 1000;
        let id = QueryId(self.next_id);
        let wire_no = WireQueryNo(self.next_id / 1000);
        let process = self.active;
        let leaves = self.random.per_mille(self.scenario.client_leaves_per_mille);
        if leaves {
            let delay = Micros(self.random.below(spec.time_allowed.0));
            self.schedule(delay, Event::ClientLeaves(id));
        }
        self.queries.insert(
            id,
            ModelQuery {
                spec: spec.clone(),
                process,
                wire_no,
                in_second_phase: false,
                answered: BTreeSet::new(),
                ended: false,
            },
        );
        let (index, customer) = (spec.index, spec.customer);
        let (expected, left) = (spec.shards.len(), spec.time_allowed);
        let is_retry = spec.retries > 0;
        let details = format!(
            "{} index {} customer {} of {expected} in {} retry {}",
            id.0, index.0, customer.0, left.0, spec.retries
        );
        self.input(process, "query", &details, |engine, now, out| {
            engine.query_received(
                now, id, wire_no, index, customer, expected, left, is_retry, out,
            );
        });
        let sum: f64 = (1..=expected).map(|rank| 1.0 / rank as f64).sum();
        for (at, shard) in spec.shards.iter().enumerate() {
            let weight = 1.0 / (at + 1) as f64 / sum;
            self.send_request(id, at as u64 + 1, ShardNo(*shard), weight, spec.hints[at]);
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
        let of = &self.queries[&query];
        let (process, wire_no) = (of.process, of.wire_no);
        let details = format!("{} shard {} weight {weight} hint {hint:?}", id.0, shard.0);
        self.input(process, "request", &details, |engine, now, out| {
            engine.shard_request_received(now, id, wire_no, shard, weight, hint, out);
        });
    }

    pub(super) fn request_is_answered(&mut self, request: ShardRequestId) {
        let query = self.requests[&request];
        if let Some(of) = self.queries.get_mut(&query) {
            of.answered.insert(request);
        }
    }

    pub(super) fn query_is_answered(&mut self, id: QueryId) {
        let Some(of) = self.queries.get_mut(&id) else {
            return;
        };
        let index = &self.scenario.config.indexes[of.spec.index.as_usize()];
        if of.in_second_phase || index.second_phase_size == 0 {
            of.ended = true;
            return;
        }
        of.in_second_phase = true;
        self.schedule(Micros(700), Event::SecondPhase(id));
    }

    /// Asks for the details of what the first phase has found.
    pub(super) fn second_phase(&mut self, id: QueryId) {
        let of = &self.queries[&id];
        let size = self.scenario.config.indexes[of.spec.index.as_usize()].second_phase_size;
        let count = size.min(of.answered.len());
        if of.ended || count == 0 {
            return;
        }
        let shards = of.spec.shards.clone();
        for (at, shard) in shards.iter().take(count).enumerate() {
            let weight = 1.0 / count as f64;
            self.send_request(id, 100 + at as u64, ShardNo(*shard), weight, None);
        }
    }

    pub(super) fn query_is_refused(&mut self, id: QueryId, retry_after: Micros) {
        let again = self.random.per_mille(300);
        let Some(of) = self.queries.get_mut(&id) else {
            return;
        };
        of.ended = true;
        let mut spec = of.spec.clone();
        if spec.retries < 3 && (spec.deadly || again) {
            spec.retries += 1;
            let delay = retry_after.min(Micros(2_000_000)) + Micros(30_000);
            self.schedule(delay, Event::ClientRetry(spec));
        }
    }

    pub(super) fn client_leaves(&mut self, id: QueryId) {
        let of = self.queries.get_mut(&id).expect("a query that was sent");
        of.ended = true;
        let process = of.process;
        self.input(
            process,
            "client-left",
            &id.0.to_string(),
            |engine, now, out| engine.client_left(now, id, out),
        );
    }
}
