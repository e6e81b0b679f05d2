use super::*;

#[test]
fn takes_out_one_machine_of_each_shard_set_and_the_next_after_its_return() {
    let mut fleet = Fleet::with_request(&["s0", "s1", "s3"]);
    let idle = [
        contact("n0", &report_at(100)),
        contact("n1", &report_at(100)),
    ];
    fleet.run(10, &idle);
    assert_eq!(
        fleet.machines_out(),
        ["s0", "s3"],
        "two machines of each shard set stay"
    );
    let permit = fleet
        .coordinator
        .permit_of("s0")
        .expect("the machine has a permit");
    fleet.commit(Entry::FinishWork {
        permit,
        by: "ann".into(),
        unfit_reason: None,
    });
    fleet.run(10, &idle);
    assert_eq!(
        fleet.machines_out(),
        ["s3"],
        "no router has reported s0 as serving"
    );
    let serving = RouterReport {
        serving: vec!["s0".into()],
        ..report_at(100)
    };
    fleet.run(
        10,
        &[contact("n0", &serving), contact("n1", &report_at(100))],
    );
    assert_eq!(fleet.machines_out(), ["s1", "s3"]);
}

#[test]
fn takes_out_no_machine_that_a_grown_load_needs() {
    let mut fleet = Fleet::with_request(&["s0", "s3"]);
    fleet.coordinator.config.limits.node_capacity = Some(10.0);
    let load = |requests_per_second| {
        [contact(
            "n0",
            &RouterReport {
                requests_per_second,
                ..report_at(100)
            },
        )]
    };
    fleet.run(4, &load(30));
    fleet.run(10, &load(45));
    assert_eq!(fleet.coordinator.state.load, 45, "the load is agreed");
    assert!(
        fleet.machines_out().is_empty(),
        "a load of 45 with growth and reserve needs seven machines"
    );
    fleet.run(10, &load(28));
    assert_eq!(
        fleet.machines_out().len(),
        1,
        "a load of 28 needs five of six machines"
    );
}

#[test]
fn takes_out_no_machine_while_another_of_the_shard_set_is_terminating() {
    let mut fleet = Fleet::with_request(&["s0", "s3"]);
    // One machine of the first shard set is reported as terminating during the whole test.
    let terminating = RouterReport {
        unhealthy: vec!["s2".into()],
        ..report_at(100)
    };
    fleet.run(20, &[contact("n0", &terminating)]);
    assert_eq!(fleet.machines_out(), ["s3"]);
}

#[test]
fn ignores_an_unhealthy_report_of_one_router_in_seven() {
    let one = RouterReport {
        unhealthy: vec!["s1".into()],
        ..RouterReport::default()
    };
    let others = vec![RouterReport::default(); 6];
    let reports: Vec<&RouterReport> = others.iter().chain([&one]).collect();
    assert!(unhealthy_machines(&reports).is_empty());
    assert_eq!(unhealthy_machines(&[&one, &others[0], &others[1]]).len(), 1);
}
