//! Rounds on drawn fleets: never against the limits, nothing left out that could go, close to the least there is.

use nanorand::{Rng, WyRand};
use ternpick_maintenance::{
    exact_rounds, lower_bound, schedule, ClusterView, DisruptionBudget, Limits, Node, RequestNo,
    WorkItem,
};

/// A drawn fleet: a ring of sets or blocks of holders, some machines dead, and some of them wanted.
fn drawn(seed: u64) -> (ClusterView, Limits, Vec<WorkItem>) {
    let mut chance = WyRand::new_seed(seed);
    let nodes = chance.generate_range(3usize..13);
    let (reach, ring) = (
        chance.generate_range(1u32..5),
        chance.generate_range(0u32..2) == 0,
    );
    let cells = (nodes as u32).div_ceil(2).max(1);
    let node = |at: usize, dead: bool| {
        let own = at as u32 % cells;
        let sets = if ring {
            (0..reach.min(cells))
                .map(|j| (own + cells - j) % cells)
                .collect()
        } else {
            vec![own / reach]
        };
        Node {
            name: format!("s{at}"),
            zone: (at % 3) as u16,
            shard_sets: sets,
            healthy: !dead,
            out_of_service: false,
        }
    };
    let nodes = (0..nodes)
        .map(|at| node(at, chance.generate_range(0u32..12) == 0))
        .collect();
    let limits = Limits {
        keep: chance.generate_range(1usize..4),
        zone_share: [0.0, 0.3, 0.5][chance.generate_range(0usize..3)],
        most_out: [0.2, 0.5, 1.0][chance.generate_range(0usize..3)],
        ..Limits::default()
    };
    let world = ClusterView { nodes, load: 0.0 };
    let room = DisruptionBudget::new(&world, &limits, 0);
    let mut items = Vec::new();
    let mut at = 0;
    while at < world.nodes.len() {
        let together = chance.generate_range(0u32..6) == 0 && at + 1 < world.nodes.len();
        let nodes: Vec<usize> = if together { vec![at, at + 1] } else { vec![at] };
        at += nodes.len();
        if chance.generate_range(0u32..5) > 0 && room.clone().take_out_all(&nodes).is_ok() {
            items.push(WorkItem {
                request: RequestNo(1),
                nodes,
                urgency: (u64::MAX, 0),
                lasts: 1,
            });
        }
    }
    (world, limits, items)
}

#[test]
fn a_thousand_drawn_fleets_against_the_exact_least() {
    let (mut same, mut one_more, mut worse, mut bound_met) = (0, 0, 0, 0);
    for seed in 0..1000 {
        let (world, limits, items) = drawn(seed);
        let room = DisruptionBudget::new(&world, &limits, 0);
        let of = schedule(&items, &room);
        assert_eq!(of.cannot, [], "seed {seed}: each alone may go");
        let mut placed: Vec<usize> = of
            .rounds
            .iter()
            .flat_map(|round| round.items.clone())
            .collect();
        placed.sort_unstable();
        assert_eq!(
            placed,
            (0..items.len()).collect::<Vec<_>>(),
            "seed {seed}: each once"
        );
        for round in &of.rounds {
            let mut room = room.clone();
            for at in &round.items {
                room.take_out_all(&items[*at].nodes)
                    .unwrap_or_else(|binds| panic!("seed {seed}: {binds}"));
            }
        }
        let least = exact_rounds(&items, &room, 2_000_000)
            .unwrap_or_else(|| panic!("seed {seed}: too large"));
        assert!(
            lower_bound(&items, &room) <= least && least <= of.rounds.len(),
            "seed {seed}"
        );
        bound_met += usize::from(lower_bound(&items, &room) == least);
        match of.rounds.len() - least {
            0 => same += 1,
            1 => one_more += 1,
            _ => worse += 1,
        }
    }
    eprintln!(
        "the least {same}, one more {one_more}, worse {worse}; the bound is the least {bound_met}"
    );
    assert!(
        same >= 950 && worse == 0,
        "the least {same}, one more {one_more}, worse {worse}"
    );
}

#[test]
fn urgent_ones_go_first_and_a_dead_machine_is_in_nobodys_way() {
    let node = |at: u32, sound| Node {
        name: format!("s{at}"),
        zone: 0,
        shard_sets: vec![0],
        healthy: sound,
        out_of_service: false,
    };
    let world = ClusterView {
        nodes: (0..5).map(|at| node(at, at != 4)).collect(),
        load: 0.0,
    };
    let limits = Limits {
        keep: 3,
        zone_share: 0.0,
        most_out: 1.0,
        ..Limits::default()
    };
    let item = |node: usize, by_when| WorkItem {
        request: RequestNo(node as u64),
        nodes: vec![node],
        urgency: (by_when, 0),
        lasts: 1,
    };
    let items = [item(0, 30), item(1, 10), item(2, 20), item(4, 40)];
    let of = schedule(&items, &DisruptionBudget::new(&world, &limits, 0));
    let rounds: Vec<Vec<usize>> = of.rounds.iter().map(|round| round.items.clone()).collect();
    assert_eq!(rounds, [vec![1, 3], vec![2], vec![0]]);
}

#[test]
fn twelve_thousand_machines_are_planned_in_seconds() {
    let node = |at: u32| Node {
        name: format!("s{at}"),
        zone: (at % 3) as u16,
        shard_sets: vec![at / 3],
        healthy: true,
        out_of_service: false,
    };
    let world = ClusterView {
        nodes: (0..12_000).map(node).collect(),
        load: 0.0,
    };
    let limits = Limits {
        most_out: 0.1,
        ..Limits::default()
    };
    let room = DisruptionBudget::new(&world, &limits, 0);
    let items: Vec<WorkItem> = (0..12_000)
        .map(|at| WorkItem {
            request: RequestNo(1),
            nodes: vec![at],
            urgency: (0, 0),
            lasts: 1,
        })
        .collect();
    let began = std::time::Instant::now();
    let of = schedule(&items, &room);
    eprintln!(
        "{} rounds, at least {}, {:?}",
        of.rounds.len(),
        of.bound,
        began.elapsed()
    );
    // 128 at a time, as every router has to know them.
    assert_eq!((of.rounds.len(), of.bound), (94, 94));
}
