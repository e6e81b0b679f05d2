//! Edge cases of keys, tokens, certificates, revocations and rights, through the public interface of the package.

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use ring::rand::SystemRandom;
use serde_json::{json, Value};
use ternpick::types::Micros;
use ternpick_identity::key_manager::{sign, Claims, KeyManager, KeyManagerError};
use ternpick_identity::{
    Act, Algorithm, AuthRequest, Certificate, GracePeriods, Identity, IdentityConfig, KeySet,
    KeySetError, Page, Refusal, RefusalKind, RevocationListError, Revocations, DEFINITIONS,
    MAX_SKEW,
};
use ternpick_settings::Schema;
use test_case::test_case;

const S: u64 = 1_000_000;
const T0: u64 = 1_800_000_000;

const SETTINGS: &str = r##"
issuer: "https://sign-on.example"
audience: "search"
keys: {from: file: "k"}
revocations: {from: {file: "r"}, reads_go_on: 10min, changes_go_on: 30s}
certificates: [{name: "crew-7.field.example", subject: "crew-7", tenant: "north", roles: ["crew"]}]
tenants: {
	north: {roles: ["crew", "safety"], limits: {}}
	works: {roles: ["reader"], limits: {}}
}
roles: {
	crew: grants: [{index: "history"}, {index: "lockout-tag"}]
	safety: grants: [{index: "lockout-tag", acts: ["read", "set", "clear"]}]
	reader: grants: [{index: "history"}]
	trainee: grants: [{index: "lockout-tag", acts: ["clear"], deny: true}]
}
delegations: [{subject: "contractor-9", tenant: "north", roles: ["crew"], until: "2027-01-16T12:00:00Z"}]
acts: [
	{index: "lockout-tag", acts: ["read"], statement: "^get "},
	{index: "lockout-tag", acts: ["set"], statement: "^set "},
	{index: "lockout-tag", acts: ["clear"], statement: "^(clear|reset) "},
]
whole: {}
"##;

fn config(change: impl Fn(&str) -> String) -> IdentityConfig {
    let schema = Schema::new(&[("identity.cue", DEFINITIONS)], "#Identity");
    schema
        .read("t.cue", &change(SETTINGS))
        .unwrap_or_else(|fault| panic!("{fault}"))
        .value
}

fn at(seconds: u64) -> Micros {
    Micros((T0 + seconds) * S)
}

fn claims(now: u64) -> Claims {
    Claims {
        iss: "https://sign-on.example".into(),
        aud: "search".into(),
        sub: "dispatcher-1".into(),
        tenant: "north".into(),
        roles: vec!["crew".into(), "safety".into()],
        jti: format!("t-{now}"),
        iat: T0 + now,
        nbf: T0 + now,
        exp: T0 + now + 300,
    }
}

/// An identity that has the key manager's keys and an empty list of revocations.
fn identity(manager: &KeyManager) -> Identity {
    let mut identity = Identity::new(config(str::to_owned)).expect("good terms");
    publish_keys(&mut identity, manager, 0);
    let page = Page {
        whole: true,
        ..Page::default()
    };
    identity
        .update_revocations(at(0), page)
        .expect("a good page");
    identity
}

fn publish_keys(identity: &mut Identity, manager: &KeyManager, now: u64) {
    let set = manager.public(T0 + now).expect("a set").to_string();
    let set = KeySet::parse(set.as_bytes()).expect("a good set");
    let _ = identity.update_keys(at(now), &set);
}

fn manager(algorithm: Algorithm) -> KeyManager {
    let mut manager = KeyManager::default();
    manager
        .new_key("k1", algorithm, T0, 60, &SystemRandom::new())
        .expect("a key");
    manager
}

fn history<'a>(token: &'a str) -> AuthRequest<'a> {
    AuthRequest {
        token: Some(token),
        index: "history",
        idempotent: true,
        statement: "c41e",
        ..AuthRequest::default()
    }
}

fn tag<'a>(token: &'a str, statement: &'a str) -> AuthRequest<'a> {
    AuthRequest {
        token: Some(token),
        index: "lockout-tag",
        statement,
        ..AuthRequest::default()
    }
}

fn why(judged: Result<ternpick_identity::Authorized, Refusal>) -> String {
    judged.map_or_else(
        |refusal| refusal.why,
        |pass| format!("admitted by {}", pass.granted_by),
    )
}

#[test_case(Algorithm::EdDsa; "EdDSA")]
#[test_case(Algorithm::Es256; "ES256")]
fn accepts_and_caches_a_token_signed_by_a_known_key(algorithm: Algorithm) {
    let manager = manager(algorithm);
    let (mut identity, token) = (
        identity(&manager),
        manager.mint(&claims(0), T0).expect("a token"),
    );
    for _ in 0..2 {
        let pass = identity
            .authorize(at(1), &tag(&token, "set tag 7"))
            .expect("let in");
        assert_eq!(
            (pass.acts.as_slice(), pass.granted_by.as_str()),
            (&[Act::Set][..], "role safety")
        );
        assert_eq!(identity.cached_tokens(), 1);
    }
}

fn forge(token: &str, header: Value, body: Option<&str>) -> String {
    let parts: Vec<&str> = token.split('.').collect();
    let body = body.map_or(parts[1].to_owned(), |body| URL_SAFE_NO_PAD.encode(body));
    format!(
        "{}.{body}.{}",
        URL_SAFE_NO_PAD.encode(header.to_string()),
        parts[2]
    )
}

const DOUBLED: &str = r#"{"iss":"https://sign-on.example","sub":"a","sub":"b","aud":"search","exp":1,"iat":1,"tenant":"north"}"#;

#[test_case(json!({"alg": "none", "kid": "k1"}), None, "the token's algorithm is not its key's"; "none")]
#[test_case(json!({"alg": "HS256", "kid": "k1"}), None, "the token's algorithm is not its key's"; "the algorithm of a shared secret")]
#[test_case(json!({"alg": "ES256", "kid": "k1"}), None, "the token's algorithm is not its key's"; "the algorithm of another key")]
#[test_case(json!({"alg": "EdDSA"}), None, "the token names no key"; "no key")]
#[test_case(json!({"alg": "EdDSA", "kid": "k9"}), None, "the token's key is not known"; "an unknown key")]
#[test_case(json!({"alg": "EdDSA", "kid": "k1", "jku": "https://x"}), None, "the token's header asks for what is not done here"; "a key by URL")]
#[test_case(json!({"alg": "EdDSA", "kid": "k1", "jwk": {}}), None, "the token's header asks for what is not done here"; "a key in the header")]
#[test_case(json!({"alg": "EdDSA", "kid": "k1", "x5u": "https://x"}), None, "the token's header asks for what is not done here"; "a certificate by URL")]
#[test_case(json!({"alg": "EdDSA", "kid": "k1", "crit": ["exp"]}), None, "the token's header asks for what is not done here"; "an extension")]
#[test_case(json!({"alg": "EdDSA", "kid": "k1", "typ": "secevent+jwt"}), None, "the token's header asks for what is not done here"; "another type")]
#[test_case(json!({"alg": "EdDSA", "kid": "k1"}), Some("{}"), "the token's signature is wrong"; "another body")]
#[test_case(json!({"alg": "EdDSA", "kid": "k1"}), Some(DOUBLED), "the token's signature is wrong"; "a duplicate claim with the wrong signature")]
#[test_case(json!(["EdDSA"]), None, "the token is malformed"; "not an object")]
fn refuses_a_forged_token(header: Value, body: Option<&str>, expected: &str) {
    let manager = manager(Algorithm::EdDsa);
    let (mut identity, token) = (
        identity(&manager),
        manager.mint(&claims(0), T0).expect("a token"),
    );
    let forged = forge(&token, header, body);
    let refusal = identity
        .authorize(at(1), &history(&forged))
        .expect_err("refused");
    assert_eq!(
        (refusal.why.as_str(), refusal.kind),
        (expected, RefusalKind::InvalidCredentials)
    );
    assert_eq!(refusal.unknown_key, expected.contains("not known"));
    assert_eq!(identity.cached_tokens(), 0, "a forged token is not cached");
}

#[test_case("", "the token is malformed"; "empty")]
#[test_case("a.b", "the token is malformed"; "two parts")]
#[test_case("a.b.c.d", "the token is malformed"; "four parts")]
#[test_case("%%.%%.%%", "the token is malformed"; "not base64")]
#[test_case(&"x".repeat(64 * 1024), "the token is longer than any is"; "64 kB")]
fn refuses_malformed_and_oversized_tokens(token: &str, expected: &str) {
    let mut identity = identity(&manager(Algorithm::EdDsa));
    assert_eq!(why(identity.authorize(at(1), &history(token))), expected);
}

/// Returns a signed token with changed claims.
fn signed(change: impl Fn(&mut Value)) -> String {
    let mut changed_claims = serde_json::to_value(claims(0)).expect("JSON");
    change(&mut changed_claims);
    MANAGER
        .with(|manager| sign(manager.signer(T0).expect("a key"), &changed_claims).expect("a token"))
}

thread_local! {
    static MANAGER: KeyManager = manager(Algorithm::EdDsa);
}

#[test_case(|c| c["iss"] = json!("https://other"), 1, "the token is of another issuer"; "issuer")]
#[test_case(|c| c["aud"] = json!(["a", "b"]), 1, "the token is for another audience"; "audience")]
#[test_case(|c| c["aud"] = json!(["a", "search"]), 1, "admitted by role crew"; "one of several audiences")]
#[test_case(|_| {}, 304, "admitted by role crew"; "expired within the skew")]
#[test_case(|_| {}, 305, "the token has expired"; "expired beyond the skew")]
#[test_case(|c| { c["nbf"] = json!(T0 + 6); c["iat"] = json!(T0 + 6); }, 1, "admitted by role crew"; "not valid yet within the skew")]
#[test_case(|c| c["nbf"] = json!(T0 + 7), 1, "the token is not valid yet"; "not valid yet beyond the skew")]
#[test_case(|c| c["iat"] = json!(T0 + 60), 1, "the token is not valid yet"; "issued in the future")]
#[test_case(|c| c["exp"] = json!(T0 + 3601), 1, "the token is made for longer than is allowed"; "long lived")]
#[test_case(|c| c["exp"] = json!(1e300), 1, "the token is malformed"; "a time out of range")]
#[test_case(|c| c["exp"] = json!(-1), 1, "the token is malformed"; "a negative time")]
#[test_case(|c| c["exp"] = json!("1800000300"), 1, "the token is malformed"; "a time as a string")]
#[test_case(|c| { c.as_object_mut().unwrap().remove("exp"); }, 1, "the token is malformed"; "no expiry")]
#[test_case(|c| { c.as_object_mut().unwrap().remove("iat"); }, 1, "the token is malformed"; "no issue time")]
#[test_case(|c| c["sub"] = json!("a\nb"), 1, "the token is malformed"; "a line end in a name")]
#[test_case(|c| c["roles"] = json!(vec!["crew"; 65]), 1, "the token is malformed"; "too many roles")]
#[test_case(|c| c["tenant"] = json!("east"), 1, "the tenant is not known"; "unknown tenant")]
#[test_case(|c| c["roles"] = json!(["reader"]), 1, "no role grants read here"; "a role that the tenant does not permit")]
fn checks_the_claims_of_a_signed_token(change: fn(&mut Value), now: u64, expected: &str) {
    let mut identity = MANAGER.with(identity);
    identity
        .update_revocations(
            at(now),
            Page {
                whole: true,
                ..Page::default()
            },
        )
        .expect("a page");
    assert_eq!(
        why(identity.authorize(at(now), &history(&signed(change)))),
        expected
    );
}

#[test]
fn refuses_a_signed_token_with_a_duplicate_claim() {
    let body = URL_SAFE_NO_PAD.encode(DOUBLED);
    let head = URL_SAFE_NO_PAD.encode(r#"{"alg":"EdDSA","kid":"k1"}"#);
    MANAGER.with(|manager| {
        let key = serde_json::to_value(manager.signer(T0).expect("a key")).expect("JSON");
        let secret = base64::engine::general_purpose::STANDARD
            .decode(key["secret"].as_str().unwrap())
            .unwrap();
        let secret = jsonwebtoken::EncodingKey::from_ed_der(&secret);
        let message = format!("{head}.{body}");
        let signature =
            jsonwebtoken::crypto::sign(message.as_bytes(), &secret, jsonwebtoken::Algorithm::EdDSA)
                .unwrap();
        let mut identity = identity(manager);
        let judged = identity.authorize(at(1), &history(&format!("{message}.{signature}")));
        assert_eq!(why(judged), "the token is malformed");
    });
}

#[test]
fn a_rotated_key_verifies_until_it_expires_and_not_longer() {
    let mut manager = manager(Algorithm::EdDsa);
    let mut identity = identity(&manager);
    let old = manager.mint(&claims(0), T0).expect("a token");
    manager
        .rotate("k2", Algorithm::EdDsa, T0 + 1, 10, 60, &SystemRandom::new())
        .expect("a key");
    publish_keys(&mut identity, &manager, 2);
    assert_eq!(
        manager.signer(T0 + 11).expect("a signer").id,
        "k1",
        "the new key is only published"
    );
    let new = manager.mint(&claims(12), T0 + 12).expect("a token");
    for now in [12, 40, 71] {
        publish_keys(&mut identity, &manager, now);
        identity
            .update_revocations(
                at(now),
                Page {
                    whole: true,
                    ..Page::default()
                },
            )
            .expect("a page");
        assert_eq!(
            why(identity.authorize(at(now), &history(&old))),
            "admitted by role crew",
            "at {now}"
        );
        assert_eq!(
            why(identity.authorize(at(now), &history(&new))),
            "admitted by role crew",
            "at {now}"
        );
    }
    // The key expires by time alone, without a new key set, even for a cached token.
    assert_eq!(
        why(identity.authorize(at(72), &history(&old))),
        "the token's key is no longer in use"
    );
    assert_eq!(identity.remove_expired(at(72)).len(), 1);
    assert_eq!(
        why(identity.authorize(at(73), &history(&old))),
        "the token's key is not known"
    );
    assert_eq!(
        why(identity.authorize(at(73), &history(&new))),
        "admitted by role crew"
    );
}

#[test]
fn alternating_key_sets_refuse_no_caller_and_a_lasting_absence_removes_a_key() {
    let (mut one, mut other) = (manager(Algorithm::EdDsa), KeyManager::default());
    other
        .new_key("k2", Algorithm::Es256, T0, 60, &SystemRandom::new())
        .expect("a key");
    let mut identity = identity(&one);
    // Two services that do not publish serials.
    let public = |manager: &KeyManager| {
        let mut set = manager.public(T0).expect("a set");
        set.as_object_mut().unwrap().remove("ternpick_serial");
        KeySet::parse(set.to_string().as_bytes()).expect("good")
    };
    one.serial = 0;
    let tokens = [
        one.mint(&claims(0), T0).unwrap(),
        other.mint(&claims(0), T0).unwrap(),
    ];
    for now in 1..100 {
        let set = public(if now % 2 == 0 { &one } else { &other });
        identity.update_keys(at(now), &set).expect("taken");
        identity
            .update_revocations(
                at(now),
                Page {
                    whole: true,
                    ..Page::default()
                },
            )
            .expect("a page");
        for token in &tokens {
            assert_eq!(
                why(identity.authorize(at(now), &history(token))),
                "admitted by role crew",
                "at {now}"
            );
        }
    }
    for now in 100..161 {
        identity
            .update_keys(at(now), &public(&other))
            .expect("taken");
    }
    assert_eq!(
        why(identity.authorize(at(161), &history(&tokens[0]))),
        "the token's key is not known"
    );
}

#[test]
fn an_older_set_a_reused_key_id_and_an_incomplete_set_keep_the_known_keys() {
    let mut manager = manager(Algorithm::EdDsa);
    let mut identity = identity(&manager);
    let old = manager.public(T0).expect("a set").to_string();
    manager
        .new_key("k2", Algorithm::EdDsa, T0 + 1, 60, &SystemRandom::new())
        .expect("a key");
    publish_keys(&mut identity, &manager, 1);
    let older = identity.update_keys(at(2), &KeySet::parse(old.as_bytes()).expect("good"));
    assert_eq!(
        older,
        Err(KeySetError::Older {
            received: 1,
            current: 2
        })
    );
    let mut clash = self::manager(Algorithm::EdDsa);
    clash.serial = 3;
    let set = KeySet::parse(clash.public(T0).expect("a set").to_string().as_bytes()).expect("good");
    let change = identity.update_keys(at(2), &set).expect("taken");
    assert_eq!((change.conflicting.len(), change.missing.len()), (1, 1));
    let token = manager.mint(&claims(0), T0 + 2).expect("a token");
    assert_eq!(
        why(identity.authorize(at(3), &history(&token))),
        "admitted by role crew"
    );
}

#[test_case("", KeySetError::Malformed; "empty")]
#[test_case("{\"keys\": [", KeySetError::Malformed; "truncated")]
#[test_case("{\"keys\": []}", KeySetError::Empty("".into()); "no key")]
#[test_case("{\"keys\": [{\"kty\":\"RSA\",\"kid\":\"a\",\"x\":\"\"}]}", KeySetError::Empty("key \"a\" has an unsupported type (supported are Ed25519 and P-256)".into()); "another type")]
#[test_case("{\"keys\": [{\"kty\":\"OKP\",\"crv\":\"Ed25519\",\"kid\":\"a\",\"x\":\"AA\",\"d\":\"AA\"}]}", KeySetError::Empty("key \"a\" is a private key: it must not be published, revoke it".into()); "a private key")]
#[test_case("{\"keys\": [{\"kty\":\"OKP\",\"crv\":\"Ed25519\",\"kid\":\"a\",\"alg\":\"ES256\",\"x\":\"AA\"}]}", KeySetError::Empty("key \"a\" has an algorithm that does not match its type".into()); "another algorithm")]
fn refuses_an_unusable_key_set_with_the_reason(text: &str, fault: KeySetError) {
    assert_eq!(KeySet::parse(text.as_bytes()).err(), Some(fault));
}

#[test_case("get tag 7", &["crew"], "admitted by role crew"; "a read")]
#[test_case("set tag 7", &["crew"], "no role grants set here"; "a role that may read but not set")]
#[test_case("set tag 7", &["crew", "safety"], "admitted by role safety"; "a role that may set")]
#[test_case("get tag 7; set tag 7", &["crew"], "admitted by role crew"; "only the patterns determine the acts of a compound statement")]
#[test_case("reset tag 7", &["safety", "trainee"], "admitted by role safety"; "a role that the tenant does not permit denies nothing")]
#[test_case("c41e", &["crew"], "no role grants set here"; "a statement without a matching pattern needs all acts")]
#[test_case("c41e", &["safety"], "admitted by role safety"; "a statement without a matching pattern and a role with all acts")]
fn derives_the_acts_from_the_statement(statement: &str, roles: &[&str], expected: &str) {
    let token = signed(|claims| claims["roles"] = json!(roles));
    let mut identity = MANAGER.with(identity);
    assert_eq!(
        why(identity.authorize(at(1), &tag(&token, statement))),
        expected
    );
}

#[test]
fn a_denial_overrides_grants_and_rights_are_explained() {
    let config = config(|text| {
        text.replace(
            "roles: [\"crew\", \"safety\"]",
            "roles: [\"crew\", \"safety\", \"trainee\"]",
        )
    });
    let mut identity = MANAGER.with(identity);
    identity.update_config(config).expect("good terms");
    let token = signed(|claims| claims["roles"] = json!(["safety", "trainee"]));
    assert_eq!(
        why(identity.authorize(at(1), &tag(&token, "clear 7"))),
        "role trainee denies clear here"
    );
    let pass = identity
        .authorize(at(1), &tag(&token, "set 7"))
        .expect("let in");
    let lines = identity.rights.explain(&pass.caller, None, at(1));
    let of = |act| {
        lines
            .iter()
            .find(|line| line.index == "lockout-tag" && line.act == act)
            .expect("a line")
    };
    assert_eq!(of(Act::Set).allowed, Ok("role safety".into()));
    assert_eq!(
        of(Act::Clear).allowed,
        Err("role trainee denies clear here".into())
    );
    assert_eq!(of(Act::Set).until, Some(pass.caller.until));
}

#[test]
fn a_delegation_holds_until_its_end_and_only_in_its_roles() {
    let token = signed(|claims| {
        (claims["sub"], claims["tenant"], claims["roles"]) = (
            json!("contractor-9"),
            json!("works"),
            json!(["reader", "safety"]),
        );
    });
    let mut identity = MANAGER.with(identity);
    let ask = |statement, behalf| AuthRequest {
        behalf,
        ..tag(&token, statement)
    };
    let judged = identity
        .authorize(at(1), &ask("get 7", Some("north")))
        .expect("let in");
    assert_eq!(judged.granted_by, "role crew, delegated by north");
    assert_eq!(
        why(identity.authorize(at(1), &ask("get 7", None))),
        "no role grants read here"
    );
    assert_eq!(
        why(identity.authorize(at(1), &ask("set 7", Some("north")))),
        "no role grants set here"
    );
    assert_eq!(
        why(identity.authorize(at(1), &ask("get 7", Some("south")))),
        "no delegation to that tenant holds"
    );
    // 2027-01-16T12:00:00Z is 1800100800.
    identity
        .update_revocations(
            Micros(1_800_100_800 * S),
            Page {
                whole: true,
                ..Page::default()
            },
        )
        .expect("a page");
    let late = claims(100_790);
    let token = MANAGER.with(|manager| {
        let late = Claims {
            sub: "contractor-9".into(),
            tenant: "works".into(),
            ..late
        };
        sign(manager.signer(T0).expect("a key"), &late).expect("a token")
    });
    let ask = AuthRequest {
        behalf: Some("north"),
        ..tag(&token, "get 7")
    };
    assert_eq!(
        why(identity.authorize(Micros(1_800_100_799 * S), &ask)),
        "admitted by role crew, delegated by north"
    );
    assert_eq!(
        why(identity.authorize(Micros(1_800_100_800 * S), &ask)),
        "no delegation to that tenant holds"
    );
}

#[test_case(31, "read", "admitted by role crew"; "reads are still allowed")]
#[test_case(31, "set", "what is revoked is not known well enough to set here"; "changes are refused first")]
#[test_case(30, "set", "admitted by role safety"; "changes within the grace period")]
#[test_case(601, "read", "what is revoked is not known well enough to read here"; "reads are refused later")]
fn outdated_revocations_stop_changes_first_and_then_reads(now: u64, act: &str, expected: &str) {
    let mut identity = MANAGER.with(identity);
    let token = signed(|claims| claims["exp"] = json!(T0 + 700));
    let ask = if act == "read" {
        history(&token)
    } else {
        tag(&token, "set 7")
    };
    let judged = identity.authorize(at(now), &ask);
    let unsure = judged
        .as_ref()
        .is_err_and(|refusal| refusal.kind == RefusalKind::RevocationsOutdated);
    assert_eq!(
        (why(judged).as_str(), unsure),
        (expected, expected.contains("enough"))
    );
}

/// The skew of the settings, in seconds.
const SKEW: u64 = 5;
/// The lifetime of the tokens of these tests, in seconds.
const TOKEN_LIFETIME: u64 = 300;

fn page(text: &str) -> Page {
    Page::parse(text.as_bytes()).expect("a page")
}

#[test_case(r#"{"after":0,"to":1,"entries":[{"number":1,"token":"t-0"}]}"#, "the token is revoked"; "by token")]
#[test_case(r#"{"after":0,"to":1,"entries":[{"number":1,"subject":"dispatcher-1"}]}"#, "the subject is revoked"; "by subject")]
#[test_case(r#"{"after":0,"to":1,"entries":[{"number":1,"key":"k1"}]}"#, "the token's key is revoked"; "by key")]
#[test_case(r#"{"after":0,"to":1,"entries":[{"number":1,"token":"t-1"}]}"#, "admitted by role crew"; "another token")]
#[test_case(r#"{"to":2,"whole":true,"entries":[{"number":2,"subject":"dispatcher-1","until":1800000001}]}"#, "the subject is revoked"; "in a whole list")]
fn refuses_a_revoked_caller_at_once_although_its_token_is_cached(text: &str, expected: &str) {
    let (mut identity, token) = (MANAGER.with(identity), signed(|_| {}));
    assert!(identity.authorize(at(1), &history(&token)).is_ok());
    identity
        .update_revocations(at(1), page(text))
        .expect("taken");
    assert_eq!(why(identity.authorize(at(1), &history(&token))), expected);
}

#[test]
fn pages_with_gaps_duplicates_old_or_unordered_entries_never_undo_a_revocation() {
    let (mut identity, token) = (MANAGER.with(identity), signed(|_| {}));
    let apply =
        |identity: &mut Identity, text: &str| identity.update_revocations(at(1), page(text));
    let revoke = r#"{"after":0,"to":2,"entries":[{"number":2,"token":"t-0"},{"number":1,"token":"x"},{"number":1,"token":"x"}]}"#;
    assert_eq!(apply(&mut identity, revoke), Ok(2));
    assert_eq!(apply(&mut identity, revoke), Ok(0), "a duplicate page");
    let refused = [
        r#"{"after":3,"to":4,"entries":[{"number":4,"token":"y"}]}"#,
        r#"{"after":2,"to":4,"entries":[{"number":4,"token":"y"}]}"#,
        r#"{"after":0,"to":1,"entries":[{"number":1,"token":"t-0","lifted":true}]}"#,
        r#"{"to":1,"whole":true,"entries":[]}"#,
        r#"{"after":2,"to":3,"entries":[{"number":3,"token":"y"},{"number":3,"token":"z"}]}"#,
        r#"{"after":2,"to":3,"entries":[{"number":5,"token":"y"}]}"#,
    ];
    for text in refused {
        assert!(apply(&mut identity, text).is_err(), "{text}");
    }
    // An incomplete whole list does not reinstate the revoked token.
    assert_eq!(
        apply(&mut identity, r#"{"to":9,"whole":true,"entries":[]}"#),
        Ok(0)
    );
    assert_eq!(
        why(identity.authorize(at(1), &history(&token))),
        "the token is revoked"
    );
    assert_eq!(
        apply(
            &mut identity,
            r#"{"after":9,"to":10,"entries":[{"number":10,"token":"t-0","lifted":true}]}"#
        ),
        Ok(1)
    );
    assert_eq!(
        why(identity.authorize(at(1), &history(&token))),
        "admitted by role crew"
    );
    // An older entry in a whole list does not revoke it again.
    let _ = apply(
        &mut identity,
        r#"{"to":10,"whole":true,"entries":[{"number":2,"token":"t-0"}]}"#,
    );
    assert_eq!(
        why(identity.authorize(at(1), &history(&token))),
        "admitted by role crew"
    );
}

/// Guards against a revoked caller that is admitted again: its revocation was forgotten at its own end, while the token
/// had expired and counted as valid for the skew. `ahead` is how far the issuer's clock is ahead, in seconds.
#[test_case("token", "t-0", "the token is revoked", 0; "a token")]
#[test_case("subject", "dispatcher-1", "the subject is revoked", 0; "a subject")]
#[test_case("key", "k1", "the token's key is revoked", 0; "a key")]
#[test_case("token", "t-0", "the token is revoked", SKEW; "a token of an issuer whose clock is ahead")]
fn a_revocation_that_ends_with_its_token_holds_until_the_token_is_refused_by_its_age(
    kind: &str,
    name: &str,
    revoked: &str,
    ahead: u64,
) {
    let issued = T0 + ahead;
    let token = signed(|claims| {
        claims["iat"] = json!(issued);
        claims["nbf"] = json!(issued);
        claims["exp"] = json!(issued + TOKEN_LIFETIME);
    });
    let mut identity = MANAGER.with(identity);
    let end = T0 + TOKEN_LIFETIME;
    let entry = format!(r#"{{"number":1,"{kind}":"{name}","until":{end}}}"#);
    let text = format!(r#"{{"after":0,"to":1,"entries":[{entry}]}}"#);
    let applied = identity.update_revocations(at(0), page(&text));
    assert_eq!(applied, Ok(1));
    let expires = TOKEN_LIFETIME + ahead + SKEW;
    for now in TOKEN_LIFETIME - 2..expires + 2 {
        // The feed is current, and has no entry any more from the end on.
        let empty = r#"{"to":1,"whole":true,"entries":[]}"#;
        assert_eq!(identity.update_revocations(at(now), page(empty)), Ok(0));
        identity.remove_expired(at(now));
        let expected = if now < expires {
            revoked
        } else {
            "the token has expired"
        };
        let found = why(identity.authorize(at(now), &history(&token)));
        assert_eq!(found, expected, "{now} s after the revocation");
    }
}

/// Guards against a feed's file that is kept for a shorter skew than the settings permit.
#[test]
fn the_settings_permit_no_longer_skew_than_the_feed_is_kept_for() {
    let schema = Schema::new(&[("identity.cue", DEFINITIONS)], "#Identity");
    let read = |skew_s: u64| {
        let settings = format!("skew: {skew_s}s\n{SETTINGS}");
        schema.read::<IdentityConfig>("t.cue", &settings)
    };
    let longest = MAX_SKEW.0 / S;
    assert_eq!(
        read(longest).map(|read| read.value.skew).ok(),
        Some(MAX_SKEW.0)
    );
    assert!(read(longest + 1).is_err());
}

/// Guards against revocations that are kept without end, and against a lift that is kept for longer than before.
#[test]
fn a_revocation_is_forgotten_once_nothing_that_it_revokes_can_be_accepted() {
    let grace_periods = GracePeriods {
        reads: at(0),
        changes: at(0),
    };
    let mut revocations = Revocations::new(grace_periods);
    let skew = Micros(SKEW * 1_000_000);
    let end = T0 + 100;
    let text =
        format!(r#"{{"to":1,"whole":true,"entries":[{{"number":1,"token":"a","until":{end}}}]}}"#);
    let applied = revocations.update(at(0), page(&text), skew);
    assert_eq!(applied, Ok(1));
    revocations.remove_expired(Micros(at(100 + 2 * SKEW).0 - 1), skew);
    assert_eq!(revocations.count(), 1);
    revocations.remove_expired(at(100 + 2 * SKEW), skew);
    assert_eq!(revocations.count(), 0);
}

#[test_case(r#"{"to":1}"#; "no entries")]
#[test_case(r#"{"to":1,"entries":[{"number":1}]}"#; "an entry without an item")]
#[test_case(r#"{"to":1,"entries":[{"number":1,"token":"a","key":"b"}]}"#; "an entry with two items")]
#[test_case(r#"{"to":-1,"entries":[]}"#; "a negative number")]
fn refuses_a_malformed_revocation_page(text: &str) {
    assert!(Page::parse(text.as_bytes()).is_err());
}

/// A certificate authority, which issues client certificates and lists of revoked certificates.
struct Authority {
    certificate: rcgen::Certificate,
    issuer: rcgen::Issuer<'static, rcgen::KeyPair>,
}

fn authority(name: &str) -> Authority {
    let key = rcgen::KeyPair::generate().expect("a key");
    let mut params = rcgen::CertificateParams::new(Vec::new()).expect("parameters");
    params
        .distinguished_name
        .push(rcgen::DnType::CommonName, name);
    params.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
    params.key_usages = vec![
        rcgen::KeyUsagePurpose::KeyCertSign,
        rcgen::KeyUsagePurpose::CrlSign,
    ];
    let certificate = params.self_signed(&key).expect("a certificate");
    Authority {
        certificate,
        issuer: rcgen::Issuer::new(params, key),
    }
}

impl Authority {
    fn client(&self, name: &str, serial: u64) -> Certificate {
        let key = rcgen::KeyPair::generate().expect("a key");
        let mut params = rcgen::CertificateParams::new(vec![name.to_owned()]).expect("parameters");
        params.serial_number = Some(serial.into());
        params.not_before = rcgen::date_time_ymd(2026, 1, 1);
        params.not_after = rcgen::date_time_ymd(2028, 1, 1);
        let made = params.signed_by(&key, &self.issuer).expect("a certificate");
        Certificate::parse(made.der()).expect("it reads")
    }

    fn list(&self, number: u64, serials: &[u64]) -> Vec<u8> {
        let revoked = serials.iter().map(|serial| rcgen::RevokedCertParams {
            serial_number: (*serial).into(),
            revocation_time: rcgen::date_time_ymd(2026, 6, 1),
            reason_code: None,
            invalidity_date: None,
        });
        let params = rcgen::CertificateRevocationListParams {
            this_update: rcgen::date_time_ymd(2026, 6, 1),
            next_update: rcgen::date_time_ymd(2027, 2, 1),
            crl_number: number.into(),
            issuing_distribution_point: None,
            revoked_certs: revoked.collect(),
            key_identifier_method: rcgen::KeyIdMethod::Sha256,
        };
        params
            .signed_by(&self.issuer)
            .expect("a list")
            .der()
            .to_vec()
    }
}

#[test]
fn checks_the_certificate_of_an_open_connection_with_each_request() {
    let (ours, other) = (authority("ours"), authority("other"));
    let mut identity = MANAGER.with(identity);
    let crew = ours.client("crew-7.field.example", 7);
    fn ask(certificate: &Certificate) -> AuthRequest<'_> {
        AuthRequest {
            certificate: Some(certificate),
            index: "history",
            idempotent: true,
            ..AuthRequest::default()
        }
    }
    assert_eq!(
        why(identity.authorize(at(1), &ask(&crew))),
        "admitted by role crew"
    );
    assert_eq!(
        why(identity.authorize(at(1), &ask(&ours.client("x.example", 8)))),
        "the certificate names nobody who is known here"
    );
    // A list of another authority or an older list changes nothing.
    let trusted = ours.certificate.der();
    assert_eq!(
        identity.update_revocation_list(&other.list(5, &[7]), trusted),
        Err(RevocationListError::Signature)
    );
    assert_eq!(
        identity.update_revocation_list(&ours.list(5, &[7]), trusted),
        Ok(1)
    );
    assert_eq!(
        identity.update_revocation_list(&ours.list(4, &[]), trusted),
        Err(RevocationListError::Older)
    );
    assert_eq!(
        why(identity.authorize(at(1), &ask(&crew))),
        "the certificate is revoked"
    );
    // A revoked certificate is refused even if the request has a valid token.
    let token = signed(|_| {});
    let both = AuthRequest {
        certificate: Some(&crew),
        ..history(&token)
    };
    assert_eq!(
        why(identity.authorize(at(1), &both)),
        "the certificate is revoked"
    );
    let good = ours.client("unnamed.example", 9);
    let both = AuthRequest {
        certificate: Some(&good),
        ..history(&token)
    };
    assert_eq!(
        why(identity.authorize(at(1), &both)),
        "admitted by role crew"
    );
    let year = 365 * 86_400;
    let _ = identity.update_revocations(
        at(2 * year),
        Page {
            whole: true,
            ..Page::default()
        },
    );
    assert_eq!(
        why(identity.authorize(at(2 * year), &ask(&ours.client("crew-7.field.example", 10)))),
        "the certificate has expired"
    );
    assert!(
        identity.revocation_lists.overdue(at(year)) && !identity.revocation_lists.overdue(at(1))
    );
}

#[test]
fn distinguishes_missing_credentials_from_invalid_ones() {
    let mut identity = MANAGER.with(identity);
    let refusal = identity
        .authorize(
            at(1),
            &AuthRequest {
                index: "history",
                idempotent: true,
                ..AuthRequest::default()
            },
        )
        .expect_err("refused");
    assert_eq!(refusal.kind, RefusalKind::NoCredentials);
}

#[test]
fn a_key_manager_always_has_a_signer_and_publishes_keys_before_they_sign() {
    let (mut manager, random) = (manager(Algorithm::EdDsa), SystemRandom::new());
    assert!(matches!(
        manager.retire("k1", T0, 60),
        Err(KeyManagerError::LastSigner(_))
    ));
    assert!(matches!(
        manager.retire("k9", T0, 60),
        Err(KeyManagerError::UnknownKey(_))
    ));
    assert!(matches!(
        manager.new_key("k1", Algorithm::EdDsa, T0, 60, &random),
        Err(KeyManagerError::DuplicateId(_))
    ));
    let mut signers = Vec::new();
    for round in 1..20 {
        let now = T0 + round * 30;
        manager
            .rotate(&format!("r{round}"), Algorithm::EdDsa, now, 10, 60, &random)
            .expect("a key");
        for later in 0..30 {
            let signer = manager.signer(now + later).expect("always one");
            let served = manager.public(now + later).expect("a set");
            assert!(served["keys"]
                .as_array()
                .unwrap()
                .iter()
                .any(|key| key["kid"] == signer.id.as_str()));
            assert!(
                signer.id == "k1" || signer.made + 10 <= now + later,
                "published 10 s before"
            );
            signers.push(signer.id.clone());
        }
        manager.remove_expired(now + 29);
        assert!(manager.keys.len() <= 5, "{} keys", manager.keys.len());
    }
    signers.dedup();
    assert_eq!(signers.len(), 20);
}

#[test_case("tenant: \"north\", roles: [\"crew\"], until", "tenant: \"nowhere\", roles: [\"crew\"], until", "there is no tenant with the name 'nowhere'"; "tenant")]
#[test_case("roles: [\"reader\"]", "roles: [\"chief\"]", "there is no role with the name 'chief'"; "role")]
#[test_case("\"^get \"", "\"(\"", "acts[0].statement is not a valid regular expression, or too large"; "pattern")]
#[test_case("2027-01-16T12", "2027-13-16T12", "'2027-13-16T12:00:00Z' is not a time such as 2027-01-31T12:00:00Z"; "time")]
#[test_case("changes_go_on: 30s", "changes_go_on: 1h", "'changes_go_on' is longer than 'reads_go_on': requests that change something must be refused first"; "reversed grace periods")]
#[test_case("from: file: \"k\"", "from: {file: \"k\", address: \"127.0.0.1:1\"}", "keys.from: exactly one of 'file' and 'address' is required"; "a file and an address")]
#[test_case("{file: \"r\"}", "{address: \"key.example\"}", "'key.example' is not an IP address and port"; "a host name as address")]
fn refuses_contradictory_settings(from: &str, to: &str, expected: &str) {
    let config = config(|text| text.replace(from, to));
    assert_eq!(
        Identity::new(config)
            .err()
            .map(|fault| fault.to_string())
            .as_deref(),
        Some(expected)
    );
}
