use super::*;

#[test]
fn an_unplanned_failure_pauses_and_a_stable_fleet_resumes() {
    let mut fleet = Fleet::with_request(&["s0", "s3"]);
    let dead = RouterReport {
        unhealthy: vec!["s1".into()],
        ..report_at(100)
    };
    let healthy = [contact("n0", &report_at(100))];
    fleet.run(4, &healthy);
    assert!(fleet.out().is_empty(), "not stable for long enough yet");
    let entries = fleet.step(&[contact("n0", &dead)]);
    assert!(
        matches!(entries[..], [Entry::AutoPause { .. }]),
        "{entries:?}"
    );
    fleet.run(10, &[contact("n0", &dead)]);
    // It is known by now: the other set's machine may go, its own neighbour may not.
    assert_eq!(fleet.out(), ["s3"], "{:?}", fleet.coordinator.state);
    fleet.run(10, &healthy);
    assert_eq!(fleet.out(), ["s0", "s3"]);
}

#[test]
fn late_queries_pause_without_flapping() {
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
    // Between half of the limit and the limit it stays as it is.
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
fn a_machine_fails_while_its_neighbour_is_out_and_that_one_keeps_its_permit() {
    let mut fleet = Fleet::with_request(&["s0", "s3", "s4"]);
    fleet.run(8, &[contact("n0", &report_at(100))]);
    assert_eq!(fleet.out(), ["s0", "s3"]);
    let permit = fleet.coordinator.permit_of("s3").expect("a permit");
    let dead = RouterReport {
        unhealthy: vec!["s1".into()],
        ..report_at(100)
    };
    let entries = fleet.run(3, &[contact("n0", &dead)]);
    assert!(
        matches!(entries[..], [Entry::AutoPause { .. }]),
        "{entries:?}"
    );
    fleet.commit(Entry::FinishWork {
        permit,
        by: "ann".into(),
        unfit_reason: None,
    });
    // Its own set is complete again, and the next machine waits all the same until the failure is known for long enough.
    let serving = RouterReport {
        serving: vec!["s3".into()],
        ..dead
    };
    fleet.run(1, &[contact("n0", &serving)]);
    assert_eq!(
        fleet.out(),
        ["s0"],
        "nothing more goes out, and s0 stays with its operator"
    );
    assert!(fleet.coordinator.permit_of("s0").is_some());
}
