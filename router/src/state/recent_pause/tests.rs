//! Tests of which pause is remembered.

use super::*;

#[test]
fn remembers_the_longest_pause_for_a_while() {
    let mut pause = RecentPause::default();
    assert_eq!(pause.longest(Micros(1)), None);
    pause.record(Micros(1_000), Micros(30));
    pause.record(Micros(2_000), Micros(20));
    assert_eq!(pause.longest(Micros(2_000)), Some(Micros(30)));
    let forgotten_at = Micros(1_001) + REMEMBERED_FOR;
    assert_eq!(pause.longest(forgotten_at), None);
    pause.record(forgotten_at, Micros(10));
    assert_eq!(pause.longest(forgotten_at), Some(Micros(10)));
    pause.record(forgotten_at, Micros(40));
    assert_eq!(pause.longest(forgotten_at), Some(Micros(40)));
}
