//! Series of signals that end a process, drawn by seed.

use std::thread;
use std::time::{Duration, Instant};

use ternpick_history::requests::Observation;

use crate::clients::{Record, LONGEST};
use crate::common::faulty::Faulty;

/// From the signal that asks for the end until the kill: the earliest that the protocol allows.
pub(crate) const KILL: Duration = Duration::from_millis(700 + LONGEST);

/// One signal, so many milliseconds after the series begins.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Signal {
    at_ms: u64,
    name: &'static str,
}

const fn at(at_ms: u64, name: &'static str) -> Signal {
    Signal { at_ms, name }
}

/// The series that are drawn. A process that stands still does so for no longer than the protocol allows (150 ms).
pub(crate) const SERIES: [&[Signal]; 9] = [
    &[at(0, "-TERM")],
    &[at(0, "-HUP"), at(0, "-TERM")],
    &[at(0, "-TERM"), at(30, "-HUP")],
    &[at(0, "-TERM"), at(200, "-TERM"), at(800, "-TERM")],
    &[at(0, "-INT"), at(100, "-TERM")],
    &[at(0, "-TERM"), at(5, "-INT")],
    &[
        at(0, "-HUP"),
        at(20, "-HUP"),
        at(40, "-TERM"),
        at(60, "-HUP"),
        at(80, "-TERM"),
    ],
    &[at(0, "-TERM"), at(650, "-STOP"), at(770, "-CONT")],
    &[at(0, "-STOP"), at(5, "-TERM"), at(120, "-CONT")],
];

fn ends_process(signal: Signal) -> bool {
    matches!(signal.name, "-TERM" | "-INT")
}

/// Sends a series to a process, and kills it as early as the protocol allows.
pub(crate) fn end(of: &mut Faulty, name: &str, series: &[Signal], record: &Record) {
    let began = Instant::now();
    let mut told = None;
    for signal in series {
        thread::sleep(Duration::from_millis(signal.at_ms).saturating_sub(began.elapsed()));
        if of.router.child.try_wait().expect("a child").is_some() {
            return;
        }
        if ends_process(*signal) && told.is_none() {
            record.saw(Observation::StopSignalled {
                router: name.to_owned(),
            });
            told = Some(Instant::now());
        }
        of.router.signal(signal.name);
    }
    let told = told.unwrap_or(began);
    while told.elapsed() < KILL {
        if of.router.child.try_wait().expect("a child").is_some() {
            return;
        }
        thread::sleep(Duration::from_millis(2));
    }
    record.saw(Observation::RouterKilled {
        router: name.to_owned(),
    });
    of.router.child.kill().expect("killed");
}
