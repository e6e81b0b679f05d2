use super::*;
use test_case::test_case;

const MS: u64 = 1000;
const REQUESTED_AT: Micros = Micros(10_000 * MS);

fn after(at: Micros) -> u64 {
    (at.0 - REQUESTED_AT.0) / MS
}

/// The kill may come 0.7 s and the longest deadline after the signal, counted as 3 s where it is longer or not known.
#[test_case(Some(1900), 2600)]
#[test_case(Some(3000), 3700)]
#[test_case(Some(8000), 3700; "a longer one")]
#[test_case(None, 3700; "not known")]
fn all_is_answered_and_left_before_the_earliest_kill(longest: Option<u64>, kill: u64) {
    let schedule = ShutdownSchedule::new(REQUESTED_AT, longest.map(|ms| Micros(ms * MS)));
    assert_eq!(after(schedule.accepts_until), 700);
    assert_eq!(after(schedule.answers_by), kill - 200);
    assert!(schedule.answers_by < schedule.exit_by && after(schedule.exit_by) < kill);
}

/// Very short deadlines leave no room for the whole spare time; half of it is left for answers.
#[test]
fn very_short_deadlines_keep_their_order() {
    let schedule = ShutdownSchedule::new(REQUESTED_AT, Some(Micros(100 * MS)));
    assert!(schedule.accepts_until < schedule.answers_by && schedule.answers_by < schedule.exit_by);
    assert_eq!(after(schedule.answers_by), 750);
}

#[test]
fn connections_without_a_byte_close_with_the_listener_or_shortly_after_they_came() {
    let schedule = ShutdownSchedule::new(REQUESTED_AT, Some(Micros(1900 * MS)));
    assert_eq!(after(schedule.unused_connection_closes_at(Micros(0))), 700);
    assert_eq!(
        after(schedule.unused_connection_closes_at(REQUESTED_AT + Micros(690 * MS))),
        890
    );
    assert_eq!(
        schedule.unused_connection_closes_at(schedule.exit_by),
        schedule.answers_by
    );
}

#[test]
fn no_process_leaves_with_a_client_unanswered_before_the_kill_is_long_due() {
    let schedule = ShutdownSchedule::new(REQUESTED_AT, Some(Micros(1900 * MS)));
    let at = |ms: u64| REQUESTED_AT + Micros(ms * MS);
    assert!(schedule.may_exit(at(700), 0, 0) && !schedule.may_exit(at(2500), 1, 0));
    assert!(
        schedule.may_exit(at(2560), 1, 0)
            && !schedule.may_exit(at(2560), 1, 1)
            && !schedule.may_exit(at(3500), 1, 1)
    );
    assert!(schedule.may_exit(at(3600), 1, 1));
}
