//! Schedules of random and large fleets. They must keep the limits, include every machine that may go out, and need
//! hardly more rounds than the exact minimum.

use nanorand::{Rng, WyRand};
use ternpick_maintenance::{
    exact_rounds, lower_bound, schedule, ClusterView, DisruptionBudget, Limits, Node, RequestNo,
    Urgency, WorkItem,
};

fn urgency(deadline_ms: u64) -> Urgency {
    Urgency {
        deadline_ms,
        inverse_priority: 0,
    }
}

/// A random fleet: shard sets in a ring or in blocks, some unhealthy machines, and items for some of the machines.
fn random_fleet(seed: u64) -> (ClusterView, Limits, Vec<WorkItem>) {
    let mut rng = WyRand::new_seed(seed);
    let nodes = rng.generate_range(3usize..13);
    let reach = rng.generate_range(1u32..5);
    let is_ring = rng.generate_range(0u32..2) == 0;
    let groups = (nodes as u32).div_ceil(2).max(1);
    let node = |at: usize, unhealthy: bool| {
        let own = at as u32 % groups;
        let sets = if is_ring {
            (0..reach.min(groups))
                .map(|j| (own + groups - j) % groups)
                .collect()
        } else {
            vec![own / reach]
        };
        Node {
            name: format!("s{at}"),
            zone: (at % 3) as u16,
            shard_sets: sets,
            healthy: !unhealthy,
            out_of_service: false,
        }
    };
    let nodes = (0..nodes)
        .map(|at| node(at, rng.generate_range(0u32..12) == 0))
        .collect();
    let limits = Limits {
        min_holders: rng.generate_range(1usize..4),
        min_zone_share: [0.0, 0.3, 0.5][rng.generate_range(0usize..3)],
        max_out_share: [0.2, 0.5, 1.0][rng.generate_range(0usize..3)],
        ..Limits::default()
    };
    let view = ClusterView { nodes, load: 0.0 };
    let budget = DisruptionBudget::new(&view, &limits, 0);
    let mut items = Vec::new();
    let mut at = 0;
    while at < view.nodes.len() {
        let in_pair = rng.generate_range(0u32..6) == 0 && at + 1 < view.nodes.len();
        let nodes: Vec<usize> = if in_pair { vec![at, at + 1] } else { vec![at] };
        at += nodes.len();
        if rng.generate_range(0u32..5) > 0 && budget.clone().take_out_all(&nodes).is_ok() {
            items.push(WorkItem {
                request: RequestNo(1),
                nodes,
                urgency: urgency(u64::MAX),
                duration_us: 1,
            });
        }
    }
    (view, limits, items)
}

#[test]
fn schedules_random_fleets_in_hardly_more_rounds_than_the_exact_minimum() {
    let mut optimal = 0;
    let mut one_more = 0;
    let mut worse = 0;
    let mut bound_met = 0;
    for seed in 0..1000 {
        let (view, limits, items) = random_fleet(seed);
        let budget = DisruptionBudget::new(&view, &limits, 0);
        let plan = schedule(&items, &budget);
        assert_eq!(
            plan.unschedulable,
            [],
            "seed {seed}: each item may go out alone"
        );
        let mut placed: Vec<usize> = plan
            .rounds
            .iter()
            .flat_map(|round| round.items.clone())
            .collect();
        placed.sort_unstable();
        assert_eq!(
            placed,
            (0..items.len()).collect::<Vec<_>>(),
            "seed {seed}: each item is in one round"
        );
        for round in &plan.rounds {
            let mut budget = budget.clone();
            for at in &round.items {
                budget
                    .take_out_all(&items[*at].nodes)
                    .unwrap_or_else(|violation| panic!("seed {seed}: {violation}"));
            }
        }
        let fewest = exact_rounds(&items, &budget, 2_000_000)
            .unwrap_or_else(|| panic!("seed {seed}: the exact search found no minimum"));
        assert!(
            lower_bound(&items, &budget) <= fewest && fewest <= plan.rounds.len(),
            "seed {seed}"
        );
        bound_met += usize::from(lower_bound(&items, &budget) == fewest);
        match plan.rounds.len() - fewest {
            0 => optimal += 1,
            1 => one_more += 1,
            _ => worse += 1,
        }
    }
    eprintln!(
        "minimum rounds: {optimal}, one more: {one_more}, worse: {worse}, lower bound met: {bound_met}"
    );
    assert!(
        optimal >= 950 && worse == 0,
        "minimum rounds: {optimal}, one more: {one_more}, worse: {worse}"
    );
}

#[test]
fn schedules_urgent_machines_first_and_an_unhealthy_one_in_the_first_round() {
    let node = |at: u32, healthy| Node {
        name: format!("s{at}"),
        zone: 0,
        shard_sets: vec![0],
        healthy,
        out_of_service: false,
    };
    let view = ClusterView {
        nodes: (0..5).map(|at| node(at, at != 4)).collect(),
        load: 0.0,
    };
    let limits = Limits {
        min_holders: 3,
        min_zone_share: 0.0,
        max_out_share: 1.0,
        ..Limits::default()
    };
    let item = |node: usize, deadline_ms| WorkItem {
        request: RequestNo(node as u64),
        nodes: vec![node],
        urgency: urgency(deadline_ms),
        duration_us: 1,
    };
    let items = [item(0, 30), item(1, 10), item(2, 20), item(4, 40)];
    let plan = schedule(&items, &DisruptionBudget::new(&view, &limits, 0));
    let rounds: Vec<Vec<usize>> = plan
        .rounds
        .iter()
        .map(|round| round.items.clone())
        .collect();
    assert_eq!(rounds, [vec![1, 3], vec![2], vec![0]]);
}

#[test]
fn schedules_twelve_thousand_machines_in_the_minimum_number_of_rounds() {
    let node = |at: u32| Node {
        name: format!("s{at}"),
        zone: (at % 3) as u16,
        shard_sets: vec![at / 3],
        healthy: true,
        out_of_service: false,
    };
    let view = ClusterView {
        nodes: (0..12_000).map(node).collect(),
        load: 0.0,
    };
    let limits = Limits {
        max_out_share: 0.1,
        ..Limits::default()
    };
    let budget = DisruptionBudget::new(&view, &limits, 0);
    let items: Vec<WorkItem> = (0..12_000)
        .map(|at| WorkItem {
            request: RequestNo(1),
            nodes: vec![at],
            urgency: urgency(0),
            duration_us: 1,
        })
        .collect();
    let started = std::time::Instant::now();
    let plan = schedule(&items, &budget);
    eprintln!(
        "{} rounds, lower bound {}, planned in {:?}",
        plan.rounds.len(),
        plan.lower_bound,
        started.elapsed()
    );
    // At most 128 machines are out at a time, as every router has to know all of them.
    assert_eq!((plan.rounds.len(), plan.lower_bound), (94, 94));
}
