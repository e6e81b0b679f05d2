use super::*;

/// Guards the longest time for which a change can stay unknown, whenever the watch stops responding: the call
/// times out, an immediate poll follows and is refused as late as discovery refuses calls, and another poll
/// follows the usual pause.
#[test]
fn a_change_becomes_known_in_time_after_a_call_has_timed_out() {
    for seed in 0..1000 {
        let mut schedule = WatchSchedule::new(Some(Micros(10_000_000)), seed);
        let call = schedule.next(true);
        assert!(call.wait <= LONGEST_WAIT && call.wait >= LONGEST_WAIT.times(0.66));
        assert!(schedule.failed(true), "an immediate poll follows");
        let poll = schedule.next(true);
        assert_eq!(poll.wait, Micros(0));
        assert!(call.overdue_after + OVERDUE_AFTER + Micros(1_000_000) <= NOTIFIED_WITHIN);
        assert!(call.overdue_after + poll.overdue_after <= NOTIFIED_WITHIN);
    }
}

#[test]
fn only_one_immediate_poll_follows_a_time_out_and_none_a_refusal() {
    let mut schedule = WatchSchedule::new(None, 7);
    assert!(!schedule.failed(false));
    assert!(schedule.failed(true) && !schedule.failed(true) && !schedule.failed(false));
    assert_eq!(
        schedule.next(true).wait,
        Micros(0),
        "no call has been answered yet, so the next one does not wait"
    );
    schedule.answered();
    assert!(schedule.next(true).wait > Micros(0) && schedule.failed(true));
}

#[test]
fn waits_no_longer_than_the_settings_allow_and_not_at_all_for_a_full_list() {
    let mut schedule = WatchSchedule::new(Some(Micros(900_000)), 7);
    assert!((0..100).all(|_| schedule.next(true).wait <= Micros(900_000)));
    assert_eq!(schedule.next(false).wait, Micros(0));
}

#[test]
fn waits_of_different_routers_spread_out() {
    let waits: Vec<u64> = (0..300)
        .map(|seed| WatchSchedule::new(None, seed).next(true).wait.0)
        .collect();
    let (least, most) = (waits.iter().min().copied(), waits.iter().max().copied());
    assert!(most
        .zip(least)
        .is_some_and(|(most, least)| most - least > LONGEST_WAIT.0 / 4));
}
