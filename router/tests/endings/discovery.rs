//! Changes and lists from discovery, and the router's behaviour while discovery is unavailable: full descriptors, restarts.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use test_case::test_case;

use crate::common::*;
use crate::support::*;

// Term 1: the router knows a change at most 6 s after discovery has it and can be reached.

const CHANGE_KNOWN_WITHIN: Duration = Duration::from_secs(6);

#[derive(Clone, Copy, PartialEq)]
enum Outage {
    /// The open watch call gets no answer; later calls are answered.
    Watch,
    /// Calls are accepted but not answered for this number of seconds.
    Silent(u64),
    /// Calls are refused for this number of seconds.
    Refused(u64),
    /// The open watch call is cut off, as are further calls for this number of seconds.
    Cut(u64),
}

/// The settings allow a call to wait for 9 s, longer than the 6 s of the term.
#[test_case(Outage::Watch; "an open watch falls silent")]
#[test_case(Outage::Silent(5); "calls stay unanswered for a while")]
#[test_case(Outage::Refused(3); "calls are refused for a while")]
#[test_case(Outage::Cut(1); "an open watch is cut off, and calls for a while")]
fn applies_a_change_within_six_seconds_of_discovery_being_reachable_with_it(outage: Outage) {
    let (router, nodes, discovery) = Router::with(&[Act::Serve, Act::Serve]);
    discovery.set(|roster| roster.version = 1);
    discovery.wait_until(|roster| roster.calls >= 1 && roster.asked == 1);
    let change = entry("s0", nodes[0].address, "Terminating");
    match outage {
        Outage::Watch | Outage::Silent(_) => discovery.set(|roster| roster.silent = true),
        Outage::Refused(_) => discovery.set(|roster| roster.down = true),
        Outage::Cut(_) => discovery.set(|roster| roster.cut = true),
    }
    // Wait until the outage has reached the open call.
    thread::sleep(50 * MS);
    let seconds = match outage {
        Outage::Watch => 0,
        Outage::Silent(seconds) | Outage::Refused(seconds) | Outage::Cut(seconds) => seconds,
    };
    thread::sleep(Duration::from_secs(seconds));
    discovery.set(|roster| {
        (roster.silent, roster.down, roster.cut) = (false, false, false);
        (roster.version, roster.changes) = (2, change);
    });
    let had = Instant::now();
    // The router's next call carries the version of the change.
    eventually("the change is known", || {
        let mut known = false;
        discovery.set(|roster| known = roster.asked == 2);
        assert!(
            had.elapsed() < CHANGE_KNOWN_WITHIN,
            "after {:?}",
            had.elapsed()
        );
        known
    });
    let record = Record::of(&nodes[..1]);
    let then = Instant::now();
    for id in 0..8 {
        assert_eq!(
            ask(&mut router.connect(), "whole", &format!("r{id}")).0,
            200
        );
    }
    assert_eq!(
        record.shard_requests_after(then),
        0,
        "the draining node gets no new shard requests"
    );
}

/// How discovery is slow.
#[derive(Clone, Copy)]
enum Slowness {
    /// Each answer comes so many milliseconds late.
    Late(u64),
    /// The head of each answer comes at once, its body in pieces over so many milliseconds.
    InPieces(u64),
}

/// How long the tests below let discovery be slow before the change, so that its calls overlap.
const SLOW_BEFORE: Duration = Duration::from_secs(3);

/// Guards against a list that is never read, and drains that are never learned, while each answer of discovery comes just
/// behind the time after which its call is overdue: the calls were closed at that time, each in the same way.
#[test_case(Slowness::Late(1_200), 0; "answers 1 200 ms late")]
#[test_case(Slowness::Late(2_200), 0; "answers 2 200 ms late")]
#[test_case(Slowness::Late(2_200), 1_000; "answers 2 200 ms late, at another phase")]
#[test_case(Slowness::Late(2_900), 0; "answers 2 900 ms late")]
#[test_case(Slowness::Late(2_900), 1_500; "answers 2 900 ms late, at another phase")]
#[test_case(Slowness::InPieces(2_700), 0; "bodies in pieces over 2 700 ms")]
fn applies_a_change_within_six_seconds_while_discovery_is_slow(slowness: Slowness, phase_ms: u64) {
    let (router, nodes, discovery) = Router::with(&[Act::Serve, Act::Serve]);
    discovery.set(|roster| roster.version = 1);
    discovery.wait_until(|roster| roster.calls >= 1 && roster.asked == 1);
    discovery.set(|roster| match slowness {
        Slowness::Late(ms) => roster.delay = Duration::from_millis(ms),
        Slowness::InPieces(ms) => roster.body_time = Duration::from_millis(ms),
    });
    thread::sleep(SLOW_BEFORE + Duration::from_millis(phase_ms));
    let change = entry("s0", nodes[0].address, "Terminating");
    discovery.set(|roster| (roster.version, roster.changes) = (2, change));
    let had = Instant::now();
    // The router's next call carries the version of the change.
    eventually("the change is known", || {
        let mut known = false;
        discovery.set(|roster| known = roster.asked == 2);
        assert!(
            had.elapsed() < CHANGE_KNOWN_WITHIN,
            "after {:?}",
            had.elapsed()
        );
        known
    });
    let record = Record::of(&nodes[..1]);
    let then = Instant::now();
    for id in 0..8 {
        let answer = ask(&mut router.connect(), "whole", &format!("r{id}"));
        assert_eq!(answer.0, 200);
    }
    let sent = record.shard_requests_after(then);
    assert_eq!(sent, 0, "the draining node gets no new shard requests");
}

/// A response from discovery without a length is complete when its connection ends; the next call uses a new connection.
#[test]
fn accepts_a_list_without_a_length_when_its_connection_ends() {
    let node = Node::start([Act::Serve; 2]);
    let discovery = Discovery::default();
    let change = entry("s0", node.address, "Ready");
    discovery.set(|roster| (roster.version, roster.changes, roster.endless) = (2, change, true));
    let router = Router::start(discovery.start(), "", 1024);
    discovery.wait_until(|roster| roster.asked == 2);
    assert_eq!(ask(&mut router.connect(), "whole", "r1").2, WHOLE);
}

/// A node whose line in a whole list is malformed is still named there, so it must not be treated as gone.
#[test]
fn keeps_a_node_whose_line_in_a_whole_list_is_malformed() {
    let nodes = [Node::start([Act::Serve; 2]), Node::start([Act::Serve; 2])];
    let discovery = Discovery::default();
    let known = entry("s0", nodes[0].address, "Ready");
    let router = Router::start(discovery.start(), &known, 1024);
    discovery.wait_until(|roster| roster.calls >= 1);
    // The whole list comes from the new address of discovery.
    let new = Discovery::default();
    let listed =
        entry("s0", nodes[0].address, "Ready").replace("\"group\":0", "\"group\":\"none\"");
    new.set(|roster| (roster.version, roster.changes) = (7, listed));
    let address = new.start().to_string();
    router.reload(|text| text.replace(&router.discovery.to_string(), &address));
    new.wait_until(|roster| roster.asked == 7);
    assert_eq!(ask(&mut router.connect(), "whole", "r1").2, WHOLE);
}

// Term 4: idle clients may fill the descriptors while discovery is down.

#[test]
fn reaches_discovery_and_answers_requests_while_idle_clients_fill_the_descriptors() {
    let (node, discovery) = (Node::start([Act::Serve; 2]), Discovery::default());
    discovery.set(|roster| roster.down = true);
    let router = Router::start(discovery.start(), "", 64);
    discovery.wait_until(|roster| roster.calls >= 1);
    // A third of the clients sends nothing, a third sends part of a request, a third is idle after a response.
    let mut idle: Vec<TcpStream> = (0..150).map(|_| router.connect()).collect();
    for (at, stream) in idle.iter_mut().enumerate() {
        let text = [
            "",
            "POST /whole HTTP/1.1\r\n",
            "GET /_health HTTP/1.1\r\n\r\n",
        ][at % 3];
        // The write fails on connections that the router has already evicted.
        let _ = stream.write_all(text.as_bytes());
    }
    let change = entry("s0", node.address, "Ready");
    discovery.set(|roster| (roster.version, roster.changes, roster.down) = (5, change, false));
    let had = Instant::now();
    discovery.wait_until(|roster| roster.asked == 5);
    assert!(
        had.elapsed() < CHANGE_KNOWN_WITHIN,
        "known after {:?}",
        had.elapsed()
    );
    assert_eq!(ask(&mut router.connect(), "whole", "r1").2, WHOLE);
}

// Term 5: nine of ten restarted processes are ready within 10 s.

#[test_case("silent"; "discovery takes calls and answers none")]
#[test_case("down"; "discovery refuses all")]
fn restarted_routers_become_ready_while_discovery_is_unavailable(how: &str) {
    let (node, discovery) = (Node::start([Act::Serve; 2]), Discovery::default());
    discovery.set(|roster| (roster.silent, roster.down) = (how == "silent", how == "down"));
    let (address, known) = (discovery.start(), entry("s0", node.address, "Ready"));
    let mut routers: Vec<Router> = (0..20)
        .map(|_| Router::start(address, &known, 256))
        .collect();
    for router in &mut routers {
        router.signal("-KILL");
        router.child.wait().expect("it ends");
    }
    let began = Instant::now();
    let started: Vec<_> = routers.iter_mut().map(Router::again).collect();
    assert_eq!(started.len(), 20);
    let mut ready = Vec::new();
    for (at, router) in routers.iter().enumerate() {
        eventually("a restarted router is ready", || {
            TcpStream::connect(router.address).is_ok()
        });
        assert_eq!(health(router), 200);
        assert_eq!(
            ask(&mut router.connect(), "whole", &format!("r{at}")).2,
            WHOLE
        );
        ready.push(began.elapsed());
    }
    ready.sort();
    assert!(ready[17] < Duration::from_secs(10), "{ready:?}");
}
