//! Times that run out: of a call, and of its lookup.

use std::thread;
use std::time::Instant;

use crate::common::*;
use crate::support::*;

// Time-outs. What has come by the moment in which the router looks is taken before what that moment ends.

#[test]
fn an_answer_that_came_as_its_time_ran_out_counts_and_no_further_attempt_is_made() {
    let mut of = in_hand("once");
    of.router.signal("-STOP");
    let then = Instant::now();
    for node in &of.nodes {
        ["r.0", "r.1"].iter().for_each(|id| node.answer(id));
    }
    // Past the time of the calls, and not of the client.
    thread::sleep(900 * MS);
    of.router.signal("-CONT");
    assert_eq!(answer(&mut of.client).0, 200);
    assert_eq!(of.record.calls_after(then), 0);
}

#[test]
fn a_further_attempt_that_is_due_as_its_lookup_ends_is_not_made() {
    let mut of = in_hand("whole");
    of.router.signal("-STOP");
    // Past the time of the calls and that of the client.
    thread::sleep(2100 * MS);
    let then = Instant::now();
    of.router.signal("-CONT");
    assert_eq!(answer(&mut of.client).0, 503);
    assert!(then.elapsed() < 400 * MS, "its one final answer, at once");
    thread::sleep(300 * MS);
    assert_eq!(of.record.calls_after(then), 0);
}
