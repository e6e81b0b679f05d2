//! Private keys are stored for longer than a release, and tokens, key sets and revocation feeds are read by other
//! programs. The names in all of them must stay as the recorded release writes and reads them.

#[path = "../../tests/common/recorded.rs"]
mod recorded;

use recorded::Recorded;
use ternpick::types::Micros;
use ternpick_identity::key_manager::{inspect, verify, Claims, KeyManager, PrivateKey, Stage};
use ternpick_identity::{Entry, Page, RevokedItem};

/// The table of private keys as stored by the release: one line of JSON.
const TABLE: &str = include_str!("release_bytes/private-keys.json");

fn key(id: &str, made: u64, signs: u64, retired: Option<u64>, until: Option<u64>) -> [String; 2] {
    [
        id.to_owned(),
        format!("{made} {signs} {retired:?} {until:?}"),
    ]
}

#[test]
fn reads_and_writes_the_private_key_table_of_the_release() {
    let manager: KeyManager = serde_json::from_str(TABLE).expect("it is read");
    let rows = manager
        .keys
        .iter()
        .map(|of| key(&of.id, of.made, of.signs, of.retired, of.until));
    let wanted = [
        key(
            "first",
            1_790_000_001,
            1_790_000_002,
            Some(1_790_000_003),
            Some(1_790_000_004),
        ),
        key("second", 1_790_000_005, 1_790_000_006, None, None),
    ];
    assert_eq!(
        (manager.serial, rows.collect::<Vec<_>>()),
        (7, wanted.to_vec())
    );
    assert_eq!(
        serde_json::to_string(&manager).expect("text"),
        TABLE.trim_end()
    );
    let stage = |key: &PrivateKey, now| serde_json::to_string(&key.stage(now)).expect("text");
    let stages = [1_790_000_001, 1_790_000_002, 1_790_000_003, 1_790_000_004];
    let words = stages.map(|now| stage(&manager.keys[0], now));
    assert_eq!(
        words,
        ["\"published\"", "\"signing\"", "\"retired\"", "\"gone\""]
    );
    assert_eq!(manager.keys[1].stage(1_790_000_006), Stage::Signing);
}

#[test]
fn key_sets_and_tokens_have_the_names_of_the_release() {
    let manager: KeyManager = serde_json::from_str(TABLE).expect("it is read");
    let claims = Claims {
        iss: "sign-on".into(),
        aud: "search".into(),
        sub: "anna".into(),
        tenant: "north".into(),
        roles: vec!["crew".into(), "safety".into()],
        jti: "t1".into(),
        iat: 1_790_000_007,
        nbf: 1_790_000_008,
        exp: 1_790_000_009,
    };
    let mut recorded = Recorded::parse(include_str!("release_bytes/public.txt"));
    let set = manager.public(1_790_000_003).expect("a set").to_string();
    recorded.json("key-set", &set, String::clone, |text| Some(text.to_owned()));
    let text = |claims: &Claims| serde_json::to_string(claims).expect("text");
    recorded.json("claims", &text(&claims), String::clone, |text| {
        Some(text.to_owned())
    });
    // Ed25519 signatures are deterministic.
    let token = manager.mint(&claims, 1_790_000_002).expect("a token");
    recorded.json("token", &token, String::clone, |text| Some(text.to_owned()));
    recorded.finish();
    assert_eq!(
        inspect(&token).expect("a token").claims["roles"][1],
        "safety"
    );
    let now = Micros(1_790_000_003_000_000);
    assert_eq!(verify(&token, set.as_bytes(), now).ok(), Some(true));
}

#[test]
fn reads_every_kind_of_revocation_entry_of_the_release() {
    let page = Page::parse(include_bytes!("release_bytes/feed.json")).expect("it is read");
    let until = Some(Micros(1_790_000_012_000_000));
    let entry = |number, item, lifted, until| Entry {
        number,
        item,
        lifted,
        until,
    };
    let entries = vec![
        entry(11, RevokedItem::Token("t1".into()), false, until),
        entry(12, RevokedItem::Subject("bob".into()), true, None),
        entry(13, RevokedItem::Key("first".into()), false, None),
        entry(14, RevokedItem::Certificate("abcd12".into()), false, None),
    ];
    assert_eq!(
        page,
        Page {
            after: 10,
            to: 14,
            whole: true,
            entries
        }
    );
}
