use std::collections::BTreeMap;

use test_case::test_case;

use super::*;
use crate::ids::{OperationId, Round, Version};
use crate::messages::LastLeaderContact;
use crate::state_machine::{MemberInfo, Verdict};

const MS: u64 = 1000;
const NOW: Micros = Micros(10_000 * MS);

fn contact(replica: u64, term: u64, ago_ms: u64) -> LastLeaderContact {
    LastLeaderContact {
        replica: ReplicaId(replica),
        term,
        ago_us: ago_ms * MS,
    }
}

/// A leader since `NOW`, in term 4, with three voters.
fn leader_of_three_voters(config: LeaseConfig) -> Leader {
    let mut leader = Leader::new(config, NOW, &PolicyState::bootstrap(BTreeMap::new()));
    leader.set_election(4, vec![ReplicaId(1), ReplicaId(2), ReplicaId(3)]);
    leader
}

/// The result is in milliseconds; the leader has led since 10,000 ms.
#[test_case(&[] => 10_000; "no voter has reported")]
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
fn relying_on_one_voters_report_ends_leases_too_early() {
    let mut leader = leader_of_three_voters(LeaseConfig::default());
    leader.injected_bug = Some(InjectedLeaderBug::TrustsOneVoter);
    // This voter was cut off from the earlier leader for three seconds, while the others still confirmed that leader's
    // leases.
    leader.record_earlier_leader_contact(NOW, contact(3, 4, 3000));
    assert!(
        leader.leases_expired(NOW, &"n0".into(), None),
        "a lease may still be valid"
    );
}

/// Requests a lease for a process of the only member, and returns whether it is granted.
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

/// A barrier of two members that the leader has just observed, and the leader.
struct InBarrier {
    state: PolicyState,
    leader: Leader,
    index: u64,
}

const ROUND: Round = Round(1);
const PROPOSED: Version = Version(1);

impl InBarrier {
    fn begin() -> InBarrier {
        let info = MemberInfo {
            address: String::new(),
            zone: String::new(),
            replica: None,
            is_learner: false,
        };
        let members = BTreeMap::from([("a".into(), info.clone()), ("b".into(), info)]);
        let state = PolicyState::bootstrap(members);
        let leader = Leader::new(LeaseConfig::default(), NOW, &state);
        let mut barrier = InBarrier {
            state,
            leader,
            index: 1,
        };
        barrier.apply(Entry::Propose {
            op: OperationId(1),
            base: None,
            document: crate::state_machine::PolicyDocument::default(),
            confirm: false,
        });
        barrier.apply(Entry::Verdicts {
            number: PROPOSED,
            verdicts: vec![("a".into(), Verdict::Fits), ("b".into(), Verdict::Fits)],
        });
        barrier.apply(Entry::BeginBarrier {
            number: PROPOSED,
            round: ROUND,
            expired_members: BTreeSet::new(),
        });
        barrier.leader.tick(NOW, &barrier.state);
        barrier
    }

    /// The barrier has ended, and a second proposal is pending under a new leader.
    fn ended_with_second_proposal() -> InBarrier {
        let mut barrier = InBarrier::begin();
        barrier.apply(in_force());
        barrier.leader = Leader::new(LeaseConfig::default(), NOW, &barrier.state);
        barrier.apply(Entry::Propose {
            op: OperationId(2),
            base: None,
            document: crate::state_machine::PolicyDocument::default(),
            confirm: false,
        });
        barrier
    }

    fn apply(&mut self, entry: Entry) {
        self.index += 1;
        self.state.apply(Index(self.index), entry);
    }

    /// Has a member report that it has stopped admitting for the barrier.
    fn report_stopped(&mut self, member: &str, seq: u64, at: Micros) -> Vec<LeaderAction> {
        let request = LeaseRequest {
            member: member.into(),
            incarnation: Incarnation(1),
            seq: Seq(seq),
            index: self.state.changed_at,
            members_at: Index(1),
            verdict: None,
            paused_for: Some(BarrierId {
                number: PROPOSED,
                round: ROUND,
            }),
            is_only_process: true,
            unfit: None,
            last_leader_contact: None,
            machines_out_at: Index(0),
            extension_report: Vec::new(),
        };
        self.leader.handle_request(at, &self.state, request)
    }

    /// Runs a turn of the leader, and returns for each reply the number of the granted request, if any.
    fn grants(&mut self, at: Micros) -> Vec<(String, Option<u64>)> {
        let actions = self.leader.tick(at, &self.state);
        let reply = |action| match action {
            LeaderAction::Reply(member, reply) => {
                Some((member.0, reply.grant.map(|grant| grant.seq.0)))
            }
            _ => None,
        };
        actions.into_iter().filter_map(reply).collect()
    }
}

fn later(ms: u64) -> Micros {
    NOW + Micros(ms * MS)
}

fn proposes(actions: &[LeaderAction], entry: &Entry) -> bool {
    actions.contains(&LeaderAction::Propose(entry.clone()))
}

fn in_force() -> Entry {
    Entry::InForce {
        number: PROPOSED,
        round: ROUND,
    }
}

#[test]
fn the_end_of_a_barrier_grants_the_requests_received_before_it_was_proposed() {
    let mut barrier = InBarrier::begin();
    barrier.report_stopped("a", 5, later(1));
    let actions = barrier.report_stopped("b", 7, later(2));
    assert!(proposes(&actions, &in_force()), "{actions:?}");
    // A majority may have answered this leader for the last time before it received this request.
    barrier.report_stopped("b", 8, later(3));
    barrier.apply(in_force());
    let granted = barrier.grants(later(4));
    assert_eq!(
        granted,
        [("a".to_owned(), Some(5)), ("b".to_owned(), Some(7))]
    );
    assert!(barrier.grants(later(5)).is_empty(), "once");
}

#[test]
fn a_barrier_end_proposed_again_grants_the_requests_received_before_its_first_proposal() {
    let mut barrier = InBarrier::begin();
    barrier.report_stopped("a", 5, later(1));
    barrier.report_stopped("b", 7, later(2));
    let actions = barrier.report_stopped("b", 9, later(400));
    assert!(proposes(&actions, &in_force()), "again: {actions:?}");
    barrier.apply(in_force());
    let granted = barrier.grants(later(401));
    assert_eq!(
        granted,
        [("a".to_owned(), Some(5)), ("b".to_owned(), Some(7))]
    );
}

#[test]
fn a_resumption_grants_leases_to_members_that_stopped_in_time() {
    let mut barrier = InBarrier::begin();
    barrier.report_stopped("a", 5, later(100));
    let resume = Entry::Resume {
        number: PROPOSED,
        round: ROUND,
    };
    let actions = barrier.leader.tick(later(200), &barrier.state);
    assert!(proposes(&actions, &resume), "{actions:?}");
    barrier.apply(resume);
    let granted = barrier.grants(later(201));
    assert_eq!(granted, [("a".to_owned(), Some(5))]);
}

#[test]
fn a_withdrawal_that_ends_a_barrier_grants_no_leases() {
    let mut barrier = InBarrier::begin();
    barrier.report_stopped("a", 5, later(1));
    barrier.report_stopped("b", 7, later(2));
    barrier.apply(Entry::Withdraw {
        op: OperationId(2),
        number: PROPOSED,
        by: "ann".into(),
        reason: "a test".into(),
    });
    let granted = barrier.grants(later(4));
    assert_eq!(granted, [("a".to_owned(), None), ("b".to_owned(), None)]);
}

/// A leader of three members that have accepted a proposal. `a` and `b` have sent requests; `c` has been silent for
/// longer than its lease, so the leader has proposed the barrier without it. The entry is not applied yet.
fn barrier_without_c() -> (Leader, PolicyState) {
    let info = MemberInfo {
        address: String::new(),
        zone: String::new(),
        replica: None,
        is_learner: false,
    };
    let members = ["a", "b", "c"].map(|name| (Member::from(name), info.clone()));
    let mut state = PolicyState::bootstrap(BTreeMap::from(members));
    let mut leader = Leader::new(LeaseConfig::default(), NOW, &state);
    state.apply(
        Index(2),
        Entry::Propose {
            op: OperationId(1),
            base: None,
            document: crate::state_machine::PolicyDocument::default(),
            confirm: false,
        },
    );
    let verdicts = ["a", "b", "c"].map(|name| (Member::from(name), Verdict::Fits));
    state.apply(
        Index(3),
        Entry::Verdicts {
            number: PROPOSED,
            verdicts: verdicts.to_vec(),
        },
    );
    for member in ["a", "b"] {
        let actions = leader.handle_request(later(1500), &state, request(member, 1));
        grants(&mut leader, later(1500), &state, &actions);
    }
    let actions = leader.tick(later(2100), &state);
    let begin = Entry::BeginBarrier {
        number: PROPOSED,
        round: ROUND,
        expired_members: BTreeSet::from(["c".into()]),
    };
    assert!(proposes(&actions, &begin), "{actions:?}");
    (leader, state)
}

fn request(member: &str, seq: u64) -> LeaseRequest {
    LeaseRequest {
        member: member.into(),
        incarnation: Incarnation(1),
        seq: Seq(seq),
        index: Index(0),
        members_at: Index(0),
        verdict: None,
        paused_for: None,
        is_only_process: true,
        unfit: None,
        last_leader_contact: None,
        machines_out_at: Index(0),
        extension_report: Vec::new(),
    }
}

/// Guards against two versions in use at once: an entry that took longer than 0.3 s to be committed was treated as lost,
/// and a member that the entry names as one without a lease could get a lease. It would have continued under the old
/// version while the others were under the new one.
#[test]
fn a_member_excluded_from_a_proposed_barrier_gets_no_lease_until_the_entry_is_applied() {
    let (mut leader, state) = barrier_without_c();
    // `c` is in contact again, and `b` has been silent for too long for the barrier to be proposed again.
    let now = later(3000);
    let actions = leader.handle_request(now, &state, request("c", 1));
    let granted = grants(&mut leader, now, &state, &actions);
    assert!(granted.is_empty(), "{granted:?}");
}

/// Confirms the leadership if `actions` request it, and returns the members that get a lease.
fn grants(
    leader: &mut Leader,
    now: Micros,
    state: &PolicyState,
    actions: &[LeaderAction],
) -> Vec<String> {
    let mut granted = Vec::new();
    for action in actions {
        let LeaderAction::ConfirmLeadership(number) = action else {
            continue;
        };
        for answer in leader.leadership_confirmed(now, state, *number) {
            if let LeaderAction::Reply(member, reply) = answer {
                granted.extend(reply.grant.map(|_| member.0));
            }
        }
    }
    granted
}

#[test]
fn verdicts_of_all_members_and_the_beginning_of_the_barrier_are_proposed_together() {
    let mut barrier = InBarrier::ended_with_second_proposal();
    let number = Version(2);
    let fits = |name: &str, seq| LeaseRequest {
        verdict: Some(ProposalVerdict {
            number,
            verdict: Verdict::Fits,
        }),
        ..request(name, seq)
    };
    let (leader, state) = (&mut barrier.leader, &barrier.state);
    leader.handle_request(later(1), state, request("b", 1));
    let first = leader.handle_request(later(2), state, fits("a", 1));
    let proposed = |actions: &[LeaderAction]| {
        let entries = actions.iter().filter_map(|action| match action {
            LeaderAction::Propose(entry) => Some(entry.clone()),
            _ => None,
        });
        entries.collect::<Vec<Entry>>()
    };
    assert_eq!(proposed(&first), [], "b is about to report");
    let second = leader.handle_request(later(30), state, fits("b", 2));
    let verdicts = vec![("a".into(), Verdict::Fits), ("b".into(), Verdict::Fits)];
    let begin = Entry::BeginBarrier {
        number,
        round: ROUND,
        expired_members: BTreeSet::new(),
    };
    assert_eq!(
        proposed(&second),
        [Entry::Verdicts { number, verdicts }, begin]
    );
}

#[test]
fn verdicts_are_proposed_after_100_ms_if_a_member_does_not_report() {
    let mut barrier = InBarrier::ended_with_second_proposal();
    let (leader, state) = (&mut barrier.leader, &barrier.state);
    leader.handle_request(later(1), state, request("b", 1));
    let fits = LeaseRequest {
        verdict: Some(ProposalVerdict {
            number: Version(2),
            verdict: Verdict::Fits,
        }),
        ..request("a", 1)
    };
    leader.handle_request(later(2), state, fits);
    let early = leader.tick(later(101), state);
    assert!(!early
        .iter()
        .any(|action| matches!(action, LeaderAction::Propose(_))));
    let due = leader.tick(later(102), state);
    assert!(due
        .iter()
        .any(|action| matches!(action, LeaderAction::Propose(Entry::Verdicts { .. }))));
}
