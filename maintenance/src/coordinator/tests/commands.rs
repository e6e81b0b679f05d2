use super::*;
use test_case::test_case;

#[test_case(&["s0"], |_| {}, None; "machine that may go out")]
#[test_case(&["s9"], |_| {}, Some("discovery lists no s9"); "machine that discovery does not list")]
#[test_case(&["s0", "s1"], |request| request.all_at_once = true, Some("can never go out: set 0"); "two machines of one shard set at once")]
#[test_case(&["s0", "s1"], |request| request.deadline_ms = Some(60_000), Some("needs 2 rounds and 120 s"); "deadline too early for both rounds")]
#[test_case(&["s0", "s1"], |request| request.deadline_ms = Some(130_000), None; "deadline late enough for both rounds")]
fn checks_a_request_before_it_is_proposed(
    machines: &[&str],
    adjust: fn(&mut Request),
    expected: Option<&str>,
) {
    let mut request = request(machines);
    adjust(&mut request);
    let entry = postcard::to_stdvec(&Entry::OpenRequest { request }).expect("the entry is encoded");
    let rejection = coordinator().check_command(Micros(0), &entry).err();
    assert_eq!(rejection.is_some(), expected.is_some(), "{rejection:?}");
    assert!(
        expected.is_none_or(|expected| rejection.clone().unwrap_or_default().contains(expected)),
        "{rejection:?}"
    );
}

#[test]
fn rejects_a_request_for_the_last_holder_and_names_the_shard_set() {
    let mut coordinator = coordinator();
    let node = |number: u32| Node {
        name: format!("s{number}"),
        zone: 0,
        shard_sets: vec![number],
        healthy: true,
        out_of_service: false,
    };
    coordinator.observe_cluster(
        ClusterView {
            nodes: (0..2).map(node).collect(),
            load: 0.0,
        },
        0,
    );
    let entry = postcard::to_stdvec(&Entry::OpenRequest {
        request: request(&["s0"]),
    })
    .expect("the entry is encoded");
    let rejection = coordinator
        .check_command(Micros(0), &entry)
        .expect_err("rejected");
    assert!(
        rejection.contains("only sound holder of set 0"),
        "{rejection}"
    );
}

#[test_case(40 * 60, 3; "40 minutes are enough for three rounds of ten minutes")]
#[test_case(15 * 60, 0; "15 minutes are not enough for three rounds of ten minutes")]
fn accepts_a_deadline_only_with_time_for_all_rounds(seconds: u64, rounds: usize) {
    let mut request = request(&["s0", "s1", "s2", "s3", "s4", "s5"]);
    request.duration_us = 600 * SECOND_US;
    request.deadline_ms = Some(1000 + seconds * 1000);
    let coordinator = coordinator();
    let plan = coordinator.plan_json(Some(&request));
    assert_eq!(plan["rounds"].as_array().map(Vec::len), Some(3), "{plan}");
    let entry = postcard::to_stdvec(&Entry::OpenRequest { request }).expect("the entry is encoded");
    let rejection = coordinator.check_command(Micros(0), &entry).err();
    assert_eq!(rejection.is_none(), rounds > 0, "{rejection:?}");
}

#[test]
fn accepts_a_request_while_another_machine_of_the_shard_set_is_failing() {
    let mut fleet = Fleet::with_request(&["s3"]);
    let failing = RouterReport {
        unhealthy: vec!["s1".into()],
        ..report_at(100)
    };
    fleet.run(2, &[contact("n0", &failing)]);
    let entry = postcard::to_stdvec(&Entry::OpenRequest {
        request: request(&["s0"]),
    })
    .expect("the entry is encoded");
    assert_eq!(fleet.coordinator.check_command(Micros(0), &entry), Ok(()));
}

#[test]
fn rejects_an_entry_of_the_coordinator_as_an_operators_command() {
    let entry = Entry::BecomeCoordinator {
        member: "n9".into(),
        term: 9,
    };
    assert!(coordinator()
        .check_command(
            Micros(0),
            &postcard::to_stdvec(&entry).expect("the entry is encoded")
        )
        .is_err());
}
