//! The rules as properties: whatever comes in whatever order, the budget of further calls, the once-only parts, the
//! least share under skewed weights and the one final answer are kept.

use std::collections::BTreeMap;

use proptest::prelude::*;
use ternpick::actions::Actions;
use ternpick::routing::RoutingEngine;
use ternpick::types::*;

const WINDOW: Micros = Micros(1_000_000);
const SPARE: f64 = 2.0;
const RATIO: f64 = 0.1;
const LEAST: f64 = 0.6;

/// A part: its lookup, whether it is once-only, its weight, and its calls with what became of them.
type Sent = (QueryId, bool, f64, Vec<Option<AttemptOutcome>>);

#[derive(Default)]
struct Tape {
    calls: Vec<(ShardRequestId, NodeId)>,
    finals: Vec<(QueryId, Option<bool>)>,
}

impl Actions for Tape {
    fn send_attempt(&mut self, part: ShardRequestId, node: NodeId, _: Micros) {
        self.calls.push((part, node));
    }
    fn answer(&mut self, lookup: QueryId, whole: bool) {
        self.finals.push((lookup, Some(whole)));
    }
    fn reject(&mut self, lookup: QueryId, _: Micros) {
        self.finals.push((lookup, None));
    }
    fn fail(&mut self, lookup: QueryId) {
        self.finals.push((lookup, None));
    }
    fn cancel_attempt(&mut self, _: ShardRequestId, _: AttemptNo) {}
    fn check_health(&mut self, _: NodeId) {}
    fn close_idle_connections(&mut self, _: NodeId) {}
    fn watch_endpoints(&mut self) {}
    fn set_timer(&mut self, _: Micros, _: TimerId) {}
    fn log(&mut self, _: &str) {}
}

/// What happens next: a lookup of so many parts, the return of some call that is out, time that passes.
#[derive(Clone, Debug)]
enum Step {
    Query {
        once: bool,
        parts: u64,
    },
    Return {
        which: usize,
        ending: AttemptOutcome,
    },
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let endings = prop_oneof![
        4 => Just(AttemptOutcome::Satisfied),
        2 => Just(AttemptOutcome::MayHaveRun),
        1 => Just(AttemptOutcome::Broken),
        3 => Just(AttemptOutcome::NeverRan),
    ];
    let step = prop_oneof![
        1 => (any::<bool>(), 1u64..30).prop_map(|(once, parts)| Step::Query { once, parts }),
        6 => (0usize..64, endings).prop_map(|(which, ending)| Step::Return { which, ending }),
        3 => (1u64..400_000).prop_map(Step::Wait),
    ];
    prop::collection::vec(step, 1..120)
}

fn router() -> RoutingEngine {
    let row = |repeat, least| IndexConfig {
        latency_objective: Micros(1_000_000),
        priority_weight: 1.0,
        retry_semantics: repeat,
        required_weight: 1.0,
        min_weight: least,
        ..IndexConfig::default()
    };
    let tariff = PlatformConfig {
        indexes: vec![
            row(RetrySemantics::Idempotent, LEAST),
            row(RetrySemantics::OnceOnly, 1.0),
        ],
        router_count: 1.0,
        shard_group_count: 1,
        groups_per_shard: 1,
        hedging: true,
        max_attempts: Some(3),
        retry_budget_min: SPARE,
        retry_budget_ratio: RATIO,
        retry_budget_window: Some(WINDOW),
        ..PlatformConfig::default()
    };
    let mut brain = RoutingEngine::new(tariff, 7);
    let listing = |id| Endpoint {
        node: NodeId(id),
        ..Endpoint::default()
    };
    brain.endpoints_changed(
        Micros(1),
        &[listing(1), listing(2), listing(3)],
        true,
        &mut Tape::default(),
    );
    brain
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn the_rules_hold_in_any_order(steps in steps()) {
        let (mut brain, mut tape, mut now) = (router(), Tape::default(), Micros(1_000_000));
        let (mut next, mut taken, mut further) = (0u64, Vec::new(), Vec::new());
        let mut parts: BTreeMap<ShardRequestId, Sent> = BTreeMap::new();
        let mut out: Vec<(ShardRequestId, AttemptNo, NodeId, Micros)> = Vec::new();
        let mut final_of: BTreeMap<QueryId, usize> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Query { once, parts: count } => {
                    next += 1;
                    let id = QueryId(next * 1000);
                    final_of.insert(id, 0);
                    let (index, left) = (IndexNo(u8::from(once)), Micros(3_000_000));
                    taken.extend((0..=count).map(|_| now));
                    let whole: f64 = (1..=count).map(|rank| 1.0 / rank as f64).sum();
                    for rank in 1..=count {
                        let weight = 1.0 / rank as f64 / whole;
                        parts.insert(ShardRequestId(id.0 + rank), (id, once, weight, Vec::new()));
                    }
                    brain.query_received(now, id, WireQueryNo(next), index, CustomerNo(0), count as usize, left, false, &mut tape);
                    for rank in 1..=count {
                        let part = ShardRequestId(id.0 + rank);
                        brain.shard_request_received(now, part, WireQueryNo(next), ShardNo(0), parts[&part].2, None, &mut tape);
                    }
                }
                Step::Return { which, ending } if !out.is_empty() => {
                    let (part, call, node, sent) = out.swap_remove(which % out.len());
                    parts.get_mut(&part).expect("a part").3[usize::from(call.0)] = Some(ending);
                    brain.attempt_finished(now, part, call, node, now.since(sent), ending, &[], &mut tape);
                }
                Step::Return { .. } => {}
                Step::Wait(micros) => {
                    now += Micros(micros);
                    brain.timer_fired(now, TimerId(0), &mut tape);
                }
            }
            for (part, node) in tape.calls.drain(..) {
                let (_, once, _, calls) = parts.get_mut(&part).expect("a part");
                let may_have_run = |call: &Option<AttemptOutcome>| !matches!(call, Some(AttemptOutcome::NeverRan | AttemptOutcome::Unsent));
                prop_assert!(!*once || !calls.iter().any(may_have_run), "a once-only part is sent again");
                if !calls.is_empty() {
                    further.push(now);
                    let made = further.iter().filter(|at| now.since(**at) <= WINDOW).count() as f64;
                    let of = taken.iter().filter(|at| now.since(**at) < WINDOW).count() as f64;
                    prop_assert!(made <= SPARE + RATIO * of, "{made} further calls for {of} taken");
                }
                out.push((part, AttemptNo(calls.len() as u8), node, now));
                calls.push(None);
            }
            for (id, answer) in tape.finals.drain(..) {
                let ends = final_of.get_mut(&id).expect("a lookup");
                *ends += 1;
                prop_assert!(*ends == 1, "two final answers");
                let of = parts.values().filter(|part| part.0 == id);
                let is_in = |part: &&Sent| part.3.contains(&Some(AttemptOutcome::Satisfied));
                let (weight, all) = (of.clone().filter(is_in).map(|part| part.2).sum::<f64>(), of.clone().all(|p| is_in(&p)));
                let least = if id_is_once(&parts, id) { 1.0 } else { LEAST };
                prop_assert!(answer.is_none() || weight + 1e-6 >= least, "an answer from {weight}");
                prop_assert!(answer != Some(true) || all || weight > 1.0 - 1e-6, "called whole at {weight}");
            }
        }
        // Time alone ends what is left, each lookup once.
        brain.timer_fired(now + Micros(3_000_000), TimerId(0), &mut tape);
        for (id, _) in tape.finals.drain(..) {
            *final_of.get_mut(&id).expect("a lookup") += 1;
        }
        prop_assert!(final_of.values().all(|ends| *ends == 1));
    }
}

fn id_is_once(parts: &BTreeMap<ShardRequestId, Sent>, id: QueryId) -> bool {
    parts.values().any(|part| part.0 == id && part.1)
}
