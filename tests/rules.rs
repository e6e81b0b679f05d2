//! The rules as properties: whatever comes in whatever order, the retry budget, the once-only requests, the minimum
//! weight under skewed weights and the one final answer are kept.

use std::collections::BTreeMap;

use proptest::prelude::*;
use ternpick::actions::Actions;
use ternpick::routing::RoutingEngine;
use ternpick::types::*;

const WINDOW: Micros = Micros(1_000_000);
const BUDGET_MIN: f64 = 2.0;
const BUDGET_RATIO: f64 = 0.1;
const MIN_WEIGHT: f64 = 0.6;

/// A shard request that was sent.
struct SentRequest {
    query: QueryId,
    once_only: bool,
    weight: f64,
    /// How each of its attempts ended; `None` while it is in flight.
    outcomes: Vec<Option<AttemptOutcome>>,
}

impl SentRequest {
    fn is_answered(&self) -> bool {
        self.outcomes.contains(&Some(AttemptOutcome::Satisfied))
    }
}

#[derive(Default)]
struct Recorder {
    sent: Vec<(ShardRequestId, NodeId)>,
    ends: Vec<(QueryId, End)>,
}

#[derive(Clone, Copy, PartialEq)]
enum End {
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
            End::Complete
        } else {
            End::Partial
        };
        self.ends.push((query, end));
    }
    fn reject(&mut self, query: QueryId, _: Micros) {
        self.ends.push((query, End::WithoutAnswer));
    }
    fn fail(&mut self, query: QueryId) {
        self.ends.push((query, End::WithoutAnswer));
    }
    fn cancel_attempt(&mut self, _: ShardRequestId, _: AttemptNo) {}
    fn check_health(&mut self, _: NodeId) {}
    fn close_idle_connections(&mut self, _: NodeId) {}
    fn watch_endpoints(&mut self) {}
    fn set_timer(&mut self, _: Micros, _: TimerId) {}
    fn log(&mut self, _: &str) {}
}

/// What happens next: a query of so many requests, the end of some attempt that is in flight, time that passes.
#[derive(Clone, Debug)]
enum Step {
    Query {
        once_only: bool,
        requests: u64,
    },
    Return {
        which: usize,
        outcome: AttemptOutcome,
    },
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
        1 => (any::<bool>(), 1u64..30).prop_map(|(once_only, requests)| Step::Query { once_only, requests }),
        6 => (0usize..64, outcomes).prop_map(|(which, outcome)| Step::Return { which, outcome }),
        3 => (1u64..400_000).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..120)
}

fn engine() -> RoutingEngine {
    let row = |semantics, min_weight| IndexConfig {
        latency_objective: Micros(1_000_000),
        priority_weight: 1.0,
        retry_semantics: semantics,
        required_weight: 1.0,
        min_weight,
        ..IndexConfig::default()
    };
    let config = PlatformConfig {
        indexes: vec![
            row(RetrySemantics::Idempotent, MIN_WEIGHT),
            row(RetrySemantics::OnceOnly, 1.0),
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

/// The engine, what it was given and what it did.
struct Played {
    engine: RoutingEngine,
    recorder: Recorder,
    now: Micros,
    next_query: u64,
    /// When queries and requests were admitted.
    admitted: Vec<Micros>,
    /// When retries and hedged requests were sent.
    extra: Vec<Micros>,
    requests: BTreeMap<ShardRequestId, SentRequest>,
    in_flight: Vec<InFlight>,
    /// How many final answers each query has had.
    ends: BTreeMap<QueryId, usize>,
}

struct InFlight {
    request: ShardRequestId,
    attempt: AttemptNo,
    node: NodeId,
    sent_at: Micros,
}

impl Played {
    fn new() -> Played {
        Played {
            engine: engine(),
            recorder: Recorder::default(),
            now: Micros(1_000_000),
            next_query: 0,
            admitted: Vec::new(),
            extra: Vec::new(),
            requests: BTreeMap::new(),
            in_flight: Vec::new(),
            ends: BTreeMap::new(),
        }
    }

    fn play(&mut self, step: Step) {
        match step {
            Step::Query {
                once_only,
                requests,
            } => self.query(once_only, requests),
            Step::Return { which, outcome } => self.attempt_returns(which, outcome),
            Step::Wait(micros) => {
                self.now += Micros(micros);
                self.timer_fires();
            }
        }
    }

    fn timer_fires(&mut self) {
        self.engine
            .timer_fired(self.now, TimerId(0), &mut self.recorder);
    }

    fn query(&mut self, once_only: bool, count: u64) {
        self.next_query += 1;
        let id = QueryId(self.next_query * 1000);
        let wire_no = WireQueryNo(self.next_query);
        self.ends.insert(id, 0);
        self.admitted.extend((0..=count).map(|_| self.now));
        self.engine.query_received(
            self.now,
            id,
            wire_no,
            IndexNo(u8::from(once_only)),
            CustomerNo(0),
            count as usize,
            Micros(3_000_000),
            false,
            &mut self.recorder,
        );
        let sum: f64 = (1..=count).map(|rank| 1.0 / rank as f64).sum();
        for rank in 1..=count {
            let request = ShardRequestId(id.0 + rank);
            let weight = 1.0 / rank as f64 / sum;
            self.requests.insert(
                request,
                SentRequest {
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

    fn attempt_returns(&mut self, which: usize, outcome: AttemptOutcome) {
        if self.in_flight.is_empty() {
            return;
        }
        let ended = self.in_flight.swap_remove(which % self.in_flight.len());
        let request = self.requests.get_mut(&ended.request);
        request.expect("a request").outcomes[usize::from(ended.attempt.0)] = Some(outcome);
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

    fn check_sent(&mut self) -> Result<(), TestCaseError> {
        for (request, node) in std::mem::take(&mut self.recorder.sent) {
            let sent = self.requests.get_mut(&request).expect("a request");
            let may_have_run = |outcome: &Option<AttemptOutcome>| {
                !matches!(
                    outcome,
                    Some(AttemptOutcome::NeverRan | AttemptOutcome::Unsent)
                )
            };
            prop_assert!(
                !sent.once_only || !sent.outcomes.iter().any(may_have_run),
                "a once-only request is sent again"
            );
            let attempt = AttemptNo(sent.outcomes.len() as u8);
            sent.outcomes.push(None);
            if attempt.0 > 0 {
                self.extra.push(self.now);
                self.check_budget()?;
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

    fn check_budget(&self) -> Result<(), TestCaseError> {
        let age = |at: &Micros| self.now.since(*at);
        let extra = self.extra.iter().filter(|at| age(at) <= WINDOW).count() as f64;
        let admitted = self.admitted.iter().filter(|at| age(at) < WINDOW).count() as f64;
        prop_assert!(
            extra <= BUDGET_MIN + BUDGET_RATIO * admitted,
            "{extra} further attempts for {admitted} admitted"
        );
        Ok(())
    }

    fn check_ends(&mut self) -> Result<(), TestCaseError> {
        for (id, end) in std::mem::take(&mut self.recorder.ends) {
            let ends = self.ends.get_mut(&id).expect("a query");
            *ends += 1;
            prop_assert!(*ends == 1, "two final answers");
            let of_query = || self.requests.values().filter(|sent| sent.query == id);
            let weight = of_query()
                .filter(|sent| sent.is_answered())
                .map(|sent| sent.weight)
                .sum::<f64>();
            let all_answered = of_query().all(SentRequest::is_answered);
            let once_only = of_query().any(|sent| sent.once_only);
            let minimum = if once_only { 1.0 } else { MIN_WEIGHT };
            prop_assert!(
                end == End::WithoutAnswer || weight + 1e-6 >= minimum,
                "an answer from {weight}"
            );
            prop_assert!(
                end != End::Complete || all_answered || weight > 1.0 - 1e-6,
                "called complete at {weight}"
            );
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn the_rules_hold_in_any_order(steps in steps()) {
        let mut played = Played::new();
        for step in steps {
            played.play(step);
            played.check_sent()?;
            played.check_ends()?;
        }
        // Time alone ends what is left, each query once.
        played.now += Micros(3_000_000);
        played.timer_fires();
        for (id, _) in std::mem::take(&mut played.recorder.ends) {
            *played.ends.get_mut(&id).expect("a query") += 1;
        }
        prop_assert!(played.ends.values().all(|ends| *ends == 1));
    }
}
