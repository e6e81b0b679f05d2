//! Handles attempts whose time to be sent or to be answered is over. Called by the turns in `dispatch.rs`.

use ternpick::io_errors::FailureOwner;
use ternpick::types::AttemptOutcome;

use crate::stages::completion::{CancelFrame, EffectQueue};
use crate::stages::upstream_writer;
use crate::state::in_flight::{AttemptKey, AttemptProgress, OutgoingAttempt};

/// Whether the frame of an attempt has been written to its socket.
#[derive(Clone, Copy, PartialEq, Eq)]
enum FrameStatus {
    /// The frame was written, so the node may have received it.
    Written,
    /// The dial has failed so far because of a shortage on this machine, which does not count against the node.
    BlockedByThisMachine,
    /// The frame was not written, because of the node or the route to it.
    NotWritten,
}

/// Checks an attempt whose check is due. An attempt whose frame was not written within the dial timeout ends as not
/// run; one whose frame was written waits until its own deadline.
///
/// A connection that has received nothing since the attempt was sent is retired: its peer may be gone, and would
/// reset the connection when it returns.
pub(super) fn check(effects: &mut EffectQueue, key: AttemptKey, cancel_frame: CancelFrame) {
    let Some(attempt) = effects.in_flight.attempt(key) else {
        return;
    };
    let frame_status = frame_status(effects, attempt);
    let due = attempt.due;
    let sent_at = attempt.requested_at;
    let progress = attempt.progress;
    if frame_status == FrameStatus::Written {
        if due > effects.now {
            effects.in_flight.check_when_due(key);
            return;
        }
        if let AttemptProgress::Queued(connection, _) = progress {
            effects.nodes.retire_silent(connection, sent_at);
        }
    }
    let outcome = match frame_status {
        FrameStatus::Written => AttemptOutcome::MayHaveRun,
        FrameStatus::BlockedByThisMachine => AttemptOutcome::Unsent,
        FrameStatus::NotWritten => AttemptOutcome::NeverRan,
    };
    effects.abandon_attempt(key, outcome, cancel_frame);
}

fn frame_status(effects: &EffectQueue, attempt: &OutgoingAttempt) -> FrameStatus {
    if upstream_writer::is_written(&effects.nodes, attempt) {
        return FrameStatus::Written;
    }
    let AttemptProgress::Waiting(connection) = attempt.progress else {
        return FrameStatus::NotWritten;
    };
    let dial_owner = effects
        .nodes
        .connection(connection)
        .map(|connection| connection.dial_waits_for.get());
    if dial_owner == Some(FailureOwner::Machine) {
        FrameStatus::BlockedByThisMachine
    } else {
        FrameStatus::NotWritten
    }
}
