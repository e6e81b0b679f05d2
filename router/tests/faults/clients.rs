//! Clients whose connections break, or that send a request before the previous one is answered.

use std::thread;
use std::time::Instant;

use ternpick_fault_injection::{Call, Role, Rule};
use test_case::test_case;

use crate::common::faulty::Faulty;
use crate::common::*;
use crate::support::*;

/// A client's connection breaks. Whatever the error, the router cancels the client's shard requests at once and sends
/// no new attempts for them.
#[test_case("ETIMEDOUT")]
#[test_case("EHOSTUNREACH")]
#[test_case("ECONNRESET")]
fn cancels_the_shard_requests_of_a_client_whose_connection_breaks(error: &str) {
    let rules = vec![Rule::fails(Call::Receive, Role::Client, 1, &[error]).between(1000, 2000)];
    let faulty = Faulty::start(SETTINGS, &[Act::Silent, Act::Silent], &plan(rules));
    thread::sleep(600 * MS);
    let mut client = faulty.router.connect();
    std::io::Write::write_all(&mut client, request("whole", "r").as_bytes()).expect("written");
    faulty.nodes.iter().for_each(|node| drop(node.sends()));
    thread::sleep(500 * MS);
    let (broken_at, frames) = (
        Instant::now(),
        std::sync::Arc::new(std::sync::Mutex::new(Vec::new())),
    );
    for node in &faulty.nodes {
        let into = frames.clone();
        node.watch(Some(std::sync::Arc::new(move |letter, _: &str| {
            into.lock()
                .expect("no test thread panicked with the lock held")
                .push((broken_at.elapsed(), letter))
        })));
    }
    // The router notices the break when it reads from the connection.
    std::io::Write::write_all(&mut client, b"x").expect("written");
    thread::sleep(1200 * MS);
    faulty.all_struck();
    let frames = frames
        .lock()
        .expect("no test thread panicked with the lock held");
    assert!(
        frames
            .iter()
            .any(|(at, letter)| *letter == 'c' && *at < 100 * MS),
        "no cancel within 100 ms: {frames:?}"
    );
    assert!(
        !frames
            .iter()
            .any(|(at, letter)| *letter == 'q' && *at > 100 * MS),
        "shard requests sent after the client was gone: {frames:?}"
    );
}

/// Guards against a request that waits behind a slow one on its connection and is then forwarded with its full
/// deadline, without the time that it has waited.
#[test]
fn a_pipelined_request_is_forwarded_with_the_time_that_its_client_has_left() {
    let faulty = Faulty::start(SETTINGS, &[Act::Silent], &plan(Vec::new()));
    let request_with_deadline = |id: &str, deadline_ms: u64| {
        request("half", id).replace("Deadline-Ms: 2000", &format!("Deadline-Ms: {deadline_ms}"))
    };
    let mut client = faulty.router.connect();
    let (wait_times, sent) = (
        std::sync::Arc::new(std::sync::Mutex::new(Vec::new())),
        Instant::now(),
    );
    let into = wait_times.clone();
    faulty.nodes[0].watch(Some(std::sync::Arc::new(move |letter, rest: &str| {
        let wait_ms = rest
            .split("d=")
            .nth(1)
            .and_then(|rest| rest.split([',', ' ']).next()?.parse::<u64>().ok());
        if let ('q', Some(wait_ms)) = (letter, wait_ms) {
            into.lock()
                .expect("no test thread panicked with the lock held")
                .push((sent.elapsed().as_millis() as u64, rest.to_owned(), wait_ms));
        }
    })));
    let both = request_with_deadline("a", 700) + &request_with_deadline("b", 1000);
    std::io::Write::write_all(&mut client, both.as_bytes()).expect("written");
    // The node does not answer the first request and answers the second one.
    thread::sleep(400 * MS);
    *faulty.nodes[0]
        .acts
        .lock()
        .expect("no test thread panicked with the lock held") = [Act::Serve; 2];
    answer(&mut client);
    answer(&mut client);
    assert!(
        sent.elapsed() < 1200 * MS,
        "both requests answered after {:?}, expected within 1.2 s",
        sent.elapsed()
    );
    let wait_times = wait_times
        .lock()
        .expect("no test thread panicked with the lock held");
    let of_second: Vec<_> = wait_times
        .iter()
        .filter(|(_, text, _)| text.starts_with("b."))
        .collect();
    assert!(!of_second.is_empty(), "{wait_times:?}");
    assert!(
        of_second
            .iter()
            .all(|(at_ms, _, wait_ms)| wait_ms + at_ms <= 1000 + 150),
        "{of_second:?}"
    );
}
