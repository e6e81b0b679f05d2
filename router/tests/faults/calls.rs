//! Calls that are interrupted or short, dials that fail, connections to nodes that break.

use std::thread;
use std::time::Instant;

use ternpick_fault_injection::{Call, Effect, Role, Rule};
use test_case::test_case;

use crate::common::faulty::Faulty;
use crate::common::*;
use crate::support::*;

/// The signal's bytes came in parts, with failed reads between: SIGTERM was not obeyed.
#[test]
fn interrupted_and_short_calls_lose_nothing_and_a_signal_is_heard_once() {
    let cases = [(2, 0), (3, 0), (2, 1), (3, 3)];
    together(cases.map(|(every, short)| move || interrupted(every, short)));
}

/// Every so many calls are interrupted, and only so many bytes move at a time, where that is not 0.
fn interrupted(every: u64, short: usize) {
    let mut rules = vec![
        Rule::fails(Call::Receive, Role::Any, every, &["EINTR"]),
        Rule::fails(Call::Send, Role::Any, every, &["EINTR"]),
        Rule::fails(Call::Wait, Role::Any, every, &["EINTR"]),
        Rule::fails(Call::Accept, Role::Any, every, &["EINTR"]),
    ];
    if short > 0 {
        rules.push(Rule::new(Call::Receive, Role::Any, 1, Effect::Short(short)));
        rules.push(Rule::new(Call::Send, Role::Any, 1, Effect::Short(short)));
    }
    let mut of = Faulty::start(SETTINGS, &[Act::Serve, Act::Serve], &plan(rules));
    for id in 0..20 {
        assert_eq!(
            ask(&mut of.router.connect(), "whole", &format!("r{id}")).2,
            WHOLE
        );
    }
    of.router.signal("-TERM");
    let told = Instant::now();
    assert_eq!(ask(&mut of.router.connect(), "whole", "late").2, WHOLE);
    assert!(
        of.router.ended() && told.elapsed() < 3700 * MS,
        "after {:?}",
        told.elapsed()
    );
    of.all_struck();
    let log = of.log();
    let lines = |what: &str| log.lines().filter(|line| line.contains(what)).count();
    assert_eq!(lines("INFO stopping"), 3, "{log}");
    assert_eq!(
        (lines("signal ignored"), lines("could not be read")),
        (0, 0),
        "{log}"
    );
}

/// Dials that fail at once, for 0.4 s: a lookup's attempts were gone within a millisecond.
#[test]
fn dials_that_fail_for_a_moment_lose_no_lookup_and_blame_no_node() {
    let connects = [
        "EADDRNOTAVAIL",
        "ENETUNREACH",
        "EHOSTUNREACH",
        "ENOBUFS",
        "EINTR",
    ];
    let connects = connects.map(|error| (Call::Connect, error));
    let sockets = ["EMFILE", "ENFILE", "ENOBUFS"].map(|error| (Call::Socket, error));
    together(
        connects
            .into_iter()
            .chain(sockets)
            .map(|(call, error)| move || dials_fail(call, error)),
    );
}

fn dials_fail(call: Call, error: &'static str) {
    let on = if call == Call::Socket {
        Role::Any
    } else {
        Role::Node
    };
    let rules = vec![Rule::fails(call, on, 1, &[error]).between(800, 1200)];
    let of = Faulty::start(SETTINGS, &[Act::Serve, Act::Serve], &plan(rules));
    thread::sleep(900 * MS);
    let clients: Vec<_> = (0..10)
        .map(|id| {
            let mut stream = of.router.connect();
            thread::spawn(move || ask(&mut stream, "whole", &format!("r{id}")))
        })
        .collect();
    let answers: Vec<_> = clients
        .into_iter()
        .map(|client| client.join().expect("a client"))
        .collect();
    of.all_struck();
    let statuses: Vec<u16> = answers.iter().map(|answer| answer.0).collect();
    assert!(
        statuses.iter().all(|status| *status == 200),
        "{statuses:?}\n{}",
        of.log()
    );
    assert!(!of.log().contains("suspected"), "{}", of.log());
}

/// A connection to a node that breaks under a call, as a time-out or as no way there.
#[test_case("ETIMEDOUT")]
#[test_case("EHOSTUNREACH")]
#[test_case("ENETUNREACH")]
#[test_case("ECONNRESET")]
fn connections_that_break_while_they_are_read_lose_no_lookup(error: &str) {
    let rules = vec![Rule::fails(Call::Receive, Role::Node, 7, &[error])];
    let of = Faulty::start(SETTINGS, &[Act::Serve, Act::Serve], &plan(rules));
    for id in 0..40 {
        assert_eq!(
            ask(&mut of.router.connect(), "whole", &format!("r{id}")).2,
            WHOLE,
            "r{id}"
        );
    }
    of.all_struck();
}
