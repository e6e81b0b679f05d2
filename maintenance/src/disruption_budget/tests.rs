use super::*;
use test_case::test_case;

/// A cluster of `nodes` machines; `sets` lists the holders of each shard set, `unhealthy` the unhealthy machines.
fn cluster(nodes: usize, sets: &[&[usize]], unhealthy: &[usize]) -> ClusterView {
    let node = |number: usize| Node {
        name: format!("s{number}"),
        zone: (number % 2) as u16,
        shard_sets: (0..sets.len() as u32)
            .filter(|set| sets[*set as usize].contains(&number))
            .collect(),
        healthy: !unhealthy.contains(&number),
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

#[test_case(&[&[0, 1, 2]], &[], Ok(()); "three holders of which two stay")]
#[test_case(&[&[0, 1]], &[], Ok(()); "two holders of which one stays")]
#[test_case(&[&[0]], &[], Err(Violation::LastHolder(0)); "only holder")]
#[test_case(&[&[0, 1, 2]], &[1], Err(Violation::Holders { set: 0, healthy: 2, required: 2 }); "one of three holders is unhealthy")]
#[test_case(&[&[0, 1]], &[1], Err(Violation::LastHolder(0)); "the other of two holders is unhealthy")]
#[test_case(&[&[0, 1, 2]], &[0, 1], Ok(()); "the machine itself is unhealthy")]
fn keeps_enough_holders_of_a_shard_set(
    sets: &[&[usize]],
    unhealthy: &[usize],
    expected: Result<(), Violation>,
) {
    assert_eq!(
        DisruptionBudget::new(&cluster(6, sets, unhealthy), &permissive(), 0).check(0),
        expected
    );
}

#[test_case(Limits { min_zone_share: 0.7, ..permissive() }, 0, Err(Violation::Zone { zone: 0, healthy: 3, required: 3 }); "too few machines left in the zone")]
#[test_case(Limits { max_out_share: 0.2, ..permissive() }, 1, Err(Violation::MaxOut(1)); "maximum number of machines is out")]
#[test_case(Limits { max_out_share: 0.0, ..permissive() }, 0, Ok(()); "one machine may always be out")]
#[test_case(Limits { node_capacity: Some(10.0), ..permissive() }, 0, Err(Violation::Load { healthy: 6, required: 6 }); "too little capacity for the load")]
#[test_case(Limits { node_capacity: Some(13.0), ..permissive() }, 0, Ok(()); "capacity for the load and one failure")]
fn keeps_the_limits_of_zone_total_and_load(
    limits: Limits,
    out: usize,
    expected: Result<(), Violation>,
) {
    let view = ClusterView {
        load: 40.0,
        ..cluster(6, &[&[0, 1, 2]], &[])
    };
    assert_eq!(
        DisruptionBudget::new(&view, &limits, out).check(0),
        expected
    );
}

#[test_case(true; "the machine is failing")]
#[test_case(false; "the machine is healthy")]
fn takes_out_no_machine_while_another_holder_is_out(fails_now: bool) {
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
fn takes_out_all_given_machines_or_none() {
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
