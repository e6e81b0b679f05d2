//! Detects times in which this process did not run at all: it was stopped by a signal, or got no processor.
//!
//! async-io's thread notes when bytes arrive, also while the thread of all tasks is blocked (`wake_time.rs`), but it
//! stands still with the process. What arrived then is noted as of the return, so that clients were promised time that
//! they no longer had. A timer that is always set shows such a time, also if nothing else was due in it: if the timer's
//! wake is noted late, the process was suspended since some instant after the timer was set.
//!
//! `router.rs` asks for the earliest arrival of bytes, and `dispatch.rs` whether there may be unread ones.

use std::cell::Cell;
use std::time::{Duration, Instant};

use async_io::Timer;

use crate::state::wake_time::WakeTime;

/// The time from the setting of the timer until it is due. An arrival in a suspension is known this precisely.
pub(crate) const PULSE_INTERVAL: Duration = Duration::from_millis(50);
/// The lateness of the timer's wake from which on the process was suspended. Limits of time allow as much for sockets.
pub(crate) const SUSPENDED_AFTER: Duration = Duration::from_millis(50);
/// The time after a suspension in which the poller certainly notes what arrived in it.
const NOTED_WITHIN: Duration = Duration::from_millis(2);

/// A time in which the process did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Suspension {
    /// The last instant at which it certainly ran.
    since: Instant,
    /// When it ran again.
    until: Instant,
}

impl Suspension {
    /// Whether bytes whose arrival was noted at `noted_at` may have arrived in it.
    fn contains(&self, noted_at: Instant) -> bool {
        self.since < noted_at && noted_at <= self.until + NOTED_WITHIN
    }
}

/// The current timer, and the last suspension that it has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Pulse {
    set_at: Instant,
    last: Option<Suspension>,
}

impl Pulse {
    fn new(now: Instant) -> Self {
        Pulse {
            set_at: now,
            last: None,
        }
    }

    fn due(&self) -> Instant {
        self.set_at + PULSE_INTERVAL
    }

    /// The suspension that ended at `seen_at`, if the timer had not been woken until then.
    fn suspension_until(&self, seen_at: Instant) -> Option<Suspension> {
        let is_late = seen_at > self.due() + SUSPENDED_AFTER;
        is_late.then_some(Suspension {
            since: self.set_at,
            until: seen_at,
        })
    }

    /// The suspension known at `now`, where the wake of the timer has been noted at `woken_at`, if at all. The task of the
    /// timer may not have run since.
    fn latest(&self, woken_at: Option<Instant>, now: Instant) -> Option<Suspension> {
        self.suspension_until(woken_at.unwrap_or(now)).or(self.last)
    }

    /// Sets the timer again at `now`, after its wake has been noted at `woken_at`.
    fn set_again(&mut self, woken_at: Instant, now: Instant) {
        self.last = self.suspension_until(woken_at).or(self.last);
        self.set_at = now;
    }
}

/// Detects suspensions of this process with a timer of its own.
pub(crate) struct Suspensions {
    pulse: Cell<Pulse>,
    wake: WakeTime,
    /// Up to when all that had arrived has been read.
    caught_up_at: Cell<Instant>,
}

impl Default for Suspensions {
    fn default() -> Self {
        let now = Instant::now();
        Suspensions {
            pulse: Cell::new(Pulse::new(now)),
            wake: WakeTime::default(),
            caught_up_at: Cell::new(now),
        }
    }
}

impl Suspensions {
    /// Sets the timer again and again, for as long as the process runs.
    pub(crate) async fn detect(&self) {
        loop {
            let mut pulse = self.pulse.get();
            self.wake.watch(Timer::at(pulse.due())).await;
            let now = Instant::now();
            let woken_at = self.wake.take().unwrap_or(now);
            pulse.set_again(woken_at, now);
            self.pulse.set(pulse);
        }
    }

    /// The suspension known at `now`.
    fn latest(&self, now: Instant) -> Option<Suspension> {
        let pulse = self.pulse.get();
        // Nearly always, the timer is not due yet, and its wake need not be looked up.
        if now <= pulse.due() {
            return pulse.last;
        }
        pulse.latest(self.wake.peek(), now)
    }

    /// The earliest instant at which bytes can have arrived whose arrival was noted at `noted_at`.
    pub(crate) fn earliest_arrival(&self, noted_at: Instant) -> Instant {
        self.latest(noted_at)
            .filter(|suspension| suspension.contains(noted_at))
            .map_or(noted_at, |suspension| suspension.since)
    }

    /// Whether the process was suspended, and bytes that arrived then may not have been read at `now`.
    pub(crate) fn may_have_unread(&self, now: Instant) -> bool {
        self.latest(now)
            .is_some_and(|suspension| suspension.until > self.caught_up_at.get())
    }

    /// Records that all that has arrived has been read.
    pub(crate) fn caught_up(&self) {
        self.caught_up_at.set(Instant::now());
    }
}

#[cfg(test)]
mod tests;
