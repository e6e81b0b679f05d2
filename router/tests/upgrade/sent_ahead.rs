//! A request that waits behind a slow one on its connection, over an upgrade.
//!
//! What happened, found by reading: such a request went over to the new process as bytes, and its wait did not. Its deadline was
//! counted from when the new process read it, so that a node was told 599 ms when the client had 147 ms left. On a TLS
//! connection, which cannot go over, it was read and closed without an answer.

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use crate::common::guarded::{with_headers, within, Secure, World};
use crate::common::{self, guarded, request, shard_requests, Act};
use crate::support::{Upgradable, MS};

/// The deadline of the slow request, in milliseconds: the node does not answer it, and its attempt is given up after 600 ms.
const SLOW_MS: u64 = 1000;
/// The deadline of the one behind it.
const BEHIND_MS: u64 = 750;
/// What a node is told may be so much more than what the client has left.
const SLACK: Duration = Duration::from_millis(150);

/// Upgrades while the first request is in flight; the node answers what comes from then on.
fn upgrade_with_a_slow_request_in_flight(of: &Upgradable, meanwhile: impl FnOnce()) {
    let before = of.pid();
    thread::scope(|scope| {
        let upgrade = scope.spawn(|| of.upgrade(&[]));
        within(|| of.pid() != before, "the new process serves");
        *of.nodes[0]
            .acts
            .lock()
            .expect("no test thread panicked with the lock held") = [Act::Serve; 2];
        meanwhile();
        let (done, text) = upgrade.join().expect("it ends");
        assert!(done, "{text}");
    });
}

#[test]
fn its_deadline_goes_on_counting_over_an_upgrade() {
    let of = Upgradable::start(&[Act::Silent], "");
    let mut stream = of.router.connect();
    let slow = request("once", "slow").replace("Ms: 2000", &format!("Ms: {SLOW_MS}"));
    let behind = request("whole", "behind").replace("Ms: 2000", &format!("Ms: {BEHIND_MS}"));
    let sent_at = Instant::now();
    stream
        .write_all(format!("{slow}{behind}").as_bytes())
        .expect("written");
    of.nodes[0].frame('q');
    upgrade_with_a_slow_request_in_flight(&of, || {
        assert_eq!(common::answer(&mut stream).0, 502);
        let frame = of.nodes[0].frame('q');
        let left = (BEHIND_MS as u32 * MS).saturating_sub(sent_at.elapsed());
        let parts = shard_requests::read('q', &frame);
        assert!(parts.iter().all(|part| part.request == "behind"), "{frame}");
        for part in parts {
            let told = Duration::from_micros(part.told);
            assert!(told <= left + SLACK, "told {told:?} of {left:?}");
        }
        assert_eq!(common::answer(&mut stream).0, 200);
    });
    assert_eq!(
        common::ask(&mut stream, "whole", "later").0,
        200,
        "the connection goes over behind it"
    );
}

#[test]
fn it_is_answered_also_where_its_connection_cannot_go_over() {
    let world = World::new();
    let tls = common::free();
    let settings =
        std::fs::read_to_string(world.settings(None, None, Some(tls))).expect("settings");
    let of = Upgradable::start(&[Act::Silent], &settings);
    let client = world.client(Some(("crew-7.example", 7)));
    let mut stream = Secure::over(tls, &client).expect("a handshake");
    within(|| of.status()["identity"]["keys"][0] == "k1", "keys");
    let slow = with_headers("whole", "slow", "find", "");
    let slow = slow.replace("Ms: 2000", &format!("Ms: {SLOW_MS}"));
    let behind = with_headers("whole", "behind", "find", "");
    stream
        .0
        .write_all(format!("{slow}{behind}").as_bytes())
        .expect("written");
    of.nodes[0].frame('q');
    upgrade_with_a_slow_request_in_flight(&of, || {
        // Sent again meanwhile, to the node that serves by now.
        assert_eq!(guarded::receive(&mut stream.0).0, 200);
        assert_eq!(guarded::receive(&mut stream.0).0, 200);
    });
}
