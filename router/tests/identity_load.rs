//! Load test of identity: keys are rotated and callers revoked while callers with valid, expired, revoked and forged
//! tokens send queries over plain and TLS connections. It is short in CI; `IDENTITY_LOAD_S` and `IDENTITY_ROTATE_S` set
//! its length and the interval of rotations. The measurements are not run in CI:
//! `cargo test --release --test identity_load -- --ignored --nocapture`.

mod common;

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::guarded::*;
use common::{Act, Discovery, Node, Router};
use hdrhistogram::Histogram;

/// The lifetime of a token.
const TOKEN_LIFETIME_S: u64 = 6;
/// The clock skew of the settings, and a second of margin.
const CLOCK_SKEW_S: u64 = 3;

fn seconds(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

#[derive(Default)]
struct Counts {
    valid: AtomicU64,
    valid_refused: AtomicU64,
    valid_other_status: AtomicU64,
    invalid: AtomicU64,
    invalid_admitted: AtomicU64,
    revoked: AtomicU64,
    sent_after_revocation: AtomicU64,
    admitted_after_revocation: AtomicU64,
    longest_admitted_us: AtomicU64,
}

fn increment(to: &AtomicU64) {
    to.fetch_add(1, Ordering::Relaxed);
}

type SendQuery = Box<dyn FnMut(&str) -> u16>;

/// Connects to an address, by TLS if there is a client configuration. The result sends a query with the given headers
/// and returns the status of the answer.
fn connect(address: SocketAddr, config: Option<&Arc<rustls::ClientConfig>>) -> SendQuery {
    match config {
        Some(config) => {
            let mut stream = Secure::over(address, config).expect("a handshake");
            Box::new(move |headers| ask(&mut stream.0, "whole", "find", headers).0)
        }
        None => {
            let mut stream = TcpStream::connect(address).expect("a connection");
            Box::new(move |headers| ask(&mut stream, "whole", "find", headers).0)
        }
    }
}

fn send_valid(
    world: &World,
    counts: &Counts,
    mut send: SendQuery,
    stop: &AtomicBool,
    certificate: bool,
) {
    let (mut token, mut until) = (String::new(), 0);
    while !stop.load(Ordering::Relaxed) {
        if now() + 2 >= until {
            let claims = world.claims("dispatcher-1", "north", &["crew"], TOKEN_LIFETIME_S);
            (until, token) = (claims.exp, bearer(&world.mint(&claims)));
        }
        increment(&counts.valid);
        match send(if certificate { "" } else { &token }) {
            200 => {}
            401 | 403 => increment(&counts.valid_refused),
            _ => increment(&counts.valid_other_status),
        }
        thread::sleep(Duration::from_millis(5));
    }
}

fn send_invalid(world: &World, counts: &Counts, mut send: SendQuery, stop: &AtomicBool) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let mut claims = world.claims("dispatcher-1", "north", &["crew"], TOKEN_LIFETIME_S);
        if number % 3 == 0 {
            (claims.iat, claims.nbf, claims.exp) = (now() - 60, now() - 60, now() - CLOCK_SKEW_S);
        }
        let token = world.mint(&claims);
        let parts: Vec<&str> = token.split('.').collect();
        let token = match number % 3 {
            0 => token,
            // "{"alg":"none","kid":"k1"}" and "{"alg":"EdDSA","kid":"ghost"}"
            1 => format!("eyJhbGciOiJub25lIiwia2lkIjoiazEifQ.{}.", parts[1]),
            _ => format!(
                "eyJhbGciOiJFZERTQSIsImtpZCI6Imdob3N0In0.{}.{}",
                parts[1], parts[2]
            ),
        };
        number += 1;
        increment(&counts.invalid);
        if send(&bearer(&token)) == 200 {
            increment(&counts.invalid_admitted);
        }
        thread::sleep(Duration::from_millis(5));
    }
}

fn send_revoked(
    world: &World,
    counts: &Counts,
    mut send: SendQuery,
    stop: &AtomicBool,
    by_subject: bool,
) {
    while !stop.load(Ordering::Relaxed) {
        let mut claims = world.claims("dispatcher-1", "north", &["crew"], TOKEN_LIFETIME_S);
        if by_subject {
            claims.sub = format!("leaver-{}", claims.jti);
        }
        let token = bearer(&world.mint(&claims));
        increment(&counts.valid);
        if send(&token) != 200 {
            increment(&counts.valid_refused);
        }
        if by_subject {
            world.revoke("subject", &claims.sub);
        } else {
            world.revoke("token", &claims.jti);
        }
        let (revoked_at, mut last) = (Instant::now(), Duration::ZERO);
        increment(&counts.revoked);
        loop {
            let sent = revoked_at.elapsed();
            match send(&token) {
                200 => last = sent,
                _ => break,
            }
            assert!(
                sent < Duration::from_secs(4),
                "the router enforces the revocation within 4 s"
            );
            thread::sleep(Duration::from_millis(2));
        }
        counts
            .longest_admitted_us
            .fetch_max(last.as_micros() as u64, Ordering::Relaxed);
        for _ in 0..10 {
            increment(&counts.sent_after_revocation);
            if send(&token) == 200 {
                increment(&counts.admitted_after_revocation);
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
#[allow(
    clippy::too_many_lines,
    reason = "one scenario, in the order in which it happens"
)]
fn admits_all_valid_and_no_revoked_or_forged_callers_while_keys_rotate() {
    let (load_s, rotate_every_s) = (
        seconds("IDENTITY_LOAD_S", 8),
        seconds("IDENTITY_ROTATE_S", 2),
    );
    let (world, counts, stop) = (World::new(), Counts::default(), AtomicBool::new(false));
    let guarded = Guarded::start(&world);
    let crew = world.client(Some(("crew-7.example", 7)));
    let began = Instant::now();
    let mut rotations = 0;
    thread::scope(|scope| {
        let (world, counts, stop) = (&world, &counts, &stop);
        let (plain, tls, none) = (guarded.router.address, guarded.tls, world.client(None));
        let (none, crew) = (&none, &crew);
        for _ in 0..3 {
            scope.spawn(move || send_valid(world, counts, connect(plain, None), stop, false));
            let none = Arc::clone(none);
            scope.spawn(move || send_valid(world, counts, connect(tls, Some(&none)), stop, false));
        }
        let (crew, with_none) = (Arc::clone(crew), [Arc::clone(none), Arc::clone(none)]);
        let [first, second] = with_none;
        scope.spawn(move || send_valid(world, counts, connect(tls, Some(&crew)), stop, true));
        scope.spawn(move || send_invalid(world, counts, connect(plain, None), stop));
        scope.spawn(move || send_invalid(world, counts, connect(tls, Some(&first)), stop));
        scope.spawn(move || send_revoked(world, counts, connect(plain, None), stop, true));
        scope.spawn(move || send_revoked(world, counts, connect(tls, Some(&second)), stop, false));
        while began.elapsed() < Duration::from_secs(load_s) {
            thread::sleep(Duration::from_secs(rotate_every_s).min(
                Duration::from_secs(load_s) - began.elapsed().min(Duration::from_secs(load_s)),
            ));
            rotations += 1;
            world.rotate(&format!("r{rotations}"), 1, TOKEN_LIFETIME_S + CLOCK_SKEW_S);
        }
        stop.store(true, Ordering::Relaxed);
    });
    let value_of = |count: &AtomicU64| count.load(Ordering::Relaxed);
    println!("| seconds | rotations | valid queries | refused (401, 403) | other status | invalid queries | admitted | revocations | queries after | admitted after | longest, ms |");
    println!(
        "| {load_s} | {rotations} | {} | {} | {} | {} | {} | {} | {} | {} | {:.1} |",
        value_of(&counts.valid),
        value_of(&counts.valid_refused),
        value_of(&counts.valid_other_status),
        value_of(&counts.invalid),
        value_of(&counts.invalid_admitted),
        value_of(&counts.revoked),
        value_of(&counts.sent_after_revocation),
        value_of(&counts.admitted_after_revocation),
        value_of(&counts.longest_admitted_us) as f64 / 1000.0
    );
    assert_eq!(
        (
            value_of(&counts.valid_refused),
            value_of(&counts.valid_other_status)
        ),
        (0, 0)
    );
    assert_eq!(
        (
            value_of(&counts.invalid_admitted),
            value_of(&counts.admitted_after_revocation)
        ),
        (0, 0)
    );
    assert!(
        value_of(&counts.valid) > 100
            && value_of(&counts.revoked) > 5
            && value_of(&counts.invalid) > 100
            && rotations > 2
    );
}

fn resident_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).expect("a process");
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS"))
        .expect("a line");
    line.split_whitespace()
        .nth(1)
        .and_then(|kb| kb.parse().ok())
        .expect("a number")
}

#[test]
#[ignore = "a measurement, not a check"]
fn measure_memory_of_idle_tls_connections() {
    let world = World::new();
    let guarded = Guarded::sized(&world, None, None, "info", 8192, 192);
    let client = world.client(Some(("crew-7.example", 7)));
    let mut held = Vec::new();
    println!("| idle TLS connections | resident, kB | each, kB |");
    let base = resident_kb(guarded.router.child.id());
    for _ in 0..5 {
        for _ in 0..150 {
            let mut stream = guarded.secure(&client);
            assert_eq!(ask(&mut stream.0, "whole", "find", "").0, 200);
            held.push(stream);
        }
        let now = resident_kb(guarded.router.child.id());
        println!(
            "| {} | {now} | {:.1} |",
            held.len(),
            (now - base) as f64 / held.len() as f64
        );
    }
    let mut plain = Vec::new();
    let before = resident_kb(guarded.router.child.id());
    for _ in 0..150 {
        let mut stream = guarded.router.connect();
        assert_eq!(
            ask(
                &mut stream,
                "whole",
                "find",
                &bearer(&world.token(&["crew"]))
            )
            .0,
            200
        );
        plain.push(stream);
    }
    println!(
        "150 more plain connections: {} kB",
        resident_kb(guarded.router.child.id()) - before
    );
}

#[test]
#[ignore = "a measurement, not a check"]
fn measure_the_latency_with_and_without_identity() {
    let world = World::new();
    let guarded = Guarded::start(&world);
    let node = Node::start([Act::Serve; 2]);
    let listed = common::entry("s0", node.address, "Ready");
    let without_identity = Router::start(Discovery::default().start(), &listed, 1024);
    println!("| way | p50, us | p99, us | p99.9, us |");
    let measure = |name: &str, mut send: SendQuery, tokens: &[String]| {
        let mut latencies = Histogram::<u64>::new(3).expect("a histogram");
        for number in 0..3000 {
            let began = Instant::now();
            assert_eq!(send(&tokens[number % tokens.len()]), 200);
            if number >= 500 {
                latencies
                    .record(began.elapsed().as_micros() as u64)
                    .expect("recorded");
            }
        }
        let quantile = |q| latencies.value_at_quantile(q);
        println!(
            "| {name} | {} | {} | {} |",
            quantile(0.5),
            quantile(0.99),
            quantile(0.999)
        );
    };
    let plain = |router: &Router| -> SendQuery {
        let mut stream = router.connect();
        Box::new(move |headers| ask(&mut stream, "whole", "find", headers).0)
    };
    let secure = |config: &Arc<rustls::ClientConfig>| -> SendQuery {
        let mut stream = guarded.secure(config);
        Box::new(move |headers| ask(&mut stream.0, "whole", "find", headers).0)
    };
    let one = [bearer(&world.token(&["crew"]))];
    // More tokens than the token cache holds, so that each is verified again.
    let many: Vec<String> = (0..3000).map(|_| bearer(&world.token(&["crew"]))).collect();
    measure(
        "without identity",
        plain(&without_identity),
        &[String::new()],
    );
    measure("a cached token", plain(&guarded.router), &one);
    measure("a new token each time", plain(&guarded.router), &many);
    measure("TLS, a cached token", secure(&world.client(None)), &one);
    measure(
        "TLS, a certificate",
        secure(&world.client(Some(("crew-7.example", 7)))),
        &[String::new()],
    );
}
