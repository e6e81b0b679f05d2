//! Answers whose values do not fit into a response to a client, alone or together.

use std::time::{Duration, Instant};

use test_case::test_case;

use crate::common::scripted::{answer_bytes, Step};
use crate::common::*;
use crate::support::*;

/// The longest body of a response, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// A value whose characters take up six bytes each in a response.
const ESCAPED: &str = "\u{1}";
/// The time in which a query that no node can serve gets its final answer, though its client waits for 2 s.
const AT_ONCE: Duration = Duration::from_millis(900);

/// The values of the fixture that are not the node's own.
fn value(id: &str, length: usize, text: &str) -> String {
    if length == 0 {
        value_of(id)
    } else {
        text.repeat(length / text.len())
    }
}

/// Guards against a query whose answer from a node does not fit into a response being closed without an answer.
#[test_case("whole", 60_000, ESCAPED, 200; "with escapes, may run again")]
#[test_case("half", 60_000, ESCAPED, 200; "with escapes, deduplicated")]
#[test_case("once", 60_000, ESCAPED, 502; "with escapes, never again")]
#[test_case("whole", MAX_BODY_BYTES, "x", 200; "without escapes")]
#[test_case("once", MAX_BODY_BYTES, "x", 502; "without escapes, never again")]
fn another_node_answers_where_a_value_does_not_fit(
    index: &str,
    length: usize,
    text: &'static str,
    status: u16,
) {
    let scripted = Scripted::start(SETTINGS, move |call| {
        let is_spoilt = call.shard == 0 && call.earlier_attempts == 0;
        let length = if is_spoilt { length } else { 0 };
        vec![Step::Write(answer_bytes(
            &call.id,
            &value(&call.id, length, text),
            0,
        ))]
    });
    let mut client = scripted.router.connect();
    for id in ["r1", "r2", "r3"] {
        let served = query(&mut client, index, id, 2);
        assert_eq!(served.status, status, "{id}");
        assert_values(id, &served, "a value too long for a response");
        let attempts = scripted.attempts_of(&format!("{id}.0"));
        assert_eq!(attempts == 1, index == "once", "{id}: {attempts} attempts");
    }
}

/// Guards against a query that no node answers with a value that fits being held or closed: its final answer comes at
/// once.
#[test_case("whole", 503; "may run again")]
#[test_case("once", 502; "never again")]
fn a_query_whose_values_never_fit_gets_its_final_answer_at_once(index: &str, status: u16) {
    let scripted = Scripted::start(SETTINGS, |call| {
        let length = if call.shard == 0 { 60_000 } else { 0 };
        vec![Step::Write(answer_bytes(
            &call.id,
            &value(&call.id, length, ESCAPED),
            0,
        ))]
    });
    let mut client = scripted.router.connect();
    let began = Instant::now();
    assert_eq!(query(&mut client, index, "r1", 2).status, status);
    assert!(began.elapsed() < AT_ONCE, "{:?}", began.elapsed());
}

/// Guards against values that fit alone making a response that does not: the query fails, is rejected, or is answered
/// in part, by its index.
#[test_case("whole", 503; "may run again")]
#[test_case("half", 200; "a part suffices")]
#[test_case("once", 502; "never again")]
fn values_that_do_not_fit_together_give_one_final_answer(index: &str, status: u16) {
    let scripted = Scripted::start(SETTINGS, |call| {
        vec![Step::Write(answer_bytes(
            &call.id,
            &value(&call.id, 40_000, "y"),
            0,
        ))]
    });
    let mut client = scripted.router.connect();
    for id in ["r1", "r2"] {
        let began = Instant::now();
        let served = query(&mut client, index, id, 2);
        assert_eq!(served.status, status, "{id}");
        assert!(served.values.len() <= 1, "{id}: both values do not fit");
        assert!(began.elapsed() < AT_ONCE, "{:?}", began.elapsed());
    }
}

/// Guards against a bound that is too tight: the longest body that the protocol allows is served.
#[test]
fn a_response_of_the_longest_body_is_served() {
    let frame_of_body = r#"{"full":false,"pieces":[{"cell":"","tablet":0}]}"#.len();
    for (excess, status) in [(0, 200), (1, 502)] {
        let length = MAX_BODY_BYTES - frame_of_body + excess;
        let scripted = Scripted::start(SETTINGS, move |call| {
            vec![Step::Write(answer_bytes(&call.id, &"z".repeat(length), 0))]
        });
        let mut client = scripted.router.connect();
        let served = query(&mut client, "once", "r1", 1);
        assert_eq!(served.status, status, "{length} bytes");
        assert_eq!(served.values.len(), usize::from(status == 200));
    }
}
