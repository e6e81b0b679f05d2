use test_case::test_case;

use super::*;

mod helpers;
use helpers::*;

const OUT: Option<AttemptOutcome> = None;
const OK: Option<AttemptOutcome> = Some(AttemptOutcome::Satisfied);
const RAN: Option<AttemptOutcome> = Some(AttemptOutcome::MayHaveRun);
const NEVER: Option<AttemptOutcome> = Some(AttemptOutcome::NeverRan);

fn node(brain: &mut RoutingEngine, id: u64) -> &mut Node {
    brain
        .nodes
        .get_mut(&NodeId(id))
        .expect("a node of the router")
}

fn places(brain: RoutingEngine, parts: usize) -> Vec<u64> {
    let brain = fresh(brain);
    let lookup = lookup(&brain, &vec![1.0 / parts as f64; parts], &[]);
    brain
        .plan(&lookup, 1e6)
        .assignments
        .iter()
        .map(|(_, node)| node.0)
        .collect()
}

// The cost model.

#[test]
fn a_chosen_node_draws_the_other_parts() {
    let mut brain = router(
        PlatformConfig {
            shard_group_count: 3,
            groups_per_shard: 2,
            ..tariff()
        },
        2,
    );
    (
        node(&mut brain, 2).endpoint.shard_group,
        node(&mut brain, 2).reported_load,
    ) = (ShardGroupNo(1), Some(90.0));
    let mut both = lookup(&brain, &[0.5, 0.5], &[]);
    // Only node 1 holds this one; the other part is held by both.
    both.requests[1].shard = ShardNo(2);
    assert_eq!(
        fresh(brain).plan(&both, 1e6).assignments,
        [(1, NodeId(1)), (0, NodeId(1))]
    );
}

#[test]
fn a_holder_predicted_late_gives_way() {
    let mut brain = router(tariff(), 2);
    (
        node(&mut brain, 1).reported_load,
        node(&mut brain, 1).latency_per_request,
    ) = (Some(50.0), Some(900_000.0));
    node(&mut brain, 2).latency_per_request = Some(50_000.0);
    assert_eq!(places(brain, 1), [2]);
}

#[test]
fn own_parts_out_add_to_o() {
    let mut brain = router(tariff(), 2);
    node(&mut brain, 2).reported_load = Some(90.0);
    owe(&mut brain, 2, 1, ms(1));
    assert_eq!(places(brain, 1), [1]);
}

#[test]
fn a_node_without_report_or_answers_costs_the_mean() {
    let mut brain = router(tariff(), 3);
    (
        node(&mut brain, 1).reported_load,
        node(&mut brain, 3).reported_load,
    ) = (Some(300.0), None);
    node(&mut brain, 3).latency = None;
    let brain = fresh(brain);
    assert_eq!(brain.o(&brain.nodes[&NodeId(3)], IndexNo(0)), 200.0);
}

#[test]
fn empty_queues_still_tell_a_busy_node_from_an_idle_one() {
    let mut brain = router(
        PlatformConfig {
            load_metrics: vec![LoadMetric::Queue],
            ..tariff()
        },
        2,
    );
    brain
        .nodes
        .values_mut()
        .for_each(|n| n.reported_load = Some(0.0));
    owe(&mut brain, 1, 1, ms(1));
    assert_eq!(places(brain, 1), [2]);
}

#[test]
fn a_priced_crossing_tips_the_balance() {
    let mut brain = router(
        PlatformConfig {
            cross_zone_cost: 0.04,
            ..tariff()
        },
        2,
    );
    node(&mut brain, 1).endpoint.zone = ZoneNo(1);
    node(&mut brain, 2).reported_load = Some(110.0);
    assert_eq!(places(brain, 1), [2]);
}

#[test_case(3, 2, 5, true; "first holder")]
#[test_case(3, 0, 5, true; "next cell, round the ring")]
#[test_case(3, 1, 5, false; "not a holder")]
fn a_shard_is_held_by_reach_cells(cells: u32, cell: u32, shard: u32, held: bool) {
    let mut brain = router(
        PlatformConfig {
            shard_group_count: cells,
            groups_per_shard: 2,
            ..tariff()
        },
        1,
    );
    node(&mut brain, 1).endpoint.shard_group = ShardGroupNo(cell);
    assert_eq!(fresh(brain).held_by(ShardNo(shard)).count() == 1, held);
}

// Rule 1: one final answer, in time, and nothing after it.

#[test]
fn a_lookup_is_given_up_before_its_client_is() {
    let mut brain = router(tariff(), 2);
    let held = lookup(&brain, &[1.0], &[OUT]);
    brain.now = Micros(held.deadline.0 - ms(15).0);
    hold(&mut brain, held);
    let mut tape = Tape::default();
    brain.settle(&mut tape);
    assert_eq!(
        tape.0,
        [
            Did::Nack(Micros(0)),
            Did::Cancel(ShardRequestId(1), AttemptNo(0))
        ]
    );
    assert!(brain.queries.is_empty());
}

#[test]
fn late_returns_and_unknown_lapses_are_passed_over() {
    let (mut brain, mut tape) = (router(tariff(), 1), Tape::default());
    owe(&mut brain, 1, 1, ms(5));
    let (now, part, node) = (brain.now, ShardRequestId(1000), NodeId(1));
    brain.attempt_finished(
        now,
        part,
        AttemptNo(0),
        node,
        ms(5),
        AttemptOutcome::Satisfied,
        &[80.0],
        &mut tape,
    );
    brain.client_left(now, QueryId(9), &mut tape);
    assert!(tape.0.is_empty() && brain.nodes[&node].in_flight.is_empty());
}

// Rule 2: no effect twice.

#[test_case(RetrySemantics::OnceOnly, &[RAN], 0, false; "once only, may have run")]
#[test_case(RetrySemantics::OnceOnly, &[OUT], 0, false; "once only, still out")]
#[test_case(RetrySemantics::OnceOnly, &[NEVER], 0, true; "once only, never ran")]
#[test_case(RetrySemantics::Fingerprinted(ms(500)), &[RAN], 400, true; "fingerprinted, inside the window")]
#[test_case(RetrySemantics::Fingerprinted(ms(500)), &[RAN], 490, false; "fingerprinted, too near its end")]
#[test_case(RetrySemantics::Fingerprinted(ms(500)), &[NEVER], 900, true; "fingerprinted, never ran")]
#[test_case(RetrySemantics::Idempotent, &[RAN], 900, true; "idempotent")]
#[test_case(RetrySemantics::Idempotent, &[OK], 0, false; "satisfied")]
#[test_case(RetrySemantics::Idempotent, &[RAN, RAN, RAN], 0, false; "no calls left")]
#[test_case(RetrySemantics::Idempotent, &[RAN], 2985, false; "no time left")]
fn further_calls_keep_the_rules(
    repeat: RetrySemantics,
    calls: &[Option<AttemptOutcome>],
    later: u64,
    may: bool,
) {
    let mut brain = router(
        PlatformConfig {
            max_attempts: Some(3),
            ..tariff()
        },
        2,
    );
    brain.config.indexes[0].retry_semantics = repeat;
    let lookup = lookup(&brain, &[1.0], calls);
    brain.now += ms(later);
    assert_eq!(brain.may_call(&lookup, &lookup.requests[0]), may);
}

// On sockets a repeat that waits for a dial would reach its node after the window.
#[test_case(100, 370, true; "time for a dial")]
#[test_case(100, 390, false; "the dial would end too near the window's end")]
#[test_case(600, 0, false; "no dial fits the window")]
fn a_fingerprinted_repeat_leaves_time_to_dial(dial: u64, later: u64, may: bool) {
    let mut brain = router(
        PlatformConfig {
            connect_timeout: ms(dial),
            ..tariff()
        },
        2,
    );
    brain.config.indexes[0].retry_semantics = RetrySemantics::Fingerprinted(ms(500));
    let lookup = lookup(&brain, &[1.0], &[RAN]);
    brain.now += ms(later);
    assert_eq!(brain.may_call(&lookup, &lookup.requests[0]), may);
}

#[test]
fn no_second_copy_where_none_is_allowed() {
    let brain = router(
        PlatformConfig {
            hedging: false,
            ..tariff()
        },
        2,
    );
    let lookup = lookup(&brain, &[1.0], &[OUT]);
    assert!(!brain.may_call(&lookup, &lookup.requests[0]));
}

#[test_case(RetrySemantics::Idempotent, RAN, false, Did::Nack(Micros(0)); "idempotent")]
#[test_case(RetrySemantics::OnceOnly, NEVER, false, Did::Nack(Micros(0)); "once only, never ran")]
#[test_case(RetrySemantics::OnceOnly, RAN, false, Did::Abort; "once only, may have run")]
#[test_case(RetrySemantics::OnceOnly, NEVER, true, Did::Abort; "once only, its first step ran")]
#[test_case(RetrySemantics::Fingerprinted(ms(500)), OUT, false, Did::Abort; "fingerprinted, still out")]
fn a_nack_promises_that_nothing_ran(
    repeat: RetrySemantics,
    call: Option<AttemptOutcome>,
    second: bool,
    did: Did,
) {
    let mut brain = router(
        PlatformConfig {
            cancellation: false,
            ..tariff()
        },
        1,
    );
    brain.config.indexes[0].retry_semantics = repeat;
    let held = lookup(&brain, &[1.0], &[call]);
    hold(
        &mut brain,
        Query {
            in_second_phase: second,
            ..held
        },
    );
    let mut tape = Tape::default();
    brain.refuse(QueryId(1), ms(50), &mut tape);
    assert_eq!(tape.0, [did]);
}

#[test]
fn a_nack_advises_no_longer_than_clients_heed() {
    let mut brain = router(
        PlatformConfig {
            max_retry_after: Some(ms(300)),
            ..tariff()
        },
        1,
    );
    let held = lookup(&brain, &[1.0], &[]);
    hold(&mut brain, held);
    let mut tape = Tape::default();
    brain.refuse(QueryId(1), ms(800), &mut tape);
    assert_eq!(tape.0, [Did::Nack(ms(300))]);
}

// Rule 3: drains.

#[test_case(EndpointState::Draining)]
#[test_case(EndpointState::Gone)]
fn nothing_goes_to_a_node_that_leaves(phase: EndpointState) {
    let mut brain = router(tariff(), 2);
    node(&mut brain, 1).endpoint.state = phase;
    assert_eq!(places(brain, 2), [2, 2]);
}

#[test]
fn a_node_off_a_full_list_is_gone() {
    let mut brain = router(tariff(), 2);
    owe(&mut brain, 1, 1, ms(1));
    let now = brain.now;
    brain.endpoints_changed(
        now,
        &[Endpoint {
            node: NodeId(2),
            ..Endpoint::default()
        }],
        true,
        &mut Tape::default(),
    );
    assert_eq!(brain.nodes[&NodeId(1)].endpoint.state, EndpointState::Gone);
}

#[test]
fn a_broken_watch_is_asked_for_again() {
    let mut brain = router(tariff(), 0);
    let (now, mut tape) = (brain.now, Tape::default());
    brain.endpoint_watch_failed(now, &mut tape);
    brain.timer_fired(now + ASK_AGAIN + ASK_AGAIN, TimerId(0), &mut tape);
    assert_eq!(tape.0, [Did::Log, Did::Watch]);
}

// Rule 4: warm-up. A core does ten parts of 100 ms a second; a quarter of twice that, less a tenth, is 4.5.

#[test_case(1, 4, true; "within the allowance")]
#[test_case(1, 5, false; "beyond it")]
#[test_case(2, 3, false; "beyond one router's share of it")]
fn a_cold_node_gets_its_allowance(routers: u32, parts: u32, room: bool) {
    let mut brain = router(
        PlatformConfig {
            router_count: routers.into(),
            ..tariff()
        },
        1,
    );
    let now = brain.now;
    node(&mut brain, 1).started.at = now;
    node(&mut brain, 1).recent_sends = (1..parts).map(|_| (now, 1.0)).collect();
    assert_eq!(brain.has_room(&brain.nodes[&NodeId(1)], 1.0), room);
}

#[test]
fn a_warm_node_has_room() {
    let mut brain = router(tariff(), 1);
    let now = brain.now;
    node(&mut brain, 1).started.at = Micros(now.0 - ms(10_000).0 + 1);
    brain.now += ms(1);
    node(&mut brain, 1).recent_sends = (1..100).map(|_| (now, 1.0)).collect();
    assert!(brain.has_room(&brain.nodes[&NodeId(1)], 1.0));
}

#[test]
fn a_reported_rate_raises_the_allowance() {
    let mut brain = router(tariff(), 2);
    let now = brain.now;
    (
        node(&mut brain, 1).started.at,
        node(&mut brain, 2).max_reported_rate,
    ) = (now, 20.0);
    let brain = fresh(brain);
    assert!(brain.has_room(&brain.nodes[&NodeId(1)], 8.0));
}

// Rule 5: honest answers.

#[test_case(1.0, 1.0, &[0.6, 0.4], Some(true); "all in")]
#[test_case(0.9, 0.5, &[0.9], Some(true); "enough for whole")]
#[test_case(1.0, 0.6, &[0.7], Some(false); "enough for part")]
#[test_case(1.0, 0.8, &[0.7], None; "too little")]
fn answers_are_honest_at_the_soft_deadline(
    need: f64,
    least: f64,
    weights: &[f64],
    whole: Option<bool>,
) {
    let mut brain = router(
        PlatformConfig {
            hedging: false,
            ..tariff()
        },
        1,
    );
    (
        brain.config.indexes[0].required_weight,
        brain.config.indexes[0].min_weight,
    ) = (need, least);
    let mut held = lookup(&brain, weights, &[OK]);
    let rest = 1.0 - weights.iter().sum::<f64>();
    if rest > 0.001 {
        let out = lookup(&brain, &[rest], &[OUT]).requests.remove(0);
        held.requests.push(ShardRequest {
            id: ShardRequestId(99),
            ..out
        });
        held.expected_requests += 1;
    }
    brain.now = held.soft_deadline;
    hold(&mut brain, held);
    let mut tape = Tape::default();
    brain.settle(&mut tape);
    assert_eq!(tape.0.first().copied(), whole.map(Did::Answer));
}

#[test_case(true, true)]
#[test_case(false, false)]
fn a_second_step_is_whole_only_after_a_whole_first(first_whole: bool, whole: bool) {
    let mut brain = router(tariff(), 1);
    let held = lookup(&brain, &[1.0], &[OK]);
    hold(
        &mut brain,
        Query {
            in_second_phase: true,
            first_phase_complete: first_whole,
            ..held
        },
    );
    let mut tape = Tape::default();
    brain.settle(&mut tape);
    assert_eq!(tape.0, [Did::Answer(whole)]);
}

/// A first answer just before the soft deadline leaves the second step no time: most of the gain came late.
#[test_case(770, false; "there is time yet")]
#[test_case(810, true; "the second step needs the rest")]
fn a_first_step_leaves_the_second_its_time(later: u64, answered: bool) {
    let mut brain = router(tariff(), 3);
    (
        brain.config.indexes[0].second_phase_size,
        brain.config.indexes[0].min_weight,
    ) = (2, 0.5);
    let mut half = lookup(&brain, &[0.5, 0.5], &[OUT]);
    half.requests[0].answered = true;
    hold(&mut brain, half);
    brain.now += ms(later);
    assert_eq!(brain.answer_is_due().is_some(), answered);
}

#[test]
fn the_first_answer_waits_for_as_many_parts_as_are_to_come() {
    let mut brain = router(tariff(), 1);
    brain.config.indexes[0].second_phase_size = 3;
    let held = lookup(&brain, &[0.5, 0.5], &[OK]);
    hold(&mut brain, held);
    brain.settle(&mut Tape::default());
    assert_eq!(
        (
            brain.queries[&QueryId(1)].expected_requests,
            brain.queries[&QueryId(1)].in_second_phase
        ),
        (2, true)
    );
}

// Rule 5: the least share, to the letter. The lab found answers from 0.69996 where 0.7 was asked for.
#[test_case(&[0.69996, 0.30004], false, 0.7; "a little less")]
#[test_case(&[0.7, 0.3], true, 0.7; "as much")]
#[test_case(&[0.1; 10], true, 0.8; "eight tenths, whose sum falls short")]
fn no_answer_is_given_from_less_than_the_least_share(weights: &[f64], answers: bool, least: f64) {
    let mut brain = router(tariff(), 1);
    brain.config.indexes[0].min_weight = least;
    let mut held = lookup(&brain, weights, &[OK]);
    (held.soft_deadline, held.partial_response_at) = (brain.now, brain.now);
    for part in held
        .requests
        .iter_mut()
        .skip((least * weights.len() as f64) as usize)
    {
        (part.answered, part.attempts[0].outcome) = (false, None);
    }
    hold(&mut brain, held);
    assert_eq!(
        (brain.answer_is_due().is_some(), brain.hopeless().is_some()),
        (answers, false)
    );
}

#[test]
fn the_table_of_deadly_lookups_is_bounded() {
    let mut brain = router(tariff(), 3);
    for id in 0..2 * MOST_FATAL as u64 {
        let mut held = lookup(&brain, &[1.0], &[Some(AttemptOutcome::Broken); 2]);
        (held.id, held.placed, held.requests[0].attempts[1].node) = (QueryId(id), true, NodeId(2));
        hold(&mut brain, held);
    }
    brain.settle(&mut Tape::default());
    assert_eq!((brain.queries.len(), brain.fatal.len()), (0, MOST_FATAL));
}

// Rule 6: the budget.

#[test_case(1.0, 0.0, 0, true; "a spare one")]
#[test_case(1.0, 0.0, 1, false; "spare ones used up")]
#[test_case(0.0, 0.5, 0, true; "a share of what was taken")]
#[test_case(0.0, 0.4, 0, false; "too small a share")]
fn further_calls_stay_within_the_budget(
    extra_spare: f64,
    extra_ratio: f64,
    made: usize,
    may: bool,
) {
    let budget = PlatformConfig {
        retry_budget_min: extra_spare,
        retry_budget_ratio: extra_ratio,
        retry_budget_window: Some(ms(1000)),
        ..tariff()
    };
    let mut brain = router(budget, 2);
    (brain.taken, brain.extras) = (vec![brain.now; 2].into(), vec![brain.now; made].into());
    assert_eq!(brain.within_budget(&lookup(&brain, &[1.0], &[])), may);
}

/// Parts whose scout failed are planned together, each within the budget as it stands before any is called.
#[test]
fn further_calls_that_are_planned_together_stay_within_the_budget() {
    let (spare, window) = (2.0, Some(ms(5000)));
    let mut brain = router(
        PlatformConfig {
            retry_budget_min: spare,
            retry_budget_window: window,
            ..tariff()
        },
        3,
    );
    let mut failed = lookup(&brain, &[0.2; 5], &[NEVER]);
    failed.placed = false;
    hold(&mut brain, failed);
    let mut tape = Tape::default();
    brain.settle(&mut tape);
    assert_eq!(
        tape.0
            .iter()
            .filter(|did| matches!(did, Did::Attempt(..)))
            .count(),
        2
    );
}

#[test]
fn a_first_call_needs_no_budget() {
    let brain = router(
        PlatformConfig {
            retry_budget_window: Some(ms(1000)),
            ..tariff()
        },
        2,
    );
    let (fresh, failed) = (lookup(&brain, &[1.0], &[]), lookup(&brain, &[1.0], &[RAN]));
    assert!(
        brain.may_call(&fresh, &fresh.requests[0]) && !brain.may_call(&failed, &failed.requests[0])
    );
}

#[test]
fn the_budget_tables_are_emptied_by_age() {
    let mut brain = router(
        PlatformConfig {
            retry_budget_window: Some(ms(1000)),
            ..tariff()
        },
        0,
    );
    brain.extras = vec![Micros(0); 5].into();
    brain.take();
    assert!(brain.extras.is_empty());
}

// The six mechanisms.

#[test]
fn a_hung_node_is_believed_by_what_it_owes() {
    let mut brain = router(tariff(), 2);
    node(&mut brain, 1).reported_load = Some(10.0);
    owe(&mut brain, 1, 1, ms(800));
    brain.settle(&mut Tape::default());
    assert!(brain.nodes[&NodeId(1)].suspected_for.is_some());
    assert_eq!(places(brain, 1), [2]);
}

#[test_case(300, false; "late, but not by the clock of a lookup")]
#[test_case(400, true; "late")]
fn doubt_comes_late(latency: u64, doubted: bool) {
    let mut brain = router(PlatformConfig::default(), 0);
    brain.survey.median_latency = Some(100_000.0);
    brain.config.indexes = vec![IndexConfig {
        latency_objective: ms(1400),
        ..IndexConfig::default()
    }];
    let late = Node {
        latency: Some(latency as f64 * 1e3),
        latency_updated_at: brain.now,
        ..Node::default()
    };
    assert_eq!(brain.doubt(&late, IndexNo(0)).is_some(), doubted);
}

// A node that fails one index and serves the others, against one that is down.
#[test_case(AttemptOutcome::NeverRan, true; "no connection")]
#[test_case(AttemptOutcome::Broken, true; "connection broke")]
#[test_case(AttemptOutcome::MayHaveRun, false; "error")]
fn a_failure_counts_for_what_it_shows(ending: AttemptOutcome, others_too: bool) {
    let mut brain = router(tariff(), 1);
    brain.config.indexes.push(brain.config.indexes[0].clone());
    brain.learn(NodeId(1), IndexNo(1), ms(2), ending);
    let fears = [0, 1].map(|at| brain.nodes[&NodeId(1)].health(IndexNo(at)).failure_rate);
    assert_eq!(fears, [if others_too { FRESH } else { 0.0 }, FRESH]);
}

// Brisk errors against errors and time-outs that take as long as the soft deadline, and what must not run twice.
#[test_case(AttemptOutcome::MayHaveRun, 2, RetrySemantics::Idempotent, false; "a brisk error")]
#[test_case(AttemptOutcome::MayHaveRun, 1000, RetrySemantics::Idempotent, true; "a time-out")]
#[test_case(AttemptOutcome::MayHaveRun, 2, RetrySemantics::OnceOnly, true; "an error that cannot be repeated")]
#[test_case(AttemptOutcome::NeverRan, 2, RetrySemantics::Idempotent, true; "turned away briskly")]
fn a_node_that_fails_briskly_still_takes_its_part(
    ending: AttemptOutcome,
    lag: u64,
    repeat: RetrySemantics,
    doubted: bool,
) {
    let mut brain = router(tariff(), 2);
    brain.config.indexes[0].retry_semantics = repeat;
    brain.survey.median_latency = Some(100_000.0);
    (0..9).for_each(|_| brain.learn(NodeId(1), IndexNo(0), ms(lag), ending));
    assert_eq!(
        brain.doubt(&brain.nodes[&NodeId(1)], IndexNo(0)).is_some(),
        doubted
    );
}

// A long day: every node is replaced by a new one again and again, some while they owe answers.
#[test]
fn nothing_stays_of_nodes_that_come_and_go() {
    let (mut brain, mut tape) = (router(tariff(), 2), Tape::default());
    for id in 3..500 {
        let now = brain.now + ms(50);
        owe(&mut brain, id - 1, 1, ms(0));
        brain.endpoints_changed(
            now,
            &[Endpoint {
                node: NodeId(id),
                ..Endpoint::default()
            }],
            true,
            &mut tape,
        );
        let lag = ms(50);
        brain.attempt_finished(
            now,
            ShardRequestId(1000),
            AttemptNo(0),
            NodeId(id - 1),
            lag,
            AttemptOutcome::Broken,
            &[],
            &mut tape,
        );
    }
    let now = brain.now + ms(60_000);
    brain.endpoints_changed(
        now,
        &[Endpoint {
            node: NodeId(500),
            ..Endpoint::default()
        }],
        true,
        &mut tape,
    );
    brain.timer_fired(now, TimerId(0), &mut tape);
    assert_eq!(
        (brain.nodes.len(), brain.cells.len(), brain.watched.len()),
        (1, 1, 0)
    );
}

#[test]
fn a_lost_answer_is_not_a_hung_node() {
    let mut brain = router(tariff(), 1);
    owe(&mut brain, 1, 1, ms(900));
    brain.learn(NodeId(1), IndexNo(0), ms(100), AttemptOutcome::Satisfied);
    assert!(brain.belief(&brain.nodes[&NodeId(1)], IndexNo(0)) < 110_000.0);
}

// Lookups that bring down each node that begins a part of them.
#[test_case(&[1], false, false, false; "one node fell")]
#[test_case(&[1, 2], false, false, true; "two nodes fell")]
#[test_case(&[1], true, false, true; "a repeat, and one node fell")]
#[test_case(&[1, 2], false, true, false; "a node outlived it")]
fn a_deadly_lookup_is_nacked(fell: &[u64], repeat: bool, outlived: bool, nacked: bool) {
    let mut brain = router(tariff(), 3);
    let mut held = lookup(&brain, &[0.5, 0.5], &[Some(AttemptOutcome::Broken)]);
    held.requests
        .iter_mut()
        .zip(fell)
        .for_each(|(part, node)| part.attempts[0].node = NodeId(*node));
    held.requests[1].answered = outlived;
    hold(
        &mut brain,
        Query {
            is_client_retry: repeat,
            ..held
        },
    );
    brain.settle(&mut Tape::default());
    assert_eq!(brain.queries.is_empty(), nacked);
}

#[test_case(true, true; "its repeat")]
#[test_case(false, false; "a like one that is no repeat")]
fn a_repeat_of_a_deadly_lookup_is_known(repeat: bool, nacked: bool) {
    let mut brain = router(tariff(), 3);
    let fresh = Query {
        is_client_retry: repeat,
        ..lookup(&brain, &[1.0], &[])
    };
    brain.fatal.push_back((fresh.deadline, fresh.fingerprint()));
    hold(&mut brain, fresh);
    let mut tape = Tape::default();
    brain.settle(&mut tape);
    assert_eq!(tape.0 == [Did::Nack(Micros(0))], nacked);
}

#[test_case(true, 1; "a scout goes first")]
#[test_case(false, 2; "no node has fallen")]
fn while_nodes_fall_one_tries_a_lookup_first(alarmed: bool, calls: usize) {
    let (mut brain, mut tape) = (
        router(
            PlatformConfig {
                shard_group_count: 2,
                groups_per_shard: 1,
                ..tariff()
            },
            2,
        ),
        Tape::default(),
    );
    node(&mut brain, 2).endpoint.shard_group = ShardGroupNo(1);
    brain = fresh(brain);
    brain.alarm_at = alarmed.then_some(brain.now);
    let mut held = lookup(&brain, &[0.5, 0.5], &[]);
    held.requests[1].shard = ShardNo(1);
    hold(&mut brain, held);
    brain.settle(&mut tape);
    assert_eq!(tape.0.len(), calls);
}

#[test_case(0, false; "another router's turn")]
#[test_case(2, true; "its turn")]
fn many_routers_take_turns_at_a_cold_node(seconds: u64, room: bool) {
    let mut brain = router(
        PlatformConfig {
            router_count: 10.0,
            ..tariff()
        },
        1,
    );
    (
        node(&mut brain, 1).started.at,
        node(&mut brain, 1).tie_breaker,
    ) = (brain.now, u32::MAX / 2);
    node(&mut brain, 1).notified_at = brain.now;
    brain.now += ms(seconds * 1000);
    assert_eq!(brain.has_room(&brain.nodes[&NodeId(1)], 1.0), room);
}

/// Taken into account only with the next answer or list, it made the share of a cold node leap at all routers together.
#[test]
fn the_first_hint_of_work_counts_at_once() {
    let mut brain = RoutingEngine::new(tariff(), 1);
    let (now, mut tape) = (ms(1), Tape::default());
    brain.endpoints_changed(
        now,
        &[Endpoint {
            node: NodeId(1),
            ..Endpoint::default()
        }],
        true,
        &mut tape,
    );
    brain.query_received(
        now,
        QueryId(1),
        WireQueryNo(1),
        IndexNo(0),
        CustomerNo(0),
        1,
        ms(900),
        false,
        &mut tape,
    );
    assert_eq!(
        brain.survey.warm_rate, 1.0,
        "one part in the shortest soft deadline"
    );
    brain.shard_request_received(
        now,
        ShardRequestId(1),
        WireQueryNo(1),
        ShardNo(0),
        1.0,
        Some(ms(100)),
        &mut tape,
    );
    assert_eq!(brain.survey.warm_rate, 10.0);
}

/// What each of so many routers sends to one node that starts cold, as often as it is let: routers hear of the start late, and
/// all at once, or have themselves just started and know nothing of what they sent. Every window of the rule is counted.
#[test_case(20, 1.5, false; "twenty, told late")]
#[test_case(30, 1.5, false; "thirty, told late")]
#[test_case(300, 1.5, false; "three hundred, told late")]
#[test_case(300, 0.0, false; "three hundred, told at once")]
#[test_case(3, 0.0, true; "three, restarted meanwhile")]
#[test_case(20, 1.5, true; "twenty, restarted meanwhile")]
#[test_case(300, 1.5, true; "three hundred, restarted meanwhile")]
fn a_cold_node_bears_the_sum_of_what_all_routers_send(routers: usize, late: f64, restart: bool) {
    let mut all = 0;
    for seed in 0..40 {
        let mut chance = RandomSource::new(seed);
        let mut of = || {
            let mut brain = fresh(router(
                PlatformConfig {
                    router_count: routers as f64,
                    ..tariff()
                },
                1,
            ));
            node(&mut brain, 1).tie_breaker = chance.0.generate();
            brain
        };
        let mut brains: Vec<RoutingEngine> = (0..routers).map(|_| of()).collect();
        let began = brains[0].now;
        let told = began + ms((late * 1000.0) as u64);
        let listing = Endpoint {
            node: NodeId(1),
            started_at: began,
            ..Endpoint::default()
        };
        let mut sent: Vec<u64> = Vec::new();
        for step in 0..400u64 {
            let now = told + ms(step * 10);
            for (at, brain) in brains.iter_mut().enumerate() {
                if restart && step == 30 + at as u64 * 60 / routers as u64 {
                    *brain = of();
                    (brain.born, brain.heard) = (None, None);
                }
                if node(brain, 1).endpoint.started_at != began {
                    let survey = brain.survey;
                    brain.endpoints_changed(now, &[listing], true, &mut Tape::default());
                    // Other nodes, warm ones, have shown the pace.
                    brain.survey = survey;
                }
                brain.now = now;
                while brain.has_room(&brain.nodes[&NodeId(1)], 1.0) {
                    node(brain, 1).recent_sends.push_back((now, 1.0));
                    sent.push(now.0);
                }
            }
        }
        let window = brains[0].config.overload_window.0;
        for (at, first) in sent.iter().enumerate() {
            let count = sent[at..]
                .iter()
                .take_while(|other| **other < first + window)
                .count() as f64;
            // What the node surely bears as the window begins: its cold share, and what it has gained by then.
            let age = (first - began.0) as f64 / tariff().slow_start_duration.0 as f64;
            let warmth =
                tariff().slow_start_initial_share + (1.0 - tariff().slow_start_initial_share) * age;
            let bears = tariff().overload_multiple * warmth * window as f64 / 1e6
                * brains[0].survey.warm_rate;
            let most = bears + 2.0 * bears.sqrt() + 2.0;
            assert!(
                count <= most,
                "seed {seed}: {count} in a window at {age:.2}, {bears:.1} are borne"
            );
        }
        all += sent.len();
    }
    assert!(
        all > 40 * 4 * 4,
        "it is used: {all} parts in 40 times four seconds"
    );
}

#[test]
fn opinions_fade_without_answers() {
    let mut brain = router(tariff(), 1);
    node(&mut brain, 1).latency = Some(900_000.0);
    brain.now += ms(5000);
    assert!(brain.belief(&brain.nodes[&NodeId(1)], IndexNo(0)) < 110_000.0);
}

#[test]
fn a_failed_call_is_made_again_elsewhere() {
    let mut brain = router(tariff(), 2);
    let held = lookup(&brain, &[1.0], &[RAN]);
    hold(&mut brain, held);
    let mut tape = Tape::default();
    brain.settle(&mut tape);
    assert_eq!(tape.0, [Did::Attempt(ShardRequestId(1), NodeId(2))]);
}

#[test_case(200, false; "not late")]
#[test_case(450, true; "late")]
fn a_late_part_gets_a_copy(age: u64, copied: bool) {
    let mut brain = router(tariff(), 3);
    let held = lookup(&brain, &[1.0], &[OUT]);
    brain.now += ms(age);
    hold(&mut brain, held);
    assert_eq!(brain.needs_a_copy().is_some(), copied);
}

#[test]
fn copies_do_not_feed_a_jam() {
    let mut brain = router(tariff(), 3);
    let mut held = lookup(&brain, &[0.5, 0.5], &[OUT]);
    held.requests[0].attempts.push(Attempt {
        node: NodeId(2),
        sent_at: brain.now,
        outcome: OUT,
    });
    brain.now += ms(450);
    hold(&mut brain, held);
    assert!(brain.needs_a_copy().is_none());
}

#[test]
fn a_lookup_that_would_be_late_is_nacked_at_once() {
    let mut brain = router(tariff(), 1);
    node(&mut brain, 1).latency_per_request = Some(200_000.0);
    owe(&mut brain, 1, 4, ms(1));
    let held = lookup(&brain, &[1.0], &[]);
    hold(&mut brain, held);
    let mut tape = Tape::default();
    brain.settle(&mut tape);
    assert!(matches!(tape.0[..], [Did::Log, Did::Nack(_)]));
}

#[test_case(100, true; "a moment ago")]
#[test_case(1500, false; "a while ago")]
fn a_router_that_saw_all_fail_tries_again(later: u64, nacked: bool) {
    let (mut brain, mut tape) = (router(tariff(), 2), Tape::default());
    let standing = IndexHealth {
        failure_cost: brain.memory(),
        updated_at: brain.now,
        ..IndexHealth::default()
    };
    brain
        .nodes
        .values_mut()
        .for_each(|n| n.index_health = vec![standing]);
    brain.now += ms(later);
    let held = lookup(&brain, &[1.0], &[]);
    hold(&mut brain, held);
    brain.settle(&mut tape);
    assert_eq!(brain.queries.is_empty(), nacked);
}

#[test]
fn pace_is_no_better_than_the_parts_out_show() {
    let mut brain = router(tariff(), 1);
    owe(&mut brain, 1, 1, ms(900));
    assert!(brain.predicted(&brain.nodes[&NodeId(1)], IndexNo(0), 1.0) >= 900_000.0);
}

#[test]
fn a_warming_node_is_predicted_slower_than_the_middle() {
    let mut brain = router(tariff(), 2);
    let now = brain.now;
    (
        node(&mut brain, 1).started.at,
        node(&mut brain, 2).latency_per_request,
    ) = (now, Some(50_000.0));
    let brain = fresh(brain);
    let predicted = brain.predicted(&brain.nodes[&NodeId(1)], IndexNo(0), 1.0);
    assert_eq!(predicted, 50_000.0 / 0.25 * (1.0 + FREE_DEPTH));
}

#[test_case(5.0, None, true, 1.0; "the best gain")]
#[test_case(1.0, None, true, 0.68; "less gain")]
#[test_case(1.0, Some(0.08), true, 0.84; "less gain, and lateness is cheap")]
#[test_case(1.0, Some(9.0), true, 0.68; "less gain, and lateness is dear")]
#[test_case(5.0, None, false, 0.6; "beyond the customer's share")]
fn time_allowed_follows_gain(gain: f64, vain: Option<f64>, within_share: bool, allowed: f64) {
    let mut brain = router(
        PlatformConfig {
            over_quota_weight: 0.0,
            wasted_work_cost: vain,
            ..tariff()
        },
        0,
    );
    let row = IndexConfig {
        has_queries: true,
        ..brain.config.indexes[0].clone()
    };
    brain.config.indexes = vec![
        IndexConfig {
            priority_weight: gain,
            ..row.clone()
        },
        IndexConfig {
            priority_weight: 5.0,
            ..row
        },
    ];
    let lookup = lookup(&brain, &[1.0], &[]);
    assert!((brain.time_allowed(&lookup, within_share) - allowed).abs() < 1e-9);
}

#[test]
fn a_share_is_used_up_and_comes_back() {
    let mut brain = router(
        PlatformConfig {
            quotas: vec![1.0],
            ..tariff()
        },
        0,
    );
    brain.quota_left = vec![(0.0, Micros(0))];
    let drawn: Vec<bool> = (0..3).map(|_| brain.draw_quota(CustomerNo(0))).collect();
    brain.now += ms(1000);
    assert_eq!(
        (drawn, brain.draw_quota(CustomerNo(0))),
        (vec![true, true, false], true)
    );
}

#[test]
fn used_nodes_are_probed_once_a_second_where_only_probes_report() {
    let mut brain = router(
        PlatformConfig {
            load_reporting: LoadReporting::OnProbe,
            health_checks: true,
            ..tariff()
        },
        2,
    );
    owe(&mut brain, 1, 1, ms(1));
    let mut tape = Tape::default();
    brain.settle(&mut tape);
    brain.settle(&mut tape);
    assert_eq!(tape.0, [Did::Probe(NodeId(1))]);
}

#[test_case(f64::NAN)]
#[test_case(-1.0)]
fn a_senseless_report_is_passed_over(figure: f64) {
    let mut brain = router(tariff(), 1);
    brain.read_report(NodeId(1), &[figure]);
    assert_eq!(brain.nodes[&NodeId(1)].reported_load, Some(100.0));
}

/// A node that is slow and reports itself idle would draw parts by an o of nothing.
#[test]
fn a_latency_of_none_is_no_report() {
    let (mut brain, mut tape) = (router(tariff(), 2), Tape::default());
    node(&mut brain, 1).latency = Some(250_000.0);
    brain.health_check_finished(brain.now, NodeId(1), &[0.0], &mut tape);
    let brain = fresh(brain);
    assert_eq!(brain.reading(&brain.nodes[&NodeId(1)]), Some(250.0));
}

/// A lookup of many parts has several late ones; without a budget, one at a time.
#[test_case(Some(ms(5000)), 3; "under a budget, a tenth of what is out")]
#[test_case(None, 1; "one at a time")]
fn copies_are_few(extra_window: Option<Micros>, copies: usize) {
    let budget = PlatformConfig {
        retry_budget_min: 9.0,
        retry_budget_window: extra_window,
        ..tariff()
    };
    let (mut brain, mut tape) = (router(budget, 3), Tape::default());
    let mut late = lookup(&brain, &[0.04; 25], &[OUT]);
    late.requests
        .iter_mut()
        .for_each(|part| part.attempts[0].sent_at = Micros(brain.now.0 - 450_000));
    hold(&mut brain, late);
    brain.settle(&mut tape);
    let calls: Vec<ShardRequestId> = tape
        .0
        .iter()
        .filter_map(|did| match did {
            Did::Attempt(part, _) => Some(*part),
            _ => None,
        })
        .collect();
    assert_eq!(calls.len(), copies);
}

#[test]
fn a_failed_probe_is_no_failed_call() {
    let mut brain = router(tariff(), 1);
    let now = brain.now;
    brain.health_check_finished(now, NodeId(1), &[], &mut Tape::default());
    assert_eq!(brain.nodes[&NodeId(1)].health(IndexNo(0)).failure_rate, 0.0);
}

#[test_case(EndpointState::Ready, EndpointState::Gone, 0, true; "gone without a drain")]
#[test_case(EndpointState::Draining, EndpointState::Gone, 0, false; "gone after a drain")]
#[test_case(EndpointState::Ready, EndpointState::Ready, 9, true; "back before it was missed")]
fn the_roster_tells_of_nodes_that_fell(
    was: EndpointState,
    phase: EndpointState,
    started: u64,
    alarmed: bool,
) {
    let mut brain = router(tariff(), 1);
    (node(&mut brain, 1).endpoint.state, brain.alarm_at) = (was, None);
    let now = brain.now;
    let listing = Endpoint {
        node: NodeId(1),
        state: phase,
        started_at: Micros(started),
        ..Endpoint::default()
    };
    brain.endpoints_changed(now, &[listing], false, &mut Tape::default());
    assert_eq!(brain.alarm_at.is_some(), alarmed);
}

// Odd input: the process stays alive, and the lookup gets one final answer before its client leaves.
#[test_case(1, 1, 0, 3000; "a plain lookup and no time")]
#[test_case(1, 1, 1000, 0; "no node at all")]
#[test_case(1, u32::MAX, 1000, 3000; "a shard out of range, thousands of nodes")]
#[test_case(0, 1, 1000, 1; "no part expected")]
#[test_case(usize::MAX, 1, 1000, 1; "more parts expected than can come")]
fn odd_lookups_get_one_final_answer(expected: usize, shard: u32, left: u64, nodes: u64) {
    let (mut brain, mut tape) = (
        router(
            PlatformConfig {
                shard_group_count: 7,
                groups_per_shard: 9,
                ..tariff()
            },
            nodes,
        ),
        Tape::default(),
    );
    let (now, id, query, out) = (brain.now, QueryId(1), WireQueryNo(1), &mut tape);
    brain.query_received(
        now,
        id,
        query,
        IndexNo(0),
        CustomerNo(9),
        expected,
        ms(left),
        false,
        out,
    );
    brain.shard_request_received(
        now,
        ShardRequestId(1),
        query,
        ShardNo(shard),
        1.0,
        None,
        out,
    );
    brain.timer_fired(now + ms(left.saturating_sub(15)), TimerId(0), out);
    let ends = tape
        .0
        .iter()
        .filter(|did| matches!(did, Did::Answer(_) | Did::Nack(_) | Did::Abort));
    assert_eq!((ends.count(), brain.queries.len()), (1, 0));
}

#[test_case(4, 1000, false; "few parts")]
#[test_case(40, 1000, true; "many parts")]
#[test_case(40, 900, false; "many parts, and a client with little time")]
fn a_lookup_is_as_late_as_the_latest_of_its_parts(parts: usize, left: u64, nacked: bool) {
    let (mut brain, mut tape) = (
        router(
            PlatformConfig {
                shard_group_count: 64,
                groups_per_shard: 1,
                ..tariff()
            },
            40,
        ),
        Tape::default(),
    );
    for (cell, node) in brain.nodes.values_mut().enumerate() {
        (node.endpoint.shard_group, node.latency_per_request) =
            (ShardGroupNo(cell as u32), Some(130_000.0));
    }
    brain = fresh(brain);
    let mut held = Query {
        time_allowed: ms(left),
        ..lookup(&brain, &vec![1.0 / parts as f64; parts], &[])
    };
    held.requests
        .iter_mut()
        .enumerate()
        .for_each(|(at, part)| part.shard = ShardNo(at as u32));
    hold(&mut brain, held);
    brain.settle(&mut tape);
    assert_eq!(tape.0.iter().any(|did| matches!(did, Did::Nack(_))), nacked);
}

#[test]
fn a_return_finds_its_part_by_the_call_made() {
    let (mut brain, mut tape) = (router(tariff(), 1), Tape::default());
    let held = lookup(&brain, &[0.5, 0.5], &[]);
    hold(&mut brain, held);
    brain.settle(&mut tape);
    brain.attempt_finished(
        brain.now,
        ShardRequestId(2),
        AttemptNo(0),
        NodeId(1),
        ms(5),
        AttemptOutcome::Satisfied,
        &[],
        &mut tape,
    );
    let came: Vec<bool> = brain.queries[&QueryId(1)]
        .requests
        .iter()
        .map(|p| p.answered)
        .collect();
    assert_eq!(came, [false, true]);
}

#[test]
fn trust_is_told_of_the_index_that_was_doubted() {
    let mut brain = router(tariff(), 1);
    brain.config.indexes.push(brain.config.indexes[0].clone());
    node(&mut brain, 1).suspected_for = Some(IndexNo(1));
    brain.watched.insert(NodeId(1));
    assert_eq!(
        brain.doubt_has_changed().map(|case| case.index),
        Some(IndexNo(1))
    );
}

// Connections that rest may be dropped unseen: calls on such are lost, and the next go on new ones.
#[test_case(0.14, true, 100, 0, true; "one more after many")]
#[test_case(0.14, false, 100, 0, false; "it had not rested")]
#[test_case(0.14, true, 1000, 0, false; "a node that is always so late")]
#[test_case(0.0, true, 100, 0, false; "the first")]
#[test_case(0.14, true, 100, 60_000, false; "long ago")]
fn what_rests_is_not_used_while_such_is_lost(
    silent: f64,
    rested: bool,
    latency: u64,
    later: u64,
    closed: bool,
) {
    let (mut brain, mut tape) = (router(tariff(), 3), Tape::default());
    owe(&mut brain, 2, 1, ms(500));
    let slow = node(&mut brain, 2);
    slow.latency = Some(latency as f64 * 1000.0);
    slow.attempt_on_idle_connection = slow.in_flight.keys().next().copied().filter(|_| rested);
    node(&mut brain, 1).recent_sends.push_back((ms(1000), 1.0));
    brain.silent = silent;
    brain.settle(&mut tape);
    node(&mut brain, 2).in_flight.clear();
    (brain.now, node(&mut brain, 1).latency_updated_at) = (brain.now + ms(later), ms(1000));
    let held = Query {
        requests: vec![ShardRequest {
            id: ShardRequestId(1),
            weight: 1.0,
            ..ShardRequest::default()
        }],
        ..lookup(&brain, &[1.0], &[])
    };
    hold(&mut brain, held);
    brain.settle(&mut tape);
    brain.call(QueryId(1), 0, NodeId(1), &mut tape);
    let close = tape
        .0
        .iter()
        .position(|did| *did == Did::CloseIdle(NodeId(1)));
    assert_eq!(close.is_some(), closed);
    assert_eq!(
        node(&mut brain, 1).attempt_on_idle_connection.is_some(),
        !closed,
        "a new connection has not rested"
    );
}

// A policy of the fleet: stricter than the platform, never looser, and for lookups that are admitted under it.
#[test_case(IndexConfig { max_attempts: Some(1), ..IndexConfig::default() }, false; "no call beyond the first")]
#[test_case(IndexConfig { retry_budget: Some((0.0, 0.0)), ..IndexConfig::default() }, false; "no further calls at all")]
#[test_case(IndexConfig { retry_budget: Some((1.0, 0.0)), ..IndexConfig::default() }, true; "a spare one")]
#[test_case(IndexConfig::default(), true; "says nothing")]
fn a_policy_binds_further_calls(row: IndexConfig, may: bool) {
    let budget = PlatformConfig {
        retry_budget_min: 5.0,
        retry_budget_window: Some(ms(1000)),
        ..tariff()
    };
    let brain = router(budget, 2);
    let row = IndexConfig {
        latency_objective: ms(1000),
        required_weight: 1.0,
        min_weight: 1.0,
        ..row
    };
    let held = Query {
        config: row,
        ..lookup(&brain, &[1.0], &[NEVER])
    };
    assert_eq!(brain.may_call(&held, &held.requests[0]), may);
}

#[test_case(true, false; "no copies")]
#[test_case(false, true; "copies")]
fn a_policy_may_forgo_copies(no_copies: bool, may: bool) {
    let brain = router(tariff(), 2);
    let mut held = lookup(&brain, &[1.0], &[OUT]);
    held.config.hedging_disabled = no_copies;
    assert_eq!(brain.may_call(&held, &held.requests[0]), may);
}

#[test_case(None, 950, false; "as ever at the soft deadline")]
#[test_case(Some(400), 350, false; "before its time")]
#[test_case(Some(400), 400, true; "at its time")]
#[test_case(Some(9000), 950, false; "never after the soft deadline")]
fn an_answer_in_part_goes_when_the_policy_says(at: Option<u64>, later: u64, due: bool) {
    let mut brain = router(tariff(), 2);
    (
        brain.config.indexes[0].min_weight,
        brain.config.indexes[0].partial_response_after,
    ) = (0.5, at.map(ms));
    brain.config.indexes[0].latency_objective = ms(1000);
    let (now, mut tape) = (brain.now, Tape::default());
    brain.query_received(
        now,
        QueryId(1),
        WireQueryNo(1),
        IndexNo(0),
        CustomerNo(0),
        2,
        ms(3000),
        false,
        &mut tape,
    );
    // Whatever is in force by now, it keeps what it was admitted under.
    brain.config.indexes[0].partial_response_after = Some(ms(1));
    let held = lookup(&brain, &[0.5, 0.5], &[OUT]);
    let own = brain.queries.get_mut(&QueryId(1)).expect("in hand");
    (own.requests, own.placed) = (held.requests, true);
    own.requests[0].answered = true;
    brain.now = now + ms(later);
    assert_eq!(brain.answer_is_due().is_some(), due);
}
