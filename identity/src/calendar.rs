//! What time it is, for keys and tokens. Their times are the world's, so the clock of the machine counts, but it may
//! step: small steps are followed at once, a large one only when it has stood for a while. Until then time goes on
//! as it did, so that neither a moment's wrong clock refuses everybody nor an old token comes back to life.

use ternpick::types::Micros;

/// A larger step is looked at twice. Above what time services correct in one go, below any token's skew.
const LARGE: u64 = 2_000_000;
/// So long a large step must stand.
const SETTLES: Micros = Micros(30_000_000);

#[derive(Clone, Debug, Default)]
pub struct Calendar {
    /// The world's time less the steady clock's.
    offset: Option<i128>,
    /// A step that is looked at, and since when (steady clock).
    doubted: Option<(i128, Micros)>,
}

/// A step that has been followed, in microseconds; negative: back.
pub type Stepped = Option<i64>;

impl Calendar {
    /// The time by the world's clock, from a clock that only goes forward and the machine's that may step.
    pub fn now(&mut self, steady: Micros, machine: Micros) -> (Micros, Stepped) {
        let seen = i128::from(machine.0) - i128::from(steady.0);
        let offset = *self.offset.get_or_insert(seen);
        let step = seen - offset;
        let mut stepped = None;
        if step.unsigned_abs() <= u128::from(LARGE) {
            (self.offset, self.doubted) = (Some(seen), None);
        } else {
            match self.doubted {
                // The same step, give or take what clocks drift.
                Some((doubted, since)) if (doubted - seen).unsigned_abs() <= u128::from(LARGE) => {
                    if steady.since(since) >= SETTLES {
                        (self.offset, self.doubted) = (Some(seen), None);
                        stepped = Some(i64::try_from(step).unwrap_or(i64::MAX));
                    }
                }
                _ => self.doubted = Some((seen, steady)),
            }
        }
        let now = i128::from(steady.0) + self.offset.unwrap_or(seen);
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
        let mut calendar = Calendar::default();
        assert_eq!(calendar.now(Micros(0), Micros(BASE)).0, Micros(BASE));
        let machine = Micros((BASE + S).saturating_add_signed(step * S as i64));
        let expected = Micros((BASE + S).saturating_add_signed(follows * S as i64));
        assert_eq!(calendar.now(Micros(S), machine), (expected, None));
    }

    #[test]
    fn a_large_step_that_stands_is_followed_and_told() {
        let mut calendar = Calendar::default();
        let at = |s: u64, step: u64| (Micros(s * S), Micros(BASE + (s + step) * S));
        let _ = calendar.now(at(0, 0).0, at(0, 0).1);
        assert_eq!(
            calendar.now(at(1, 600).0, at(1, 600).1),
            (Micros(BASE + S), None)
        );
        assert_eq!(calendar.now(at(30, 600).0, at(30, 600).1).1, None);
        let (now, told) = calendar.now(at(31, 600).0, at(31, 600).1);
        assert_eq!((now, told), (Micros(BASE + 631 * S), Some(600 * S as i64)));
    }

    #[test]
    fn a_step_that_goes_away_leaves_no_trace() {
        let mut calendar = Calendar::default();
        let _ = calendar.now(Micros(0), Micros(BASE));
        let _ = calendar.now(Micros(S), Micros(BASE + 900 * S));
        assert_eq!(
            calendar.now(Micros(2 * S), Micros(BASE + 2 * S)),
            (Micros(BASE + 2 * S), None)
        );
        // Another spell begins anew.
        let _ = calendar.now(Micros(20 * S), Micros(BASE + 900 * S));
        assert_eq!(
            calendar.now(Micros(40 * S), Micros(BASE + 920 * S)).0,
            Micros(BASE + 40 * S)
        );
    }
}
