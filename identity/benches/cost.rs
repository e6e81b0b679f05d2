//! What judging one request costs: a token verified, one that is remembered, a certificate.

use criterion::{criterion_group, criterion_main, Criterion};
use ring::rand::SystemRandom;
use serde_json::json;
use ternpick::types::Micros;
use ternpick_identity::key_manager::{Claims, KeyManager};
use ternpick_identity::{Algorithm, Ask, Certificate, Identity, KeySet, Page, Terms};

const T0: u64 = 1_800_000_000;

fn identity(known: usize, shop: &KeyManager) -> Identity {
    let source = json!({"file": "k", "path": "/", "every": 1, "apart": 1, "patience": 1});
    let terms: Terms = serde_json::from_value(json!({
        "issuer": "i", "audience": "a", "skew": 0, "longest": 3_600_000_000u64, "known": known,
        "keys": {"from": source, "lingers": 60_000_000},
        "revocations": {"from": source, "reads_go_on": 1u64 << 50, "changes_go_on": 1u64 << 50},
        "certificates": [{"name": "crew.example", "subject": "c", "tenant": "t", "roles": ["r"]}],
        "tenants": {"t": {}}, "roles": {"r": {"grants": [{"index": "x", "acts": ["read"], "deny": false}]}},
    }))
    .expect("terms");
    let mut identity = Identity::new(terms).expect("good terms");
    let set = KeySet::parse(shop.public(T0).expect("a set").to_string().as_bytes()).expect("good");
    identity.told_of_keys(at(), &set).expect("taken");
    identity
        .told_of_revocations(
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

fn tokens(shop: &KeyManager, count: usize) -> Vec<String> {
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
        .map(|n| shop.mint(&claims(n), T0).expect("a token"))
        .collect()
}

fn cost(bench: &mut Criterion) {
    for algorithm in [Algorithm::EdDsa, Algorithm::Es256] {
        let mut shop = KeyManager::default();
        shop.new_key("k", algorithm, T0, 0, &SystemRandom::new())
            .expect("a key");
        let tokens = tokens(&shop, 64);
        let ask = |token| Ask {
            token: Some(token),
            index: "x",
            idempotent: true,
            ..Ask::default()
        };
        let (mut fresh, mut turn) = (identity(1, &shop), 0);
        bench.bench_function(&format!("a token verified, {}", algorithm.word()), |run| {
            run.iter(|| {
                turn += 1;
                fresh.judge(at(), &ask(&tokens[turn % 64])).expect("let in")
            })
        });
        let mut warm = identity(2048, &shop);
        bench.bench_function(
            &format!("a token remembered, {}", algorithm.word()),
            |run| run.iter(|| warm.judge(at(), &ask(&tokens[0])).expect("let in")),
        );
    }
    let mut shop = KeyManager::default();
    shop.new_key("k", Algorithm::EdDsa, T0, 0, &SystemRandom::new())
        .expect("a key");
    let mut identity = identity(1, &shop);
    let key = rcgen::KeyPair::generate().expect("a key");
    let params = rcgen::CertificateParams::new(vec!["crew.example".into()]).expect("parameters");
    let der = params.self_signed(&key).expect("a certificate");
    let certificate = Certificate::read(der.der()).expect("it reads");
    let ask = Ask {
        certificate: Some(&certificate),
        index: "x",
        idempotent: true,
        ..Ask::default()
    };
    bench.bench_function("a certificate, already read", |run| {
        run.iter(|| identity.judge(at(), &ask).expect("let in"))
    });
    bench.bench_function("a certificate read, once a connection", |run| {
        run.iter(|| Certificate::read(der.der()))
    });
}

criterion_group!(benches, cost);
criterion_main!(benches);
