use super::*;
use test_case::test_case;

/// Sets of holders by their numbers, as a ring of so many machines.
fn cluster(nodes: usize, sets: &[&[usize]], dead: &[usize]) -> ClusterView {
    let node = |at: usize| Node {
        name: format!("s{at}"),
        zone: (at % 2) as u16,
        shard_sets: (0..sets.len() as u32)
            .filter(|set| sets[*set as usize].contains(&at))
            .collect(),
        healthy: !dead.contains(&at),
        out_of_service: false,
    };
    ClusterView {
        nodes: (0..nodes).map(node).collect(),
        load: 0.0,
    }
}

fn permissive() -> Limits {
    Limits {
        min_zone_share: 0.0,
        max_out_share: 1.0,
        ..Limits::default()
    }
}

#[test_case(&[&[0, 1, 2]], &[], Ok(()); "three holders, two stay")]
#[test_case(&[&[0, 1]], &[], Ok(()); "of two one may go")]
#[test_case(&[&[0]], &[], Err(Violation::LastHolder(0)); "the last holder")]
#[test_case(&[&[0, 1, 2]], &[1], Err(Violation::Holders { set: 0, healthy: 2, required: 2 }); "too few before anything went out")]
#[test_case(&[&[0, 1]], &[1], Err(Violation::LastHolder(0)); "its neighbour has died")]
#[test_case(&[&[0, 1, 2]], &[0, 1], Ok(()); "an unhealthy one takes nothing with it")]
fn enough_holders_of_a_set_are_kept(
    sets: &[&[usize]],
    dead: &[usize],
    expected: Result<(), Violation>,
) {
    assert_eq!(
        DisruptionBudget::new(&cluster(6, sets, dead), &permissive(), 0).check(0),
        expected
    );
}

#[test_case(Limits { min_zone_share: 0.7, ..permissive() }, 0, Err(Violation::Zone { zone: 0, healthy: 3, required: 3 }); "its zone")]
#[test_case(Limits { max_out_share: 0.2, ..permissive() }, 1, Err(Violation::MaxOut(1)); "one is out already")]
#[test_case(Limits { max_out_share: 0.0, ..permissive() }, 0, Ok(()); "one always may")]
#[test_case(Limits { node_capacity: Some(10.0), ..permissive() }, 0, Err(Violation::Load { healthy: 6, required: 6 }); "the load")]
#[test_case(Limits { node_capacity: Some(13.0), ..permissive() }, 0, Ok(()); "capacity for the load and one failure")]
fn zone_total_and_load_are_kept(limits: Limits, out: usize, expected: Result<(), Violation>) {
    let view = ClusterView {
        load: 40.0,
        ..cluster(6, &[&[0, 1, 2]], &[])
    };
    assert_eq!(
        DisruptionBudget::new(&view, &limits, out).check(0),
        expected
    );
}

#[test_case(true; "it fails just now")]
#[test_case(false; "it is healthy")]
fn no_machine_goes_out_while_a_neighbour_is_out(fails_now: bool) {
    let mut view = cluster(6, &[&[0, 1, 2]], if fails_now { &[0] } else { &[] });
    view.nodes[1].healthy = false;
    view.nodes[1].out_of_service = true;
    assert_eq!(
        DisruptionBudget::new(&view, &permissive(), 1).check(0),
        Err(Violation::Holders {
            set: 0,
            healthy: 2,
            required: 2
        })
    );
}

#[test]
fn several_machines_go_out_all_or_none() {
    let view = cluster(6, &[&[0, 1, 2], &[3, 4, 5]], &[]);
    let mut budget = DisruptionBudget::new(&view, &permissive(), 0);
    assert_eq!(
        budget.take_out_all(&[0, 1]),
        Err(Violation::Holders {
            set: 0,
            healthy: 2,
            required: 2
        })
    );
    assert_eq!(
        budget.take_out_all(&[0, 3]),
        Ok(()),
        "the failed attempt took nothing"
    );
    assert!(budget.check(4).is_err());
}
