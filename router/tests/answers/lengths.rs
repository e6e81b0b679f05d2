//! Answers whose frame length does not fit.

use std::time::Duration;

use test_case::test_case;

use crate::common::scripted::{answer_bytes, byte_by_byte, Step};
use crate::common::*;
use crate::support::*;

/// By how much a length is wrong, in both directions. Larger differences cut off the line, or leave the frame open.
const EXCESS: [i64; 12] = [-16, -8, -5, -4, -3, -2, -1, 1, 2, 3, 4, 5];

/// The length of a value.
const VALUE_BYTES: usize = 16;

/// How a node's bytes are split.
#[derive(Clone, Copy, Debug)]
enum Split {
    OneWrite,
    /// Its line, its value up to the end that the wrong length gives, and the rest.
    ThreeWrites,
    /// One up to the end that the wrong length gives, and one behind it.
    AtWrongEnd,
    ByteByByte(Duration),
}

/// Longer than the router holds an answer.
const LATE: Duration = Duration::from_millis(60);
/// The time that the other part of a query takes after that.
const AFTER_THE_REST: Duration = Duration::from_millis(150);
const MILLISECOND: Duration = Duration::from_millis(1);

fn steps(bytes: &[u8], excess: i64, split: Split) -> Vec<Step> {
    match split {
        Split::OneWrite => vec![Step::Write(bytes.to_vec())],
        Split::AtWrongEnd if excess < 0 => {
            let end = bytes.len() - excess.unsigned_abs() as usize;
            let (first, rest) = bytes.split_at(end);
            vec![Step::Write(first.to_vec()), Step::Write(rest.to_vec())]
        }
        Split::AtWrongEnd => vec![Step::Write(bytes.to_vec())],
        Split::ThreeWrites => {
            let line_end = bytes.len() - VALUE_BYTES;
            let wrong_end = bytes.len() - excess.min(0).unsigned_abs() as usize;
            let pieces = [
                &bytes[..line_end],
                &bytes[line_end..wrong_end],
                &bytes[wrong_end..],
            ];
            let pieces = pieces.into_iter().filter(|piece| !piece.is_empty());
            pieces
                .flat_map(|piece| [Step::Write(piece.to_vec()), Step::Pause(MILLISECOND)])
                .collect()
        }
        Split::ByteByByte(pause) => byte_by_byte(bytes, pause),
    }
}

/// Guards against a value that is cut short or runs into the next frame being served: the value was believed before
/// the bytes behind its frame were looked at.
#[test_case("whole", Split::OneWrite; "may run again")]
#[test_case("half", Split::OneWrite; "deduplicated")]
#[test_case("once", Split::OneWrite; "never again")]
#[test_case("whole", Split::ThreeWrites; "in three writes")]
#[test_case("whole", Split::ByteByByte(Duration::ZERO); "byte by byte")]
#[test_case("whole", Split::ByteByByte(MILLISECOND); "byte by byte with pauses")]
#[test_case("whole", Split::ByteByByte(Duration::from_millis(3)); "byte by byte with long pauses")]
#[test_case("whole", Split::AtWrongEnd; "in two writes")]
fn a_value_whose_length_is_wrong_is_never_served(index: &'static str, split: Split) {
    for excess in EXCESS {
        // The first attempt of each first shard is answered with a wrong length.
        let scripted = Scripted::start(SETTINGS, move |call| {
            let is_spoilt = call.shard == 0 && call.earlier_attempts == 0;
            let excess = if is_spoilt { excess } else { 0 };
            let bytes = answer_bytes(&call.id, &value_of(&call.id), excess);
            steps(&bytes, excess, split)
        });
        let mut client = scripted.router.connect();
        for id in ["r1", "r2", "r3"] {
            let context = format!("{index}, {excess} bytes more than there are, {split:?}");
            // A second part that must not run twice would fail with the connection, whatever became of the first.
            let shards = if index == "once" { 1 } else { 2 };
            let served = query(&mut client, index, id, shards);
            if scripted.was_held_up(id) {
                continue;
            }
            assert_values(id, &served, &context);
            // What must not run twice has failed; the others are served by their second attempts.
            let expected = if index == "once" { 502 } else { 200 };
            assert_eq!(served.status, expected, "{id}: {context}");
            let attempts = scripted.attempts_of(&format!("{id}.0"));
            assert_eq!(attempts == 1, index == "once", "{id}: {context}");
        }
    }
}

/// Guards against a value being served although the rest of it has come by the time of the response, longer after
/// its wrong end than the router holds an answer.
#[test_case("whole", 200; "may run again")]
#[test_case("half", 200; "deduplicated")]
#[test_case("once", 502; "never again")]
fn a_value_is_withdrawn_if_the_rest_of_it_comes_before_the_response(index: &str, status: u16) {
    let scripted = Scripted::start(SETTINGS, |call| {
        let bytes = answer_bytes(&call.id, &value_of(&call.id), 0);
        if call.earlier_attempts > 0 {
            return vec![Step::Write(bytes)];
        }
        if call.shard == 1 {
            return vec![Step::Pause(AFTER_THE_REST), Step::Write(bytes)];
        }
        let spoilt = answer_bytes(&call.id, &value_of(&call.id), -3);
        let (first, rest) = spoilt.split_at(spoilt.len() - 3);
        vec![
            Step::Write(first.to_vec()),
            Step::Pause(LATE),
            Step::Write(rest.to_vec()),
        ]
    });
    let mut client = scripted.router.connect();
    for id in ["r1", "r2", "r3"] {
        let served = query(&mut client, index, id, 2);
        assert_eq!(served.status, status, "{id}");
        assert_values(id, &served, "the rest came late");
        assert_eq!(
            scripted.attempts_of(&format!("{id}.0")) == 1,
            index == "once"
        );
    }
}

/// Guards against a refusal by a node being believed although its frame's length is wrong: what was said not to have
/// run was sent again.
#[test]
fn a_spoilt_refusal_does_not_prove_that_nothing_ran() {
    let scripted = Scripted::start(SETTINGS, |call| {
        let mut bytes = answer_bytes(&call.id, "", 0);
        if call.shard == 0 && call.earlier_attempts == 0 {
            bytes = frame(b'a', &format!("{} skipped 5 queue=1\n", call.id));
            bytes.extend_from_slice(b"5be2a07c");
        }
        vec![Step::Write(bytes)]
    });
    let mut client = scripted.router.connect();
    assert_eq!(query(&mut client, "once", "r1", 1).status, 502);
    assert_eq!(scripted.attempts_of("r1.0"), 1);
}

/// A good answer with noise behind it counts, where the noise cannot be the rest of its value.
#[test]
fn noise_behind_a_good_answer_spoils_nothing_if_it_is_no_text() {
    let scripted = Scripted::start(SETTINGS, |call| {
        let mut bytes = answer_bytes(&call.id, &value_of(&call.id), 0);
        bytes.extend_from_slice(b"\xff\xfe\x01\x02noise");
        vec![Step::Write(bytes)]
    });
    let mut client = scripted.router.connect();
    for id in ["r1", "r2", "r3"] {
        let served = query(&mut client, "once", id, 1);
        assert_eq!(served.status, 200);
        assert_values(id, &served, "noise behind it");
    }
}
