//! Stops and reloads that are requested while two processes are one router, of either process and at any step.
//!
//! What happened: SIGTERM reached the old process while it drained, and ended that process alone. The new one was not told: it accepted
//! and served on until SIGKILL, which cut off the queries that it had taken by then. SIGTERM or `drain` to the new process left
//! the old one running for good, with its listening socket shut down under it. SIGHUP was read by one process alone.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use test_case::test_case;

use crate::common::guarded::within;
use crate::common::{self, entry, has_ended, request, status_of, Act, Discovery};
use crate::support::{script, served, Ends, Upgradable, MS};

/// From a stop to the earliest kill, with the longest deadline of the settings (3 s).
const KILL_AFTER: Duration = Duration::from_millis(3_700);
/// When a router that stops has closed its listener, counted from the first request to stop.
const CLOSED_AFTER: Duration = Duration::from_millis(1_000);
/// How soon a reload counts.
const RELOAD_WITHIN: Duration = Duration::from_secs(4);
/// Each process calls for the list, and then waits for a change. One alone would make the third call 3 s later.
const CALLS_OF_BOTH: usize = 4;
const CLIENTS: u64 = 4;
const STAYS: &str = "control: stays: true";

/// Who is asked, and how.
#[derive(Clone, Copy, Debug)]
enum Asked {
    Old(&'static str),
    New(&'static str),
    Both(&'static str),
    /// The old process, again 50 ms later.
    OldTwice,
    /// The new process first, the old one 300 ms later.
    NewThenOld,
    /// By the command, over the control socket.
    Drain,
}

fn signal(process: u32, name: &str) {
    let pid = process.to_string();
    let sent = Command::new("kill").args([name, &pid]).status();
    assert!(sent.expect("kill runs").success(), "{name} to {process}");
}

fn ask(of: &Upgradable, asked: Asked, old: u32, new: u32) {
    match asked {
        Asked::Old(name) => signal(old, name),
        Asked::New(name) => signal(new, name),
        Asked::Both(name) => {
            signal(old, name);
            signal(new, name);
        }
        Asked::OldTwice => {
            signal(old, "-TERM");
            thread::sleep(50 * MS);
            signal(old, "-TERM");
        }
        Asked::NewThenOld => {
            signal(new, "-TERM");
            thread::sleep(300 * MS);
            signal(old, "-TERM");
        }
        Asked::Drain => assert!(of.command(&["drain"]).status.success()),
    }
}

/// The processes that serve with the configuration of this router and have not ended.
fn processes(config: &str) -> Vec<u32> {
    let entries = std::fs::read_dir("/proc").expect("processes");
    let ids = entries
        .flatten()
        .filter_map(|entry| entry.file_name().to_str()?.parse().ok());
    ids.filter(|id: &u32| serves_with(*id, config)).collect()
}

fn serves_with(process: u32, config: &str) -> bool {
    let folder = PathBuf::from(format!("/proc/{process}"));
    let command = std::fs::read(folder.join("cmdline")).unwrap_or_default();
    let command = String::from_utf8_lossy(&command).into_owned();
    command.contains("serve\0") && command.contains(config)
}

/// What became of the queries of one client.
#[derive(Debug, Default)]
struct Queries {
    answered: usize,
    /// Queries on open connections that ended without an answer. Those that cross the close of a connection are not
    /// counted: no byte came, and the connection had answered before.
    lost: Vec<String>,
}

/// Sends one query after the other, on one connection as long as it stays open, until no connection is accepted or the
/// test is over.
fn send_queries(address: SocketAddr, client: u64, over: &AtomicBool) -> Queries {
    let mut queries = Queries::default();
    let mut connection: Option<TcpStream> = None;
    for number in 0.. {
        if over.load(Ordering::Relaxed) {
            break;
        }
        let kept = connection.take().filter(|stream| !has_ended(stream));
        let is_kept = kept.is_some();
        let Some(mut stream) = kept.or_else(|| TcpStream::connect(address).ok()) else {
            return queries;
        };
        stream
            .set_read_timeout(Some(common::BOUND))
            .expect("a time-out");
        let id = format!("q{client}x{number}");
        let sent = stream.write_all(request("half", &id).as_bytes());
        match status_of(&mut stream) {
            Ok(_) => {
                queries.answered += 1;
                connection = Some(stream);
            }
            Err(no_byte) if no_byte && (is_kept || sent.is_err()) => {}
            Err(_) => queries.lost.push(id),
        }
        thread::sleep(5 * MS);
    }
    queries
}

/// A router in the middle of an upgrade: the old process still answers a slow query.
struct Upgrading<'a> {
    of: &'a mut Upgradable,
    old: u32,
    new: u32,
}

/// Runs `check` while the old process drains; the slow query has to get its answer.
fn while_the_old_process_drains(more: &str, check: impl FnOnce(Upgrading<'_>)) {
    let mut of = Upgradable::start(&[Act::Silent], more);
    let mut slow = of.router.connect();
    slow.write_all(request("once", "slow").as_bytes())
        .expect("written");
    of.nodes[0].frame('q');
    let old = of.pid();
    let mut upgrade = of.start_upgrade();
    within(|| of.pid() != old, "the new process serves");
    *of.nodes[0]
        .acts
        .lock()
        .expect("no test thread panicked with the lock held") = [Act::Serve; 2];
    let new = of.pid();
    let upgrading = Upgrading {
        of: &mut of,
        old,
        new,
    };
    check(upgrading);
    assert_eq!(common::answer(&mut slow).0, 502, "by its own rules");
    let status = upgrade.wait().expect("the command ends");
    assert!(status.success(), "the command learns that it was upgraded");
}

/// Until when a stop may take with no client that keeps the processes.
fn assert_ends(of: &mut Upgradable, asked_at: Instant) {
    let config = of.router.config.display().to_string();
    let ended_at = loop {
        let ended = of.router.child.try_wait().expect("a child");
        if let Some(status) = ended {
            assert!(status.success(), "{status}");
            assert_eq!(processes(&config), [0; 0], "the first process ends last");
            break asked_at.elapsed();
        }
        assert!(
            asked_at.elapsed() < KILL_AFTER,
            "left at the kill: {:?}",
            processes(&config)
        );
        thread::sleep(5 * MS);
    };
    assert!(ended_at < KILL_AFTER, "ended after {ended_at:?}");
}

#[test_case(Asked::Old("-TERM"), STAYS, 0; "the old one, which stays, at once")]
#[test_case(Asked::Old("-TERM"), STAYS, 400; "the old one, which stays")]
#[test_case(Asked::Old("-INT"), STAYS, 100; "the old one, which stays, by sigint")]
#[test_case(Asked::New("-TERM"), STAYS, 100; "the new one, whose parent stays")]
#[test_case(Asked::Both("-TERM"), STAYS, 100; "both")]
#[test_case(Asked::OldTwice, STAYS, 100; "the old one twice")]
#[test_case(Asked::NewThenOld, STAYS, 100; "the new one and later the old one")]
#[test_case(Asked::Drain, STAYS, 100; "by command")]
#[test_case(Asked::Old("-TERM"), "", 100; "the old one")]
#[test_case(Asked::New("-TERM"), "", 100; "the new one")]
#[test_case(Asked::New("-INT"), "", 100; "the new one by sigint")]
#[test_case(Asked::Drain, "", 100; "by command, and none stays")]
fn a_stop_while_the_old_process_drains_ends_the_router(asked: Asked, more: &str, after_ms: u32) {
    while_the_old_process_drains(more, |upgrading| {
        let Upgrading { of, old, new } = upgrading;
        let address = of.router.address;
        let over = AtomicBool::new(false);
        thread::scope(|scope| {
            let _ends = Ends(&over);
            let over = &over;
            let clients: Vec<_> = (0..CLIENTS)
                .map(|client| scope.spawn(move || send_queries(address, client, over)))
                .collect();
            thread::sleep(after_ms * MS);
            let asked_at = Instant::now();
            ask(of, asked, old, new);
            thread::sleep(CLOSED_AFTER.saturating_sub(asked_at.elapsed()));
            assert!(
                TcpStream::connect(address).is_err(),
                "the time counts from the first request"
            );
            assert_ends(of, asked_at);
            for client in clients {
                let queries = client.join().expect("a client");
                assert!(
                    queries.answered > 0 && queries.lost.is_empty(),
                    "{queries:?}"
                );
            }
        });
    });
}

/// The first process stays as the parent of the second, which drains: a stop of any of the three ends them all.
#[test_case(0; "of the first")]
#[test_case(1; "of the second")]
#[test_case(2; "of the third")]
fn a_stop_in_a_chain_of_three_processes_ends_the_router(position: usize) {
    let mut of = Upgradable::start(&[Act::Serve], STAYS);
    let first = of.router.child.id();
    assert!(of.upgrade(&[]).0);
    of.settled();
    let second = of.pid();
    *of.nodes[0]
        .acts
        .lock()
        .expect("no test thread panicked with the lock held") = [Act::Silent; 2];
    let mut slow = of.router.connect();
    slow.write_all(request("once", "slow").as_bytes())
        .expect("written");
    of.nodes[0].frame('q');
    let mut upgrade = of.start_upgrade();
    within(|| of.pid() != second, "the third process serves");
    let chain = [first, second, of.pid()];
    let asked_at = Instant::now();
    signal(chain[position], "-TERM");
    assert_ends(&mut of, asked_at);
    assert_eq!(common::answer(&mut slow).0, 502, "by its own rules");
    assert!(upgrade.wait().expect("the command ends").success());
}

#[test_case(Asked::Old("-HUP"), STAYS; "the old one, which stays")]
#[test_case(Asked::New("-HUP"), STAYS; "the new one, whose parent stays")]
#[test_case(Asked::Old("-HUP"), ""; "the old one")]
#[test_case(Asked::New("-HUP"), ""; "the new one")]
fn a_reload_while_the_old_process_drains_counts_for_both(asked: Asked, more: &str) {
    while_the_old_process_drains(more, |upgrading| {
        let Upgrading { of, old, new } = upgrading;
        let moved = Discovery::default();
        let listed = entry("s0", of.nodes[0].address, "Ready");
        moved.set(|roster| roster.changes = listed);
        let address = moved.start().to_string();
        let text = std::fs::read_to_string(&of.router.config).expect("a configuration");
        let text = text.replace(&of.router.discovery.to_string(), &address);
        std::fs::write(&of.router.config, text).expect("written");
        let asked_at = Instant::now();
        ask(of, asked, old, new);
        moved.wait_until(|roster| roster.calls >= CALLS_OF_BOTH);
        assert!(asked_at.elapsed() < RELOAD_WITHIN);
        served(of.router.address, "after");
    });
}

/// Guards against commands that find nobody: a new process that had come to serve was killed while the old one drained.
/// The old one served again, but the socket file and the pid file stayed those of the new one.
#[test_case(STAYS; "which stays")]
#[test_case(""; "which does not stay")]
fn commands_reach_the_old_process_once_the_new_one_was_killed(more: &str) {
    let of = Upgradable::start(&[Act::Silent], more);
    let mut slow = of.router.connect();
    slow.write_all(request("once", "slow").as_bytes())
        .expect("written");
    of.nodes[0].frame('q');
    let old = of.pid();
    let mut upgrade = of.start_upgrade();
    within(|| of.pid() != old, "the new process serves");
    *of.nodes[0]
        .acts
        .lock()
        .expect("no test thread panicked with the lock held") = [Act::Serve; 2];
    within(|| of.status()["process"] == of.pid(), "its control socket");
    signal(of.pid(), "-KILL");
    let status = upgrade.wait().expect("the command ends");
    assert!(!status.success(), "the command learns that it failed");
    served(of.router.address, "after");
    within(|| of.pid() == old, "the old process's id");
    within(
        || of.command(&["status"]).status.success() && of.status()["process"] == old,
        "the old process answers commands",
    );
    assert_eq!(common::answer(&mut slow).0, 502, "by its own rules");
    assert!(of.upgrade(&[]).0, "the next upgrade succeeds");
    of.settled();
}

/// A new process that has no handlers yet: a signal ends it.
#[test_case("-TERM"; "by sigterm")]
#[test_case("-INT"; "by sigint")]
fn a_stop_of_a_new_process_that_has_no_handlers_yet_ends_the_router(name: &str) {
    let mut of = Upgradable::start(
        &[Act::Serve],
        "control: {hello: 20s, step: 20s, ready: 20s}",
    );
    let program = script(&of, "echo $$ > \"${0}.pid\"; exec sleep 60");
    let path = PathBuf::from(format!("{program}.pid"));
    thread::scope(|scope| {
        let upgrade = scope.spawn(|| of.upgrade(&["--program", &program]));
        let id = || std::fs::read_to_string(&path).ok()?.trim().parse().ok();
        within(|| id().is_some(), "the new process begins");
        signal(id().expect("an id"), name);
        let (done, text) = upgrade.join().expect("it ends");
        assert!(!done, "{text}");
    });
    assert!(of.router.ended());
}
