use super::*;
use ternpick_fleet_policy::ReplicaId;
use test_case::test_case;

/// The routers n0 to n4, in the zones z0 and z1 in turn; the first `voters` of them are voters.
fn fleet(voters: usize) -> BTreeMap<Member, MemberInfo> {
    let member_info = |number: usize| MemberInfo {
        address: String::new(),
        zone: format!("z{}", number % 2),
        replica: (number < voters).then_some(ReplicaId(number as u64 + 1)),
        is_learner: false,
    };
    (0..5)
        .map(|number| (format!("n{number}").as_str().into(), member_info(number)))
        .collect()
}

#[test_case(3, &[], "n4", OtherRouters::NoneWait, Ok(()); "router without a vote")]
#[test_case(3, &[], "n1", OtherRouters::NoneWait, Ok(()); "one of three voters")]
#[test_case(2, &[], "n1", OtherRouters::NoneWait, Err(RouterViolation::Quorum { present: 2, required: 2 }); "one of two voters")]
#[test_case(3, &["n3"], "n1", OtherRouters::NoneWait, Err(RouterViolation::AnotherMissing("n3".into())); "another router is not reachable")]
#[test_case(3, &["n1"], "n1", OtherRouters::NoneWait, Ok(()); "the router itself is not reachable")]
#[test_case(3, &[], "n0", OtherRouters::Wait, Err(RouterViolation::IsCoordinator); "coordinator while other routers wait")]
#[test_case(3, &[], "n0", OtherRouters::NoneWait, Ok(()); "coordinator while no other router waits")]
#[test_case(3, &[], "n9", OtherRouters::NoneWait, Err(RouterViolation::Unknown); "router that is not a member")]
fn takes_a_router_out_unless_a_rule_forbids_it(
    voters: usize,
    missing: &[&str],
    router: &str,
    others: OtherRouters,
    expected: Result<(), RouterViolation>,
) {
    let members = fleet(voters);
    let present = members
        .keys()
        .filter(|member| !missing.contains(&member.0.as_str()))
        .cloned()
        .collect();
    let coordinator: Member = "n0".into();
    let routers = RouterFleet {
        members: &members,
        present,
        coordinator: &coordinator,
        min_zone_share: 0.5,
    };
    assert_eq!(routers.check(&router.into(), others), expected);
}

#[test]
fn takes_one_router_of_a_zone_out_even_with_a_share_of_one() {
    let members = fleet(3);
    let present = members.keys().cloned().collect();
    let coordinator: Member = "n0".into();
    let routers = RouterFleet {
        members: &members,
        present,
        coordinator: &coordinator,
        min_zone_share: 1.0,
    };
    // A zone of several routers keeps at least one of them, and one of two may go out whatever the share is.
    assert_eq!(routers.check(&"n1".into(), OtherRouters::NoneWait), Ok(()));
    assert_eq!(
        routers.check(&"n4".into(), OtherRouters::NoneWait),
        Ok(()),
        "two of three routers of the zone stay"
    );
}
