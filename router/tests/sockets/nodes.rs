//! Queries and their shard requests at nodes that serve, fail, or cannot be reached.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use test_case::test_case;

use crate::common::*;

#[test]
fn a_query_gets_a_complete_response_and_its_shard_requests_share_a_frame() {
    let (router, nodes, _discovery) = Router::with(&[Act::Serve]);
    let mut client = router.connect();
    for id in ["r1", "r2"] {
        let (status, _, body) = ask(&mut client, "half", id);
        assert_eq!((status, body.as_str()), (200, WHOLE));
    }
    let frame = nodes[0].frame('q');
    let lines: Vec<&str> = frame.split("find").collect();
    assert!(
        lines[0].starts_with("r1.0 0 d=") && lines[0].ends_with(",k=keyr1 4\n"),
        "{frame}"
    );
    assert!(
        lines[1].starts_with("r1.1 1 d=") && lines[1].ends_with(",k=keyr1 4\n"),
        "{frame}"
    );
}

#[test_case("whole", [Act::Serve, Act::Broke], 503; "rejected if the query may be repeated")]
#[test_case("once", [Act::Serve, Act::Broke], 502; "failed if the shard request may have run")]
#[test_case("half", [Act::Serve, Act::Broke], 200; "a partial response if that is sufficient")]
fn a_shard_request_that_fails_at_every_node_gives(index: &str, acts: [Act; 2], status: u16) {
    let (router, nodes, _discovery) = Router::with(&[Act::Serve]);
    *nodes[0]
        .acts
        .lock()
        .expect("no test thread panicked with the lock held") = acts;
    let (got, _, body) = ask(&mut router.connect(), index, "r1");
    let partial_response = r#"{"full":false,"pieces":[{"cell":"v0","tablet":0}]}"#;
    assert_eq!(
        (got, status != 200 || body == partial_response),
        (status, true),
        "{body}"
    );
}

#[test_case(Act::Broke; "that fails")]
#[test_case(Act::Skipped; "that does not start it")]
#[test_case(Act::Reset; "that resets the connection")]
#[test_case(Act::Nonsense; "that sends an invalid response")]
#[test_case(Act::Silent; "that does not answer")]
fn another_node_answers_instead_of_one(act: Act) {
    let (router, nodes, _discovery) = Router::with(&[act, Act::Serve]);
    let mut client = router.connect();
    // At least one of two queries goes to the first node, since the second node does not get both.
    for id in ["r1", "r2", "r3"] {
        let (status, _, body) = ask(&mut client, "whole", id);
        assert_eq!((status, body.as_str()), (200, WHOLE));
    }
    assert!(nodes[1].frame('q').contains("find"));
}

#[test_case(Act::Misnamed; "with an unknown id")]
#[test_case(Act::Unfinished; "with an unfinished frame")]
fn detects_an_invalid_response_before_the_attempt_times_out(act: Act) {
    let (router, _nodes, _discovery) = Router::with(&[act, Act::Serve]);
    let mut client = router.connect();
    for id in ["r1", "r2", "r3"] {
        let began = Instant::now();
        assert_eq!(ask(&mut client, "whole", id).2, WHOLE);
        assert!(
            began.elapsed() < Duration::from_millis(550),
            "answered after {:?}, expected before the latency objective",
            began.elapsed()
        );
    }
}

#[test]
fn a_valid_response_counts_even_if_invalid_input_follows_it() {
    let (router, _nodes, _discovery) = Router::with(&[Act::Chatty]);
    let mut client = router.connect();
    for id in ["r1", "r2", "r3"] {
        let request = request_of("once", id, r#"{"tablet":0,"fraction":1}"#);
        client.write_all(request.as_bytes()).expect("written");
        let (status, _, body) = answer(&mut client);
        assert_eq!(
            (status, body.contains(r#""cell":"v0""#)),
            (200, true),
            "{body}"
        );
    }
}

#[test]
fn another_node_answers_instead_of_one_that_refuses_connections() {
    let closed = free();
    let (node, discovery) = (Node::start([Act::Serve; 2]), Discovery::default());
    let listed = [
        entry("s0", closed, "Ready"),
        entry("s1", node.address, "Ready"),
    ]
    .join(",");
    let router = Router::start(discovery.start(), &listed, 1024);
    for id in ["r1", "r2"] {
        assert_eq!(ask(&mut router.connect(), "once", id).2, WHOLE);
    }
}

#[test]
fn another_node_answers_instead_of_one_whose_connections_are_never_established() {
    // No one accepts, and once the backlog is full the kernel does not answer further connection attempts.
    let unresponsive = TcpListener::bind(free()).expect("a listener");
    let address = unresponsive.local_addr().expect("an address");
    let timeout = Duration::from_millis(200);
    let backlog: Vec<_> = std::iter::repeat_with(|| TcpStream::connect_timeout(&address, timeout))
        .take(5000)
        .map_while(Result::ok)
        .collect();
    assert!(backlog.len() < 5000, "the backlog is not full");
    let (node, discovery) = (Node::start([Act::Serve; 2]), Discovery::default());
    let listed = [
        entry("s0", address, "Ready"),
        entry("s1", node.address, "Ready"),
    ]
    .join(",");
    let router = Router::start(discovery.start(), &listed, 1024);
    for id in ["r1", "r2", "r3"] {
        assert_eq!(ask(&mut router.connect(), "once", id).2, WHOLE);
    }
}
