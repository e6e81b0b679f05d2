//! Clients whose connections break, or who send ahead of their turn.

use std::thread;
use std::time::Instant;

use ternpick_fault_injection::{Call, Role, Rule};
use test_case::test_case;

use crate::common::faulty::Faulty;
use crate::common::*;
use crate::support::*;

/// A client's machine is gone and its connection breaks, however that shows: its parts are given up, and none is begun.
#[test_case("ETIMEDOUT")]
#[test_case("EHOSTUNREACH")]
#[test_case("ECONNRESET")]
fn a_client_whose_connection_breaks_is_gone(error: &str) {
    let rules = vec![Rule::fails(Call::Receive, Role::Client, 1, &[error]).between(1000, 2000)];
    let of = Faulty::start(SETTINGS, &[Act::Silent, Act::Silent], &plan(rules));
    thread::sleep(600 * MS);
    let mut client = of.router.connect();
    std::io::Write::write_all(&mut client, request("whole", "r").as_bytes()).expect("written");
    of.nodes.iter().for_each(|node| drop(node.sends()));
    thread::sleep(500 * MS);
    let (left, calls) = (
        Instant::now(),
        std::sync::Arc::new(std::sync::Mutex::new(Vec::new())),
    );
    for node in &of.nodes {
        let into = calls.clone();
        node.watch(Some(std::sync::Arc::new(move |letter, _: &str| {
            into.lock()
                .expect("no test thread panicked with the lock held")
                .push((left.elapsed(), letter))
        })));
    }
    // The break is met where the connection is read.
    std::io::Write::write_all(&mut client, b"x").expect("written");
    thread::sleep(1200 * MS);
    of.all_struck();
    let calls = calls
        .lock()
        .expect("no test thread panicked with the lock held");
    assert!(
        calls
            .iter()
            .any(|(at, letter)| *letter == 'c' && *at < 100 * MS),
        "given up at once: {calls:?}"
    );
    assert!(
        !calls
            .iter()
            .any(|(at, letter)| *letter == 'q' && *at > 100 * MS),
        "begun for nobody: {calls:?}"
    );
}

/// A request sent ahead of its turn waited behind a slow one, and was passed on with the whole of its time.
#[test]
fn a_request_sent_ahead_is_passed_on_with_what_its_client_has_left() {
    let of = Faulty::start(SETTINGS, &[Act::Silent], &plan(Vec::new()));
    let timed = |id: &str, ms: u64| {
        request("half", id).replace("Deadline-Ms: 2000", &format!("Deadline-Ms: {ms}"))
    };
    let mut client = of.router.connect();
    let (told, sent) = (
        std::sync::Arc::new(std::sync::Mutex::new(Vec::new())),
        Instant::now(),
    );
    let into = told.clone();
    of.nodes[0].watch(Some(std::sync::Arc::new(move |letter, rest: &str| {
        let told = rest
            .split("d=")
            .nth(1)
            .and_then(|rest| rest.split([',', ' ']).next()?.parse::<u64>().ok());
        if let ('q', Some(told)) = (letter, told) {
            into.lock()
                .expect("no test thread panicked with the lock held")
                .push((sent.elapsed().as_millis() as u64, rest.to_owned(), told));
        }
    })));
    let both = timed("a", 700) + &timed("b", 1000);
    std::io::Write::write_all(&mut client, both.as_bytes()).expect("written");
    // The first call hangs, the next one is served.
    thread::sleep(400 * MS);
    *of.nodes[0]
        .acts
        .lock()
        .expect("no test thread panicked with the lock held") = [Act::Serve; 2];
    answer(&mut client);
    answer(&mut client);
    assert!(
        sent.elapsed() < 1200 * MS,
        "both are answered in their time, after {:?}",
        sent.elapsed()
    );
    let told = told
        .lock()
        .expect("no test thread panicked with the lock held");
    let behind: Vec<_> = told
        .iter()
        .filter(|(_, text, _)| text.starts_with("b."))
        .collect();
    assert!(!behind.is_empty(), "{told:?}");
    assert!(
        behind.iter().all(|(at, _, told)| told + at <= 1000 + 150),
        "{behind:?}"
    );
}
