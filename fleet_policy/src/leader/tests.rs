use std::collections::BTreeMap;

use test_case::test_case;

use super::*;
use crate::messages::LastLeaderContact;
use crate::state_machine::MemberInfo;

const MS: u64 = 1000;
const NOW: Micros = Micros(10_000 * MS);

fn contact(replica: u64, term: u64, ago_ms: u64) -> LastLeaderContact {
    LastLeaderContact {
        replica: ReplicaId(replica),
        term,
        ago: ago_ms * MS,
    }
}

/// Leads since `NOW`, in term 4, with three voters.
fn leader_of_three_voters(config: LeaseConfig) -> Leader {
    let mut leader = Leader::new(config, NOW, &PolicyState::bootstrap(BTreeMap::new()));
    leader.elected(4, vec![ReplicaId(1), ReplicaId(2), ReplicaId(3)]);
    leader
}

/// In milliseconds; the leader leads since 10,000 ms.
#[test_case(&[] => 10_000; "nobody has reported")]
#[test_case(&[contact(1, 4, 700)] => 10_000; "one voter of three")]
#[test_case(&[contact(1, 4, 700), contact(2, 4, 600)] => 9_400; "two: the later of both")]
#[test_case(&[contact(1, 4, 700), contact(2, 4, 600), contact(3, 4, 5000)] => 9_300; "any two suffice")]
#[test_case(&[contact(1, 4, 700), contact(1, 4, 700)] => 10_000; "one twice")]
#[test_case(&[contact(1, 4, 700), contact(2, 3, 600)] => 10_000; "one that may still accept the earlier leader")]
#[test_case(&[contact(1, 4, 700), contact(9, 4, 600)] => 10_000; "one without a vote")]
fn earlier_leases_were_requested_before_the_majoritys_last_contact(
    contacts: &[LastLeaderContact],
) -> u64 {
    let mut leader = leader_of_three_voters(LeaseConfig {
        drift_ppm: 0,
        ..LeaseConfig::default()
    });
    for contact in contacts {
        leader.record_earlier_leader_contact(NOW, *contact);
    }
    leader.earlier_leases_requested_before.0 / MS
}

#[test]
fn one_voters_report_that_counts_alone_ends_leases_too_early() {
    let mut leader = leader_of_three_voters(LeaseConfig::default());
    leader.injected_bug = Some(InLeader::OneVotersWord);
    // Cut off from the leader before for three seconds, while the others still confirmed its leases.
    leader.record_earlier_leader_contact(NOW, contact(3, 4, 3000));
    assert!(
        leader.leases_expired(NOW, &"n0".into(), None),
        "a lease may still be valid"
    );
}

/// Whether a process of the only member gets a lease at this time.
fn gets_lease(leader: &mut Leader, state: &PolicyState, now: Micros, process: u64) -> bool {
    let request = LeaseRequest {
        member: "a".into(),
        incarnation: Incarnation(process),
        seq: Seq(now.0),
        index: Index(0),
        members_at: Index(0),
        verdict: None,
        paused_for: None,
        is_only_process: true,
        unfit: None,
        last_leader_contact: None,
        machines_out_at: Index(0),
        extension_report: Vec::new(),
    };
    let actions = leader.handle_request(now, state, request);
    let [LeaderAction::ConfirmLeadership(number)] = &actions[..] else {
        panic!("no lease is granted unless the leadership is confirmed: {actions:?}");
    };
    let answers = leader.leadership_confirmed(now, state, *number);
    let [LeaderAction::Reply(_, reply)] = &answers[..] else {
        panic!("one reply: {answers:?}");
    };
    reply.grant.is_some()
}

#[test]
fn a_ninth_process_of_a_member_gets_no_lease_before_an_earlier_one_has_expired() {
    let config = LeaseConfig::default();
    let info = MemberInfo {
        address: String::new(),
        zone: String::new(),
        replica: None,
        is_learner: false,
    };
    let state = PolicyState::bootstrap(BTreeMap::from([("a".into(), info)]));
    let mut leader = Leader::new(config, NOW, &state);
    for process in 1..=8 {
        assert!(gets_lease(&mut leader, &state, NOW, process), "{process}");
    }
    assert!(!gets_lease(&mut leader, &state, NOW, 9));
    let expired = NOW + config.certainly_expired_after();
    assert!(!gets_lease(&mut leader, &state, expired, 9));
    assert!(gets_lease(&mut leader, &state, expired + Micros(1), 9));
}
