//! System calls that fail in the ways that Linux documents, clocks that step, a process that is held up: the program as it
//! ships, under plans that a preloaded library carries out. All rules hold.

mod common;

use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use ternpick_fault_injection::{Call, Effect, Plan, Role, Rule};
use test_case::test_case;

use common::cold::{overrun, RAMP};
use common::faulty::Faulty;
use common::*;

const MS: Duration = Duration::from_millis(1);

fn plan(rules: Vec<Rule>) -> Plan {
    Plan {
        seed: 1,
        rules,
        ..Plan::default()
    }
}

/// How many requests 16 clients have answered in a fifth of a second, each on a connection of its own, and how many were not.
fn served(of: &Faulty, turn: usize) -> (usize, usize) {
    let (served, lost, over) = (
        AtomicUsize::new(0),
        AtomicUsize::new(0),
        AtomicBool::new(false),
    );
    let address = of.router.address;
    thread::scope(|scope| {
        for client in 0..16 {
            let (served, lost, over) = (&served, &lost, &over);
            scope.spawn(move || {
                for number in 0.. {
                    if over.load(Ordering::Relaxed) {
                        return;
                    }
                    let mut stream = TcpStream::connect(address).expect("a connection");
                    stream.set_read_timeout(Some(BOUND)).expect("a time-out");
                    let whole =
                        ask(&mut stream, "whole", &format!("c{turn}x{client}x{number}")).0 == 200;
                    if whole { served } else { lost }.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        thread::sleep(200 * MS);
        over.store(true, Ordering::Relaxed);
    });
    (served.into_inner(), lost.into_inner())
}

/// Each failure stopped all accepting for 50 ms: 24 lookups a second instead of 2,100.
#[test]
fn every_second_accept_that_fails_costs_no_more_than_the_call() {
    // What concerns one peer or nobody, then what concerns this machine.
    accepts_fail(&["ECONNABORTED", "EPROTO", "EINTR", "ENETDOWN"]);
    accepts_fail(&["ENFILE", "EMFILE", "ENOBUFS", "ENOMEM"]);
}

fn accepts_fail(errors: &[&str]) {
    let well = Faulty::start(SETTINGS, &[Act::Serve, Act::Serve], &plan(Vec::new()));
    let rules = vec![Rule::fails(Call::Accept, Role::Listener, 2, errors)];
    let ill = Faulty::start(SETTINGS, &[Act::Serve, Act::Serve], &plan(rules));
    // By turns, so that what else runs here weighs on both.
    let (mut usual, mut under) = (0, 0);
    for turn in 0..6 {
        let ((of_well, lost), (of_ill, lost_too)) = (served(&well, turn), served(&ill, turn));
        (usual, under) = (usual + of_well, under + of_ill);
        assert_eq!((lost, lost_too), (0, 0));
    }
    ill.all_struck();
    assert!(
        under * 2 > usual,
        "{under} served, {usual} without faults, {} struck",
        ill.strikes.of(0)
    );
    println!(
        "{errors:?}: {under} served of {usual}, {} struck",
        ill.strikes.of(0)
    );
    let lines = ill
        .log()
        .lines()
        .filter(|line| line.contains("cannot accept"))
        .count();
    assert!(lines <= 3, "{lines} lines of one fault");
}

/// A failure that lasts is met again and again, and costs no more than a part of a core.
#[test]
fn accepts_that_fail_for_a_while_are_tried_again_soon_after() {
    let rules = vec![Rule::fails(Call::Accept, Role::Listener, 1, &["ENFILE"]).between(500, 1500)];
    let of = Faulty::start(SETTINGS, &[Act::Serve, Act::Serve], &plan(rules));
    thread::sleep(700 * MS);
    let began = Instant::now();
    assert_eq!(ask(&mut of.router.connect(), "whole", "r").0, 200);
    assert!(began.elapsed() < 1100 * MS, "after {:?}", began.elapsed());
    of.all_struck();
    assert!(
        of.strikes.of(0) < 200,
        "{} tries in a second",
        of.strikes.of(0)
    );
}

/// The signal's bytes came in parts, with failed reads between: SIGTERM was not obeyed.
#[test]
fn interrupted_and_short_calls_lose_nothing_and_a_signal_is_heard_once() {
    let cases = [(2, 0), (3, 0), (2, 1), (3, 3)];
    together(cases.map(|(every, short)| move || interrupted(every, short)));
}

/// Cases beside each other; all of them are played, whatever one shows.
fn together<T: FnOnce() + Send + 'static>(cases: impl IntoIterator<Item = T>) {
    let played: Vec<_> = cases.into_iter().map(thread::spawn).collect();
    let failed = played
        .into_iter()
        .map(thread::JoinHandle::join)
        .filter(Result::is_err)
        .count();
    assert_eq!(failed, 0, "cases that failed");
}

/// Every so many calls are interrupted, and only so many bytes move at a time, where that is not 0.
fn interrupted(every: u64, short: usize) {
    let mut rules = vec![
        Rule::fails(Call::Receive, Role::Any, every, &["EINTR"]),
        Rule::fails(Call::Send, Role::Any, every, &["EINTR"]),
        Rule::fails(Call::Wait, Role::Any, every, &["EINTR"]),
        Rule::fails(Call::Accept, Role::Any, every, &["EINTR"]),
    ];
    if short > 0 {
        rules.push(Rule::new(Call::Receive, Role::Any, 1, Effect::Short(short)));
        rules.push(Rule::new(Call::Send, Role::Any, 1, Effect::Short(short)));
    }
    let mut of = Faulty::start(SETTINGS, &[Act::Serve, Act::Serve], &plan(rules));
    for id in 0..20 {
        assert_eq!(
            ask(&mut of.router.connect(), "whole", &format!("r{id}")).2,
            WHOLE
        );
    }
    of.router.signal("-TERM");
    let told = Instant::now();
    assert_eq!(ask(&mut of.router.connect(), "whole", "late").2, WHOLE);
    assert!(
        of.router.ended() && told.elapsed() < 3700 * MS,
        "after {:?}",
        told.elapsed()
    );
    of.all_struck();
    let log = of.log();
    let lines = |what: &str| log.lines().filter(|line| line.contains(what)).count();
    assert_eq!(lines("INFO stopping"), 3, "{log}");
    assert_eq!(
        (lines("signal ignored"), lines("could not be read")),
        (0, 0),
        "{log}"
    );
}

/// Dials that fail at once, for 0.4 s: a lookup's attempts were gone within a millisecond.
#[test]
fn dials_that_fail_for_a_moment_lose_no_lookup_and_blame_no_node() {
    let connects = [
        "EADDRNOTAVAIL",
        "ENETUNREACH",
        "EHOSTUNREACH",
        "ENOBUFS",
        "EINTR",
    ];
    let connects = connects.map(|error| (Call::Connect, error));
    let sockets = ["EMFILE", "ENFILE", "ENOBUFS"].map(|error| (Call::Socket, error));
    together(
        connects
            .into_iter()
            .chain(sockets)
            .map(|(call, error)| move || dials_fail(call, error)),
    );
}

fn dials_fail(call: Call, error: &'static str) {
    let on = if call == Call::Socket {
        Role::Any
    } else {
        Role::Node
    };
    let rules = vec![Rule::fails(call, on, 1, &[error]).between(800, 1200)];
    let of = Faulty::start(SETTINGS, &[Act::Serve, Act::Serve], &plan(rules));
    thread::sleep(900 * MS);
    let clients: Vec<_> = (0..10)
        .map(|id| {
            let mut stream = of.router.connect();
            thread::spawn(move || ask(&mut stream, "whole", &format!("r{id}")))
        })
        .collect();
    let answers: Vec<_> = clients
        .into_iter()
        .map(|client| client.join().expect("a client"))
        .collect();
    of.all_struck();
    let statuses: Vec<u16> = answers.iter().map(|answer| answer.0).collect();
    assert!(
        statuses.iter().all(|status| *status == 200),
        "{statuses:?}\n{}",
        of.log()
    );
    assert!(!of.log().contains("suspected"), "{}", of.log());
}

/// A connection to a node that breaks under a call, as a time-out or as no way there.
#[test_case("ETIMEDOUT")]
#[test_case("EHOSTUNREACH")]
#[test_case("ENETUNREACH")]
#[test_case("ECONNRESET")]
fn connections_that_break_while_they_are_read_lose_no_lookup(error: &str) {
    let rules = vec![Rule::fails(Call::Receive, Role::Node, 7, &[error])];
    let of = Faulty::start(SETTINGS, &[Act::Serve, Act::Serve], &plan(rules));
    for id in 0..40 {
        assert_eq!(
            ask(&mut of.router.connect(), "whole", &format!("r{id}")).2,
            WHOLE,
            "r{id}"
        );
    }
    of.all_struck();
}

const HOUR: i64 = 3_600_000;

/// A node that starts while the router's wall clock reads another time than discovery's: the cold node gets what it bears, from the
/// first moment, and is warm when its time is over.
#[test_case(0, false; "the clocks agree")]
#[test_case(HOUR, false; "an hour ahead")]
#[test_case(-HOUR, false; "an hour behind")]
#[test_case(8000, false; "some seconds ahead")]
#[test_case(HOUR, true; "an hour ahead, and it started before the router")]
#[test_case(-HOUR, true; "an hour behind, and it started before the router")]
#[allow(
    clippy::too_many_lines,
    reason = "one scenario, told in the order in which it happens"
)]
fn a_cold_node_is_known_to_be_cold_whatever_the_wall_clock_reads(by_ms: i64, before: bool) {
    let settings = SETTINGS
        .replace(r#""rules":{"#, RAMP)
        .replace(r#""positions":1"#, r#""positions":2"#);
    let nodes = vec![Node::start([Act::Serve; 2]), Node::start([Act::Serve; 2])];
    let addresses = [nodes[0].address, nodes[1].address];
    let listed = |at: usize, since: u128| {
        let entry = entry(&format!("s{at}"), addresses[at], "Ready");
        entry
            .replace(r#""group":0"#, &format!(r#""group":{at}"#))
            .replace(r#""since_ms":0"#, &format!(r#""since_ms":{since}"#))
    };
    let unix = || {
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        unix.expect("a time").as_millis()
    };
    let discovery = Discovery::default();
    discovery.set(|roster| roster.version = 1);
    let address = discovery.start();
    let (mut started, mut since) = (Instant::now(), unix());
    let known = if before {
        [listed(0, 0), listed(1, since)].join(",")
    } else {
        listed(0, 0)
    };
    let steps = vec![ternpick_fault_injection::Step { at_ms: 0, by_ms }];
    let of = Faulty::with(
        &settings,
        nodes,
        discovery,
        address,
        &known,
        &Plan {
            steps,
            ..plan(Vec::new())
        },
    );
    of.discovery.wait_until(|roster| roster.asked == 1);
    if !before {
        (started, since) = (Instant::now(), unix());
    }
    let sent = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    let into = sent.clone();
    of.nodes[1].watch(Some(std::sync::Arc::new(move |letter, _: &str| {
        if letter == 'q' {
            into.lock()
                .expect("no test thread panicked with the lock held")
                .push(started.elapsed());
        }
    })));
    of.discovery.set(|roster| {
        (roster.version, roster.changes) = (2, [listed(0, 0), listed(1, since)].join(","))
    });
    let address = of.router.address;
    thread::scope(|scope| {
        for client in 0..8 {
            scope.spawn(move || {
                for number in 0.. {
                    if started.elapsed() > 8500 * MS {
                        return;
                    }
                    let parts = r#"{"tablet":1,"fraction":1,"guess":100000}"#;
                    let text = request_of("whole", &format!("c{client}x{number}"), parts);
                    let mut stream = TcpStream::connect(address).expect("a connection");
                    std::io::Write::write_all(&mut stream, text.as_bytes()).expect("written");
                    answer(&mut stream);
                    thread::sleep(10 * MS);
                }
            });
        }
    });
    let sent = sent
        .lock()
        .expect("no test thread panicked with the lock held");
    // While it is cold; each window of a second that begins and ends in that time.
    let cold: Vec<Duration> = sent.iter().copied().filter(|at| *at < 6000 * MS).collect();
    assert_eq!(overrun(&cold), None);
    let warm = sent.iter().filter(|at| **at > 7000 * MS).count();
    assert!(
        cold.len() >= 10 && warm > 60,
        "{} while cold, {warm} in 1.5 s once warm",
        cold.len()
    );
}

/// A client's machine is gone and its connection breaks, however that shows: its parts are given up, and none is begun.
#[test_case("ETIMEDOUT")]
#[test_case("EHOSTUNREACH")]
#[test_case("ECONNRESET")]
fn a_client_whose_connection_breaks_is_gone(error: &str) {
    let rules = vec![Rule::fails(Call::Receive, Role::Client, 1, &[error]).between(1000, 2000)];
    let of = Faulty::start(SETTINGS, &[Act::Silent, Act::Silent], &plan(rules));
    thread::sleep(600 * MS);
    let mut client = of.router.connect();
    std::io::Write::write_all(&mut client, request("whole", "r").as_bytes()).expect("written");
    of.nodes.iter().for_each(|node| drop(node.sends()));
    thread::sleep(500 * MS);
    let (left, calls) = (
        Instant::now(),
        std::sync::Arc::new(std::sync::Mutex::new(Vec::new())),
    );
    for node in &of.nodes {
        let into = calls.clone();
        node.watch(Some(std::sync::Arc::new(move |letter, _: &str| {
            into.lock()
                .expect("no test thread panicked with the lock held")
                .push((left.elapsed(), letter))
        })));
    }
    // The break is met where the connection is read.
    std::io::Write::write_all(&mut client, b"x").expect("written");
    thread::sleep(1200 * MS);
    of.all_struck();
    let calls = calls
        .lock()
        .expect("no test thread panicked with the lock held");
    assert!(
        calls
            .iter()
            .any(|(at, letter)| *letter == 'c' && *at < 100 * MS),
        "given up at once: {calls:?}"
    );
    assert!(
        !calls
            .iter()
            .any(|(at, letter)| *letter == 'q' && *at > 100 * MS),
        "begun for nobody: {calls:?}"
    );
}

/// A request sent ahead of its turn waited behind a slow one, and was passed on with the whole of its time.
#[test]
fn a_request_sent_ahead_is_passed_on_with_what_its_client_has_left() {
    let of = Faulty::start(SETTINGS, &[Act::Silent], &plan(Vec::new()));
    let timed = |id: &str, ms: u64| {
        request("half", id).replace("Deadline-Ms: 2000", &format!("Deadline-Ms: {ms}"))
    };
    let mut client = of.router.connect();
    let (told, sent) = (
        std::sync::Arc::new(std::sync::Mutex::new(Vec::new())),
        Instant::now(),
    );
    let into = told.clone();
    of.nodes[0].watch(Some(std::sync::Arc::new(move |letter, rest: &str| {
        let told = rest
            .split("d=")
            .nth(1)
            .and_then(|rest| rest.split([',', ' ']).next()?.parse::<u64>().ok());
        if let ('q', Some(told)) = (letter, told) {
            into.lock()
                .expect("no test thread panicked with the lock held")
                .push((sent.elapsed().as_millis() as u64, rest.to_owned(), told));
        }
    })));
    let both = timed("a", 700) + &timed("b", 1000);
    std::io::Write::write_all(&mut client, both.as_bytes()).expect("written");
    // The first call hangs, the next one is served.
    thread::sleep(400 * MS);
    *of.nodes[0]
        .acts
        .lock()
        .expect("no test thread panicked with the lock held") = [Act::Serve; 2];
    answer(&mut client);
    answer(&mut client);
    assert!(
        sent.elapsed() < 1200 * MS,
        "both are answered in their time, after {:?}",
        sent.elapsed()
    );
    let told = told
        .lock()
        .expect("no test thread panicked with the lock held");
    let behind: Vec<_> = told
        .iter()
        .filter(|(_, text, _)| text.starts_with("b."))
        .collect();
    assert!(!behind.is_empty(), "{told:?}");
    assert!(
        behind.iter().all(|(at, _, told)| told + at <= 1000 + 150),
        "{behind:?}"
    );
}

/// Accepts fail while the listener goes: who waits in it is answered once they pass. Peers that have gone do not count.
#[test]
fn connections_that_wait_as_the_listener_goes_are_served_though_accepts_fail() {
    let cases = [("ENFILE", 250), ("ECONNABORTED", 0)];
    together(cases.map(|(error, ms)| move || last_accepts_fail(error, ms)));
}

/// For so many milliseconds, or a hundred times.
fn last_accepts_fail(error: &str, ms: u64) {
    let mut rule = Rule::fails(Call::Accept, Role::Listener, 1, &[error]);
    rule = if ms > 0 {
        rule.between(1500, 1500 + ms)
    } else {
        rule.between(1500, 60_000).most(100)
    };
    let began = Instant::now();
    let of = Faulty::start(SETTINGS, &[Act::Serve, Act::Serve], &plan(vec![rule]));
    thread::sleep((900 * MS).saturating_sub(began.elapsed()));
    of.router.signal("-TERM");
    // Held still over the moment in which the listener goes, it finds the connection waiting then.
    thread::sleep((1450 * MS).saturating_sub(began.elapsed()));
    of.router.signal("-STOP");
    let mut client = of.router.connect();
    std::io::Write::write_all(&mut client, request("whole", "r").as_bytes()).expect("written");
    thread::sleep((1620 * MS).saturating_sub(began.elapsed()));
    of.router.signal("-CONT");
    assert_eq!(status_of(&mut client), Ok(200));
    of.all_struck();
}
