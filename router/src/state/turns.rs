//! Measures how long tasks run without yielding to others, and how late timers are handled.
//!
//! All tasks share one thread, so that the length of one task's turn is a delay for all others. Each stage states the
//! bound of its turns (`docs/turns.md`); this file only measures. A turn's length is elapsed time, which includes time
//! in which the process did not get the processor.

use std::cell::Cell;
use std::fmt;
use std::future::{poll_fn, Future};
use std::pin::pin;
use std::time::Instant;

use serde_json::{json, Value};
use ternpick::types::Micros;

use crate::lifecycle::clock::Clock;
use crate::state::log_limit::LogLimit;

/// The length beyond which a turn is logged.
const LONG_TURN: Micros = Micros(20_000);
/// The lateness of a timer from which on the process itself is regarded as late. Smaller delays are normal on a shared
/// processor.
pub(crate) const LATE_AFTER: Micros = Micros(5_000);

/// A kind of task whose turns are measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Accepts client connections.
    Accept,
    /// Serves a client connection.
    Client,
    /// Passes inputs to the routing engine and carries out its effects.
    Dispatch,
    /// Exchanges frames on a connection to a node.
    Node,
    /// Watches the endpoint list.
    Discovery,
    /// Handles signals.
    Signals,
    /// Answers on the control socket.
    Control,
    /// Reads keys and revocations.
    Identity,
    /// Takes part in the fleet.
    Fleet,
    /// Follows the old process of a hot restart.
    HotRestart,
}

impl Stage {
    const ALL: [Stage; 10] = [
        Stage::Accept,
        Stage::Client,
        Stage::Dispatch,
        Stage::Node,
        Stage::Discovery,
        Stage::Signals,
        Stage::Control,
        Stage::Identity,
        Stage::Fleet,
        Stage::HotRestart,
    ];
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Stage::Accept => "accept",
            Stage::Client => "client",
            Stage::Dispatch => "dispatch",
            Stage::Node => "node",
            Stage::Discovery => "discovery",
            Stage::Signals => "signals",
            Stage::Control => "control",
            Stage::Identity => "identity",
            Stage::Fleet => "fleet",
            Stage::HotRestart => "hot_restart",
        })
    }
}

/// Durations of one kind.
#[derive(Default)]
struct Durations {
    longest: Cell<Micros>,
    last: Cell<Micros>,
    /// How many exceeded their limit.
    over: Cell<u64>,
}

impl Durations {
    fn record(&self, duration: Micros, limit: Micros) -> bool {
        self.last.set(duration);
        self.longest.set(self.longest.get().max(duration));
        let is_over = duration > limit;
        self.over.set(self.over.get() + u64::from(is_over));
        is_over
    }

    fn status(&self) -> Value {
        json!({
            "longest_us": self.longest.get().0,
            "last_us": self.last.get().0,
            "over": self.over.get(),
        })
    }
}

/// The turns of all tasks by stage, and the lateness of timers.
pub(crate) struct Turns {
    clock: Clock,
    by_stage: [Durations; Stage::ALL.len()],
    timers: Durations,
    long_turns: LogLimit,
}

impl Turns {
    /// Starts with no turns.
    pub(crate) fn new(clock: Clock) -> Turns {
        Turns {
            clock,
            by_stage: Default::default(),
            timers: Durations::default(),
            long_turns: LogLimit::default(),
        }
    }

    /// Runs `task` and measures each of its turns. `peer` identifies the task's connection in the log; 0 for a task
    /// that serves no connection.
    pub(crate) async fn measure<F: Future>(&self, stage: Stage, peer: u64, task: F) -> F::Output {
        let mut task = pin!(task);
        poll_fn(|context| {
            let began = Instant::now();
            let polled = task.as_mut().poll(context);
            self.record_turn(stage, peer, began);
            polled
        })
        .await
    }

    fn record_turn(&self, stage: Stage, peer: u64, began: Instant) {
        let length = Micros(u64::try_from(began.elapsed().as_micros()).unwrap_or(u64::MAX));
        if !self.by_stage[stage as usize].record(length, LONG_TURN) {
            return;
        }
        if let Some(count) = self.long_turns.count(self.clock.now()) {
            tracing::info!(
                %stage,
                peer = format_args!("{peer:x}"),
                took_ms = length.0 / 1000,
                bound_ms = LONG_TURN.0 / 1000,
                count,
                "a turn of a task exceeded its bound"
            );
        }
    }

    /// Records that a timer was handled this long after it was due.
    pub(crate) fn record_timer(&self, lateness: Micros) {
        self.timers.record(lateness, LATE_AFTER);
    }

    /// The longest and the last turn of each stage that has run, and the lateness of timers, in microseconds; `over`
    /// counts those beyond their limit. `ternpick turns` prints it.
    pub(crate) fn status(&self) -> Value {
        let stages = Stage::ALL
            .iter()
            .map(|stage| (stage, &self.by_stage[*stage as usize]))
            .filter(|(_, durations)| durations.longest.get() > Micros(0))
            .map(|(stage, durations)| (stage.to_string(), durations.status()));
        json!({
            "stages": stages.collect::<serde_json::Map<_, _>>(),
            "timers": self.timers.status(),
        })
    }
}

#[cfg(test)]
mod tests;
