//! Properties of the routing engine under any inputs in any order: it keeps to the retry budget, resends no once-only
//! request that may have run, answers with no less than the minimum weight even if the weights are skewed, and ends
//! each query once.

use std::collections::BTreeMap;

use proptest::prelude::*;
use ternpick::actions::Actions;
use ternpick::routing::RoutingEngine;
use ternpick::types::*;

const WINDOW: Micros = Micros(1_000_000);
const BUDGET_MIN: f64 = 2.0;
const BUDGET_RATIO: f64 = 0.1;
const MIN_WEIGHT: f64 = 0.6;

/// A shard request and its attempts.
struct RequestState {
    query: QueryId,
    once_only: bool,
    weight: f64,
    /// The outcome of each attempt; `None` while the attempt is in flight.
    outcomes: Vec<Option<AttemptOutcome>>,
}

impl RequestState {
    fn is_answered(&self) -> bool {
        self.outcomes.contains(&Some(AttemptOutcome::Satisfied))
    }
}

/// Records the attempts that the engine sends, and how it ends queries.
#[derive(Default)]
struct Recorder {
    sent: Vec<(ShardRequestId, NodeId)>,
    ends: Vec<(QueryId, QueryEnd)>,
}

#[derive(Clone, Copy, PartialEq)]
enum QueryEnd {
    Complete,
    Partial,
    WithoutAnswer,
}

impl Actions for Recorder {
    fn send_attempt(&mut self, request: ShardRequestId, node: NodeId, _: Micros) {
        self.sent.push((request, node));
    }
    fn answer(&mut self, query: QueryId, complete: bool) {
        let end = if complete {
            QueryEnd::Complete
        } else {
            QueryEnd::Partial
        };
        self.ends.push((query, end));
    }
    fn reject(&mut self, query: QueryId, _: Micros) {
        self.ends.push((query, QueryEnd::WithoutAnswer));
    }
    fn fail(&mut self, query: QueryId) {
        self.ends.push((query, QueryEnd::WithoutAnswer));
    }
    fn cancel_attempt(&mut self, _: ShardRequestId, _: AttemptNo) {}
    fn check_health(&mut self, _: NodeId) {}
    fn close_idle_connections(&mut self, _: NodeId) {}
    fn watch_endpoints(&mut self) {}
    fn set_timer(&mut self, _: Micros, _: TimerId) {}
    fn log(&mut self, _: &str) {}
}

/// One step of a test case.
#[derive(Clone, Debug)]
enum Step {
    /// A query of `request_count` shard requests arrives.
    Query { once_only: bool, request_count: u64 },
    /// An attempt ends: the one at `choice`, modulo the number of attempts in flight.
    AttemptFinished {
        choice: usize,
        outcome: AttemptOutcome,
    },
    /// This many microseconds pass, and the timer fires.
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let outcomes = prop_oneof![
        4 => Just(AttemptOutcome::Satisfied),
        2 => Just(AttemptOutcome::MayHaveRun),
        1 => Just(AttemptOutcome::Broken),
        3 => Just(AttemptOutcome::NeverRan),
    ];
    let step = prop_oneof![
        1 => (any::<bool>(), 1u64..30).prop_map(|(once_only, request_count)| Step::Query { once_only, request_count }),
        6 => (0usize..64, outcomes).prop_map(|(choice, outcome)| Step::AttemptFinished { choice, outcome }),
        3 => (1u64..400_000).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..120)
}

fn engine() -> RoutingEngine {
    let index = |semantics, min_weight| IndexConfig {
        latency_objective: Micros(1_000_000),
        priority_weight: 1.0,
        retry_semantics: semantics,
        required_weight: 1.0,
        min_weight,
        ..IndexConfig::default()
    };
    let config = PlatformConfig {
        indexes: vec![
            index(RetrySemantics::Idempotent, MIN_WEIGHT),
            index(RetrySemantics::OnceOnly, 1.0),
        ],
        router_count: 1.0,
        shard_group_count: 1,
        groups_per_shard: 1,
        hedging: true,
        max_attempts: Some(3),
        retry_budget_min: BUDGET_MIN,
        retry_budget_ratio: BUDGET_RATIO,
        retry_budget_window: Some(WINDOW),
        ..PlatformConfig::default()
    };
    let mut engine = RoutingEngine::new(config, 7);
    let endpoint = |id| Endpoint {
        node: NodeId(id),
        ..Endpoint::default()
    };
    engine.endpoints_changed(
        Micros(1),
        &[endpoint(1), endpoint(2), endpoint(3)],
        true,
        &mut Recorder::default(),
    );
    engine
}

/// Passes inputs to an engine and tracks what the engine does.
struct Harness {
    engine: RoutingEngine,
    recorder: Recorder,
    now: Micros,
    last_query: u64,
    /// When each query and each shard request was admitted.
    admitted_at: Vec<Micros>,
    /// When each retry and each hedged request was sent.
    further_sent_at: Vec<Micros>,
    requests: BTreeMap<ShardRequestId, RequestState>,
    in_flight: Vec<InFlight>,
    /// How often each query has ended.
    end_counts: BTreeMap<QueryId, usize>,
}

struct InFlight {
    request: ShardRequestId,
    attempt: AttemptNo,
    node: NodeId,
    sent_at: Micros,
}

impl Harness {
    fn new() -> Harness {
        Harness {
            engine: engine(),
            recorder: Recorder::default(),
            now: Micros(1_000_000),
            last_query: 0,
            admitted_at: Vec::new(),
            further_sent_at: Vec::new(),
            requests: BTreeMap::new(),
            in_flight: Vec::new(),
            end_counts: BTreeMap::new(),
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Query {
                once_only,
                request_count,
            } => self.send_query(once_only, request_count),
            Step::AttemptFinished { choice, outcome } => self.finish_attempt(choice, outcome),
            Step::Wait(micros) => {
                self.now += Micros(micros);
                self.fire_timer();
            }
        }
    }

    fn fire_timer(&mut self) {
        self.engine
            .timer_fired(self.now, TimerId(0), &mut self.recorder);
    }

    fn send_query(&mut self, once_only: bool, request_count: u64) {
        self.last_query += 1;
        let id = QueryId(self.last_query * 1000);
        let wire_no = WireQueryNo(self.last_query);
        self.end_counts.insert(id, 0);
        // The query and each of its shard requests count.
        self.admitted_at
            .extend((0..=request_count).map(|_| self.now));
        self.engine.query_received(
            self.now,
            id,
            wire_no,
            IndexNo(u8::from(once_only)),
            CustomerNo(0),
            request_count as usize,
            Micros(3_000_000),
            false,
            &mut self.recorder,
        );
        let sum: f64 = (1..=request_count).map(|rank| 1.0 / rank as f64).sum();
        for rank in 1..=request_count {
            let request = ShardRequestId(id.0 + rank);
            let weight = 1.0 / rank as f64 / sum;
            self.requests.insert(
                request,
                RequestState {
                    query: id,
                    once_only,
                    weight,
                    outcomes: Vec::new(),
                },
            );
            self.engine.shard_request_received(
                self.now,
                request,
                wire_no,
                ShardNo(0),
                weight,
                None,
                &mut self.recorder,
            );
        }
    }

    fn finish_attempt(&mut self, choice: usize, outcome: AttemptOutcome) {
        if self.in_flight.is_empty() {
            return;
        }
        let ended = self.in_flight.swap_remove(choice % self.in_flight.len());
        let request = self.requests.get_mut(&ended.request);
        request
            .expect("attempt of an unknown shard request")
            .outcomes[usize::from(ended.attempt.0)] = Some(outcome);
        self.engine.attempt_finished(
            self.now,
            ended.request,
            ended.attempt,
            ended.node,
            self.now.since(ended.sent_at),
            outcome,
            &[],
            &mut self.recorder,
        );
    }

    /// Checks the attempts that the last step has sent, and adds them to those in flight.
    fn check_sent_attempts(&mut self) -> Result<(), TestCaseError> {
        for (request, node) in std::mem::take(&mut self.recorder.sent) {
            let state = self.requests.get_mut(&request);
            let state = state.expect("attempt of an unknown shard request");
            let may_have_run = |outcome: &Option<AttemptOutcome>| {
                !matches!(
                    outcome,
                    Some(AttemptOutcome::NeverRan | AttemptOutcome::Unsent)
                )
            };
            prop_assert!(
                !state.once_only || !state.outcomes.iter().any(may_have_run),
                "once-only shard request {} is sent again after outcomes {:?}",
                request.0,
                state.outcomes
            );
            let attempt = AttemptNo(state.outcomes.len() as u8);
            state.outcomes.push(None);
            if attempt.0 > 0 {
                self.further_sent_at.push(self.now);
                self.check_retry_budget()?;
            }
            self.in_flight.push(InFlight {
                request,
                attempt,
                node,
                sent_at: self.now,
            });
        }
        Ok(())
    }

    /// Checks that the retries and hedged requests of the last window are within the budget.
    fn check_retry_budget(&self) -> Result<(), TestCaseError> {
        let age = |time: &Micros| self.now.since(*time);
        let further = self.further_sent_at.iter();
        let further = further.filter(|time| age(time) <= WINDOW).count() as f64;
        let admitted = self.admitted_at.iter();
        let admitted = admitted.filter(|time| age(time) < WINDOW).count() as f64;
        let budget = BUDGET_MIN + BUDGET_RATIO * admitted;
        prop_assert!(
            further <= budget,
            "{further} retries and hedged requests with a budget of {budget}"
        );
        Ok(())
    }

    /// Checks how the last step has ended queries.
    fn check_query_ends(&mut self) -> Result<(), TestCaseError> {
        for (id, end) in std::mem::take(&mut self.recorder.ends) {
            let end_count = self
                .end_counts
                .get_mut(&id)
                .expect("end of an unknown query");
            *end_count += 1;
            prop_assert!(*end_count == 1, "query {} ends twice", id.0);
            let requests = || self.requests.values().filter(|state| state.query == id);
            let weight = requests()
                .filter(|state| state.is_answered())
                .map(|state| state.weight)
                .sum::<f64>();
            let all_answered = requests().all(RequestState::is_answered);
            let once_only = requests().any(|state| state.once_only);
            let min_weight = if once_only { 1.0 } else { MIN_WEIGHT };
            prop_assert!(
                end == QueryEnd::WithoutAnswer || weight + 1e-6 >= min_weight,
                "query {} is answered with a weight of {weight}, less than {min_weight}",
                id.0
            );
            prop_assert!(
                end != QueryEnd::Complete || all_answered || weight > 1.0 - 1e-6,
                "the answer to query {} is called complete with a weight of {weight}",
                id.0
            );
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn budget_once_only_minimum_weight_and_single_end_hold_for_any_steps(steps in steps()) {
        let mut harness = Harness::new();
        for step in steps {
            harness.apply(step);
            harness.check_sent_attempts()?;
            harness.check_query_ends()?;
        }
        // After the time allowed for all queries, each of them has ended once.
        harness.now += Micros(3_000_000);
        harness.fire_timer();
        for (id, _) in std::mem::take(&mut harness.recorder.ends) {
            *harness.end_counts.get_mut(&id).expect("end of an unknown query") += 1;
        }
        prop_assert!(harness.end_counts.values().all(|count| *count == 1), "{:?}", harness.end_counts);
    }
}
