use super::*;
use proptest::prelude::*;
use test_case::test_case;

const S: u64 = 1_000_000;
const HOUR: u64 = 3600 * S;
const NOW: Micros = Micros(100_000 * S);

fn before_now(ago: u64) -> Micros {
    Micros(NOW.0 - ago)
}

/// This router received the last endpoint list 2 s ago; the node actually started 1 s ago.
#[test_case(before_now(S), before_now(S); "clocks agree")]
#[test_case(before_now(HOUR), before_now(2 * S); "this machine's clock is an hour ahead")]
#[test_case(Micros(NOW.0 + HOUR), NOW; "this machine's clock is an hour behind")]
#[test_case(before_now(10 * S), before_now(2 * S); "some seconds ahead")]
fn an_observed_start_is_no_earlier_than_the_last_list_without_it(claimed: Micros, started: Micros) {
    let mut start = StartTime::default();
    assert!(start.observe(claimed, NOW, before_now(2 * S)));
    assert_eq!(start.by_local_clock, started);
}

/// In the first list the newest start may have happened just now. The other nodes are older by the difference of
/// their claims, which are made by the same clock.
#[test_case(before_now(HOUR), before_now(HOUR), NOW; "the newest, of a clock an hour behind or of an hour ago")]
#[test_case(before_now(HOUR + 5 * S), before_now(HOUR), before_now(5 * S); "five seconds older than the newest")]
#[test_case(before_now(HOUR), before_now(0), before_now(HOUR); "an hour older than the newest")]
fn the_first_list_gives_ages_relative_to_the_newest_start(
    claimed: Micros,
    newest: Micros,
    earliest: Micros,
) {
    assert_eq!(earliest_start(None, NOW, claimed, newest), earliest);
    assert_eq!(
        earliest_start(Some(before_now(S)), NOW, claimed, newest),
        before_now(S)
    );
}

#[test]
fn a_claimed_start_is_accepted_unless_it_lies_in_the_future() {
    let (mut old, mut ahead) = (StartTime::default(), StartTime::default());
    assert!(
        old.observe(before_now(HOUR), NOW, Micros(0))
            && ahead.observe(Micros(NOW.0 + HOUR), NOW, Micros(0))
    );
    assert_eq!(
        (old.by_local_clock, ahead.by_local_clock),
        (before_now(HOUR), NOW)
    );
}

/// After the node's clock has been stepped back, a new start claims an earlier time than the previous start.
#[test]
fn detects_a_restart_that_claims_an_earlier_time() {
    let mut start = StartTime::default();
    assert!(start.observe(before_now(60 * S), before_now(59 * S), Micros(0)));
    assert!(start.observe(before_now(HOUR), NOW, before_now(2 * S)));
    assert_eq!(start.by_local_clock, before_now(2 * S));
}

/// Delayed lists arrive out of order and may contain the previous start.
#[test]
fn ignores_the_previous_start_in_a_delayed_list() {
    let mut start = StartTime::default();
    assert!(
        start.observe(before_now(60 * S), before_now(59 * S), Micros(0))
            && start.observe(before_now(5 * S), before_now(4 * S), before_now(6 * S))
    );
    let known = start;
    assert!(
        !start.observe(before_now(60 * S), NOW, before_now(S))
            && !start.observe(before_now(5 * S), NOW, before_now(S))
    );
    assert_eq!(start, known);
}

proptest! {
    /// For any claim, the start time is neither earlier than observed nor in the future, and repeating the claim
    /// changes nothing.
    #[test]
    fn no_claim_makes_a_start_earlier_than_observed(
        claimed in 1..200_000 * S, later in 0..HOUR, gap in 0..60 * S,
    ) {
        let mut start = StartTime::default();
        start.observe(Micros(claimed), NOW, before_now(gap));
        prop_assert!(start.by_local_clock >= before_now(gap) && start.by_local_clock <= NOW);
        let known = start;
        prop_assert!(!start.observe(Micros(claimed), NOW + Micros(later), NOW));
        prop_assert_eq!(start, known);
    }
}

/// An entry without a start time reads as 0. The start that this router has observed by its own clock is kept.
#[test]
fn an_entry_without_a_start_time_keeps_the_observed_start() {
    let mut start = StartTime::default();
    assert!(!start.observe(Micros(0), NOW, before_now(S)) && start.by_local_clock == Micros(0));
    assert!(start.observe(before_now(S), NOW, before_now(2 * S)));
    let known = start;
    assert!(
        !start.observe(Micros(0), NOW, before_now(S))
            && !start.observe(before_now(S), NOW, before_now(S))
    );
    assert_eq!(start, known);
}
