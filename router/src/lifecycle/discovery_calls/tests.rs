//! Tests of which calls stay open, and of the order in which they end.

use std::future;

use futures_lite::future::{block_on, poll_once};

use super::*;

const SECOND: u64 = 1_000_000;

fn terms(began: Micros) -> CallTerms {
    CallTerms {
        began,
        poll: Poll {
            wait: Micros(0),
            overdue_after: Micros(2 * SECOND),
        },
        after: Some(1),
    }
}

/// Begins a call that never ends.
fn begin_silent(calls: &mut OpenCalls, began: Micros) {
    calls.begin(terms(began), future::pending());
}

/// Begins a call that ends at once.
fn begin_ended(calls: &mut OpenCalls, began: Micros) {
    calls.begin(terms(began), future::ready(Err(WatchError::TimedOut)));
}

fn begins_of_overdue(calls: &OpenCalls) -> Vec<u64> {
    let begins = calls.overdue.iter().map(|call| call.terms.began.0 / SECOND);
    begins.collect()
}

/// Guards against a slow discovery whose calls are all closed just before their answers.
#[test]
fn an_overdue_call_is_read_on_while_the_next_one_is_open() {
    let mut calls = OpenCalls::default();
    begin_ended(&mut calls, Micros(0));
    assert_eq!(calls.overdue_at(), Some(Micros(2 * SECOND)));
    calls.mark_overdue(Micros(2 * SECOND));
    assert!(!calls.has_current() && calls.overdue_at().is_none());
    begin_silent(&mut calls, Micros(2 * SECOND));
    let ended = block_on(calls.next_ended());
    assert_eq!((ended.terms.began, ended.was_current), (Micros(0), false));
    assert!(calls.has_current() && begins_of_overdue(&calls).is_empty());
    assert!(block_on(poll_once(calls.next_ended())).is_none());
}

#[test]
fn of_calls_that_have_ended_the_latest_comes_first_and_closes_the_earlier_ones() {
    let mut calls = OpenCalls::default();
    for second in [0, 3, 6] {
        begin_ended(&mut calls, Micros(second * SECOND));
        calls.mark_overdue(Micros((second + 2) * SECOND));
    }
    begin_ended(&mut calls, Micros(9 * SECOND));
    assert!(block_on(calls.next_ended()).was_current);
    let ended = block_on(calls.next_ended());
    assert_eq!(ended.terms.began, Micros(6 * SECOND));
    calls.close_earlier(Micros(3 * SECOND));
    assert!(begins_of_overdue(&calls).is_empty());
}

/// Guards against connections that grow with the time for which discovery is silent, and against connections whose peer
/// has vanished keeping out calls that a slow discovery would answer.
#[test]
fn the_number_of_overdue_calls_is_bounded_and_old_ones_make_room() {
    let mut calls = OpenCalls::default();
    for second in [0, 3, 6, 9, 12, 15] {
        begin_silent(&mut calls, Micros(second * SECOND));
        calls.mark_overdue(Micros((second + 2) * SECOND));
    }
    assert_eq!(begins_of_overdue(&calls), [0, 3, 6, 9]);
    assert_eq!(begins_of_overdue(&calls).len(), MAX_OVERDUE_CALLS);
    begin_silent(&mut calls, Micros(29 * SECOND));
    calls.mark_overdue(Micros(31 * SECOND));
    assert_eq!(begins_of_overdue(&calls), [3, 6, 9, 29]);
    calls.close_all();
    assert!(!calls.has_current() && begins_of_overdue(&calls).is_empty());
}
