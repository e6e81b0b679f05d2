use super::*;
use test_case::test_case;

#[test_case(&["s0"], |_| {}, None; "a machine that may go")]
#[test_case(&["s9"], |_| {}, Some("discovery lists no s9"); "one that nobody knows")]
#[test_case(&["s0", "s1"], |request| request.all_at_once = true, Some("can never go out: set 0"); "two of a set at once")]
#[test_case(&["s0", "s1"], |request| request.deadline_ms = Some(60_000), Some("needs 2 rounds and 120 s"); "too little time")]
#[test_case(&["s0", "s1"], |request| request.deadline_ms = Some(130_000), None; "time enough")]
fn a_request_is_accepted_or_rejected_at_once(
    machines: &[&str],
    adjust: fn(&mut Request),
    expected: Option<&str>,
) {
    let mut request = request(machines);
    adjust(&mut request);
    let entry = postcard::to_stdvec(&Entry::OpenRequest { request }).expect("bytes");
    let rejection = coordinator().check_command(Micros(0), &entry).err();
    assert_eq!(rejection.is_some(), expected.is_some(), "{rejection:?}");
    assert!(
        expected.is_none_or(|expected| rejection.clone().unwrap_or_default().contains(expected)),
        "{rejection:?}"
    );
}

#[test]
fn a_request_for_the_last_holder_is_rejected_with_a_reason() {
    let mut coordinator = coordinator();
    let node = |at: u32| Node {
        name: format!("s{at}"),
        zone: 0,
        shard_sets: vec![at],
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
    .expect("bytes");
    let rejection = coordinator
        .check_command(Micros(0), &entry)
        .expect_err("rejected");
    assert!(
        rejection.contains("only sound holder of set 0"),
        "{rejection}"
    );
}

#[test_case(40 * 60, 3; "three rounds of ten minutes have time")]
#[test_case(15 * 60, 0; "in a quarter of an hour they have not")]
fn a_deadline_needs_time_for_all_rounds(seconds: u64, rounds: usize) {
    let mut request = request(&["s0", "s1", "s2", "s3", "s4", "s5"]);
    request.duration_us = 600 * S;
    request.deadline_ms = Some(1000 + seconds * 1000);
    let coordinator = coordinator();
    let plan = coordinator.plan_json(Some(&request));
    assert_eq!(plan["rounds"].as_array().map(Vec::len), Some(3), "{plan}");
    let entry = postcard::to_stdvec(&Entry::OpenRequest { request }).expect("bytes");
    let rejection = coordinator.check_command(Micros(0), &entry).err();
    assert_eq!(rejection.is_none(), rounds > 0, "{rejection:?}");
}

#[test]
fn a_machine_that_fails_for_a_moment_rejects_no_request() {
    let mut fleet = Fleet::with_request(&["s3"]);
    let dead = RouterReport {
        unhealthy: vec!["s1".into()],
        ..report_at(100)
    };
    fleet.run(2, &[contact("n0", &dead)]);
    let entry = postcard::to_stdvec(&Entry::OpenRequest {
        request: request(&["s0"]),
    })
    .expect("bytes");
    assert_eq!(fleet.coordinator.check_command(Micros(0), &entry), Ok(()));
}

#[test]
fn no_operator_proposes_an_entry_of_the_coordinator() {
    let entry = Entry::BecomeCoordinator {
        member: "n9".into(),
        term: 9,
    };
    assert!(coordinator()
        .check_command(Micros(0), &postcard::to_stdvec(&entry).expect("bytes"))
        .is_err());
}
