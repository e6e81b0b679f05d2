use super::*;

#[test]
fn pauses_on_an_unplanned_failure_and_resumes_after_the_stabilization_time() {
    let mut fleet = Fleet::with_request(&["s0", "s3"]);
    let failing = RouterReport {
        unhealthy: vec!["s1".into()],
        ..report_at(100)
    };
    let healthy = [contact("n0", &report_at(100))];
    fleet.run(4, &healthy);
    assert!(
        fleet.machines_out().is_empty(),
        "the stabilization time has not passed yet"
    );
    let entries = fleet.step(&[contact("n0", &failing)]);
    assert!(
        matches!(entries[..], [Entry::AutoPause { .. }]),
        "{entries:?}"
    );
    fleet.run(10, &[contact("n0", &failing)]);
    // The failure is no longer new: the machine of the other shard set may go out, the one of the same set may not.
    assert_eq!(
        fleet.machines_out(),
        ["s3"],
        "{:?}",
        fleet.coordinator.state
    );
    fleet.run(10, &healthy);
    assert_eq!(fleet.machines_out(), ["s0", "s3"]);
}

#[test]
fn pauses_once_while_the_late_share_varies_between_half_the_limit_and_the_limit() {
    let mut fleet = Fleet::with_request(&["s0"]);
    let share = |late| {
        [contact(
            "n0",
            &RouterReport {
                answered: 1000,
                late,
                ..report_at(100)
            },
        )]
    };
    fleet.run(2, &share(0));
    let mut pauses = 0;
    // With a share between half of the limit and the limit, the pause stays.
    for late in [150, 80, 80, 90, 60, 80, 90, 60, 70, 80, 60, 70] {
        pauses += fleet.step(&share(late)).len();
    }
    assert_eq!(pauses, 1, "{:?}", fleet.coordinator.state.history);
    let entries = fleet.run(7, &share(10));
    assert!(
        matches!(
            entries[..],
            [Entry::AutoResume { .. }, Entry::TakeOut { .. }]
        ),
        "{entries:?}"
    );
}

#[test]
fn keeps_a_permit_when_another_machine_of_the_shard_set_fails() {
    let mut fleet = Fleet::with_request(&["s0", "s3", "s4"]);
    fleet.run(8, &[contact("n0", &report_at(100))]);
    assert_eq!(fleet.machines_out(), ["s0", "s3"]);
    let permit = fleet
        .coordinator
        .permit_of("s3")
        .expect("the machine has a permit");
    let failing = RouterReport {
        unhealthy: vec!["s1".into()],
        ..report_at(100)
    };
    let entries = fleet.run(3, &[contact("n0", &failing)]);
    assert!(
        matches!(entries[..], [Entry::AutoPause { .. }]),
        "{entries:?}"
    );
    fleet.commit(Entry::FinishWork {
        permit,
        by: "ann".into(),
        unfit_reason: None,
    });
    // The machine's shard set is complete again, but the next machine waits until the stabilization time has passed.
    let serving = RouterReport {
        serving: vec!["s3".into()],
        ..failing
    };
    fleet.run(1, &[contact("n0", &serving)]);
    assert_eq!(
        fleet.machines_out(),
        ["s0"],
        "no other machine goes out, and s0 keeps its permit"
    );
    assert!(fleet.coordinator.permit_of("s0").is_some());
}
