//! The wall clock for keys and tokens. Their times are Unix time, so the machine's clock is used; but it may step.
//!
//! Small steps are applied at once, and a large step only after it has persisted for [`STEP_CONFIRMATION_TIME`]. Until
//! then time continues from the previous offset, so that a clock that is wrong for a moment neither refuses all callers
//! nor makes expired tokens valid again.

use ternpick::types::Micros;

/// The largest step that is applied at once, in microseconds. It is larger than the corrections that time services make
/// in one step, and smaller than the clock skew that is permitted for tokens by default.
const MAX_IMMEDIATE_STEP_US: u64 = 2_000_000;
/// How long a larger step must persist before it is applied.
const STEP_CONFIRMATION_TIME: Micros = Micros(30_000_000);

/// Unix time that ignores steps of the machine's clock until they have persisted.
#[derive(Clone, Debug, Default)]
pub struct WallClock {
    /// The wall-clock time minus the monotonic time, in microseconds.
    offset: Option<i128>,
    /// The offset after a large step that is not applied yet, and the monotonic time at which it was first observed.
    pending_step: Option<(i128, Micros)>,
}

/// A large step that has been applied, in microseconds; negative if the clock was set back.
pub type ClockStep = Option<i64>;

impl WallClock {
    /// Returns the wall-clock time, and the large step that was applied by this call, if any. `monotonic` is the time of a
    /// monotonic clock, `system_time` that of the machine's clock, which may step.
    pub fn now(&mut self, monotonic: Micros, system_time: Micros) -> (Micros, ClockStep) {
        let observed = i128::from(system_time.0) - i128::from(monotonic.0);
        let offset = *self.offset.get_or_insert(observed);
        let step = observed - offset;
        let mut stepped = None;
        if step.unsigned_abs() <= u128::from(MAX_IMMEDIATE_STEP_US) {
            (self.offset, self.pending_step) = (Some(observed), None);
        } else {
            match self.pending_step {
                // The same step, apart from the drift between the clocks.
                Some((pending_offset, since))
                    if (pending_offset - observed).unsigned_abs()
                        <= u128::from(MAX_IMMEDIATE_STEP_US) =>
                {
                    if monotonic.since(since) >= STEP_CONFIRMATION_TIME {
                        (self.offset, self.pending_step) = (Some(observed), None);
                        stepped = Some(i64::try_from(step).unwrap_or(i64::MAX));
                    }
                }
                _ => self.pending_step = Some((observed, monotonic)),
            }
        }
        let now = i128::from(monotonic.0) + self.offset.unwrap_or(observed);
        (Micros(u64::try_from(now).unwrap_or(0)), stepped)
    }
}

#[cfg(test)]
mod tests;
