//! Each hard case of keys, tokens, certificates, revocations and rights, over the border of the package.

use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use base64::Engine;
use ring::rand::SystemRandom;
use serde_json::{json, Value};
use ternpick::types::Micros;
use ternpick_identity::key_manager::{sign, Claims, KeyManager, KeyManagerError};
use ternpick_identity::{
    Act, Algorithm, AuthRequest, Certificate, Identity, IdentityConfig, KeySet, KeySetError, Page,
    Refusal, RefusalKind, RevocationListError, DEFINITIONS,
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

/// An identity that has heard of the workshop's keys and that nothing is revoked.
fn identity(manager: &KeyManager) -> Identity {
    let mut identity = Identity::new(config(str::to_owned)).expect("good terms");
    hear(&mut identity, manager, 0);
    let page = Page {
        whole: true,
        ..Page::default()
    };
    identity
        .update_revocations(at(0), page)
        .expect("a good page");
    identity
}

fn hear(identity: &mut Identity, manager: &KeyManager, now: u64) {
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
fn a_token_of_a_known_key_is_let_in_and_remembered(algorithm: Algorithm) {
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
#[test_case(json!({"alg": "HS256", "kid": "k1"}), None, "the token's algorithm is not its key's"; "a secret's")]
#[test_case(json!({"alg": "ES256", "kid": "k1"}), None, "the token's algorithm is not its key's"; "another's")]
#[test_case(json!({"alg": "EdDSA"}), None, "the token names no key"; "no key")]
#[test_case(json!({"alg": "EdDSA", "kid": "k9"}), None, "the token's key is not known"; "an unknown key")]
#[test_case(json!({"alg": "EdDSA", "kid": "k1", "jku": "https://x"}), None, "the token's header asks for what is not done here"; "a key by URL")]
#[test_case(json!({"alg": "EdDSA", "kid": "k1", "jwk": {}}), None, "the token's header asks for what is not done here"; "its own key")]
#[test_case(json!({"alg": "EdDSA", "kid": "k1", "x5u": "https://x"}), None, "the token's header asks for what is not done here"; "a certificate by URL")]
#[test_case(json!({"alg": "EdDSA", "kid": "k1", "crit": ["exp"]}), None, "the token's header asks for what is not done here"; "an extension")]
#[test_case(json!({"alg": "EdDSA", "kid": "k1", "typ": "secevent+jwt"}), None, "the token's header asks for what is not done here"; "another kind")]
#[test_case(json!({"alg": "EdDSA", "kid": "k1"}), Some("{}"), "the token's signature is wrong"; "another body")]
#[test_case(json!({"alg": "EdDSA", "kid": "k1"}), Some(DOUBLED), "the token's signature is wrong"; "doubled and unsigned")]
#[test_case(json!(["EdDSA"]), None, "the token is malformed"; "no object")]
fn a_forged_token_is_refused(header: Value, body: Option<&str>, says: &str) {
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
        (says, RefusalKind::InvalidCredentials)
    );
    assert_eq!(refusal.unknown_key, says.contains("not known"));
    assert_eq!(identity.cached_tokens(), 0, "nothing of it is remembered");
}

#[test_case("", "the token is malformed"; "nothing")]
#[test_case("a.b", "the token is malformed"; "two parts")]
#[test_case("a.b.c.d", "the token is malformed"; "four parts")]
#[test_case("%%.%%.%%", "the token is malformed"; "no base64")]
#[test_case(&"x".repeat(64 * 1024), "the token is longer than any is"; "64 kB")]
fn what_is_no_token_is_refused(token: &str, says: &str) {
    let mut identity = identity(&manager(Algorithm::EdDsa));
    assert_eq!(why(identity.authorize(at(1), &history(token))), says);
}

/// A signed token whose claims are changed.
fn signed(change: impl Fn(&mut Value)) -> String {
    let mut said = serde_json::to_value(claims(0)).expect("JSON");
    change(&mut said);
    MANAGER.with(|manager| sign(manager.signer(T0).expect("a key"), &said).expect("a token"))
}

thread_local! {
    static MANAGER: KeyManager = manager(Algorithm::EdDsa);
}

#[test_case(|c| c["iss"] = json!("https://other"), 1, "the token is of another issuer"; "issuer")]
#[test_case(|c| c["aud"] = json!(["a", "b"]), 1, "the token is for another audience"; "audience")]
#[test_case(|c| c["aud"] = json!(["a", "search"]), 1, "admitted by role crew"; "one of several audiences")]
#[test_case(|_| {}, 304, "admitted by role crew"; "ended within the skew")]
#[test_case(|_| {}, 305, "the token has expired"; "ended beyond the skew")]
#[test_case(|c| { c["nbf"] = json!(T0 + 6); c["iat"] = json!(T0 + 6); }, 1, "admitted by role crew"; "early within the skew")]
#[test_case(|c| c["nbf"] = json!(T0 + 7), 1, "the token is not valid yet"; "early beyond the skew")]
#[test_case(|c| c["iat"] = json!(T0 + 60), 1, "the token is not valid yet"; "made in the future")]
#[test_case(|c| c["exp"] = json!(T0 + 3601), 1, "the token is made for longer than is allowed"; "long lived")]
#[test_case(|c| c["exp"] = json!(1e300), 1, "the token is malformed"; "no time")]
#[test_case(|c| c["exp"] = json!(-1), 1, "the token is malformed"; "before all time")]
#[test_case(|c| c["exp"] = json!("1800000300"), 1, "the token is malformed"; "a time in quotes")]
#[test_case(|c| { c.as_object_mut().unwrap().remove("exp"); }, 1, "the token is malformed"; "no end")]
#[test_case(|c| { c.as_object_mut().unwrap().remove("iat"); }, 1, "the token is malformed"; "no beginning")]
#[test_case(|c| c["sub"] = json!("a\nb"), 1, "the token is malformed"; "a line end in a name")]
#[test_case(|c| c["roles"] = json!(vec!["crew"; 65]), 1, "the token is malformed"; "too many roles")]
#[test_case(|c| c["tenant"] = json!("east"), 1, "the tenant is not known"; "unknown tenant")]
#[test_case(|c| c["roles"] = json!(["reader"]), 1, "no role grants read here"; "a role that its tenant may not give")]
fn a_signed_token_is_judged_by_what_it_says(change: fn(&mut Value), now: u64, says: &str) {
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
        says
    );
}

#[test]
fn a_claim_that_stands_twice_is_refused_though_signed() {
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
fn a_key_retired_a_moment_later_verifies_until_its_end_and_not_beyond() {
    let mut manager = manager(Algorithm::EdDsa);
    let mut identity = identity(&manager);
    let old = manager.mint(&claims(0), T0).expect("a token");
    manager
        .rotate("k2", Algorithm::EdDsa, T0 + 1, 10, 60, &SystemRandom::new())
        .expect("a key");
    hear(&mut identity, &manager, 2);
    assert_eq!(
        manager.signer(T0 + 11).expect("a signer").id,
        "k1",
        "the new one is only published"
    );
    let new = manager.mint(&claims(12), T0 + 12).expect("a token");
    for now in [12, 40, 71] {
        hear(&mut identity, &manager, now);
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
    // Its end acts by itself, remembered or not, before any set says so.
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
fn two_sets_by_turns_refuse_nobody_and_a_lasting_one_retires_a_key() {
    let (mut one, mut other) = (manager(Algorithm::EdDsa), KeyManager::default());
    other
        .new_key("k2", Algorithm::Es256, T0, 60, &SystemRandom::new())
        .expect("a key");
    let mut identity = identity(&one);
    // Two services that do not count their sets.
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
fn an_older_set_a_reused_id_and_half_a_set_do_no_harm() {
    let mut manager = manager(Algorithm::EdDsa);
    let mut identity = identity(&manager);
    let old = manager.public(T0).expect("a set").to_string();
    manager
        .new_key("k2", Algorithm::EdDsa, T0 + 1, 60, &SystemRandom::new())
        .expect("a key");
    hear(&mut identity, &manager, 1);
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

#[test_case("", KeySetError::Malformed; "nothing")]
#[test_case("{\"keys\": [", KeySetError::Malformed; "cut")]
#[test_case("{\"keys\": []}", KeySetError::Empty("".into()); "no key")]
#[test_case("{\"keys\": [{\"kty\":\"RSA\",\"kid\":\"a\",\"x\":\"\"}]}", KeySetError::Empty("key \"a\" is of a kind that is not used here (Ed25519 and P-256 are)".into()); "another kind")]
#[test_case("{\"keys\": [{\"kty\":\"OKP\",\"crv\":\"Ed25519\",\"kid\":\"a\",\"x\":\"AA\",\"d\":\"AA\"}]}", KeySetError::Empty("key \"a\" is a private one: it must not be published, revoke it".into()); "a private key")]
#[test_case("{\"keys\": [{\"kty\":\"OKP\",\"crv\":\"Ed25519\",\"kid\":\"a\",\"alg\":\"ES256\",\"x\":\"AA\"}]}", KeySetError::Empty("key \"a\" is for another algorithm than its kind".into()); "another algorithm")]
fn a_set_that_is_none_is_refused_and_says_why(text: &str, fault: KeySetError) {
    assert_eq!(KeySet::parse(text.as_bytes()).err(), Some(fault));
}

#[test_case("get tag 7", &["crew"], "admitted by role crew"; "reads")]
#[test_case("set tag 7", &["crew"], "no role grants set here"; "may read, not set")]
#[test_case("set tag 7", &["crew", "safety"], "admitted by role safety"; "may set")]
#[test_case("get tag 7; set tag 7", &["crew"], "admitted by role crew"; "what only the node would tell apart is the pattern's to say")]
#[test_case("reset tag 7", &["safety", "trainee"], "admitted by role safety"; "a role that its tenant may not give denies nothing")]
#[test_case("c41e", &["crew"], "no role grants set here"; "a statement that tells nothing could do everything")]
#[test_case("c41e", &["safety"], "admitted by role safety"; "and needs every right")]
fn the_act_is_told_from_what_a_node_will_run(statement: &str, roles: &[&str], says: &str) {
    let token = signed(|claims| claims["roles"] = json!(roles));
    let mut identity = MANAGER.with(identity);
    assert_eq!(
        why(identity.authorize(at(1), &tag(&token, statement))),
        says
    );
}

#[test]
fn a_denial_goes_before_any_grant_and_rights_explain_themselves() {
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
fn a_contractor_acts_for_a_tenant_until_its_time_and_in_the_roles_given() {
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

#[test_case(31, "read", "admitted by role crew"; "reading goes on")]
#[test_case(31, "set", "what is revoked is not known well enough to set here"; "setting stops first")]
#[test_case(30, "set", "admitted by role safety"; "within its grace")]
#[test_case(601, "read", "what is revoked is not known well enough to read here"; "all stops")]
fn a_feed_fallen_silent_is_trusted_by_its_age_and_by_what_is_asked(
    now: u64,
    act: &str,
    says: &str,
) {
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
        (says, says.contains("enough"))
    );
}

fn page(text: &str) -> Page {
    Page::parse(text.as_bytes()).expect("a page")
}

#[test_case(r#"{"after":0,"to":1,"entries":[{"number":1,"token":"t-0"}]}"#, "the token is revoked"; "by token")]
#[test_case(r#"{"after":0,"to":1,"entries":[{"number":1,"subject":"dispatcher-1"}]}"#, "the subject is revoked"; "by subject")]
#[test_case(r#"{"after":0,"to":1,"entries":[{"number":1,"key":"k1"}]}"#, "the token's key is revoked"; "by key")]
#[test_case(r#"{"after":0,"to":1,"entries":[{"number":1,"token":"t-1"}]}"#, "admitted by role crew"; "another token")]
#[test_case(r#"{"to":2,"whole":true,"entries":[{"number":2,"subject":"dispatcher-1","until":1800000001}]}"#, "the subject is revoked"; "in a whole list")]
fn a_revoked_caller_is_refused_at_once_though_remembered(text: &str, says: &str) {
    let (mut identity, token) = (MANAGER.with(identity), signed(|_| {}));
    assert!(identity.authorize(at(1), &history(&token)).is_ok());
    identity
        .update_revocations(at(1), page(text))
        .expect("taken");
    assert_eq!(why(identity.authorize(at(1), &history(&token))), says);
}

#[test]
fn a_gap_a_doubled_an_older_and_a_reordered_page_never_undo_a_revocation() {
    let (mut identity, token) = (MANAGER.with(identity), signed(|_| {}));
    let hear = |identity: &mut Identity, text: &str| identity.update_revocations(at(1), page(text));
    let revoke = r#"{"after":0,"to":2,"entries":[{"number":2,"token":"t-0"},{"number":1,"token":"x"},{"number":1,"token":"x"}]}"#;
    assert_eq!(hear(&mut identity, revoke), Ok(2));
    assert_eq!(hear(&mut identity, revoke), Ok(0), "doubled");
    let refused = [
        r#"{"after":3,"to":4,"entries":[{"number":4,"token":"y"}]}"#,
        r#"{"after":2,"to":4,"entries":[{"number":4,"token":"y"}]}"#,
        r#"{"after":0,"to":1,"entries":[{"number":1,"token":"t-0","lifted":true}]}"#,
        r#"{"to":1,"whole":true,"entries":[]}"#,
        r#"{"after":2,"to":3,"entries":[{"number":3,"token":"y"},{"number":3,"token":"z"}]}"#,
        r#"{"after":2,"to":3,"entries":[{"number":5,"token":"y"}]}"#,
    ];
    for text in refused {
        assert!(hear(&mut identity, text).is_err(), "{text}");
    }
    // A service that serves half of its list brings nobody back.
    assert_eq!(
        hear(&mut identity, r#"{"to":9,"whole":true,"entries":[]}"#),
        Ok(0)
    );
    assert_eq!(
        why(identity.authorize(at(1), &history(&token))),
        "the token is revoked"
    );
    assert_eq!(
        hear(
            &mut identity,
            r#"{"after":9,"to":10,"entries":[{"number":10,"token":"t-0","lifted":true}]}"#
        ),
        Ok(1)
    );
    assert_eq!(
        why(identity.authorize(at(1), &history(&token))),
        "admitted by role crew"
    );
    // An older word on it, in a whole list, stays undone.
    let _ = hear(
        &mut identity,
        r#"{"to":10,"whole":true,"entries":[{"number":2,"token":"t-0"}]}"#,
    );
    assert_eq!(
        why(identity.authorize(at(1), &history(&token))),
        "admitted by role crew"
    );
}

#[test_case(r#"{"to":1}"#; "no entries")]
#[test_case(r#"{"to":1,"entries":[{"number":1}]}"#; "of nothing")]
#[test_case(r#"{"to":1,"entries":[{"number":1,"token":"a","key":"b"}]}"#; "of two things")]
#[test_case(r#"{"to":-1,"entries":[]}"#; "below nothing")]
fn a_page_that_makes_no_sense_is_refused(text: &str) {
    assert!(Page::parse(text.as_bytes()).is_err());
}

/// An authority, a certificate of it for `name`, and lists that revoke what is told, by number.
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
fn a_certificate_shown_on_an_open_connection_is_judged_again_with_each_request() {
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
    // A list by somebody else, or an older one, changes nothing.
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
    // With a token beside it, a revoked certificate still shuts its connection out.
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
fn no_proof_is_told_apart_from_a_bad_one() {
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
fn a_workshop_never_stands_without_a_signer_and_publishes_before_it_signs() {
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

#[test_case("tenant: \"north\", roles: [\"crew\"], until", "tenant: \"nowhere\", roles: [\"crew\"], until", "no tenant is named 'nowhere'"; "tenant")]
#[test_case("roles: [\"reader\"]", "roles: [\"chief\"]", "no role is named 'chief'"; "role")]
#[test_case("\"^get \"", "\"(\"", "acts[0].statement is no pattern, or one too large"; "pattern")]
#[test_case("2027-01-16T12", "2027-13-16T12", "'2027-13-16T12:00:00Z' is no time such as 2027-01-31T12:00:00Z"; "time")]
#[test_case("changes_go_on: 30s", "changes_go_on: 1h", "'changes_go_on' is longer than 'reads_go_on': setting a tag is to stop first"; "graces")]
#[test_case("from: file: \"k\"", "from: {file: \"k\", address: \"127.0.0.1:1\"}", "keys.from: exactly one of 'file' and 'address' is wanted"; "two sources")]
#[test_case("{file: \"r\"}", "{address: \"key.example\"}", "'key.example' is no address and port"; "a name for an address")]
fn terms_that_make_no_sense_together_are_refused(from: &str, to: &str, says: &str) {
    let config = config(|text| text.replace(from, to));
    assert_eq!(
        Identity::new(config)
            .err()
            .map(|fault| fault.to_string())
            .as_deref(),
        Some(says)
    );
}
