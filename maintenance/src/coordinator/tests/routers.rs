use super::*;

#[test]
fn takes_routers_out_one_at_a_time_and_the_coordinator_last() {
    let mut fleet = Fleet {
        coordinator: coordinator(),
        log_index: 0,
        now_us: 0,
    };
    let member_info = |replica: u64| MemberInfo {
        address: String::new(),
        zone: String::new(),
        replica: Some(ternpick_fleet_policy::ReplicaId(replica)),
        is_learner: false,
    };
    let members = (0..3)
        .map(|number| (Member(format!("n{number}")), member_info(number + 1)))
        .collect();
    fleet.coordinator.members_changed(&members);
    fleet.commit(Entry::OpenRequest {
        request: request(&["router:n0", "router:n1", "router:n2"]),
    });
    let all: Vec<MemberContact> = (0..3)
        .map(|number| contact(&format!("n{number}"), &report_at(100)))
        .collect();
    let mut order = Vec::new();
    for _ in 0..3 {
        fleet.run(3, &all);
        let [out] = &fleet.machines_out()[..] else {
            panic!(
                "expected exactly one router out, found {:?}",
                fleet.machines_out()
            )
        };
        order.push(out.clone());
        let permit = fleet
            .coordinator
            .permit_of(out)
            .expect("the machine has a permit");
        fleet.commit(Entry::FinishWork {
            permit,
            by: "ann".into(),
            unfit_reason: None,
        });
        fleet.run(1, &all);
    }
    assert_eq!(order, ["router:n1", "router:n2", "router:n0"]);
}
