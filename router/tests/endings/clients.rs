//! Clients that leave or half-close, and idle connections that are evicted.

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use test_case::test_case;

use crate::common::*;
use crate::support::*;

// Term 2: once a client has left, no attempt (first or retry) starts more than 0.1 s later.

const GONE: Duration = Duration::from_millis(100);

/// The client sends `ahead` further requests before it leaves; the largest number is more than the router reads at once.
#[test_case(0; "it has sent nothing more")]
#[test_case(3; "it has sent some requests ahead")]
#[test_case(2000; "it has sent more at once than is read")]
fn starts_no_attempt_after_the_client_has_left(ahead: usize) {
    let mut query = query_in_flight("whole");
    query.client.set_nonblocking(true).expect("a socket");
    for id in 0..ahead {
        // Stop once the socket buffers are full.
        if query
            .client
            .write(request("whole", &format!("a{id}")).as_bytes())
            .is_err()
        {
            break;
        }
    }
    drop(query.client);
    let left = Instant::now();
    // Wait past the time at which its shard requests would be retried.
    thread::sleep(1500 * MS);
    assert_eq!(query.record.shard_requests_after(left + GONE), 0);
}

/// The router is paused while the client leaves and the retry comes due, so that it sees both when it wakes up.
#[test]
fn makes_no_retry_that_comes_due_as_the_client_leaves() {
    let query = query_in_flight("whole");
    query.router.signal("-STOP");
    drop(query.client);
    let left = Instant::now();
    thread::sleep(800 * MS);
    query.router.signal("-CONT");
    thread::sleep(700 * MS);
    assert_eq!(query.record.shard_requests_after(left + GONE), 0);
}

/// The requests wait on an open connection, on connections not yet accepted, or behind another request on their connection,
/// while their clients leave.
#[test_case(1; "one request each")]
#[test_case(4; "requests sent ahead")]
fn forwards_no_request_whose_client_left_while_it_waited(requests: usize) {
    let (router, nodes, _discovery) = Router::with(&[Act::Serve, Act::Serve]);
    let record = Record::of(&nodes);
    assert_eq!(ask(&mut router.connect(), "whole", "first").0, 200);
    let open = router.connect();
    router.signal("-STOP");
    for (at, mut client) in [open, router.connect(), router.connect()]
        .into_iter()
        .enumerate()
    {
        for id in 0..requests {
            client
                .write_all(request("whole", &format!("r{at}-{id}")).as_bytes())
                .expect("written");
        }
    }
    let left = Instant::now();
    thread::sleep(GONE + 50 * MS);
    router.signal("-CONT");
    assert_eq!(ask(&mut router.connect(), "whole", "last").0, 200);
    thread::sleep(100 * MS);
    let calls = record
        .0
        .lock()
        .expect("no test thread panicked with the lock held")
        .clone();
    let calls: Vec<_> = calls
        .into_iter()
        .filter(|(at, letter, _)| *letter == 'q' && *at > left)
        .collect();
    assert!(
        calls.iter().all(|(_, _, text)| text.starts_with("last.")),
        "{calls:?}"
    );
}

/// A client that shuts down its sending side no longer waits for a response.
#[test]
fn cancels_the_shard_requests_of_a_client_that_half_closes() {
    let query = query_in_flight("whole");
    query.client.shutdown(Shutdown::Write).expect("shut");
    let left = Instant::now();
    query.record.wait('c');
    thread::sleep(900 * MS);
    assert_eq!(query.record.shard_requests_after(left + GONE), 0);
}

#[test]
fn answers_a_health_check_whose_client_half_closes() {
    let (router, _nodes, _discovery) = Router::with(&[Act::Serve]);
    let mut probe = router.connect();
    probe
        .write_all(b"GET /_health HTTP/1.1\r\n\r\n")
        .expect("written");
    probe.shutdown(Shutdown::Write).expect("shut");
    assert_eq!(answer(&mut probe).0, 200);
}

// Eviction of idle connections.

/// The router needs the descriptor of the longest idle connection at the moment at which that client sends a request.
#[test]
fn answers_a_request_that_arrives_as_its_idle_connection_is_evicted() {
    let (node, discovery) = (Node::start([Act::Serve; 2]), Discovery::default());
    let router = Router::start(discovery.start(), &entry("s0", node.address, "Ready"), 48);
    // With these settings clients may hold twelve descriptors, and at most two connections may be idle.
    let mut idle: Vec<TcpStream> = (0..2).map(|_| router.connect()).collect();
    for (id, client) in idle.iter_mut().enumerate() {
        assert_eq!(ask(client, "whole", &format!("r{id}")).0, 200);
    }
    router.signal("-STOP");
    idle[0]
        .write_all(request("whole", "again").as_bytes())
        .expect("written");
    let mut more: Vec<TcpStream> = (0..14).map(|_| router.connect()).collect();
    for (id, client) in more.iter_mut().enumerate() {
        client
            .write_all(request("whole", &format!("m{id}")).as_bytes())
            .expect("written");
    }
    router.signal("-CONT");
    assert_eq!(answer(&mut idle[0]).2, WHOLE);
    for client in &mut more {
        assert_eq!(answer(client).2, WHOLE);
    }
}
