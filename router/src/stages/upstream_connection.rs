//! The task of one connection to a node. The connection is opened when attempts need it, then dialled and used; it is
//! closed when it fails, is retired or has been idle too long.
//!
//! `upstream_writer.rs` and `upstream_reader.rs` write to it and read from it. Only [`close`] removes its record
//! (`state/nodes.rs`); there, every attempt that the connection still carries gets its outcome.

use std::net::TcpStream;
use std::rc::Rc;

use async_io::{Async, Timer};
use futures_lite::future;
use ternpick::io_errors::FailureOwner;
use ternpick::types::{AttemptOutcome, NodeId};
use ternpick_wire::frames::MAX_LINE_BYTES;
use ternpick_wire::http::MAX_BODY_BYTES;

use crate::router::Router;
use crate::stages::completion::EffectQueue;
use crate::stages::upstream_reader::{UnusableInput, UpstreamReader};
use crate::stages::{upstream_dial, upstream_writer};
use crate::state::descriptors::Peer;
use crate::state::in_flight::AttemptKey;
use crate::state::nodes::{Connection, ConnectionId};
use crate::state::turns::Stage;

/// Why a connection to a node ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum UpstreamEnd {
    /// The record of the connection has already been removed.
    #[error("removed")]
    Removed,
    /// The router ends the connection: a frame on it must not be completed, or the node has sent unusable data.
    #[error("abandoned")]
    Abandoned,
    /// The connection is retired and carries nothing.
    #[error("retired")]
    Retired,
    /// The connection has been idle for so long that the node is about to close it.
    #[error("idle")]
    Idle,
    /// The node has closed the connection.
    #[error("closed by the node")]
    ClosedByNode,
    /// A read from the socket has failed.
    #[error("read failed")]
    ReadFailed,
    /// A write to the socket has failed.
    #[error("write failed")]
    WriteFailed,
    /// The node has sent unusable data.
    #[error("{0}")]
    UnusableInput(UnusableInput),
}

/// Opens a connection to a node, if the node is known and a descriptor is available. A separate task dials the
/// connection.
pub(super) fn open(
    router: &Rc<Router>,
    effects: &mut EffectQueue,
    node: NodeId,
) -> Option<ConnectionId> {
    effects.nodes.node(node)?;
    let Some(permit) = router.descriptors.take(Peer::Node) else {
        effects.nodes.retire_longest_idle();
        return None;
    };
    // The output buffer has room for at least the longest frame.
    let output_bound =
        effects.bounds.max_shard_requests_per_call * (MAX_BODY_BYTES + MAX_LINE_BYTES);
    let id = effects
        .nodes
        .connect(node, effects.now, output_bound, permit)?;
    let task = serve(Rc::clone(router), id);
    router.spawn(Stage::Node, node.0, task).detach();
    Some(id)
}

/// Serves a connection from its dial to its end.
async fn serve(router: Rc<Router>, id: ConnectionId) {
    let dial_target =
        |connection: &Connection| (connection.address, Rc::clone(&connection.dial_waits_for));
    let target = router
        .decisions
        .borrow()
        .effects
        .nodes
        .connection(id)
        .map(dial_target);
    let Some((address, failure_owner)) = target else {
        return;
    };
    match upstream_dial::dial_tracking_owner(&router, address, &failure_owner).await {
        Ok(stream) => {
            let end = exchange(&router, id, Rc::new(stream)).await;
            tracing::debug!(%address, reason = %end, "node connection ends");
        }
        Err(owner) => {
            tracing::debug!(%address, ?owner, "cannot connect to a node");
            if owner == FailureOwner::Machine {
                mark_abandoned(&router, id);
            }
        }
    }
    close(&router, id);
}

/// Marks a connection that this machine could not open as abandoned, so that the failure does not count against the
/// node.
fn mark_abandoned(router: &Router, id: ConnectionId) {
    let mut decisions = router.decisions.borrow_mut();
    if let Some(connection) = decisions.effects.nodes.connection_mut(id) {
        connection.abandoned = true;
    }
}

/// Writes to and reads from an established connection until it ends.
async fn exchange(router: &Router, id: ConnectionId, stream: Rc<Async<TcpStream>>) -> UpstreamEnd {
    {
        let mut decisions = router.decisions.borrow_mut();
        decisions.effects.nodes.last_received = router.clock.now();
        if let Some(connection) = decisions.effects.nodes.connection_mut(id) {
            connection.stream = Some(Rc::clone(&stream));
        }
    }
    let written = upstream_writer::write(router, id, &stream);
    let mut reader = UpstreamReader::new(router, id);
    let read = reader.read(&stream);
    let end = future::or(future::or(written, read), wait_until_idle(router, id)).await;
    reader.finish();
    end
}

/// Returns when the connection has been idle for so long that the node is about to close it.
async fn wait_until_idle(router: &Router, id: ConnectionId) -> UpstreamEnd {
    let Some(node_closes_after) = router.bounds.idle_timeout else {
        return future::pending().await;
    };
    let limit = node_closes_after.since(router.bounds.dial_timeout.unwrap_or_default());
    loop {
        let check_at = {
            let decisions = router.decisions.borrow();
            let Some(connection) = decisions.effects.nodes.connection(id) else {
                return UpstreamEnd::Removed;
            };
            let now = router.clock.now();
            let close_at = connection.last_used + limit;
            if !connection.is_idle() {
                now + limit
            } else if close_at <= now {
                return UpstreamEnd::Idle;
            } else {
                close_at
            }
        };
        Timer::at(router.clock.instant(check_at)).await;
    }
}

/// Removes a connection, and ends the attempts on it. An attempt that was not written in full has not run. If the
/// router abandoned the connection, the node has not failed, and only the attempt whose answer was unusable counts
/// against it.
fn close(router: &Router, id: ConnectionId) {
    let mut decisions = router.decisions.borrow_mut();
    let effects = &mut decisions.effects;
    effects.now = router.clock.now();
    let Some(outcomes) = outcomes_of_lost_connection(effects, id) else {
        return;
    };
    effects.nodes.disconnect(id);
    for (key, outcome) in outcomes {
        effects.end_attempt(key, outcome);
    }
    router.input_applied.notify(1);
}

/// Returns the attempts on a lost connection with their outcomes: first those that wait for it, then those in its
/// buffer or written.
fn outcomes_of_lost_connection(
    effects: &EffectQueue,
    id: ConnectionId,
) -> Option<Vec<(AttemptKey, AttemptOutcome)>> {
    let connection = effects.nodes.connection(id)?;
    let mut carried: Vec<AttemptKey> = connection.attempts.in_flight().collect();
    carried.sort();
    let waiting = connection.waiting.iter().flatten().copied();
    let outcomes = waiting
        .chain(carried)
        .map(|key| (key, outcome_of_lost_connection(effects, connection, key)));
    Some(outcomes.collect())
}

/// Returns the outcome of an attempt whose connection is lost.
fn outcome_of_lost_connection(
    effects: &EffectQueue,
    connection: &Connection,
    key: AttemptKey,
) -> AttemptOutcome {
    let written = effects
        .in_flight
        .attempt(key)
        .is_some_and(|attempt| upstream_writer::is_written(&effects.nodes, attempt));
    match (written, connection.abandoned) {
        (true, true) if connection.bad_input_attempt == Some(key) => AttemptOutcome::MayHaveRun,
        (true, true) => AttemptOutcome::Cancelled,
        (true, false) => AttemptOutcome::Broken,
        (false, true) => AttemptOutcome::Unsent,
        (false, false) => AttemptOutcome::NeverRan,
    }
}
