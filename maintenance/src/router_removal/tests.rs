use super::*;
use ternpick_fleet_policy::ReplicaId;
use test_case::test_case;

/// n0 to n4; the first `voters` vote, their zones are z0 and z1 by turns.
fn fleet(voters: usize) -> BTreeMap<Member, MemberInfo> {
    let member_info = |at: usize| MemberInfo {
        address: String::new(),
        zone: format!("z{}", at % 2),
        replica: (at < voters).then_some(ReplicaId(at as u64 + 1)),
        is_learner: false,
    };
    (0..5)
        .map(|at| (format!("n{at}").as_str().into(), member_info(at)))
        .collect()
}

#[test_case(3, &[], "n4", OtherRouters::NoneWait, Ok(()); "one without a vote")]
#[test_case(3, &[], "n1", OtherRouters::NoneWait, Ok(()); "one of three that vote")]
#[test_case(2, &[], "n1", OtherRouters::NoneWait, Err(RouterViolation::Quorum { present: 2, required: 2 }); "one of two that vote")]
#[test_case(3, &["n3"], "n1", OtherRouters::NoneWait, Err(RouterViolation::AnotherMissing("n3".into())); "another is not there")]
#[test_case(3, &["n1"], "n1", OtherRouters::NoneWait, Ok(()); "it is not there itself")]
#[test_case(3, &[], "n0", OtherRouters::Wait, Err(RouterViolation::IsCoordinator); "the coordinator, and others wait")]
#[test_case(3, &[], "n0", OtherRouters::NoneWait, Ok(()); "the coordinator last")]
#[test_case(3, &[], "n9", OtherRouters::NoneWait, Err(RouterViolation::Unknown); "no member")]
fn a_router_goes_out_unless_a_rule_keeps_it(
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
fn a_zone_keeps_its_share() {
    let members = fleet(3);
    let present = members.keys().cloned().collect();
    let coordinator: Member = "n0".into();
    let routers = RouterFleet {
        members: &members,
        present,
        coordinator: &coordinator,
        min_zone_share: 1.0,
    };
    // Never the last of a zone, and of two one may go whatever the share.
    assert_eq!(routers.check(&"n1".into(), OtherRouters::NoneWait), Ok(()));
    assert_eq!(
        routers.check(&"n4".into(), OtherRouters::NoneWait),
        Ok(()),
        "two of three stay"
    );
}
