use super::*;
use test_case::test_case;

#[test_case(report_at(2), true, false, false; "report from before the machine was out")]
#[test_case(RouterReport { busy: vec!["s0".into()], ..report_at(100) }, true, false, false; "shard request in flight to the machine")]
#[test_case(report_at(100), false, false, false; "another process of the router may still act")]
#[test_case(report_at(2), true, true, true; "outdated report and all leases expired")]
#[test_case(report_at(100), true, false, true; "drained router")]
fn grants_a_permit_only_when_every_router_is_drained(
    report: RouterReport,
    only_one_process: bool,
    all_leases_expired: bool,
    granted: bool,
) {
    let mut fleet = Fleet::with_request(&["s0"]);
    let slow = MemberContact {
        only_one_process,
        all_leases_expired,
        ..contact("n1", &report)
    };
    fleet.run(12, &[contact("n0", &report_at(100)), slow]);
    assert_eq!(
        (
            fleet.machines_out(),
            fleet.coordinator.permit_of("s0").is_some()
        ),
        (vec!["s0".into()], granted)
    );
}

#[test]
fn grants_no_permit_while_a_router_without_report_may_have_a_lease() {
    let mut fleet = Fleet::with_request(&["s0"]);
    let silent = MemberContact {
        report: None,
        only_one_process: false,
        is_recent: false,
        ..contact("n1", &RouterReport::default())
    };
    fleet.run(12, &[contact("n0", &report_at(100)), silent.clone()]);
    assert_eq!(fleet.coordinator.permit_of("s0"), None);
    fleet.run(
        1,
        &[
            contact("n0", &report_at(100)),
            MemberContact {
                all_leases_expired: true,
                ..silent
            },
        ],
    );
    assert!(fleet.coordinator.permit_of("s0").is_some());
}

#[test]
fn an_overdue_permit_blocks_only_machines_of_the_same_shard_set() {
    let mut fleet = Fleet::with_request(&["s0", "s1", "s3"]);
    fleet
        .coordinator
        .observe_cluster(fleet.coordinator.view.clone(), 1000);
    fleet.run(400, &[contact("n0", &report_at(1000))]);
    fleet.coordinator.wall_ms += 400_000;
    let status = fleet.coordinator.status_json();
    let row = |name: &str| {
        status["rows"]
            .as_array()
            .into_iter()
            .flatten()
            .find(|row| row["machine"] == name)
            .cloned()
    };
    assert_eq!(
        row("s0").map(|row| row["overdue"].clone()),
        Some(true.into()),
        "{status}"
    );
    assert!(row("s1").is_some_and(|row| row["binds"]
        .as_str()
        .is_some_and(|binds| binds.contains("set 0"))));
    assert_eq!(fleet.machines_out(), ["s0", "s3"]);
}
