//! Queries that must not run twice, sent to the old process and again, under the same id, to the new one.
//!
//! The new process knew nothing of the ids that the old one had forwarded, so that a client that left during an upgrade
//! and sent its query again made it run twice.

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use crate::common::guarded::within;
use crate::common::{self, request, Act};
use crate::support::{served, Upgradable, MS};

fn sends(of: &Upgradable, id: &str) -> u64 {
    let sends = of.nodes.iter().flat_map(|node| node.sends());
    sends
        .filter(|(part, _)| part.starts_with(&format!("{id}.")))
        .map(|(_, count)| count)
        .max()
        .unwrap_or_default()
}

#[test]
fn a_query_that_the_old_process_has_forwarded_is_not_forwarded_by_the_new_one() {
    let of = Upgradable::start(&[Act::Silent], "");
    let before = of.pid();
    let mut leaves_before = of.router.connect();
    let mut leaves_after = of.router.connect();
    for (stream, id) in [(&mut leaves_before, "before"), (&mut leaves_after, "after")] {
        let text = request("once", id);
        stream.write_all(text.as_bytes()).expect("written");
        within(|| sends(&of, id) == 1, "the node has the query");
    }
    drop(leaves_before);
    thread::scope(|scope| {
        let upgrade = scope.spawn(|| of.upgrade(&[]));
        within(|| of.pid() != before, "the new process serves");
        drop(leaves_after);
        *of.nodes[0]
            .acts
            .lock()
            .expect("no test thread panicked with the lock held") = [Act::Serve; 2];
        for id in ["before", "after"] {
            let mut again = of.router.connect();
            let asked_at = Instant::now();
            again
                .write_all(request("once", id).as_bytes())
                .expect("written");
            assert_eq!(common::answer(&mut again).0, 502, "{id}");
            assert!(asked_at.elapsed() < 500 * MS, "{id}: answered late");
            assert_eq!(sends(&of, id), 1, "{id}");
        }
        let (done, text) = upgrade.join().expect("it ends");
        assert!(done, "{text}");
    });
    served(of.router.address, "other");
}

/// Guards against an answer to the old process being served by the new one, to a query with the same id.
#[test]
fn the_new_process_does_not_serve_a_late_answer_to_the_old_ones_query_with_the_same_id() {
    let of = Upgradable::start(&[Act::Silent], "");
    let before = of.pid();
    let mut first = of.router.connect();
    let text = request("whole", "same");
    first.write_all(text.as_bytes()).expect("written");
    within(|| sends(&of, "same") == 1, "the node has the query");
    thread::scope(|scope| {
        let upgrade = scope.spawn(|| of.upgrade(&[]));
        within(|| of.pid() != before, "the new process serves");
        let mut second = of.router.connect();
        second.write_all(text.as_bytes()).expect("written");
        within(|| sends(&of, "same") == 2, "the node has both queries");
        {
            let streams = of.nodes[0].streams.lock().expect("no thread panicked");
            let answer = |stream: usize, shard: u32, value: &str| {
                let answer = format!("same.{shard} served 1 -\n{value}");
                (&streams[stream])
                    .write_all(&common::frame(b'a', &answer))
                    .expect("written");
            };
            for shard in 0..2 {
                answer(0, shard, "old");
            }
            for shard in 0..2 {
                answer(streams.len() - 1, shard, "new");
            }
        }
        for (client, value) in [(&mut first, "old"), (&mut second, "new")] {
            let (status, _, body) = common::answer(client);
            assert_eq!(status, 200);
            assert_eq!(body.matches(&format!("\"{value}\"")).count(), 2, "{body}");
        }
        let (done, text) = upgrade.join().expect("it ends");
        assert!(done, "{text}");
    });
}

/// Clients send queries, leave, and send them again at once, over the whole of an upgrade.
#[test]
fn no_query_runs_twice_while_clients_leave_and_send_it_again_over_an_upgrade() {
    const CLIENTS: usize = 6;
    const STAYS: Duration = Duration::from_millis(3);
    let of = Upgradable::start(&[Act::Serve, Act::Silent], "");
    let before = of.pid();
    let address = of.router.address;
    let over = std::sync::atomic::AtomicBool::new(false);
    let asked = std::sync::atomic::AtomicUsize::new(0);
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (over, asked) = (&over, &asked);
            scope.spawn(move || {
                for number in 0.. {
                    if over.load(std::sync::atomic::Ordering::Relaxed) {
                        return;
                    }
                    asked.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                    let text = request("once", &format!("twice{client}x{number}"));
                    for _ in 0..2 {
                        // A connection may be refused or closed for a moment.
                        if let Ok(mut stream) = std::net::TcpStream::connect(address) {
                            let _ = stream.write_all(text.as_bytes());
                            thread::sleep(STAYS);
                        }
                    }
                }
            });
        }
        thread::sleep(100 * MS);
        let (done, text) = of.upgrade(&[]);
        assert!(done, "{text}");
        assert_ne!(of.pid(), before);
        thread::sleep(100 * MS);
        over.store(true, std::sync::atomic::Ordering::Relaxed);
    });
    let twice: Vec<_> = of
        .nodes
        .iter()
        .flat_map(|node| node.sends())
        .fold(std::collections::BTreeMap::new(), |mut sum, (id, count)| {
            *sum.entry(id).or_insert(0) += count;
            sum
        })
        .into_iter()
        .filter(|(_, count)| *count > 1)
        .collect();
    let asked = asked.into_inner();
    assert!(asked > CLIENTS * 10, "{asked} queries");
    assert!(twice.is_empty(), "{} of {asked}: {twice:?}", twice.len());
}
