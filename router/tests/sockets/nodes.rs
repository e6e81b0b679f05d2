//! Lookups and their parts at nodes that serve, fail, or cannot be reached.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use test_case::test_case;

use crate::common::*;

#[test]
fn a_lookup_is_served_whole_and_its_parts_share_a_call() {
    let (router, nodes, _discovery) = Router::with(&[Act::Serve]);
    let mut client = router.connect();
    for id in ["r1", "r2"] {
        let (status, _, body) = ask(&mut client, "half", id);
        assert_eq!((status, body.as_str()), (200, WHOLE));
    }
    let call = nodes[0].frame('q');
    let lines: Vec<&str> = call.split("find").collect();
    assert!(
        lines[0].starts_with("r1.0 0 d=") && lines[0].ends_with(",k=keyr1 4\n"),
        "{call}"
    );
    assert!(
        lines[1].starts_with("r1.1 1 d=") && lines[1].ends_with(",k=keyr1 4\n"),
        "{call}"
    );
}

#[test_case("whole", [Act::Serve, Act::Broke], 503; "nacked where a repeat is harmless")]
#[test_case("once", [Act::Serve, Act::Broke], 502; "aborted where it may have run")]
#[test_case("half", [Act::Serve, Act::Broke], 200; "in part where that is enough")]
fn a_part_that_fails_everywhere(index: &str, acts: [Act; 2], status: u16) {
    let (router, nodes, _discovery) = Router::with(&[Act::Serve]);
    *nodes[0]
        .acts
        .lock()
        .expect("no test thread panicked with the lock held") = acts;
    let (got, _, body) = ask(&mut router.connect(), index, "r1");
    let part = r#"{"full":false,"pieces":[{"cell":"v0","tablet":0}]}"#;
    assert_eq!(
        (got, status != 200 || body == part),
        (status, true),
        "{body}"
    );
}

#[test_case(Act::Broke; "which fails")]
#[test_case(Act::Skipped; "which turns away")]
#[test_case(Act::Reset; "which resets")]
#[test_case(Act::Nonsense; "which sends what cannot be used")]
#[test_case(Act::Silent; "which is silent")]
fn another_node_answers_for_one(act: Act) {
    let (router, nodes, _discovery) = Router::with(&[act, Act::Serve]);
    let mut client = router.connect();
    // At least one of two lookups meets the first node: the second is not sent both.
    for id in ["r1", "r2", "r3"] {
        let (status, _, body) = ask(&mut client, "whole", id);
        assert_eq!((status, body.as_str()), (200, WHOLE));
    }
    assert!(nodes[1].frame('q').contains("find"));
}

#[test_case(Act::Misnamed; "whose ids are unknown")]
#[test_case(Act::Unfinished; "whose frames are never finished")]
fn a_spoilt_answer_is_known_before_its_time_is_up(act: Act) {
    let (router, _nodes, _discovery) = Router::with(&[act, Act::Serve]);
    let mut client = router.connect();
    for id in ["r1", "r2", "r3"] {
        let began = Instant::now();
        assert_eq!(ask(&mut client, "whole", id).2, WHOLE);
        assert!(
            began.elapsed() < Duration::from_millis(550),
            "before the soft deadline"
        );
    }
}

#[test]
fn a_good_answer_stays_good_whatever_comes_behind_it() {
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
fn a_node_that_refuses_connections_is_passed_over() {
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
fn a_node_whose_connections_never_come_up_is_passed_over() {
    // Nobody accepts, and once the backlog is full the system leaves further connections unanswered.
    let vanished = TcpListener::bind(free()).expect("a listener");
    let address = vanished.local_addr().expect("an address");
    let short = Duration::from_millis(200);
    let waiting: Vec<_> = std::iter::repeat_with(|| TcpStream::connect_timeout(&address, short))
        .take(5000)
        .map_while(Result::ok)
        .collect();
    assert!(waiting.len() < 5000, "the backlog fills");
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
