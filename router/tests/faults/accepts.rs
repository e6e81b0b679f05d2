//! Accept calls that fail: repeatedly, for a period, and while the listener closes.

use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Instant;

use ternpick_fault_injection::{Call, Role, Rule};

use crate::common::faulty::Faulty;
use crate::common::*;
use crate::support::*;

/// Runs 16 clients for 200 ms, each request on a connection of its own. Returns the numbers of requests that were
/// answered in full and that were not.
fn run_clients(faulty: &Faulty, round: usize) -> (usize, usize) {
    let (served, lost, is_over) = (
        AtomicUsize::new(0),
        AtomicUsize::new(0),
        AtomicBool::new(false),
    );
    let address = faulty.router.address;
    thread::scope(|scope| {
        for client in 0..16 {
            let (served, lost, is_over) = (&served, &lost, &is_over);
            scope.spawn(move || {
                for number in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    let mut stream = TcpStream::connect(address).expect("a connection");
                    stream.set_read_timeout(Some(BOUND)).expect("a time-out");
                    let complete =
                        ask(&mut stream, "whole", &format!("c{round}x{client}x{number}")).0 == 200;
                    if complete { served } else { lost }.fetch_add(1, Ordering::Relaxed);
                }
            });
        }
        thread::sleep(200 * MS);
        is_over.store(true, Ordering::Relaxed);
    });
    (served.into_inner(), lost.into_inner())
}

/// Guards against a failed accept that stops all accepting for 50 ms: the router then served 24 queries per second
/// instead of 2,100.
#[test]
fn a_failure_of_every_second_accept_reduces_the_throughput_by_less_than_half() {
    // Errors of one peer or of no one, then errors of this machine.
    accepts_fail(&["ECONNABORTED", "EPROTO", "EINTR", "ENETDOWN"]);
    accepts_fail(&["ENFILE", "EMFILE", "ENOBUFS", "ENOMEM"]);
}

fn accepts_fail(errors: &[&str]) {
    let healthy = Faulty::start(SETTINGS, &[Act::Serve, Act::Serve], &plan(Vec::new()));
    let rules = vec![Rule::fails(Call::Accept, Role::Listener, 2, errors)];
    let failing = Faulty::start(SETTINGS, &[Act::Serve, Act::Serve], &plan(rules));
    // The rounds alternate, so that other load on this machine affects both routers.
    let (mut healthy_served, mut failing_served) = (0, 0);
    for round in 0..6 {
        let (served, healthy_lost) = run_clients(&healthy, round);
        healthy_served += served;
        let (served, failing_lost) = run_clients(&failing, round);
        failing_served += served;
        assert_eq!((healthy_lost, failing_lost), (0, 0));
    }
    failing.all_struck();
    assert!(
        failing_served * 2 > healthy_served,
        "{failing_served} served, {healthy_served} without faults, {} accepts failed",
        failing.strikes.of(0)
    );
    println!(
        "{errors:?}: {failing_served} served, {healthy_served} without faults, {} accepts failed",
        failing.strikes.of(0)
    );
    let log_lines = failing
        .log()
        .lines()
        .filter(|line| line.contains("cannot accept"))
        .count();
    assert!(log_lines <= 3, "{log_lines} log lines for one fault");
}

/// While accepts keep failing, the router retries them with a pause, so that the retries use only a part of a core.
#[test]
fn accepts_that_fail_for_a_second_are_retried_soon_but_not_in_a_busy_loop() {
    let rules = vec![Rule::fails(Call::Accept, Role::Listener, 1, &["ENFILE"]).between(500, 1500)];
    let faulty = Faulty::start(SETTINGS, &[Act::Serve, Act::Serve], &plan(rules));
    thread::sleep(700 * MS);
    let began = Instant::now();
    assert_eq!(ask(&mut faulty.router.connect(), "whole", "r").0, 200);
    assert!(began.elapsed() < 1100 * MS, "after {:?}", began.elapsed());
    faulty.all_struck();
    assert!(
        faulty.strikes.of(0) < 200,
        "{} accept calls in a second",
        faulty.strikes.of(0)
    );
}

/// Accepts fail while the listener closes. The connections in its backlog are served once accepts succeed again, also
/// after many failures caused by peers that have disconnected.
#[test]
fn connections_in_the_backlog_of_a_closing_listener_are_served_despite_failing_accepts() {
    let cases = [("ENFILE", 250), ("ECONNABORTED", 0)];
    run_in_parallel(cases.map(|(error, ms)| move || accepts_fail_while_closing(error, ms)));
}

/// Lets accepts fail for `fail_ms` milliseconds, or a hundred times if that is 0.
fn accepts_fail_while_closing(error: &str, fail_ms: u64) {
    let mut rule = Rule::fails(Call::Accept, Role::Listener, 1, &[error]);
    rule = if fail_ms > 0 {
        rule.between(1500, 1500 + fail_ms)
    } else {
        rule.between(1500, 60_000).most(100)
    };
    let began = Instant::now();
    let faulty = Faulty::start(SETTINGS, &[Act::Serve, Act::Serve], &plan(vec![rule]));
    thread::sleep((900 * MS).saturating_sub(began.elapsed()));
    faulty.router.signal("-TERM");
    // The process is stopped while its listener is due to close, so that it finds the connection in the backlog
    // afterwards.
    thread::sleep((1450 * MS).saturating_sub(began.elapsed()));
    faulty.router.signal("-STOP");
    let mut client = faulty.router.connect();
    std::io::Write::write_all(&mut client, request("whole", "r").as_bytes()).expect("written");
    thread::sleep((1620 * MS).saturating_sub(began.elapsed()));
    faulty.router.signal("-CONT");
    assert_eq!(status_of(&mut client), Ok(200));
    faulty.all_struck();
}
