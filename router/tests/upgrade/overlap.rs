//! While the old process still drains: what both may do together.

use std::io::Write;
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::Instant;

use crate::common::guarded::within;
use crate::common::{self, entry, request, Act};
use crate::support::{served, Ends, Upgradable, COLD, MS};
use test_case::test_case;

#[test]
fn while_the_old_process_drains_another_upgrade_is_refused_and_reloads_change_nothing() {
    let of = Upgradable::start(&[Act::Silent], "");
    let (mut first, before) = (of.router.connect(), of.pid());
    first
        .write_all(request("once", "n1").as_bytes())
        .expect("written");
    of.nodes[0].frame('q');
    thread::scope(|scope| {
        let upgrade = scope.spawn(|| of.upgrade(&[]));
        within(|| of.pid() != before, "the new process serves");
        *of.nodes[0]
            .acts
            .lock()
            .expect("no test thread panicked with the lock held") = [Act::Serve; 2];
        let (done, text) = of.upgrade(&[]);
        assert!(!done && text.contains("still has a part"), "{text}");
        let serving = of.pid().to_string();
        for pid in [before.to_string(), serving] {
            assert!(Command::new("kill")
                .args(["-HUP", &pid])
                .status()
                .expect("kill runs")
                .success());
        }
        served(of.router.address, "n2");
        assert_eq!(
            common::answer(&mut first).0,
            502,
            "by its own rules, at its own time"
        );
        let (done, text) = upgrade.join().expect("it ends");
        assert!(done, "{text}");
    });
    of.settled();
    served(of.router.address, "n3");
    assert!(of.upgrade(&[]).0, "the next one finds all of the share");
}

/// A lookup in flight over the commit, at a node that says nothing; its client asks again, of the new process.
#[test_case("half", 3; "fingerprinted, within window and cap")]
#[test_case("once", 1; "once-only, never")]
fn what_may_have_run_under_the_old_process_is_not_sent_by_the_new_one(index: &str, most: usize) {
    let of = Upgradable::start(&[Act::Silent], "");
    let (mut first, before) = (of.router.connect(), of.pid());
    first
        .write_all(request(index, "r1").as_bytes())
        .expect("written");
    let keyed = of.nodes[0].frame('q');
    thread::scope(|scope| {
        let upgrade = scope.spawn(|| of.upgrade(&[]));
        within(|| of.pid() != before, "the new process serves");
        *of.nodes[0]
            .acts
            .lock()
            .expect("no test thread panicked with the lock held") = [Act::Serve; 2];
        // The same mark, under an id of its own.
        let again = request(index, "r2")
            .replace("keyr2", "keyr1")
            .replace("Req-Kind", "Req-Retry: 1\r\nReq-Kind");
        let mut second = of.router.connect();
        second.write_all(again.as_bytes()).expect("written");
        assert_eq!(common::answer(&mut second).0, 200);
        // The old one's answer comes from the old one, by its own rules.
        assert_eq!(
            common::answer(&mut first).0,
            if index == "once" { 502 } else { 200 }
        );
        assert!(upgrade.join().expect("it ends").0);
    });
    let frames: Vec<(char, String)> = of.nodes[0]
        .frames
        .lock()
        .expect("no test thread panicked with the lock held")
        .try_iter()
        .collect();
    let asks = || {
        frames
            .iter()
            .filter(|(letter, _)| *letter == 'q')
            .map(|(_, rest)| rest)
    };
    let sends = |id: &str| asks().filter(|frame| frame.contains(id)).count();
    assert!(
        sends("r1.0") < most && sends("r2.0") == 1,
        "{keyed} {frames:?}"
    );
}

#[test]
#[allow(
    clippy::too_many_lines,
    reason = "one scenario, told in the order in which it happens"
)]
fn a_node_that_starts_cold_bears_both_processes_together() {
    let settings = common::SETTINGS
        .replace(r#""rules":{"#, COLD)
        .replace(r#""positions":1"#, r#""positions":2"#);
    let since = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("a time")
        .as_millis();
    // The second node is the only holder of the second shard.
    let of = Upgradable::start_on(&[Act::Serve, Act::Serve], "", &settings, |at, entry| {
        entry.replace(r#""group":0"#, &format!(r#""group":{at}"#))
    });
    let changes = of.nodes.iter().enumerate().map(|(at, node)| {
        let entry = entry(&format!("s{at}"), node.address, "Ready");
        let since = if at == 1 { since } else { 0 };
        entry
            .replace(r#""group":0"#, &format!(r#""group":{at}"#))
            .replace(r#""since_ms":0"#, &format!(r#""since_ms":{since}"#))
    });
    let changes = changes.collect::<Vec<_>>().join(",");
    of._discovery
        .set(|roster| (roster.version, roster.changes) = (2, changes));
    within(|| of.status()["roster_version"] == 2, "the start is told");
    let (stop, sent, turned_away) = (
        AtomicBool::new(false),
        Mutex::new(Vec::new()),
        AtomicU64::new(0),
    );
    thread::scope(|scope| {
        let _ends = Ends(&stop);
        for client in 0..2 {
            let (of, stop, turned_away) = (&of, &stop, &turned_away);
            scope.spawn(move || {
                for number in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let parts = r#"{"tablet":1,"fraction":1,"guess":100000}"#;
                    let mut stream = of.router.connect();
                    let text = common::request_of("whole", &format!("c{client}x{number}"), parts);
                    stream.write_all(text.as_bytes()).expect("written");
                    let status = common::answer(&mut stream).0;
                    turned_away.fetch_add(u64::from(status == 503), Ordering::Relaxed);
                    assert!([200, 503].contains(&status), "{status}");
                    thread::sleep(10 * MS);
                }
            });
        }
        let (of, stop, sent) = (&of, &stop, &sent);
        scope.spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                let count = of.nodes[1]
                    .frames
                    .lock()
                    .expect("no test thread panicked with the lock held")
                    .try_iter()
                    .filter(|(of, _)| *of == 'q')
                    .count();
                sent.lock()
                    .expect("no test thread panicked with the lock held")
                    .extend(std::iter::repeat_n(Instant::now(), count));
                thread::sleep(2 * MS);
            }
        });
        for _ in 0..4 {
            thread::sleep(350 * MS);
            assert!(of.upgrade(&[]).0);
            of.settled();
        }
        thread::sleep(500 * MS);
    });
    let sent = sent
        .into_inner()
        .expect("no test thread panicked with the lock held");
    let within = |at: &Instant| {
        sent.iter()
            .filter(|other| *other >= at && **other < *at + 1000 * MS)
            .count()
    };
    let most = sent.iter().map(within).max().unwrap_or(0);
    // 0.3 of its pace of 10 parts a second at first, 0.35 at the end: 4.5 to 5.2 parts in any second.
    assert!(
        (2..=5).contains(&most),
        "{most} parts in a second, {} in all",
        sent.len()
    );
    assert!(
        turned_away.load(Ordering::Relaxed) > 20,
        "the load is beyond it"
    );
}

/// Connections that rest. Four times as many queries and shard requests are more than the capacity of the test settings (100).
const RESTING: usize = 60;

/// What happened, in plays of `drawn` over hot restarts: "at capacity, rejecting queries in_flight=0" at the new process, and 503 for
/// each query until the old one had left, up to 2.3 s. The old process had kept four places for each connection of a client, so that
/// with 25 connections and a limit of 100 nothing was left for the new one.
#[test]
fn connections_that_rest_keep_no_capacity_from_the_new_process() {
    let of = Upgradable::start(&[Act::Silent], "");
    let mut resting: Vec<_> = (0..RESTING).map(|_| of.router.connect()).collect();
    let (mut slow, before) = (of.router.connect(), of.pid());
    slow.write_all(request("once", "slow").as_bytes())
        .expect("written");
    of.nodes[0].frame('q');
    thread::scope(|scope| {
        let upgrade = scope.spawn(|| of.upgrade(&[]));
        within(|| of.pid() != before, "the new process serves");
        *of.nodes[0]
            .acts
            .lock()
            .expect("no test thread panicked with the lock held") = [Act::Serve; 2];
        served(of.router.address, "new");
        for (number, stream) in resting.iter_mut().enumerate() {
            assert_eq!(common::ask(stream, "whole", &format!("r{number}")).0, 200);
        }
        assert!(!upgrade.is_finished(), "the old process has left too soon");
        assert_eq!(common::answer(&mut slow).0, 502);
        let (done, text) = upgrade.join().expect("it ends");
        assert!(done, "{text}");
    });
}
