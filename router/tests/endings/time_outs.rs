//! Time-outs of a shard request and of its query.

use std::thread;
use std::time::Instant;

use crate::common::*;
use crate::support::*;

// The router processes the input that has arrived by the time it wakes up before the time-outs that are due then.

#[test]
fn uses_an_answer_that_arrived_as_its_attempt_timed_out_and_makes_no_retry() {
    let mut query = query_in_flight("once");
    query.router.signal("-STOP");
    let then = Instant::now();
    for node in &query.nodes {
        ["r.0", "r.1"].iter().for_each(|id| node.answer(id));
    }
    // Wait past the time-out of the shard requests, but not past the client's deadline.
    thread::sleep(900 * MS);
    query.router.signal("-CONT");
    assert_eq!(answer(&mut query.client).0, 200);
    assert_eq!(query.record.shard_requests_after(then), 0);
}

#[test]
fn makes_no_retry_that_comes_due_as_the_query_times_out() {
    let mut query = query_in_flight("whole");
    query.router.signal("-STOP");
    // Wait past the time-out of the shard requests and the client's deadline.
    thread::sleep(2100 * MS);
    let then = Instant::now();
    query.router.signal("-CONT");
    assert_eq!(answer(&mut query.client).0, 503);
    assert!(
        then.elapsed() < 400 * MS,
        "the final response came {:?} after the router resumed",
        then.elapsed()
    );
    thread::sleep(300 * MS);
    assert_eq!(query.record.shard_requests_after(then), 0);
}
