//! What becomes of an attempt whose time to be sent, or to be answered, is up. Called by the turns in `dispatch.rs`.

use ternpick::io_errors::FailureOwner;
use ternpick::types::AttemptOutcome;

use crate::stages::completion::{CancelFrame, EffectQueue};
use crate::stages::upstream_writer;
use crate::state::in_flight::{AttemptKey, AttemptProgress, OutgoingAttempt};

/// Whether the frame of an attempt has been written in time.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Progress {
    /// The node may have it.
    Written,
    /// The dial has failed up to now for want of something on this machine: that is not held against the node.
    NotWrittenByThisMachine,
    /// The node, or the way to it, has not taken it.
    NotWritten,
}

/// Looks at an attempt that is due: an attempt whose frame has not been written in the time of a dial was not made; one that
/// has been waits until its own limit.
///
/// A connection that has brought nothing since is not trusted with more: its peer may have vanished, and on its return would
/// reset what is written to it.
pub(super) fn check(effects: &mut EffectQueue, key: AttemptKey, cancel_frame: CancelFrame) {
    let Some(attempt) = effects.in_flight.attempt(key) else {
        return;
    };
    let progress = progress(effects, attempt);
    let due = attempt.due;
    let sent_at = attempt.requested_at;
    let place = attempt.progress;
    if progress == Progress::Written {
        if due > effects.now {
            effects.in_flight.check_when_due(key);
            return;
        }
        if let AttemptProgress::Queued(connection, _) = place {
            effects.nodes.retire_silent(connection, sent_at);
        }
    }
    let outcome = match progress {
        Progress::Written => AttemptOutcome::MayHaveRun,
        Progress::NotWrittenByThisMachine => AttemptOutcome::Unsent,
        Progress::NotWritten => AttemptOutcome::NeverRan,
    };
    effects.give_up_attempt(key, outcome, cancel_frame);
}

fn progress(effects: &EffectQueue, attempt: &OutgoingAttempt) -> Progress {
    if upstream_writer::is_written(&effects.nodes, attempt) {
        return Progress::Written;
    }
    let AttemptProgress::Waiting(connection) = attempt.progress else {
        return Progress::NotWritten;
    };
    let dial_waits_for = effects
        .nodes
        .connection(connection)
        .map(|connection| connection.dial_waits_for.get());
    if dial_waits_for == Some(FailureOwner::Machine) {
        Progress::NotWrittenByThisMachine
    } else {
        Progress::NotWritten
    }
}
