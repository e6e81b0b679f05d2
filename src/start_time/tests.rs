use super::*;
use proptest::prelude::*;
use test_case::test_case;

const S: u64 = 1_000_000;
const HOUR: u64 = 3600 * S;
const NOW: Micros = Micros(100_000 * S);

fn at(ago: u64) -> Micros {
    Micros(NOW.0 - ago)
}

/// The last endpoint list came to this router 2 s ago; the node really started 1 s ago.
#[test_case(at(S), at(S); "clocks agree")]
#[test_case(at(HOUR), at(2 * S); "this machine's clock is an hour ahead")]
#[test_case(Micros(NOW.0 + HOUR), NOW; "this machine's clock is an hour behind")]
#[test_case(at(10 * S), at(2 * S); "some seconds ahead")]
fn a_start_that_was_seen_is_no_older_than_the_last_list_without_it(
    claimed: Micros,
    started: Micros,
) {
    let mut of = StartTime::default();
    assert!(of.observe(claimed, NOW, at(2 * S)));
    assert_eq!(of.by_local_clock, started);
}

/// In the first list the newest start may be this moment's; others are as much older as they claim to be, by the same clock.
#[test_case(at(HOUR), at(HOUR), NOW; "the newest, of a clock an hour behind or of an hour ago")]
#[test_case(at(HOUR + 5 * S), at(HOUR), at(5 * S); "five seconds older than the newest")]
#[test_case(at(HOUR), at(0), at(HOUR); "an hour older than the newest")]
fn the_first_list_tells_ages_among_nodes(claimed: Micros, newest: Micros, earliest: Micros) {
    assert_eq!(not_before(None, NOW, claimed, newest), earliest);
    assert_eq!(not_before(Some(at(S)), NOW, claimed, newest), at(S));
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

/// After a step back at the node a new start is claimed to be earlier than the one before.
#[test]
fn another_start_is_one_whichever_way_its_claim_lies() {
    let mut of = StartTime::default();
    assert!(of.observe(at(60 * S), at(59 * S), Micros(0)));
    assert!(of.observe(at(HOUR), NOW, at(2 * S)));
    assert_eq!(of.by_local_clock, at(2 * S));
}

/// Lists come late and by turns; the start before is old news.
#[test]
fn a_late_list_does_not_start_a_node_again() {
    let mut of = StartTime::default();
    assert!(
        of.observe(at(60 * S), at(59 * S), Micros(0))
            && of.observe(at(5 * S), at(4 * S), at(6 * S))
    );
    let known = of;
    assert!(!of.observe(at(60 * S), NOW, at(S)) && !of.observe(at(5 * S), NOW, at(S)));
    assert_eq!(of, known);
}

proptest! {
    /// Whatever is claimed: never older than seen, never from the future, and the same claim changes nothing.
    #[test]
    fn no_claim_makes_a_start_older_than_it_was_seen_to_be(
        claimed in 1..200_000 * S, later in 0..HOUR, gap in 0..60 * S,
    ) {
        let mut of = StartTime::default();
        of.observe(Micros(claimed), NOW, at(gap));
        prop_assert!(of.by_local_clock >= at(gap) && of.by_local_clock <= NOW);
        let known = of;
        prop_assert!(!of.observe(Micros(claimed), NOW + Micros(later), NOW));
        prop_assert_eq!(of, known);
    }
}

/// A line that leaves the start out says 0: what was seen to start runs on by this router's own clock.
#[test]
fn a_claim_of_long_ago_makes_no_seen_start_older() {
    let mut of = StartTime::default();
    assert!(!of.observe(Micros(0), NOW, at(S)) && of.by_local_clock == Micros(0));
    assert!(of.observe(at(S), NOW, at(2 * S)));
    let known = of;
    assert!(!of.observe(Micros(0), NOW, at(S)) && !of.observe(at(S), NOW, at(S)));
    assert_eq!(of, known);
}
