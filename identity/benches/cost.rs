//! The cost of authorizing one request with a token that is verified, a cached token, and a certificate.

use criterion::{criterion_group, criterion_main, Criterion};
use ring::rand::SystemRandom;
use serde_json::json;
use ternpick::types::Micros;
use ternpick_identity::key_manager::{Claims, KeyManager};
use ternpick_identity::{
    Algorithm, AuthRequest, Certificate, Identity, IdentityConfig, KeySet, Page,
};

const T0: u64 = 1_800_000_000;

fn identity(known: usize, manager: &KeyManager) -> Identity {
    let source = json!({"file": "k", "path": "/", "every": 1, "apart": 1, "patience": 1});
    let config: IdentityConfig = serde_json::from_value(json!({
        "issuer": "i", "audience": "a", "skew": 0, "longest": 3_600_000_000u64, "known": known,
        "keys": {"from": source, "lingers": 60_000_000},
        "revocations": {"from": source, "reads_go_on": 1u64 << 50, "changes_go_on": 1u64 << 50},
        "certificates": [{"name": "crew.example", "subject": "c", "tenant": "t", "roles": ["r"]}],
        "tenants": {"t": {}}, "roles": {"r": {"grants": [{"index": "x", "acts": ["read"], "deny": false}]}},
    }))
    .expect("terms");
    let mut identity = Identity::new(config).expect("good terms");
    let set =
        KeySet::parse(manager.public(T0).expect("a set").to_string().as_bytes()).expect("good");
    identity.update_keys(at(), &set).expect("taken");
    identity
        .update_revocations(
            at(),
            Page {
                whole: true,
                ..Page::default()
            },
        )
        .expect("taken");
    identity
}

fn at() -> Micros {
    Micros((T0 + 1) * 1_000_000)
}

fn tokens(manager: &KeyManager, count: usize) -> Vec<String> {
    let claims = |n| Claims {
        iss: "i".into(),
        aud: "a".into(),
        sub: "s".into(),
        tenant: "t".into(),
        roles: vec!["r".into()],
        jti: format!("t{n}"),
        iat: T0,
        nbf: T0,
        exp: T0 + 600,
    };
    (0..count)
        .map(|n| manager.mint(&claims(n), T0).expect("a token"))
        .collect()
}

fn cost(bench: &mut Criterion) {
    for algorithm in [Algorithm::EdDsa, Algorithm::Es256] {
        let mut manager = KeyManager::default();
        manager
            .new_key("k", algorithm, T0, 0, &SystemRandom::new())
            .expect("a key");
        let tokens = tokens(&manager, 64);
        let ask = |token| AuthRequest {
            token: Some(token),
            index: "x",
            idempotent: true,
            ..AuthRequest::default()
        };
        let (mut fresh, mut turn) = (identity(1, &manager), 0);
        bench.bench_function(&format!("a token verified, {}", algorithm.name()), |run| {
            run.iter(|| {
                turn += 1;
                fresh
                    .authorize(at(), &ask(&tokens[turn % 64]))
                    .expect("let in")
            })
        });
        let mut warm = identity(2048, &manager);
        bench.bench_function(
            &format!("a token remembered, {}", algorithm.name()),
            |run| run.iter(|| warm.authorize(at(), &ask(&tokens[0])).expect("let in")),
        );
    }
    let mut manager = KeyManager::default();
    manager
        .new_key("k", Algorithm::EdDsa, T0, 0, &SystemRandom::new())
        .expect("a key");
    let mut identity = identity(1, &manager);
    let key = rcgen::KeyPair::generate().expect("a key");
    let params = rcgen::CertificateParams::new(vec!["crew.example".into()]).expect("parameters");
    let der = params.self_signed(&key).expect("a certificate");
    let certificate = Certificate::parse(der.der()).expect("it reads");
    let ask = AuthRequest {
        certificate: Some(&certificate),
        index: "x",
        idempotent: true,
        ..AuthRequest::default()
    };
    bench.bench_function("a certificate, already read", |run| {
        run.iter(|| identity.authorize(at(), &ask).expect("let in"))
    });
    bench.bench_function("a certificate read, once a connection", |run| {
        run.iter(|| Certificate::parse(der.der()))
    });
}

criterion_group!(benches, cost);
criterion_main!(benches);
