//! A router that was away for ten thousand entries learns all it needs from one answer of bounded size.

use std::collections::BTreeMap;

use ternpick::types::Micros;
use ternpick_fleet_policy::{
    Entry, Incarnation, Index, LeaseConfig, LeaseHolder, LeaseReply, MemberInfo, OperationId,
    PolicyDocument, PolicyState, Round, Verdict, Version, View,
};

#[test]
fn ten_thousand_entries_behind_is_one_answer_away() {
    let seated = MemberInfo {
        address: "127.0.0.1:1".into(),
        zone: String::new(),
        replica: None,
        is_learner: false,
    };
    let mut register = PolicyState::bootstrap(BTreeMap::from([("a".into(), seated)]));
    let mut keeper = LeaseHolder::new(
        LeaseConfig::default(),
        "a".into(),
        Incarnation(1),
        false,
        Micros(0),
    );
    let told = |register: &PolicyState| LeaseReply {
        view: Some(View::of(register)),
        ..LeaseReply::default()
    };
    keeper.handle_reply(Micros(1), told(&register));
    let (mut index, mut changes) = (1, 0);
    while index < 10_000 {
        changes += 1;
        let (number, round) = (Version(changes), Round(1));
        let paper = PolicyDocument {
            text: "x".repeat(2000),
            author: "ann".into(),
            ..PolicyDocument::default()
        };
        for entry in [
            Entry::Propose {
                op: OperationId(changes),
                base: None,
                paper,
                confirm: false,
            },
            Entry::Verdicts {
                number,
                said: vec![("a".into(), Verdict::Fits)],
            },
            Entry::Begin {
                number,
                round,
                without: Default::default(),
            },
            Entry::InForce { number, round },
        ] {
            index += 1;
            register.apply(Index(index), entry);
        }
    }
    let size = |of: &[u8]| of.len();
    let view = postcard::to_stdvec(&View::of(&register)).expect("bytes");
    let whole = postcard::to_stdvec(&register).expect("bytes");
    assert!(
        size(&view) < 4096 && size(&whole) < 16 * 1024,
        "{} and {} bytes",
        size(&view),
        size(&whole)
    );
    assert_eq!(keeper.version(), Some(Version(0)));
    keeper.handle_reply(Micros(2), told(&register));
    assert_eq!(keeper.version(), Some(Version(2500)));
    // What it was told before says nothing new: it never goes back.
    keeper.handle_reply(Micros(3), told(&PolicyState::bootstrap(BTreeMap::new())));
    assert_eq!(keeper.version(), Some(Version(2500)));
}
