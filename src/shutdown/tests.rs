use super::*;
use test_case::test_case;

const MS: u64 = 1000;
const REQUESTED_AT: Micros = Micros(10_000 * MS);

fn ms_after_request(time: Micros) -> u64 {
    (time.0 - REQUESTED_AT.0) / MS
}

/// The kill may come 0.7 s plus the longest deadline after the signal. A deadline that is unknown or longer than 3 s
/// counts as 3 s.
#[test_case(Some(1900), 2600)]
#[test_case(Some(3000), 3700)]
#[test_case(Some(8000), 3700; "a longer deadline")]
#[test_case(None, 3700; "unknown deadline")]
fn answers_and_exits_before_the_earliest_kill(
    longest_deadline_ms: Option<u64>,
    earliest_kill_ms: u64,
) {
    let schedule =
        ShutdownSchedule::new(REQUESTED_AT, longest_deadline_ms.map(|ms| Micros(ms * MS)));
    assert_eq!(ms_after_request(schedule.accepts_until), 700);
    assert_eq!(
        ms_after_request(schedule.answers_by),
        earliest_kill_ms - 200
    );
    assert!(
        schedule.answers_by < schedule.exit_by
            && ms_after_request(schedule.exit_by) < earliest_kill_ms
    );
}

/// A very short deadline leaves no room for the whole reserve, so half of the deadline remains for answers.
#[test]
fn shutdown_deadlines_keep_their_order_for_a_very_short_client_deadline() {
    let schedule = ShutdownSchedule::new(REQUESTED_AT, Some(Micros(100 * MS)));
    assert!(schedule.accepts_until < schedule.answers_by && schedule.answers_by < schedule.exit_by);
    assert_eq!(ms_after_request(schedule.answers_by), 750);
}

#[test]
fn closes_unused_connections_with_the_listener_or_shortly_after_accepting_them() {
    let schedule = ShutdownSchedule::new(REQUESTED_AT, Some(Micros(1900 * MS)));
    assert_eq!(
        ms_after_request(schedule.unused_connection_closes_at(Micros(0))),
        700
    );
    assert_eq!(
        ms_after_request(schedule.unused_connection_closes_at(REQUESTED_AT + Micros(690 * MS))),
        890
    );
    assert_eq!(
        schedule.unused_connection_closes_at(schedule.exit_by),
        schedule.answers_by
    );
}

#[test]
fn waits_for_unanswered_clients_until_the_final_exit() {
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
