use super::*;

#[test]
fn keeps_a_machine_out_after_the_return_timeout_until_it_is_given_back_again() {
    let mut fleet = Fleet::with_request(&["s0", "s3"]);
    fleet.coordinator.config.return_timeout_us = 5 * SECOND_US;
    let idle = [contact("n0", &report_at(1000))];
    fleet.run(10, &idle);
    let permit = fleet
        .coordinator
        .permit_of("s0")
        .expect("the machine has a permit");
    fleet.commit(Entry::FinishWork {
        permit,
        by: "ann".into(),
        unfit_reason: None,
    });
    fleet.run(8, &idle);
    assert_eq!(fleet.machines_out(), ["s0", "s3"], "kept out");
    fleet.commit(Entry::FinishWork {
        permit,
        by: "ann".into(),
        unfit_reason: None,
    });
    fleet.run(
        1,
        &[contact(
            "n0",
            &RouterReport {
                serving: vec!["s0".into()],
                ..report_at(1000)
            },
        )],
    );
    assert_eq!(fleet.machines_out(), ["s3"]);
}

#[test]
fn does_not_return_a_machine_that_is_serving_but_reported_as_unhealthy() {
    let mut fleet = Fleet::with_request(&["s0"]);
    fleet.run(8, &[contact("n0", &report_at(100))]);
    let permit = fleet
        .coordinator
        .permit_of("s0")
        .expect("the machine has a permit");
    fleet.commit(Entry::FinishWork {
        permit,
        by: "ann".into(),
        unfit_reason: None,
    });
    let listed = RouterReport {
        unhealthy: vec!["s0".into()],
        serving: vec!["s0".into()],
        ..report_at(100)
    };
    fleet.run(20, &[contact("n0", &listed)]);
    assert!(
        fleet.coordinator.state.active_machines().contains("s0"),
        "s0 answers a router but is about to terminate"
    );
    fleet.run(
        1,
        &[contact(
            "n0",
            &RouterReport {
                serving: vec!["s0".into()],
                ..report_at(100)
            },
        )],
    );
    assert!(fleet.coordinator.state.operations.is_empty());
}
