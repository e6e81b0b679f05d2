use super::*;
use proptest::prelude::*;
use test_case::test_case;

const S: u64 = 1_000_000;
const HOUR: u64 = 3600 * S;
const NOW: Micros = Micros(100_000 * S);

fn at(ago: u64) -> Micros {
    Micros(NOW.0 - ago)
}

/// This router received the last endpoint list 2 s ago; the node actually started 1 s ago.
#[test_case(at(S), at(S); "clocks agree")]
#[test_case(at(HOUR), at(2 * S); "this machine's clock is an hour ahead")]
#[test_case(Micros(NOW.0 + HOUR), NOW; "this machine's clock is an hour behind")]
#[test_case(at(10 * S), at(2 * S); "some seconds ahead")]
fn a_start_that_was_seen_is_no_older_than_the_last_list_without_it(
    claimed: Micros,
    started: Micros,
) {
    let mut start = StartTime::default();
    assert!(start.observe(claimed, NOW, at(2 * S)));
    assert_eq!(start.by_local_clock, started);
}

/// In the first list the newest start may have happened just now. The other nodes are older by the difference of
/// their claims, which are made by the same clock.
#[test_case(at(HOUR), at(HOUR), NOW; "the newest, of a clock an hour behind or of an hour ago")]
#[test_case(at(HOUR + 5 * S), at(HOUR), at(5 * S); "five seconds older than the newest")]
#[test_case(at(HOUR), at(0), at(HOUR); "an hour older than the newest")]
fn the_first_list_tells_ages_among_nodes(claimed: Micros, newest: Micros, earliest: Micros) {
    assert_eq!(earliest_start(None, NOW, claimed, newest), earliest);
    assert_eq!(earliest_start(Some(at(S)), NOW, claimed, newest), at(S));
}

#[test]
fn a_claim_is_believed_but_for_the_future() {
    let (mut old, mut ahead) = (StartTime::default(), StartTime::default());
    assert!(
        old.observe(at(HOUR), NOW, Micros(0))
            && ahead.observe(Micros(NOW.0 + HOUR), NOW, Micros(0))
    );
    assert_eq!((old.by_local_clock, ahead.by_local_clock), (at(HOUR), NOW));
}

/// After the node's clock has been stepped back, a new start claims an earlier time than the previous start.
#[test]
fn another_start_is_one_whichever_way_its_claim_lies() {
    let mut start = StartTime::default();
    assert!(start.observe(at(60 * S), at(59 * S), Micros(0)));
    assert!(start.observe(at(HOUR), NOW, at(2 * S)));
    assert_eq!(start.by_local_clock, at(2 * S));
}

/// Delayed lists arrive out of order and may contain the previous start.
#[test]
fn a_late_list_does_not_start_a_node_again() {
    let mut start = StartTime::default();
    assert!(
        start.observe(at(60 * S), at(59 * S), Micros(0))
            && start.observe(at(5 * S), at(4 * S), at(6 * S))
    );
    let known = start;
    assert!(!start.observe(at(60 * S), NOW, at(S)) && !start.observe(at(5 * S), NOW, at(S)));
    assert_eq!(start, known);
}

proptest! {
    /// For any claim, the start time is neither earlier than observed nor in the future, and repeating the claim
    /// changes nothing.
    #[test]
    fn no_claim_makes_a_start_older_than_it_was_seen_to_be(
        claimed in 1..200_000 * S, later in 0..HOUR, gap in 0..60 * S,
    ) {
        let mut start = StartTime::default();
        start.observe(Micros(claimed), NOW, at(gap));
        prop_assert!(start.by_local_clock >= at(gap) && start.by_local_clock <= NOW);
        let known = start;
        prop_assert!(!start.observe(Micros(claimed), NOW + Micros(later), NOW));
        prop_assert_eq!(start, known);
    }
}

/// An entry without a start time reads as 0. The start that this router has observed by its own clock is kept.
#[test]
fn a_claim_of_long_ago_makes_no_seen_start_older() {
    let mut start = StartTime::default();
    assert!(!start.observe(Micros(0), NOW, at(S)) && start.by_local_clock == Micros(0));
    assert!(start.observe(at(S), NOW, at(2 * S)));
    let known = start;
    assert!(!start.observe(Micros(0), NOW, at(S)) && !start.observe(at(S), NOW, at(S)));
    assert_eq!(start, known);
}
