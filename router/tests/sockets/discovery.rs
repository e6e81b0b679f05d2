//! The watch of discovery's endpoint list, and a change of discovery's address.

use std::time::{Duration, Instant};

use crate::common::*;

#[test]
fn a_draining_node_gets_no_new_shard_requests() {
    let (router, nodes, discovery) = Router::with(&[Act::Serve, Act::Serve]);
    let change = entry("s0", nodes[0].address, "Terminating");
    discovery.set(|roster| (roster.version, roster.changes) = (2, change));
    discovery.wait_until(|roster| roster.asked == 2);
    let mut client = router.connect();
    for id in 0..8 {
        assert_eq!(ask(&mut client, "whole", &format!("r{id}")).0, 200);
    }
    assert!(nodes[0]
        .frames
        .lock()
        .expect("no test thread panicked with the lock held")
        .try_iter()
        .all(|(letter, _)| letter != 'q'));
}

#[test]
fn retries_discovery_until_it_answers() {
    let discovery = Discovery::default();
    discovery.set(|roster| roster.down = true);
    let router = Router::start(discovery.start(), "", 1024);
    discovery.wait_until(|roster| roster.calls >= 2);
    assert_eq!(ask(&mut router.connect(), "whole", "r1").0, 503);
    let node = Node::start([Act::Serve; 2]);
    let change = entry("s0", node.address, "Ready");
    discovery.set(|roster| (roster.version, roster.changes, roster.down) = (5, change, false));
    discovery.wait_until(|roster| roster.asked == 5);
    assert_eq!(ask(&mut router.connect(), "whole", "r2").2, WHOLE);
}

/// Discovery accepts a watch request that may wait one second, and never answers it. The platform counts a change as
/// delivered two seconds after that wait, and no new shard requests may go to a draining node half a second after
/// that. Guards against a watch that is abandoned only at that time: the next request then came after 3.5 to 4 s.
#[test]
fn a_watch_without_answer_is_retried_before_its_changes_count_as_delivered() {
    let discovery = Discovery::default();
    // Discovery is at the version that the router knows, and does not answer.
    discovery.set(|roster| (roster.version, roster.silent) = (1, true));
    let settings = SETTINGS.replace("9000000}}", "1000000}}");
    assert_ne!(settings, SETTINGS);
    let _router = Router::start_with(discovery.start(), "", 1024, 1, &settings, |_| ());
    discovery.wait_until(|roster| roster.calls == 1);
    let requested = Instant::now();
    discovery.wait_until(|roster| roster.calls >= 2);
    let retried_after = requested.elapsed();
    assert!(
        (Duration::from_millis(1500)..Duration::from_millis(3300)).contains(&retried_after),
        "retried after {retried_after:?}"
    );
}

#[test]
fn a_reload_follows_discovery_to_its_new_address() {
    let (router, nodes, old) = Router::with(&[Act::Serve, Act::Serve]);
    old.wait_until(|roster| roster.calls == 1);
    // The new discovery has a lower version, does not list the first node, and is down at first.
    let (new, remaining) = (Discovery::default(), entry("s1", nodes[1].address, "Ready"));
    new.set(|roster| (roster.version, roster.changes, roster.down) = (0, remaining, true));
    let address = new.start().to_string();
    let mut client = router.connect();
    assert_eq!(ask(&mut client, "whole", "r0").0, 200);
    router.reload(|text| text.replace(&router.discovery.to_string(), &address));
    new.wait_until(|roster| roster.calls >= 1);
    router.reload(|text| text[..text.len() / 2].to_owned());
    new.set(|roster| roster.down = false);
    new.wait_until(|roster| roster.calls >= 3 && roster.asked == 0);
    nodes[0]
        .frames
        .lock()
        .expect("no test thread panicked with the lock held")
        .try_iter()
        .for_each(drop);
    for id in 0..8 {
        assert_eq!(ask(&mut client, "whole", &format!("r{id}")).0, 200);
    }
    assert!(nodes[0]
        .frames
        .lock()
        .expect("no test thread panicked with the lock held")
        .try_iter()
        .all(|(letter, _)| letter != 'q'));
    old.set(|roster| assert_eq!(roster.calls, 1));
}
