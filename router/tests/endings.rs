//! What is still owed in the instant in which something ends: scripted peers act at the exact moment, held by a signal or by
//! what the other side has shown, against the program as it ships. `docs/endings.md` has the table.

mod common;

use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use test_case::test_case;

use common::*;

const MS: Duration = Duration::from_millis(1);

/// The frames of some nodes as they are read, with their times.
#[derive(Clone, Default)]
struct Record(Arc<Mutex<Vec<(Instant, char, String)>>>);

impl Record {
    fn of(nodes: &[Node]) -> Record {
        let record = Record::default();
        for node in nodes {
            let into = record.clone();
            node.watch(Some(Arc::new(move |letter, rest| {
                into.0.lock().unwrap().push((Instant::now(), letter, rest.to_owned()));
            })));
        }
        record
    }

    /// Calls that have come after `then`.
    fn calls_after(&self, then: Instant) -> usize {
        self.0.lock().unwrap().iter().filter(|(at, letter, _)| *letter == 'q' && *at > then).count()
    }
}

fn eventually(what: &str, mut is: impl FnMut() -> bool) {
    let late = Instant::now() + BOUND;
    while !is() {
        assert!(Instant::now() < late, "{what} in time");
        thread::sleep(MS);
    }
}

// Term 1: a change counts as told 6 s after discovery had it and could be reached.

const TOLD: Duration = Duration::from_secs(6);

#[derive(Clone, Copy, PartialEq)]
enum Outage {
    /// The open watch falls silent, discovery goes on.
    Watch,
    /// Calls are taken and not answered for so many seconds, then the way is back.
    Silent(u64),
    /// Calls are refused for so many seconds.
    Refused(u64),
}

/// The settings let a call wait for 9 s.
#[test_case(Outage::Watch; "an open watch falls silent")]
#[test_case(Outage::Silent(5); "calls stay unanswered for a while")]
#[test_case(Outage::Refused(3); "calls are refused for a while")]
fn a_change_is_known_within_six_seconds_of_when_discovery_had_it_and_could_be_reached(outage: Outage) {
    let (router, nodes, discovery) = Router::with(&[Act::Serve, Act::Serve]);
    discovery.set(|roster| roster.version = 1);
    discovery.wait_until(|roster| roster.calls >= 1 && roster.asked == 1);
    let calls = {
        let mut calls = 0;
        discovery.set(|roster| calls = roster.calls);
        calls
    };
    let change = entry("s0", nodes[0].address, "Terminating");
    match outage {
        Outage::Watch | Outage::Silent(_) => discovery.set(|roster| roster.silent = true),
        Outage::Refused(_) => discovery.set(|roster| roster.down = true),
    }
    // The call that was open has seen it.
    thread::sleep(50 * MS);
    let seconds = match outage {
        Outage::Watch => 0,
        Outage::Silent(seconds) | Outage::Refused(seconds) => seconds,
    };
    thread::sleep(Duration::from_secs(seconds));
    discovery.set(|roster| {
        (roster.version, roster.changes, roster.silent, roster.down) = (2, change, false, false);
    });
    let had = Instant::now();
    // Its next call says that it has the change.
    eventually("the change is known", || {
        let mut known = false;
        discovery.set(|roster| known = roster.asked == 2);
        assert!(had.elapsed() < TOLD, "after {:?}, {calls} calls before", had.elapsed());
        known
    });
    let record = Record::of(&nodes[..1]);
    let then = Instant::now();
    for id in 0..8 {
        assert_eq!(ask(&mut router.connect(), "whole", &format!("r{id}")).0, 200);
    }
    assert_eq!(record.calls_after(then), 0, "the node that drains gets nothing new");
}

/// An answer of discovery's without a length is whole when its connection ends, and the next call is made on a new one.
#[test]
fn a_list_without_a_length_is_taken_when_its_connection_ends() {
    let node = Node::start([Act::Serve; 2]);
    let discovery = Discovery::default();
    let change = entry("s0", node.address, "Ready");
    discovery.set(|roster| (roster.version, roster.changes, roster.endless) = (2, change, true));
    let router = Router::start(discovery.start(), "", 1024);
    discovery.wait_until(|roster| roster.asked == 2);
    assert_eq!(ask(&mut router.connect(), "whole", "r1").2, WHOLE);
}

/// A whole list that names a node and spoils its line does not say that it is gone.
#[test]
fn a_spoilt_line_in_a_whole_list_leaves_its_node_as_it_was() {
    let nodes = [Node::start([Act::Serve; 2]), Node::start([Act::Serve; 2])];
    let discovery = Discovery::default();
    let known = entry("s0", nodes[0].address, "Ready");
    let router = Router::start(discovery.start(), &known, 1024);
    discovery.wait_until(|roster| roster.calls >= 1);
    // The whole list comes from where discovery has moved to.
    let new = Discovery::default();
    let listed = entry("s0", nodes[0].address, "Ready").replace("\"group\":0", "\"group\":\"none\"");
    new.set(|roster| (roster.version, roster.changes) = (7, listed));
    let address = new.start().to_string();
    router.reload(|text| text.replace(&router.discovery.to_string(), &address));
    new.wait_until(|roster| roster.asked == 7);
    assert_eq!(ask(&mut router.connect(), "whole", "r1").2, WHOLE);
}
