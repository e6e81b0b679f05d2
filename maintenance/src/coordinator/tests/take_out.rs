use super::*;

#[test]
fn one_of_each_set_goes_out_and_the_next_when_it_is_back() {
    let mut fleet = Fleet::with_request(&["s0", "s1", "s3"]);
    let idle = [
        contact("n0", &report_at(100)),
        contact("n1", &report_at(100)),
    ];
    fleet.run(10, &idle);
    assert_eq!(fleet.out(), ["s0", "s3"], "two of each set stay");
    let permit = fleet.coordinator.permit_of("s0").expect("a permit");
    fleet.commit(Entry::FinishWork {
        permit,
        by: "ann".into(),
        unfit_reason: None,
    });
    fleet.run(10, &idle);
    assert_eq!(
        fleet.out(),
        ["s3"],
        "it has yet to show that it serves load"
    );
    let serving = RouterReport {
        serving: vec!["s0".into()],
        ..report_at(100)
    };
    fleet.run(
        10,
        &[contact("n0", &serving), contact("n1", &report_at(100))],
    );
    assert_eq!(fleet.out(), ["s1", "s3"]);
}

#[test]
fn a_load_that_grows_lets_nothing_more_out() {
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
    assert_eq!(
        fleet.coordinator.state.load, 45,
        "it is agreed before it is used"
    );
    assert!(
        fleet.out().is_empty(),
        "45 with a quarter more and one failure need seven"
    );
    fleet.run(10, &load(28));
    assert_eq!(fleet.out().len(), 1, "28 need five of six: one may go");
}

#[test]
fn a_machine_that_discovery_terminates_keeps_its_neighbours_in_service() {
    let mut fleet = Fleet::with_request(&["s0", "s3"]);
    // Known for long: one of the first set is listed as terminating all the time.
    let released = RouterReport {
        unhealthy: vec!["s2".into()],
        ..report_at(100)
    };
    fleet.run(20, &[contact("n0", &released)]);
    assert_eq!(fleet.out(), ["s3"]);
}

#[test]
fn a_machine_that_one_router_of_many_calls_unhealthy_is_healthy() {
    let one = RouterReport {
        unhealthy: vec!["s1".into()],
        ..RouterReport::default()
    };
    let others = vec![RouterReport::default(); 6];
    let reports: Vec<&RouterReport> = others.iter().chain([&one]).collect();
    assert!(unhealthy_machines(&reports).is_empty());
    assert_eq!(unhealthy_machines(&[&one, &others[0], &others[1]]).len(), 1);
}
