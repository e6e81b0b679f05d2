//! Tests of which arrivals are taken for those in a suspension, with instants that are given.

use test_case::test_case;

use super::*;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Guards against requests whose time counts from the return of a process that stood still, and against others losing
/// time. The process was suspended from 10 to 1 000 ms; the timer was set at 0.
#[test_case(None, 1_000, Some(0); "noted at the return, before the timer's wake")]
#[test_case(Some(1_000), 1_000, Some(0); "noted with the timer's wake")]
#[test_case(Some(1_000), 1_002, Some(0); "noted right behind it")]
#[test_case(Some(1_000), 1_003, None; "arrived afterwards")]
#[test_case(Some(50), 1_000, None; "noted while only the thread of the tasks was blocked")]
#[test_case(Some(99), 99, None; "the timer is a little late")]
#[test_case(None, 100, None; "the timer is a little late and not woken yet")]
#[test_case(None, 101, Some(0); "the timer is late and not woken yet")]
fn bytes_that_are_noted_late_may_have_arrived_since_the_timer_was_set(
    woken_ms: Option<u64>,
    noted_ms: u64,
    earliest_ms: Option<u64>,
) {
    let start = Instant::now();
    let pulse = Pulse::new(start);
    let noted_at = start + ms(noted_ms);
    let woken_at = woken_ms.map(|at| start + ms(at));
    let suspension = pulse
        .latest(woken_at, noted_at)
        .filter(|suspension| suspension.contains(noted_at));
    let since = suspension.map(|suspension| suspension.since);
    assert_eq!(since, earliest_ms.map(|at| start + ms(at)));
}

#[test]
fn a_suspension_is_known_after_the_timer_was_set_again() {
    let start = Instant::now();
    let mut pulse = Pulse::new(start);
    pulse.set_again(start + ms(51), start + ms(60));
    assert_eq!(pulse.last, None);
    pulse.set_again(start + ms(1_060), start + ms(1_061));
    let suspension = Suspension {
        since: start + ms(60),
        until: start + ms(1_060),
    };
    assert_eq!(pulse.last, Some(suspension));
    assert!(suspension.contains(start + ms(1_061)));
    assert!(!suspension.contains(start + ms(60)));
    // A timer in time does not discard it, and the task's own delay is no suspension.
    pulse.set_again(start + ms(1_112), start + ms(2_500));
    assert_eq!(pulse.last, Some(suspension));
    assert_eq!(pulse.set_at, start + ms(2_500));
}
