//! The load test of identity: keys rotate, callers are revoked, all the while valid, expired, revoked and forged
//! callers ask over plain and TLS connections. Short in CI; `IDENTITY_LOAD_S` and `IDENTITY_ROTATE_S` make it long.
//! What is measured beside it is left out of CI: `cargo test --release --test identity_load -- --ignored --nocapture`.

mod common;

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::guarded::*;
use common::{Act, Discovery, Node, Router};
use hdrhistogram::Histogram;

/// Seconds that a token lasts.
const LIFE: u64 = 6;
/// Skew of the settings, and a second to be sure.
const SKEW: u64 = 3;

fn seconds(name: &str, otherwise: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(otherwise)
}

#[derive(Default)]
struct Counts {
    valid: AtomicU64,
    valid_refused: AtomicU64,
    valid_else: AtomicU64,
    bad: AtomicU64,
    bad_admitted: AtomicU64,
    revoked: AtomicU64,
    asked_after: AtomicU64,
    admitted_after: AtomicU64,
    longest_us: AtomicU64,
}

fn add(to: &AtomicU64) {
    to.fetch_add(1, Ordering::Relaxed);
}

type Ask = Box<dyn FnMut(&str) -> u16>;

/// A connection to an address, TLS where there is a client's side of it, on which one asks with headers.
fn asking(address: SocketAddr, config: Option<&Arc<rustls::ClientConfig>>) -> Ask {
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

fn valid(world: &World, counts: &Counts, mut ask: Ask, stop: &AtomicBool, certificate: bool) {
    let (mut token, mut until) = (String::new(), 0);
    while !stop.load(Ordering::Relaxed) {
        if now() + 2 >= until {
            let claims = world.claims("dispatcher-1", "north", &["crew"], LIFE);
            (until, token) = (claims.exp, bearer(&world.mint(&claims)));
        }
        add(&counts.valid);
        match ask(if certificate { "" } else { &token }) {
            200 => {}
            401 | 403 => add(&counts.valid_refused),
            _ => add(&counts.valid_else),
        }
        thread::sleep(Duration::from_millis(5));
    }
}

fn bad(world: &World, counts: &Counts, mut ask: Ask, stop: &AtomicBool) {
    let mut turn = 0;
    while !stop.load(Ordering::Relaxed) {
        let mut claims = world.claims("dispatcher-1", "north", &["crew"], LIFE);
        if turn % 3 == 0 {
            (claims.iat, claims.nbf, claims.exp) = (now() - 60, now() - 60, now() - SKEW);
        }
        let token = world.mint(&claims);
        let parts: Vec<&str> = token.split('.').collect();
        let token = match turn % 3 {
            0 => token,
            // "{"alg":"none","kid":"k1"}" and "{"alg":"EdDSA","kid":"ghost"}"
            1 => format!("eyJhbGciOiJub25lIiwia2lkIjoiazEifQ.{}.", parts[1]),
            _ => format!(
                "eyJhbGciOiJFZERTQSIsImtpZCI6Imdob3N0In0.{}.{}",
                parts[1], parts[2]
            ),
        };
        turn += 1;
        add(&counts.bad);
        if ask(&bearer(&token)) == 200 {
            add(&counts.bad_admitted);
        }
        thread::sleep(Duration::from_millis(5));
    }
}

fn revoked(world: &World, counts: &Counts, mut ask: Ask, stop: &AtomicBool, by_subject: bool) {
    while !stop.load(Ordering::Relaxed) {
        let mut claims = world.claims("dispatcher-1", "north", &["crew"], LIFE);
        if by_subject {
            claims.sub = format!("leaver-{}", claims.jti);
        }
        let token = bearer(&world.mint(&claims));
        add(&counts.valid);
        if ask(&token) != 200 {
            add(&counts.valid_refused);
        }
        if by_subject {
            world.revoke("subject", &claims.sub);
        } else {
            world.revoke("token", &claims.jti);
        }
        let (told, mut last) = (Instant::now(), Duration::ZERO);
        add(&counts.revoked);
        loop {
            let sent = told.elapsed();
            match ask(&token) {
                200 => last = sent,
                _ => break,
            }
            assert!(sent < Duration::from_secs(4), "the router is told in time");
            thread::sleep(Duration::from_millis(2));
        }
        counts
            .longest_us
            .fetch_max(last.as_micros() as u64, Ordering::Relaxed);
        for _ in 0..10 {
            add(&counts.asked_after);
            if ask(&token) == 200 {
                add(&counts.admitted_after);
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
#[allow(
    clippy::too_many_lines,
    reason = "one scenario, told in the order in which it happens"
)]
fn keys_rotate_and_no_valid_caller_is_refused_nor_a_revoked_one_admitted() {
    let (whole, every) = (
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
            scope.spawn(move || valid(world, counts, asking(plain, None), stop, false));
            let none = Arc::clone(none);
            scope.spawn(move || valid(world, counts, asking(tls, Some(&none)), stop, false));
        }
        let (crew, with_none) = (Arc::clone(crew), [Arc::clone(none), Arc::clone(none)]);
        let [first, second] = with_none;
        scope.spawn(move || valid(world, counts, asking(tls, Some(&crew)), stop, true));
        scope.spawn(move || bad(world, counts, asking(plain, None), stop));
        scope.spawn(move || bad(world, counts, asking(tls, Some(&first)), stop));
        scope.spawn(move || revoked(world, counts, asking(plain, None), stop, true));
        scope.spawn(move || revoked(world, counts, asking(tls, Some(&second)), stop, false));
        while began.elapsed() < Duration::from_secs(whole) {
            thread::sleep(
                Duration::from_secs(every).min(
                    Duration::from_secs(whole) - began.elapsed().min(Duration::from_secs(whole)),
                ),
            );
            rotations += 1;
            world.rotate(&format!("r{rotations}"), 1, LIFE + SKEW);
        }
        stop.store(true, Ordering::Relaxed);
    });
    let of = |count: &AtomicU64| count.load(Ordering::Relaxed);
    println!("| seconds | rotations | valid asked | refused (401, 403) | else | bad asked | admitted | revoked | asked after | admitted after | longest, ms |");
    println!(
        "| {whole} | {rotations} | {} | {} | {} | {} | {} | {} | {} | {} | {:.1} |",
        of(&counts.valid),
        of(&counts.valid_refused),
        of(&counts.valid_else),
        of(&counts.bad),
        of(&counts.bad_admitted),
        of(&counts.revoked),
        of(&counts.asked_after),
        of(&counts.admitted_after),
        of(&counts.longest_us) as f64 / 1000.0
    );
    assert_eq!((of(&counts.valid_refused), of(&counts.valid_else)), (0, 0));
    assert_eq!(
        (of(&counts.bad_admitted), of(&counts.admitted_after)),
        (0, 0)
    );
    assert!(
        of(&counts.valid) > 100
            && of(&counts.revoked) > 5
            && of(&counts.bad) > 100
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
        "150 plain ones more: {} kB",
        resident_kb(guarded.router.child.id()) - before
    );
}

#[test]
#[ignore = "a measurement, not a check"]
fn measure_the_time_of_an_answer_with_and_without_identity() {
    let world = World::new();
    let guarded = Guarded::start(&world);
    let node = Node::start([Act::Serve; 2]);
    let listed = common::entry("s0", node.address, "Ready");
    let open = Router::start(Discovery::default().start(), &listed, 1024);
    println!("| way | p50, us | p99, us | p99.9, us |");
    let print = |name: &str, mut ask: Box<dyn FnMut(&str) -> u16>, tokens: &[String]| {
        let mut seen = Histogram::<u64>::new(3).expect("a histogram");
        for at in 0..3000 {
            let began = Instant::now();
            assert_eq!(ask(&tokens[at % tokens.len()]), 200);
            if at >= 500 {
                seen.record(began.elapsed().as_micros() as u64)
                    .expect("recorded");
            }
        }
        let at = |q| seen.value_at_quantile(q);
        println!("| {name} | {} | {} | {} |", at(0.5), at(0.99), at(0.999));
    };
    let plain = |router: &Router| -> Box<dyn FnMut(&str) -> u16> {
        let mut stream = router.connect();
        Box::new(move |headers| ask(&mut stream, "whole", "find", headers).0)
    };
    let secure = |config: &Arc<rustls::ClientConfig>| -> Box<dyn FnMut(&str) -> u16> {
        let mut stream = guarded.secure(config);
        Box::new(move |headers| ask(&mut stream.0, "whole", "find", headers).0)
    };
    let one = [bearer(&world.token(&["crew"]))];
    // More than are remembered: each is verified anew.
    let many: Vec<String> = (0..3000).map(|_| bearer(&world.token(&["crew"]))).collect();
    print("without identity", plain(&open), &[String::new()]);
    print("a token that is remembered", plain(&guarded.router), &one);
    print("a new token each time", plain(&guarded.router), &many);
    print(
        "TLS, a token that is remembered",
        secure(&world.client(None)),
        &one,
    );
    print(
        "TLS, a certificate",
        secure(&world.client(Some(("crew-7.example", 7)))),
        &[String::new()],
    );
}
