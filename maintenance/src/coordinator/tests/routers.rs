use super::*;

#[test]
fn routers_go_out_one_after_the_other_and_the_coordinator_last() {
    let mut fleet = Fleet {
        coordinator: coordinator(),
        at: 0,
        now: 0,
    };
    let member_info = |replica: u64| MemberInfo {
        address: String::new(),
        zone: String::new(),
        replica: Some(ternpick_fleet_policy::ReplicaId(replica)),
        is_learner: false,
    };
    let members = (0..3)
        .map(|at| (Member(format!("n{at}")), member_info(at + 1)))
        .collect();
    fleet.coordinator.members_changed(&members);
    fleet.commit(Entry::OpenRequest {
        request: request(&["router:n0", "router:n1", "router:n2"]),
    });
    let all: Vec<MemberContact> = (0..3)
        .map(|at| contact(&format!("n{at}"), &report_at(100)))
        .collect();
    let mut order = Vec::new();
    for _ in 0..3 {
        fleet.run(3, &all);
        let [out] = &fleet.out()[..] else {
            panic!("one at a time: {:?}", fleet.out())
        };
        order.push(out.clone());
        let permit = fleet.coordinator.permit_of(out).expect("a permit");
        fleet.commit(Entry::FinishWork {
            permit,
            by: "ann".into(),
            unfit_reason: None,
        });
        fleet.run(1, &all);
    }
    assert_eq!(order, ["router:n1", "router:n2", "router:n0"]);
}
