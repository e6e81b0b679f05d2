//! System calls that are interrupted or transfer few bytes, dials that fail, connections to nodes that break.

use std::thread;
use std::time::Instant;

use ternpick_fault_injection::{Call, Effect, Role, Rule};
use test_case::test_case;

use crate::common::faulty::Faulty;
use crate::common::*;
use crate::support::*;

/// Guards against a router that ignores SIGTERM because the signal's bytes arrive in pieces, with failed reads in
/// between.
#[test]
fn interrupted_and_short_calls_lose_no_query_and_a_signal_is_handled_once() {
    let cases = [(2, 0), (3, 0), (2, 1), (3, 3)];
    run_in_parallel(cases.map(|(every, short_bytes)| move || interrupted(every, short_bytes)));
}

/// Interrupts one in `every` calls and transfers at most `short_bytes` bytes per call, unless that is 0.
fn interrupted(every: u64, short_bytes: usize) {
    let mut rules = vec![
        Rule::fails(Call::Receive, Role::Any, every, &["EINTR"]),
        Rule::fails(Call::Send, Role::Any, every, &["EINTR"]),
        Rule::fails(Call::Wait, Role::Any, every, &["EINTR"]),
        Rule::fails(Call::Accept, Role::Any, every, &["EINTR"]),
    ];
    if short_bytes > 0 {
        rules.push(Rule::new(
            Call::Receive,
            Role::Any,
            1,
            Effect::Short(short_bytes),
        ));
        rules.push(Rule::new(
            Call::Send,
            Role::Any,
            1,
            Effect::Short(short_bytes),
        ));
    }
    let mut faulty = Faulty::start(SETTINGS, &[Act::Serve, Act::Serve], &plan(rules));
    for id in 0..20 {
        assert_eq!(
            ask(&mut faulty.router.connect(), "whole", &format!("r{id}")).2,
            WHOLE
        );
    }
    faulty.router.signal("-TERM");
    let signalled = Instant::now();
    assert_eq!(ask(&mut faulty.router.connect(), "whole", "late").2, WHOLE);
    assert!(
        faulty.router.ended() && signalled.elapsed() < 3700 * MS,
        "ended {:?} after the signal",
        signalled.elapsed()
    );
    faulty.all_struck();
    let log = faulty.log();
    let lines = |text: &str| log.lines().filter(|line| line.contains(text)).count();
    assert_eq!(lines("INFO stopping"), 3, "{log}");
    assert_eq!(
        (lines("signal ignored"), lines("could not be read")),
        (0, 0),
        "{log}"
    );
}

/// Dials fail immediately for 0.4 s. Guards against a query that uses up its attempts within a millisecond.
#[test]
fn dials_that_fail_for_400_ms_lose_no_query_and_make_no_node_an_outlier() {
    let connects = [
        "EADDRNOTAVAIL",
        "ENETUNREACH",
        "EHOSTUNREACH",
        "ENOBUFS",
        "EINTR",
    ];
    let connects = connects.map(|error| (Call::Connect, error));
    let sockets = ["EMFILE", "ENFILE", "ENOBUFS"].map(|error| (Call::Socket, error));
    run_in_parallel(
        connects
            .into_iter()
            .chain(sockets)
            .map(|(call, error)| move || dials_fail(call, error)),
    );
}

fn dials_fail(call: Call, error: &'static str) {
    let role = if call == Call::Socket {
        Role::Any
    } else {
        Role::Node
    };
    let rules = vec![Rule::fails(call, role, 1, &[error]).between(800, 1200)];
    let faulty = Faulty::start(SETTINGS, &[Act::Serve, Act::Serve], &plan(rules));
    thread::sleep(900 * MS);
    let clients: Vec<_> = (0..10)
        .map(|id| {
            let mut stream = faulty.router.connect();
            thread::spawn(move || ask(&mut stream, "whole", &format!("r{id}")))
        })
        .collect();
    let answers: Vec<_> = clients
        .into_iter()
        .map(|client| client.join().expect("a client"))
        .collect();
    faulty.all_struck();
    let statuses: Vec<u16> = answers.iter().map(|answer| answer.0).collect();
    assert!(
        statuses.iter().all(|status| *status == 200),
        "{statuses:?}\n{}",
        faulty.log()
    );
    assert!(!faulty.log().contains("suspected"), "{}", faulty.log());
}

/// A connection to a node breaks while shard requests are in flight on it, by a time-out, a missing route or a reset.
#[test_case("ETIMEDOUT")]
#[test_case("EHOSTUNREACH")]
#[test_case("ENETUNREACH")]
#[test_case("ECONNRESET")]
fn connections_that_break_while_they_are_read_lose_no_query(error: &str) {
    let rules = vec![Rule::fails(Call::Receive, Role::Node, 7, &[error])];
    let faulty = Faulty::start(SETTINGS, &[Act::Serve, Act::Serve], &plan(rules));
    for id in 0..40 {
        assert_eq!(
            ask(&mut faulty.router.connect(), "whole", &format!("r{id}")).2,
            WHOLE,
            "r{id}"
        );
    }
    faulty.all_struck();
}
