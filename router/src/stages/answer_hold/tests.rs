//! Tests of how long an answer is held.

use super::*;
use test_case::test_case;

const PLENTY: Micros = Micros(1_000_000);

#[test_case(Arrival::Together, PLENTY, Micros(0); "a frame that came at once")]
#[test_case(Arrival::WithoutValue, PLENTY, MIN_HOLD; "a frame without a value")]
#[test_case(Arrival::InPieces(Micros(0)), PLENTY, MIN_HOLD; "a frame in two pieces")]
#[test_case(Arrival::InPieces(Micros(5_000)), PLENTY, Micros(10_000); "a frame in pieces")]
#[test_case(Arrival::InPieces(Micros(200_000)), PLENTY, MAX_HOLD; "a frame with a long pause")]
#[test_case(Arrival::InPieces(Micros(200_000)), Micros(1_000), Micros(500); "little time left")]
#[test_case(Arrival::InPieces(Micros(0)), Micros(0), Micros(0); "no time left")]
fn an_answer_is_held_by_the_pauses_in_its_frame(
    arrival: Arrival,
    time_left: Micros,
    expected: Micros,
) {
    assert_eq!(hold_time(arrival, time_left), expected);
}

#[test]
fn pauses_between_frames_do_not_count() {
    let mut pauses = Pauses::default();
    pauses.record_arrival(Micros(1_000), false);
    assert_eq!(pauses.finish_frame(), None);
    pauses.record_arrival(Micros(90_000), false);
    pauses.record_arrival(Micros(93_000), true);
    pauses.record_arrival(Micros(94_000), true);
    assert_eq!(pauses.finish_frame(), Some(Micros(3_000)));
    pauses.record_arrival(Micros(99_000), false);
    assert_eq!(pauses.finish_frame(), None);
}
