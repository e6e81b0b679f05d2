//! The life of one connection to a node: opened when attempts want it, dialled, used, and closed when it breaks, is retired or
//! has been idle for long.
//!
//! `upstream_writer.rs` and `upstream_reader.rs` write and read on it. Its record (`state/nodes.rs`) is removed in one place,
//! [`close`], where every attempt that it still carries gets its outcome.

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
use crate::stages::upstream_reader::UnusableInput;
use crate::stages::{upstream_dial, upstream_reader, upstream_writer};
use crate::state::descriptors::Peer;
use crate::state::in_flight::AttemptKey;
use crate::state::nodes::{Connection, ConnectionId};

/// Why a connection to a node ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum UpstreamEnd {
    /// Its record is removed already.
    #[error("removed")]
    Removed,
    /// The router ends it itself: a frame on it is not to be finished, or the node has sent what cannot be used.
    #[error("abandoned")]
    Abandoned,
    /// It carries nothing, and is not to be used any more.
    #[error("retired")]
    Retired,
    /// It has carried nothing for so long that the node is about to close it.
    #[error("idle")]
    Idle,
    /// The node has closed it.
    #[error("closed by the node")]
    ClosedByNode,
    /// Reading has failed.
    #[error("cannot be read")]
    ReadFailed,
    /// Writing has failed.
    #[error("cannot be written")]
    WriteFailed,
    /// The node has sent what cannot be used.
    #[error("{0}")]
    UnusableInput(UnusableInput),
}

/// Opens a connection to a node, if it is known and there is a descriptor for it; it is dialled by a task of its own.
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
    // Room for the longest frame at least.
    let output_bound =
        effects.bounds.max_shard_requests_per_call * (MAX_BODY_BYTES + MAX_LINE_BYTES);
    let id = effects
        .nodes
        .connect(node, effects.now, output_bound, permit)?;
    let task = serve(Rc::clone(router), id);
    router.executor.spawn(task).detach();
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
    let Some((address, waits_for)) = target else {
        return;
    };
    match upstream_dial::dial_reporting(&router, address, &waits_for).await {
        Ok(stream) => {
            let end = exchange(&router, id, Rc::new(stream)).await;
            tracing::debug!(%address, reason = %end, "node connection ends");
        }
        Err(owner) => {
            tracing::debug!(%address, ?owner, "node connection cannot be made");
            if owner == FailureOwner::Machine {
                mark_abandoned(&router, id);
            }
        }
    }
    close(&router, id);
}

/// What this machine could not do says nothing of the node.
fn mark_abandoned(router: &Router, id: ConnectionId) {
    let mut decisions = router.decisions.borrow_mut();
    if let Some(connection) = decisions.effects.nodes.connection_mut(id) {
        connection.abandoned = true;
    }
}

/// Writes and reads on a connection that is up, until it ends.
async fn exchange(router: &Router, id: ConnectionId, stream: Rc<Async<TcpStream>>) -> UpstreamEnd {
    {
        let mut decisions = router.decisions.borrow_mut();
        decisions.effects.nodes.last_received = router.clock.now();
        if let Some(connection) = decisions.effects.nodes.connection_mut(id) {
            connection.stream = Some(Rc::clone(&stream));
        }
    }
    let written = upstream_writer::write(router, id, &stream);
    let read = upstream_reader::read(router, id, &stream);
    future::or(future::or(written, read), idle(router, id)).await
}

/// Returns when the connection has been idle so long that the node is about to close it.
async fn idle(router: &Router, id: ConnectionId) -> UpstreamEnd {
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

/// Removes a connection, and ends the attempts on it. What was not written in full has never run. A connection that the router
/// ends itself says nothing of its node but for the attempt whose answer could not be used: the node has not failed.
fn close(router: &Router, id: ConnectionId) {
    let mut decisions = router.decisions.borrow_mut();
    let effects = &mut decisions.effects;
    effects.now = router.clock.now();
    let Some(outcomes) = outcomes_of_loss(effects, id) else {
        return;
    };
    effects.nodes.disconnect(id);
    for (key, outcome) in outcomes {
        effects.end_attempt(key, outcome);
    }
    router.input_applied.notify(1);
}

/// The attempts on a connection that is lost, with their outcomes: those that wait for it, then those in its buffer or written.
fn outcomes_of_loss(
    effects: &EffectQueue,
    id: ConnectionId,
) -> Option<Vec<(AttemptKey, AttemptOutcome)>> {
    let connection = effects.nodes.connection(id)?;
    let mut carried: Vec<AttemptKey> = connection.attempts.values().copied().collect();
    carried.sort();
    let waiting = connection.waiting.iter().flatten().copied();
    let outcomes = waiting
        .chain(carried)
        .map(|key| (key, outcome_of_loss(effects, connection, key)));
    Some(outcomes.collect())
}

/// The outcome of an attempt whose connection is lost.
fn outcome_of_loss(
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
