use super::*;
use test_case::test_case;

const S: u64 = 1_000_000;
const BASE: u64 = 1_000 * S;

#[test_case(1, 1; "a step within the limit")]
#[test_case(3_600, 0; "a larger step forward")]
#[test_case(-500, 0; "a larger step back")]
fn applies_only_small_steps_at_once(step: i64, applied: i64) {
    let mut wall_clock = WallClock::default();
    assert_eq!(wall_clock.now(Micros(0), Micros(BASE)).0, Micros(BASE));
    let system_time = Micros((BASE + S).saturating_add_signed(step * S as i64));
    let expected = Micros((BASE + S).saturating_add_signed(applied * S as i64));
    assert_eq!(wall_clock.now(Micros(S), system_time), (expected, None));
}

#[test]
fn applies_and_reports_a_large_step_that_persists() {
    let mut wall_clock = WallClock::default();
    let at = |s: u64, step: u64| (Micros(s * S), Micros(BASE + (s + step) * S));
    let _ = wall_clock.now(at(0, 0).0, at(0, 0).1);
    assert_eq!(
        wall_clock.now(at(1, 600).0, at(1, 600).1),
        (Micros(BASE + S), None)
    );
    assert_eq!(wall_clock.now(at(30, 600).0, at(30, 600).1).1, None);
    let (now, reported) = wall_clock.now(at(31, 600).0, at(31, 600).1);
    assert_eq!(
        (now, reported),
        (Micros(BASE + 631 * S), Some(600 * S as i64))
    );
}

#[test]
fn ignores_a_large_step_that_is_reverted_before_it_is_confirmed() {
    let mut wall_clock = WallClock::default();
    let _ = wall_clock.now(Micros(0), Micros(BASE));
    let _ = wall_clock.now(Micros(S), Micros(BASE + 900 * S));
    assert_eq!(
        wall_clock.now(Micros(2 * S), Micros(BASE + 2 * S)),
        (Micros(BASE + 2 * S), None)
    );
    // A later step has to persist for the whole time again.
    let _ = wall_clock.now(Micros(20 * S), Micros(BASE + 900 * S));
    assert_eq!(
        wall_clock.now(Micros(40 * S), Micros(BASE + 920 * S)).0,
        Micros(BASE + 40 * S)
    );
}
