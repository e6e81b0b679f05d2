//! Accepts that fail: now and then, for a while, and as the listener goes.

use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Instant;

use ternpick_fault_injection::{Call, Role, Rule};

use crate::common::faulty::Faulty;
use crate::common::*;
use crate::support::*;

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
