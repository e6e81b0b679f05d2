//! Tests of which answers a connection awaits, and of what an answer is taken for.

use ternpick::types::{AttemptNo, ShardRequestId};

use super::*;

const NOW: Micros = Micros(7);

fn key(shard_request: u64) -> AttemptKey {
    (ShardRequestId(shard_request), AttemptNo(0))
}

fn id(number: usize) -> Rc<str> {
    format!("x.{number}").into()
}

/// Guards against a late answer that is taken for the answer to a later attempt under the same id: the id must stay
/// reserved from when the first attempt is sent until its answer arrives, also once the attempt has ended.
#[test]
fn an_answer_is_awaited_until_it_arrives_also_after_its_attempt_has_ended() {
    let mut attempts = CarriedAttempts::default();
    assert!(!attempts.awaits_answer("x.1"));
    attempts.add(id(1), key(1));
    assert!(attempts.awaits_answer("x.1"));
    attempts.end_unanswered(&id(1));
    assert_eq!((attempts.get("x.1"), attempts.in_flight_count()), (None, 0));
    assert!(attempts.awaits_answer("x.1") && attempts.awaited_count() == 1);
    let much_later = NOW + ANSWERED_REMEMBERED_FOR.times(100.0);
    assert_eq!(
        attempts.record_answer("x.1", much_later),
        AnswerOwner::Ended
    );
    assert!(!attempts.awaits_answer("x.1") && attempts.awaited_count() == 0);
    attempts.add(id(1), key(2));
    let second = attempts.record_answer("x.1", much_later);
    assert_eq!(second, AnswerOwner::InFlight(key(2)));
}

#[test]
fn an_answer_belongs_to_an_attempt_in_flight_or_was_answered_or_is_unknown() {
    let mut attempts = CarriedAttempts::default();
    attempts.add(id(1), key(1));
    attempts.add(id(2), key(2));
    assert_eq!(attempts.record_answer("x.3", NOW), AnswerOwner::Unknown);
    let first = attempts.record_answer("x.1", NOW);
    assert_eq!(first, AnswerOwner::InFlight(key(1)));
    assert_eq!(attempts.record_answer("x.1", NOW), AnswerOwner::Answered);
    assert!(!attempts.awaits_answer("x.1") && attempts.awaits_answer("x.2"));
    assert_eq!(attempts.in_flight().collect::<Vec<_>>(), [key(2)]);
}

/// Guards against memory that grows with the answers of a connection.
#[test]
fn answered_attempts_are_remembered_by_number_and_age() {
    let mut attempts = CarriedAttempts::default();
    for number in 0..2 * ANSWERED_REMEMBERED {
        attempts.add(id(number), key(1));
        attempts.record_answer(&id(number), NOW);
    }
    let owners = [
        0,
        ANSWERED_REMEMBERED - 1,
        ANSWERED_REMEMBERED,
        2 * ANSWERED_REMEMBERED - 1,
    ]
    .map(|number| attempts.record_answer(&id(number), NOW));
    let (forgotten, remembered) = (AnswerOwner::Unknown, AnswerOwner::Answered);
    assert_eq!(owners, [forgotten, forgotten, remembered, remembered]);
    let later = NOW + ANSWERED_REMEMBERED_FOR + Micros(1);
    let last = 2 * ANSWERED_REMEMBERED - 1;
    assert_eq!(attempts.record_answer(&id(last), later), forgotten);
    assert!(attempts.answered.is_empty());
}

/// Guards against memory that grows with a node that answers no attempt that was cancelled: no id is forgotten, and the
/// connection takes no more attempts.
#[test]
fn a_connection_is_full_when_too_many_ended_attempts_are_unanswered() {
    let mut attempts = CarriedAttempts::default();
    for number in 0..MAX_UNANSWERED {
        assert!(!attempts.is_full(), "after {number}");
        attempts.add(id(number), key(1));
        attempts.end_unanswered(&id(number));
    }
    assert!(attempts.is_full());
    assert!((0..MAX_UNANSWERED).all(|number| attempts.awaits_answer(&id(number))));
    attempts.record_answer("x.0", NOW);
    assert!(!attempts.is_full());
}
