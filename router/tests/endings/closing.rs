//! Closing connections, and stopping the router.

use std::io::{Read, Write};
use std::net::Shutdown;
use std::thread;
use std::time::Instant;

use crate::common::*;
use crate::support::*;

/// A connection that is closed while unread bytes are in its buffer is reset, and the client may lose the response.
#[test]
fn delivers_the_whole_last_response_although_the_client_sends_more_data() {
    let (router, nodes, _discovery) = Router::with(&[Act::Silent]);
    let mut client = router.connect();
    let last = request("whole", "r").replace("Host: x", "Host: x\r\nConnection: close");
    client.write_all(last.as_bytes()).expect("written");
    nodes[0].frame('q');
    // Send more than the router reads ahead.
    client
        .write_all("x".repeat(150_000).as_bytes())
        .expect("written");
    ["r.0", "r.1"].iter().for_each(|id| nodes[0].answer(id));
    thread::sleep(200 * MS);
    let (status, head, _) = answer(&mut client);
    assert_eq!((status, head.contains("Connection: close")), (200, true));
    assert!(ends_in_order(&mut client));
    // Only a write reveals a reset: the first write provokes it, the second one fails.
    client.write_all(b"x").expect("no reset behind it");
    thread::sleep(20 * MS);
    client.write_all(b"x").expect("no reset behind it");
}

/// The request is in the socket's buffer when the router closes its idle connections.
#[test]
fn answers_a_request_that_arrives_as_idle_connections_are_closed() {
    let (router, nodes, _discovery) = Router::with(&[Act::Serve]);
    let record = Record::of(&nodes);
    let mut idle = router.connect();
    assert_eq!(ask(&mut idle, "whole", "r1").0, 200);
    router.signal("-TERM");
    let signalled = Instant::now();
    eventually("the router has received the signal", || {
        health(&router) == 503
    });
    thread::sleep((500 * MS).saturating_sub(signalled.elapsed()));
    // Pause the router past the moment at which it closes idle connections.
    router.signal("-STOP");
    idle.write_all(request("whole", "r2").as_bytes())
        .expect("written");
    thread::sleep((900 * MS).saturating_sub(signalled.elapsed()));
    let then = Instant::now();
    router.signal("-CONT");
    let (status, head, _) = answer(&mut idle);
    assert_eq!((status, head.contains("Connection: close")), (200, true));
    assert!(record.shard_requests_after(then) > 0 && ends_in_order(&mut idle));
}

/// After the router has shut down the connection, its client sees the end and retries elsewhere, so nothing may be forwarded.
#[test]
fn forwards_no_request_received_after_shutting_down_an_idle_connection() {
    let (mut router, nodes, _discovery) = Router::with(&[Act::Serve]);
    let record = Record::of(&nodes);
    let mut idle = router.connect();
    assert_eq!(ask(&mut idle, "whole", "r1").0, 200);
    router.signal("-TERM");
    assert_eq!(idle.read(&mut [0]).expect("an end in order"), 0);
    let then = Instant::now();
    // Send the request in two writes: the router reads to the end, so neither write is answered by a reset.
    let text = request("whole", "r2");
    let (first, rest) = text.as_bytes().split_at(40);
    idle.write_all(first).expect("written");
    thread::sleep(20 * MS);
    idle.write_all(rest).expect("written");
    thread::sleep(20 * MS);
    idle.shutdown(Shutdown::Write)
        .expect("the connection is still open");
    assert!(ends_in_order(&mut idle) && router.ended());
    assert_eq!(record.shard_requests_after(then), 0);
}

/// The longest deadline here is 3 s, and a stopping router may be killed 0.7 s after that.
#[test]
fn answers_a_request_received_late_in_a_stop_before_the_router_may_be_killed() {
    let (mut router, nodes, _discovery) = Router::with(&[Act::Silent]);
    let mut slow = router.connect();
    slow.write_all(b"GET /_health HTTP/1.1\r\n\r\n")
        .expect("written");
    assert_eq!(answer(&mut slow).0, 200);
    let text = request("whole", "r1").replace("Deadline-Ms: 2000", "Deadline-Ms: 3000");
    let (first, rest) = text.as_bytes().split_at(40);
    router.signal("-TERM");
    let signalled = Instant::now();
    thread::sleep(600 * MS);
    slow.write_all(first).expect("written");
    thread::sleep((2500 * MS).saturating_sub(signalled.elapsed()));
    slow.write_all(rest).expect("written");
    let status = answer(&mut slow).0;
    assert!(
        signalled.elapsed() < 3700 * MS,
        "after {:?}",
        signalled.elapsed()
    );
    assert_eq!(status, 503);
    assert!(router.ended() && nodes.len() == 1);
}
