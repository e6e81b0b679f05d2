//! Clients that leave, half-close, or whose connection gives way.

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use test_case::test_case;

use crate::common::*;
use crate::support::*;

// Term 2: a client that has gone. No attempt begins more than 0.1 s later, first or further.

const GONE: Duration = Duration::from_millis(100);

/// `ahead` bytes of further requests stand before the client's end, more than the router reads.
#[test_case(0; "it has sent nothing more")]
#[test_case(3; "it has sent some requests ahead")]
#[test_case(2000; "it has sent more at once than is read")]
fn nothing_is_begun_for_a_client_that_has_left(ahead: usize) {
    let mut of = in_hand("whole");
    of.client.set_nonblocking(true).expect("a socket");
    for id in 0..ahead {
        // What the way there does not hold is not sent.
        if of
            .client
            .write(request("whole", &format!("a{id}")).as_bytes())
            .is_err()
        {
            break;
        }
    }
    drop(of.client);
    let left = Instant::now();
    // Past the time at which its parts would be tried again.
    thread::sleep(1500 * MS);
    assert_eq!(of.record.calls_after(left + GONE), 0);
}

/// The router stands still while its client leaves and the time comes to try again: both wake it at once.
#[test]
fn a_further_attempt_that_is_due_as_its_client_has_left_is_not_made() {
    let of = in_hand("whole");
    of.router.signal("-STOP");
    drop(of.client);
    let left = Instant::now();
    thread::sleep(800 * MS);
    of.router.signal("-CONT");
    thread::sleep(700 * MS);
    assert_eq!(of.record.calls_after(left + GONE), 0);
}

/// Requests that waited to be accepted, or behind another on their connection, whose clients left meanwhile.
#[test_case(1; "one request each")]
#[test_case(4; "requests sent ahead")]
fn a_request_whose_client_left_while_it_waited_is_not_sent_on(requests: usize) {
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

/// Whoever shuts its way to the router waits for nothing more.
#[test]
fn a_client_that_half_closes_has_its_parts_given_up() {
    let of = in_hand("whole");
    of.client.shutdown(Shutdown::Write).expect("shut");
    let left = Instant::now();
    of.record.wait('c');
    thread::sleep(900 * MS);
    assert_eq!(of.record.calls_after(left + GONE), 0);
}

#[test]
fn a_probe_that_half_closes_is_answered() {
    let (router, _nodes, _discovery) = Router::with(&[Act::Serve]);
    let mut probe = router.connect();
    probe
        .write_all(b"GET /_health HTTP/1.1\r\n\r\n")
        .expect("written");
    probe.shutdown(Shutdown::Write).expect("shut");
    assert_eq!(answer(&mut probe).0, 200);
}

// Giving way.

/// The connection idle longest is to make room in the moment in which its client sends.
#[test]
fn a_request_that_comes_as_its_connection_gives_way_is_answered() {
    let (node, discovery) = (Node::start([Act::Serve; 2]), Discovery::default());
    let router = Router::start(discovery.start(), &entry("s0", node.address, "Ready"), 48);
    // Clients may hold twelve descriptors here, and two rest at most.
    let mut resting: Vec<TcpStream> = (0..2).map(|_| router.connect()).collect();
    for (id, client) in resting.iter_mut().enumerate() {
        assert_eq!(ask(client, "whole", &format!("r{id}")).0, 200);
    }
    router.signal("-STOP");
    resting[0]
        .write_all(request("whole", "again").as_bytes())
        .expect("written");
    let mut more: Vec<TcpStream> = (0..14).map(|_| router.connect()).collect();
    for (id, client) in more.iter_mut().enumerate() {
        client
            .write_all(request("whole", &format!("m{id}")).as_bytes())
            .expect("written");
    }
    router.signal("-CONT");
    assert_eq!(answer(&mut resting[0]).2, WHOLE);
    for client in &mut more {
        assert_eq!(answer(client).2, WHOLE);
    }
}
