//! A process that stands still as a whole (SIGSTOP), in a quiet time in which no timer of its own is due, and finds on its
//! return what has arrived. async-io's thread, which notes arrivals, stands still too, so that requests counted from the
//! return, and new work was sent before discovery was read.

use std::thread;
use std::time::{Duration, Instant};

use test_case::test_case;

use crate::common::*;
use crate::support::*;

/// The time from the stop until something arrives.
const INTO_THE_STOP: Duration = Duration::from_millis(20);
/// The time without requests before the stop.
const QUIET: Duration = Duration::from_millis(600);
/// How long after its client's time a query may get its final answer.
const LATE_ANSWER: Duration = Duration::from_millis(550);
/// How much the time that a node gets may exceed the time that the client has left.
const SLACK: Duration = Duration::from_millis(150);
const DEADLINE_MS: u64 = 1_400;

/// Guards against a query that is failed long after its client's time, and against nodes that are told more time than is
/// left to the client.
#[test_case(150, true; "150 ms on a kept connection")]
#[test_case(1_090, true; "1 090 ms on a kept connection")]
#[test_case(1_090, false; "1 090 ms on a new connection")]
fn the_time_of_a_query_counts_from_its_arrival_while_the_process_was_stopped(
    stopped_ms: u64,
    keeps_connection: bool,
) {
    let settings = SETTINGS.replace("\"onTime\":600000", "\"onTime\":2500000");
    let node = Node::start([Act::Serve; 2]);
    let discovery = Discovery::default();
    let listed = entry("s0", node.address, "Ready");
    let address = discovery.start();
    let router = Router::start_with(address, &listed, 1024, 192, &settings, |_| ());
    let mut kept = router.connect();
    assert_eq!(ask(&mut kept, "whole", "warm").0, 200);
    *node.acts.lock().expect("no thread panicked") = [Act::Silent; 2];
    thread::sleep(QUIET);
    let record = Record::of(std::slice::from_ref(&node));
    router.signal("-STOP");
    let stopped_at = Instant::now();
    thread::sleep(INTO_THE_STOP);
    let mut client = if keeps_connection {
        kept
    } else {
        router.connect()
    };
    let deadline = format!("Deadline-Ms: {DEADLINE_MS}");
    let text = request("whole", "late").replace("Deadline-Ms: 2000", &deadline);
    std::io::Write::write_all(&mut client, text.as_bytes()).expect("written");
    let time_up = Instant::now() + Duration::from_millis(DEADLINE_MS);
    thread::sleep(Duration::from_millis(stopped_ms).saturating_sub(stopped_at.elapsed()));
    router.signal("-CONT");
    assert_ne!(answer(&mut client).0, 200, "the node is silent");
    let late = time_up.elapsed();
    assert!(late < LATE_ANSWER, "answered {late:?} after the time");
    let frames = record.0.lock().expect("no thread panicked").clone();
    for (at, letter, text) in frames {
        for part in shard_requests::read(letter, &text) {
            let left = time_up.saturating_duration_since(at);
            let told = Duration::from_micros(part.told);
            assert!(told <= left + SLACK, "told {told:?} of {left:?}");
        }
    }
}

/// Guards against new work that goes to a draining node because the list that says so is still unread: the query arrived
/// before it.
#[test]
fn discovery_is_read_before_new_work_goes_out_after_a_stop() {
    for round in 0..4 {
        let (router, nodes, discovery) = Router::with(&[Act::Serve, Act::Serve]);
        discovery.set(|roster| roster.version = 1);
        discovery.wait_until(|roster| roster.calls >= 1 && roster.asked == 1);
        let mut client = router.connect();
        let records = [0, 1].map(|at| Record::of(&nodes[at..=at]));
        let warm = Instant::now();
        assert_eq!(ask(&mut client, "whole", "warm").0, 200);
        let used = usize::from(records[0].shard_requests_after(warm) == 0);
        thread::sleep(QUIET);
        router.signal("-STOP");
        let stopped_at = Instant::now();
        let text = request("whole", &format!("r{round}"));
        std::io::Write::write_all(&mut client, text.as_bytes()).expect("written");
        thread::sleep(INTO_THE_STOP);
        let change = entry(&format!("s{used}"), nodes[used].address, "Terminating");
        discovery.set(|roster| (roster.version, roster.changes) = (2, change));
        thread::sleep(Duration::from_millis(1_050).saturating_sub(stopped_at.elapsed()));
        router.signal("-CONT");
        assert_eq!(answer(&mut client).0, 200);
        let sent = records[used].shard_requests_after(stopped_at);
        assert_eq!(sent, 0, "round {round}");
    }
}
