//! Connections that are closed, and the stop.

use std::io::{Read, Write};
use std::net::Shutdown;
use std::thread;
use std::time::Instant;

use crate::common::*;
use crate::support::*;

// Closing connections, and the stop.

/// Closed over bytes that were not read, a connection is reset.
#[test]
fn an_answer_before_an_end_arrives_whole_whatever_its_client_sends_behind_its_request() {
    let (router, nodes, _discovery) = Router::with(&[Act::Silent]);
    let mut client = router.connect();
    let last = request("whole", "r").replace("Host: x", "Host: x\r\nConnection: close");
    client.write_all(last.as_bytes()).expect("written");
    nodes[0].frame('q');
    // More than the router reads ahead.
    client
        .write_all("x".repeat(150_000).as_bytes())
        .expect("written");
    ["r.0", "r.1"].iter().for_each(|id| nodes[0].answer(id));
    thread::sleep(200 * MS);
    let (status, head, _) = answer(&mut client);
    assert_eq!((status, head.contains("Connection: close")), (200, true));
    assert!(ends_in_order(&mut client));
    // A reset is seen by who writes: the first meets it, the second is told.
    client.write_all(b"x").expect("no reset behind it");
    thread::sleep(20 * MS);
    client.write_all(b"x").expect("no reset behind it");
}

/// A request that stands in the socket's buffer as the router closes what rests is answered.
#[test]
fn a_request_that_comes_as_resting_connections_are_closed_is_answered() {
    let (router, nodes, _discovery) = Router::with(&[Act::Serve]);
    let record = Record::of(&nodes);
    let mut resting = router.connect();
    assert_eq!(ask(&mut resting, "whole", "r1").0, 200);
    router.signal("-TERM");
    let told = Instant::now();
    eventually("the signal is heard", || health(&router) == 503);
    thread::sleep((500 * MS).saturating_sub(told.elapsed()));
    // It stands still over the moment in which it closes.
    router.signal("-STOP");
    resting
        .write_all(request("whole", "r2").as_bytes())
        .expect("written");
    thread::sleep((900 * MS).saturating_sub(told.elapsed()));
    let then = Instant::now();
    router.signal("-CONT");
    let (status, head, _) = answer(&mut resting);
    assert_eq!((status, head.contains("Connection: close")), (200, true));
    assert!(record.calls_after(then) > 0 && ends_in_order(&mut resting));
}

/// Behind the shutdown nothing is sent on: its client sees the end and asks again elsewhere.
#[test]
fn a_request_behind_the_end_of_a_resting_connection_is_not_sent_on() {
    let (mut router, nodes, _discovery) = Router::with(&[Act::Serve]);
    let record = Record::of(&nodes);
    let mut resting = router.connect();
    assert_eq!(ask(&mut resting, "whole", "r1").0, 200);
    router.signal("-TERM");
    assert_eq!(resting.read(&mut [0]).expect("an end in order"), 0);
    let then = Instant::now();
    // Half a request, then the rest: the router reads to the end, so neither write meets a reset.
    let text = request("whole", "r2");
    let (first, rest) = text.as_bytes().split_at(40);
    resting.write_all(first).expect("written");
    thread::sleep(20 * MS);
    resting.write_all(rest).expect("written");
    thread::sleep(20 * MS);
    resting
        .shutdown(Shutdown::Write)
        .expect("the connection still stands");
    assert!(ends_in_order(&mut resting) && router.ended());
    assert_eq!(record.calls_after(then), 0);
}

/// The longest deadline here is 3 s, and 0.7 s more may pass until a router that stops is killed.
#[test]
fn what_is_taken_late_in_a_stop_is_answered_before_the_router_may_be_killed() {
    let (mut router, nodes, _discovery) = Router::with(&[Act::Silent]);
    let mut slow = router.connect();
    slow.write_all(b"GET /_health HTTP/1.1\r\n\r\n")
        .expect("written");
    assert_eq!(answer(&mut slow).0, 200);
    let text = request("whole", "r1").replace("Deadline-Ms: 2000", "Deadline-Ms: 3000");
    let (first, rest) = text.as_bytes().split_at(40);
    router.signal("-TERM");
    let told = Instant::now();
    thread::sleep(600 * MS);
    slow.write_all(first).expect("written");
    thread::sleep((2500 * MS).saturating_sub(told.elapsed()));
    slow.write_all(rest).expect("written");
    let status = answer(&mut slow).0;
    assert!(told.elapsed() < 3700 * MS, "after {:?}", told.elapsed());
    assert_eq!(status, 503);
    assert!(router.ended() && nodes.len() == 1);
}
