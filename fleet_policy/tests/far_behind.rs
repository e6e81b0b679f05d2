//! A router that was away for ten thousand entries learns all it needs from one reply of bounded size.

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

/// The entries of one change, from its proposal until it is in force.
fn change(number: u64) -> [Entry; 4] {
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
fn ten_thousand_entries_behind_is_one_reply_away() {
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
    let mut changes = 0;
    while index < 10_000 {
        changes += 1;
        for entry in change(changes) {
            index += 1;
            state.apply(Index(index), entry);
        }
    }
    let view = postcard::to_stdvec(&View::of(&state)).expect("bytes");
    let whole = postcard::to_stdvec(&state).expect("bytes");
    assert!(
        view.len() < 4096 && whole.len() < 16 * 1024,
        "{} and {} bytes",
        view.len(),
        whole.len()
    );
    assert_eq!(holder.version(), Some(Version(0)));
    holder.handle_reply(Micros(2), reply(&state));
    assert_eq!(holder.version(), Some(Version(2500)));
    // An older view changes nothing: a version never goes back.
    holder.handle_reply(Micros(3), reply(&PolicyState::bootstrap(BTreeMap::new())));
    assert_eq!(holder.version(), Some(Version(2500)));
}
