//! Tests that a router which lacks ten thousand entries catches up by one lease reply of bounded size.

use std::collections::{BTreeMap, BTreeSet};

use ternpick::types::Micros;
use ternpick_fleet_policy::{
    Entry, Incarnation, Index, LeaseConfig, LeaseHolder, LeaseReply, MemberInfo, OperationId,
    PolicyDocument, PolicyState, Round, Verdict, Version, View,
};

fn bootstrap() -> PolicyState {
    let info = MemberInfo {
        address: "127.0.0.1:1".into(),
        zone: String::new(),
        replica: None,
        is_learner: false,
    };
    PolicyState::bootstrap(BTreeMap::from([("a".into(), info)]))
}

fn reply(state: &PolicyState) -> LeaseReply {
    LeaseReply {
        view: Some(View::of(state)),
        ..LeaseReply::default()
    }
}

/// The entries of one proposal, from `Propose` until it is in force.
fn proposal_entries(number: u64) -> [Entry; 4] {
    let (op, number, round) = (OperationId(number), Version(number), Round(1));
    [
        Entry::Propose {
            op,
            base: None,
            document: PolicyDocument {
                text: "x".repeat(2000),
                author: "ann".into(),
                ..PolicyDocument::default()
            },
            confirm: false,
        },
        Entry::Verdicts {
            number,
            verdicts: vec![("a".into(), Verdict::Fits)],
        },
        Entry::BeginBarrier {
            number,
            round,
            expired_members: BTreeSet::new(),
        },
        Entry::InForce { number, round },
    ]
}

#[test]
fn a_lease_holder_that_lacks_ten_thousand_entries_catches_up_by_one_reply_of_bounded_size() {
    let mut state = bootstrap();
    let mut holder = LeaseHolder::new(
        LeaseConfig::default(),
        "a".into(),
        Incarnation(1),
        false,
        Micros(0),
    );
    holder.handle_reply(Micros(1), reply(&state));
    let mut index = 1;
    let mut version = 0;
    while index < 10_000 {
        version += 1;
        for entry in proposal_entries(version) {
            index += 1;
            state.apply(Index(index), entry);
        }
    }
    let view = postcard::to_stdvec(&View::of(&state)).expect("encodable");
    let policy_state = postcard::to_stdvec(&state).expect("encodable");
    assert!(
        view.len() < 4096 && policy_state.len() < 16 * 1024,
        "the view has {} bytes, the policy state {} bytes",
        view.len(),
        policy_state.len()
    );
    assert_eq!(holder.version(), Some(Version(0)));
    holder.handle_reply(Micros(2), reply(&state));
    assert_eq!(holder.version(), Some(Version(2500)));
    // An older view has no effect: the version never decreases.
    holder.handle_reply(Micros(3), reply(&PolicyState::bootstrap(BTreeMap::new())));
    assert_eq!(holder.version(), Some(Version(2500)));
}
