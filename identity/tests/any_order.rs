//! Random sequences of key rotations, revocations, time steps and requests: a caller is refused from the moment at which
//! the router has received its revocation, and no valid caller is refused. The expected decisions are derived from
//! plain tables in this file, independently of the package's state.

use std::collections::HashSet;

use proptest::prelude::*;
use ring::rand::SystemRandom;
use serde_json::json;
use ternpick::types::Micros;
use ternpick_identity::key_manager::{Claims, KeyManager};
use ternpick_identity::{Algorithm, AuthRequest, Identity, IdentityConfig, KeySet, Page};

const T0: u64 = 1_800_000_000;
const LIFE: u64 = 60;

fn config() -> IdentityConfig {
    serde_json::from_value(json!({
        "issuer": "i", "audience": "a", "skew": 0, "longest": LIFE * 1_000_000, "known": 4,
        "keys": {"from": {"file": "k", "path": "/", "every": 1, "apart": 1, "patience": 1}, "lingers": LIFE * 1_000_000},
        "revocations": {"from": {"file": "r", "path": "/", "every": 1, "apart": 1, "patience": 1},
            "reads_go_on": 1u64 << 50, "changes_go_on": 1u64 << 50},
        "tenants": {"t": {}}, "roles": {"r": {"grants": [{"index": "x", "acts": ["read"], "deny": false}]}},
    }))
    .expect("terms")
}

#[derive(Clone, Debug)]
enum Step {
    Mint {
        subject: u8,
    },
    Rotate,
    /// The router receives the current key set.
    ReceiveKeys,
    /// The router receives a key set from some rotations ago.
    ReceiveOldKeys(usize),
    RevokeToken(usize),
    RevokeSubject(u8),
    RevokeKey(usize),
    LiftSubject(u8),
    /// The router receives the feed as a whole list.
    ReceiveWholeFeed,
    /// The router receives the new entries of the feed.
    ReceiveNewEntries,
    /// The router receives an earlier page again.
    ReceiveOldPage(usize),
    Tick(u64),
    Authorize(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0u8..4).prop_map(|subject| Step::Mint { subject }),
        1 => Just(Step::Rotate),
        2 => Just(Step::ReceiveKeys),
        1 => (0usize..8).prop_map(Step::ReceiveOldKeys),
        1 => (0usize..64).prop_map(Step::RevokeToken),
        1 => (0u8..4).prop_map(Step::RevokeSubject),
        1 => (0usize..64).prop_map(Step::RevokeKey),
        1 => (0u8..4).prop_map(Step::LiftSubject),
        1 => Just(Step::ReceiveWholeFeed),
        2 => Just(Step::ReceiveNewEntries),
        1 => (0usize..8).prop_map(Step::ReceiveOldPage),
        2 => (1u64..20).prop_map(Step::Tick),
        8 => (0usize..64).prop_map(Step::Authorize),
    ]
}

struct Minted {
    token: String,
    id: String,
    subject: String,
    key: String,
    until: u64,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn refuses_every_revoked_caller_and_no_valid_one(steps in proptest::collection::vec(step(), 1..120)) {
        let (mut now, mut manager, random) = (0u64, KeyManager::default(), SystemRandom::new());
        manager.new_key("k0", Algorithm::EdDsa, T0, 0, &random).expect("a key");
        let mut identity = Identity::new(config()).expect("good terms");
        let mut sets = vec![manager.public(T0).expect("a set").to_string()];
        let receive_keys = |identity: &mut Identity, text: &str, now: u64| {
            let set = KeySet::parse(text.as_bytes()).expect("good");
            let _ = identity.update_keys(Micros((T0 + now) * 1_000_000), &set);
        };
        receive_keys(&mut identity, &sets[0], 0);
        let micros = |now: u64| Micros((T0 + now) * 1_000_000);
        identity.update_revocations(micros(0), Page { whole: true, ..Page::default() }).expect("taken");
        // The entries of the feed, how many of them the router has received, and the pages that it received.
        let (mut feed, mut received, mut pages): (Vec<serde_json::Value>, usize, Vec<String>) = (vec![], 0, vec![]);
        let (mut minted, mut made): (Vec<Minted>, usize) = (Vec::new(), 1);
        for step in steps {
            match step {
                Step::Mint { subject } => {
                    let (id, subject) = (format!("t{}", minted.len()), format!("s{subject}"));
                    let claims = Claims {
                        iss: "i".into(), aud: "a".into(), sub: subject.clone(), tenant: "t".into(),
                        roles: vec!["r".into()], jti: id.clone(), iat: T0 + now, nbf: T0 + now, exp: T0 + now + LIFE,
                    };
                    let key = manager.signer(T0 + now).expect("a signer").id.clone();
                    let token = manager.mint(&claims, T0 + now).expect("a token");
                    minted.push(Minted { token, id, subject, key, until: now + LIFE });
                }
                Step::Rotate => {
                    let id = format!("k{made}");
                    made += 1;
                    // The new key signs after five seconds, so that the router receives it before.
                    if manager.rotate(&id, Algorithm::EdDsa, T0 + now, 5, LIFE, &random).is_ok() {
                        sets.push(manager.public(T0 + now).expect("a set").to_string());
                        receive_keys(&mut identity, &sets[sets.len() - 1], now);
                    }
                }
                Step::ReceiveKeys => receive_keys(&mut identity, &manager.public(T0 + now).expect("a set").to_string(), now),
                Step::ReceiveOldKeys(back) => receive_keys(&mut identity, &sets[sets.len().saturating_sub(1 + back)], now),
                Step::RevokeToken(at) if !minted.is_empty() => {
                    let id = &minted[at % minted.len()].id;
                    feed.push(json!({"number": feed.len() + 1, "token": id}));
                }
                Step::RevokeKey(at) if !minted.is_empty() => {
                    feed.push(json!({"number": feed.len() + 1, "key": minted[at % minted.len()].key}));
                }
                Step::RevokeSubject(of) => feed.push(json!({"number": feed.len() + 1, "subject": format!("s{of}")})),
                Step::LiftSubject(of) => {
                    feed.push(json!({"number": feed.len() + 1, "subject": format!("s{of}"), "lifted": true}));
                }
                Step::ReceiveWholeFeed | Step::ReceiveNewEntries => {
                    let (whole, from) = match step { Step::ReceiveWholeFeed => (true, 0), _ => (false, received) };
                    let page = json!({"after": from, "to": feed.len(), "whole": whole, "entries": feed[from..]});
                    pages.push(page.to_string());
                    let page = Page::parse(page.to_string().as_bytes()).expect("good");
                    identity.update_revocations(micros(now), page).expect("taken");
                    received = feed.len();
                }
                Step::ReceiveOldPage(back) if !pages.is_empty() => {
                    let text = &pages[pages.len().saturating_sub(1 + back)];
                    let _ = identity.update_revocations(micros(now), Page::parse(text.as_bytes()).expect("good"));
                }
                Step::Tick(seconds) => {
                    now += seconds;
                    identity.remove_expired(micros(now));
                }
                Step::Authorize(at) if !minted.is_empty() => {
                    let of = &minted[at % minted.len()];
                    let ask = AuthRequest { token: Some(&of.token), index: "x", idempotent: true, ..AuthRequest::default() };
                    let admitted = identity.authorize(micros(now), &ask).map_err(|refusal| refusal.why);
                    let mut revoked = HashSet::new();
                    for entry in &feed[..received] {
                        for kind in ["token", "subject", "key"] {
                            if let Some(name) = entry[kind].as_str() {
                                let what = format!("{kind} {name}");
                                if entry["lifted"] == true { revoked.remove(&what) } else { revoked.insert(what) };
                            }
                        }
                    }
                    let names = [format!("token {}", of.id), format!("subject {}", of.subject), format!("key {}", of.key)];
                    let valid = of.until > now && !names.iter().any(|name| revoked.contains(name));
                    prop_assert_eq!(admitted.is_ok(), valid, "{:?} for {} at {}", admitted, of.id, now);
                    prop_assert!(identity.cached_tokens() <= 4);
                }
                _ => {}
            }
        }
    }
}
