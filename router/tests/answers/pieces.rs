//! Sound answers whose bytes come in pieces, or behind which a node falls silent.

use std::time::{Duration, Instant};

use test_case::test_case;

use crate::common::scripted::{answer_bytes, byte_by_byte, Step};
use crate::common::*;
use crate::support::*;

/// The longest time for which the router holds a sound answer, and some time for the machine.
const HELD: Duration = Duration::from_millis(150);

/// Guards against sound answers being rejected, repeated or held because their bytes come in pieces.
#[test_case(Duration::ZERO; "without pauses")]
#[test_case(Duration::from_millis(1); "with pauses")]
#[test_case(Duration::from_millis(3); "with long pauses")]
fn a_sound_answer_byte_by_byte_is_served_by_its_first_attempt(pause: Duration) {
    let scripted = Scripted::start(SETTINGS, move |call| {
        byte_by_byte(&answer_bytes(&call.id, &value_of(&call.id), 0), pause)
    });
    let mut client = scripted.router.connect();
    for id in ["r1", "r2", "r3"] {
        let served = query(&mut client, "once", id, 2);
        assert_eq!(served.status, 200);
        assert_values(id, &served, "byte by byte");
        assert_eq!(scripted.attempts_of(&format!("{id}.0")), 1);
        assert_eq!(scripted.attempts_of(&format!("{id}.1")), 1);
    }
}

/// Guards against an answer being held for as long as the next one takes: the next frame's head confirms it.
#[test]
fn an_answer_is_served_while_the_next_frame_stays_open() {
    let scripted = Scripted::start(SETTINGS, |call| {
        let mut bytes = answer_bytes(&call.id, &value_of(&call.id), 0);
        // The beginning of a frame that never ends.
        bytes.extend_from_slice(b"\x50\0\0\0a");
        vec![Step::Write(bytes)]
    });
    let mut client = scripted.router.connect();
    let began = Instant::now();
    let served = query(&mut client, "once", "r1", 1);
    assert_eq!(served.status, 200);
    assert_values("r1", &served, "an open frame behind it");
    assert!(began.elapsed() < HELD, "{:?}", began.elapsed());
}

/// Guards against an answer being held up to the client's deadline where a node sends one more byte and falls silent.
#[test_case("whole", 200; "may run again")]
#[test_case("once", 502; "never again")]
fn an_answer_that_stays_in_doubt_fails_in_time(index: &str, status: u16) {
    let scripted = Scripted::start(SETTINGS, |call| {
        let mut bytes = answer_bytes(&call.id, &value_of(&call.id), 0);
        if call.earlier_attempts == 0 {
            bytes.push(b'x');
        }
        vec![Step::Write(bytes)]
    });
    let mut client = scripted.router.connect();
    let began = Instant::now();
    let served = query(&mut client, index, "r1", 1);
    assert_eq!(served.status, status);
    assert_values("r1", &served, "a byte behind it");
    // The dial timeout of the settings, and some time for the machine.
    assert!(
        began.elapsed() < Duration::from_millis(550),
        "{:?}",
        began.elapsed()
    );
}

/// Guards against an answer being lost because its connection ends before the router is sure of it.
#[test]
fn an_answer_right_before_the_end_of_its_connection_counts() {
    let scripted = Scripted::start(SETTINGS, |call| {
        let bytes = answer_bytes(&call.id, &value_of(&call.id), 0);
        vec![Step::Write(bytes), Step::Close]
    });
    let mut client = scripted.router.connect();
    for id in ["r1", "r2", "r3"] {
        let served = query(&mut client, "once", id, 1);
        assert_eq!(served.status, 200);
        assert_values(id, &served, "the end behind it");
    }
}
