//! What time it is, for keys and tokens. Their times are the world's, so the clock of the machine counts, but it may
//! step: small steps are followed at once, a large one only when it has stood for a while. Until then time goes on
//! as it did, so that neither a moment's wrong clock refuses everybody nor an old token comes back to life.

use ternpick::types::Micros;

/// A larger step is looked at twice. Above what time services correct in one go, below any token's skew.
const MAX_IMMEDIATE_STEP_US: u64 = 2_000_000;
/// So long a large step must stand.
const STEP_CONFIRMATION_TIME: Micros = Micros(30_000_000);

#[derive(Clone, Debug, Default)]
pub struct WallClock {
    /// The world's time less the steady clock's.
    offset: Option<i128>,
    /// A step that is looked at, and since when (steady clock).
    pending_step: Option<(i128, Micros)>,
}

/// A step that has been followed, in microseconds; negative: back.
pub type ClockStep = Option<i64>;

impl WallClock {
    /// The time by the world's clock, from a clock that only goes forward and the machine's that may step.
    pub fn now(&mut self, steady: Micros, machine: Micros) -> (Micros, ClockStep) {
        let observed = i128::from(machine.0) - i128::from(steady.0);
        let offset = *self.offset.get_or_insert(observed);
        let step = observed - offset;
        let mut stepped = None;
        if step.unsigned_abs() <= u128::from(MAX_IMMEDIATE_STEP_US) {
            (self.offset, self.pending_step) = (Some(observed), None);
        } else {
            match self.pending_step {
                // The same step, give or take what clocks drift.
                Some((pending_offset, since))
                    if (pending_offset - observed).unsigned_abs()
                        <= u128::from(MAX_IMMEDIATE_STEP_US) =>
                {
                    if steady.since(since) >= STEP_CONFIRMATION_TIME {
                        (self.offset, self.pending_step) = (Some(observed), None);
                        stepped = Some(i64::try_from(step).unwrap_or(i64::MAX));
                    }
                }
                _ => self.pending_step = Some((observed, steady)),
            }
        }
        let now = i128::from(steady.0) + self.offset.unwrap_or(observed);
        (Micros(u64::try_from(now).unwrap_or(0)), stepped)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    const S: u64 = 1_000_000;
    const BASE: u64 = 1_000 * S;

    #[test_case(1, 1; "a small step is followed at once")]
    #[test_case(3_600, 0; "a large one is not")]
    #[test_case(-500, 0; "nor one back")]
    fn a_step_is_followed_when_it_is_small(step: i64, follows: i64) {
        let mut wall_clock = WallClock::default();
        assert_eq!(wall_clock.now(Micros(0), Micros(BASE)).0, Micros(BASE));
        let machine = Micros((BASE + S).saturating_add_signed(step * S as i64));
        let expected = Micros((BASE + S).saturating_add_signed(follows * S as i64));
        assert_eq!(wall_clock.now(Micros(S), machine), (expected, None));
    }

    #[test]
    fn a_large_step_that_stands_is_followed_and_told() {
        let mut wall_clock = WallClock::default();
        let at = |s: u64, step: u64| (Micros(s * S), Micros(BASE + (s + step) * S));
        let _ = wall_clock.now(at(0, 0).0, at(0, 0).1);
        assert_eq!(
            wall_clock.now(at(1, 600).0, at(1, 600).1),
            (Micros(BASE + S), None)
        );
        assert_eq!(wall_clock.now(at(30, 600).0, at(30, 600).1).1, None);
        let (now, told) = wall_clock.now(at(31, 600).0, at(31, 600).1);
        assert_eq!((now, told), (Micros(BASE + 631 * S), Some(600 * S as i64)));
    }

    #[test]
    fn a_step_that_goes_away_leaves_no_trace() {
        let mut wall_clock = WallClock::default();
        let _ = wall_clock.now(Micros(0), Micros(BASE));
        let _ = wall_clock.now(Micros(S), Micros(BASE + 900 * S));
        assert_eq!(
            wall_clock.now(Micros(2 * S), Micros(BASE + 2 * S)),
            (Micros(BASE + 2 * S), None)
        );
        // Another spell begins anew.
        let _ = wall_clock.now(Micros(20 * S), Micros(BASE + 900 * S));
        assert_eq!(
            wall_clock.now(Micros(40 * S), Micros(BASE + 920 * S)).0,
            Micros(BASE + 40 * S)
        );
    }
}
