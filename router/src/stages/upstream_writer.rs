//! Sends attempts to nodes: combines the attempts of a turn into frames, assigns frames to connections, and writes
//! the buffer of a connection to its socket.
//!
//! `dispatch.rs` calls [`carry_out`] once in each turn; [`write`] is the writing half of a connection's task in
//! `upstream_connection.rs`. An attempt moves from `ordered_attempts` to the `waiting` queue of a connection, and
//! from there into the connection's buffer once the connection is established ([`AttemptProgress`]).

use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::rc::Rc;

use async_io::Async;
use event_listener::EventListener;
use futures_lite::future;
use ternpick::types::{AttemptOutcome, Micros, NodeId};
use ternpick_wire::frames::{self, ShardRequest};

use crate::router::Router;
use crate::stages::completion::EffectQueue;
use crate::stages::upstream_connection::{self, UpstreamEnd};
use crate::state::in_flight::{AttemptKey, AttemptProgress, InFlightTable, OutgoingAttempt};
use crate::state::nodes::{Connection, ConnectionId, Nodes};

pub(crate) use crate::stages::upstream_dial::dial;

/// The most connections to a node on which answers under one id may be awaited for earlier queries when a query with
/// this id opens another. More would let one client that repeats its id open connections without end.
const MAX_CONNECTIONS_PER_ID: usize = 2;

/// The result of a non-blocking write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Written {
    /// The buffer is empty.
    All,
    /// The socket accepts no more bytes now.
    UntilFull,
}

/// Whether the last byte of an attempt's frame has been written to the socket.
pub(super) fn is_written(nodes: &Nodes, attempt: &OutgoingAttempt) -> bool {
    match attempt.progress {
        AttemptProgress::Queued(id, end) => nodes
            .connection(id)
            .is_none_or(|connection| connection.written_bytes >= end),
        AttemptProgress::Ordered | AttemptProgress::Waiting(_) => false,
    }
}

/// Sends the attempts and health checks that a turn has requested.
pub(super) fn carry_out(router: &Rc<Router>) {
    let mut decisions = router.decisions.borrow_mut();
    let effects = &mut decisions.effects;
    effects.now = router.clock.now();
    send_attempts(router, effects);
    send_health_checks(router, effects);
    // Attempts that could not be sent have ended; the next turn passes their outcomes to the routing engine.
    if !effects.finished_attempts.is_empty() {
        router.input_applied.notify(1);
    }
}

/// Sends the requested attempts. Attempts for one node share frames, up to the number in the settings.
fn send_attempts(router: &Rc<Router>, effects: &mut EffectQueue) {
    let mut ordered = std::mem::take(&mut effects.ordered_attempts);
    while let Some(node) = first_node(effects, &ordered) {
        let (frame, rest) = split_frame(effects, ordered, node);
        ordered = rest;
        send_frame(router, effects, node, frame);
    }
}

fn first_node(effects: &EffectQueue, ordered: &[AttemptKey]) -> Option<NodeId> {
    let attempt = effects.in_flight.attempt(*ordered.first()?)?;
    Some(attempt.node)
}

/// Splits off the attempts of the next frame for a node; returns them and the rest.
fn split_frame(
    effects: &EffectQueue,
    ordered: Vec<AttemptKey>,
    node: NodeId,
) -> (Vec<AttemptKey>, Vec<AttemptKey>) {
    let mut room = effects
        .bounds
        .max_shard_requests_per_call
        .min(effects.bounds.max_attempts_per_connection);
    ordered.into_iter().partition(|key| {
        let in_frame = room > 0
            && effects
                .in_flight
                .attempt(*key)
                .is_some_and(|attempt| attempt.node == node);
        room -= usize::from(in_frame);
        in_frame
    })
}

/// Assigns the attempts of a frame to the first connection that can carry them, or to a new one.
fn send_frame(
    router: &Rc<Router>,
    effects: &mut EffectQueue,
    node: NodeId,
    frame: Vec<AttemptKey>,
) {
    let (frame, connection) = match find_connection(effects, node, &frame) {
        Some(id) => (frame, Some(id)),
        None => {
            let frame = end_excess_repeats(effects, node, frame);
            if frame.is_empty() {
                return;
            }
            let connection = find_connection(effects, node, &frame)
                .or_else(|| upstream_connection::open(router, effects, node));
            (frame, connection)
        }
    };
    let Some(id) = connection else {
        // The router itself is short of resources, which does not count against the node.
        for key in frame {
            effects.end_attempt(key, AttemptOutcome::Unsent);
        }
        return;
    };
    for key in &frame {
        effects
            .in_flight
            .set_progress(*key, AttemptProgress::Waiting(id));
    }
    if let Some(connection) = effects.nodes.connection_mut(id) {
        connection.waiting.push_back(frame);
        // The connection's task writes the bytes that the socket does not accept now, and handles errors.
        connection.wake.notify(1);
    }
    let _ = write_available(effects, id);
}

/// Ends the attempts for which another connection to their node would have to be opened, although answers under their
/// ids are awaited on [`MAX_CONNECTIONS_PER_ID`] connections for earlier queries. Returns the others.
fn end_excess_repeats(
    effects: &mut EffectQueue,
    node: NodeId,
    frame: Vec<AttemptKey>,
) -> Vec<AttemptKey> {
    let (excess, rest) = frame
        .into_iter()
        .partition(|key| is_excess_repeat(effects, node, *key));
    for key in excess {
        effects.end_attempt(key, AttemptOutcome::Unsent);
    }
    rest
}

fn is_excess_repeat(effects: &EffectQueue, node: NodeId, key: AttemptKey) -> bool {
    let Some(attempt) = effects.in_flight.attempt(key) else {
        return false;
    };
    let earlier = effects
        .nodes
        .awaiting_answer(node, &attempt.id)
        .filter(|id| !effects.in_flight.carried(key, *id));
    earlier.count() >= MAX_CONNECTIONS_PER_ID
}

/// Whether a connection may carry an attempt: an answer is matched by its connection and id, so none may be awaited
/// under the attempt's id, and no other attempt of the same shard request may have been assigned to the connection.
fn may_carry(
    in_flight: &InFlightTable,
    key: AttemptKey,
    id: ConnectionId,
    connection: &Connection,
) -> bool {
    let awaits_answer = in_flight
        .attempt(key)
        .is_some_and(|attempt| connection.attempts.awaits_answer(&attempt.id));
    !awaits_answer && !in_flight.carried(key, id)
}

/// Returns the first usable connection that has room for the attempts of `frame` and may carry each of them.
fn find_connection(
    effects: &EffectQueue,
    node: NodeId,
    frame: &[AttemptKey],
) -> Option<ConnectionId> {
    let usable = effects.nodes.usable(node);
    let mut fitting = usable.filter(|(id, connection)| {
        let waiting: usize = connection.waiting.iter().map(Vec::len).sum();
        let carried = connection.attempts.in_flight_count() + waiting;
        carried + frame.len() <= effects.bounds.max_attempts_per_connection
            && frame
                .iter()
                .all(|key| may_carry(&effects.in_flight, *key, *id, connection))
    });
    fitting.next().map(|(id, _)| id)
}

fn send_health_checks(router: &Rc<Router>, effects: &mut EffectQueue) {
    for node in std::mem::take(&mut effects.health_checks) {
        let usable = effects.nodes.usable(node).next().map(|(id, _)| id);
        let Some(id) = usable.or_else(|| upstream_connection::open(router, effects, node)) else {
            continue;
        };
        let now = effects.now;
        if let Some(connection) = effects.nodes.connection_mut(id) {
            // If the buffer has no room, the node is not reading and would not answer.
            if connection.push(&frames::encode_load_report_request(), now) {
                connection.awaited_reports += 1;
            }
        }
    }
}

/// Moves waiting frames into the connection's buffer while the connection is established and the buffer has room.
fn fill_buffer(effects: &mut EffectQueue, id: ConnectionId) {
    let EffectQueue {
        nodes,
        in_flight,
        now,
        ..
    } = effects;
    let Some(connection) = nodes
        .connection_mut(id)
        .filter(|connection| connection.stream.is_some())
    else {
        return;
    };
    while let Some(keys) = connection.waiting.pop_front() {
        let frame = encode_frame(in_flight, &keys, *now);
        if !connection.push(&frame, *now) {
            connection.waiting.push_front(keys);
            return;
        }
        let end = connection.queued_bytes;
        for key in keys {
            if let Some(attempt) = in_flight.attempt(key) {
                connection.attempts.add(Rc::clone(&attempt.id), key);
                in_flight.set_progress(key, AttemptProgress::Queued(id, end));
            }
        }
    }
}

/// Encodes the frame of some attempts as it is sent at `now`.
fn encode_frame(in_flight: &InFlightTable, keys: &[AttemptKey], now: Micros) -> Vec<u8> {
    let attempts = keys.iter().filter_map(|key| in_flight.attempt(*key));
    let requests = attempts.filter_map(|attempt| {
        let (query, shard_request) = in_flight.shard_request(attempt)?;
        query.admission.span.in_scope(|| {
            tracing::debug!(
                attempt = &*attempt.id,
                node = format_args!("{:x}", attempt.node.0),
                "attempt sent"
            );
        });
        Some(ShardRequest {
            id: &attempt.id,
            shard: shard_request.shard.0,
            // Rounded down, so that a node never gets more time than is left.
            wait_ms: (attempt.due.since(now).0 / 1000).max(1),
            idempotency_key: query.idempotency_key.as_deref(),
            statement: &query.statement,
        })
    });
    frames::encode_shard_requests(requests)
}

/// The writing half of a connection's task: writes the bytes that the socket did not accept at once, until the
/// connection ends.
pub(super) async fn write(
    router: &Router,
    id: ConnectionId,
    stream: &Async<TcpStream>,
) -> UpstreamEnd {
    loop {
        let (woken, written) = match write_next(router, id) {
            Ok(next) => next,
            Err(end) => return end,
        };
        if written == Written::All {
            woken.await;
            continue;
        }
        let writable = async {
            stream
                .writable()
                .await
                .map_err(|_| UpstreamEnd::WriteFailed)
        };
        let woken = async {
            woken.await;
            Ok(())
        };
        if let Err(end) = future::or(writable, woken).await {
            return end;
        }
    }
}

/// Writes without waiting. The returned listener resolves when there is more to write, or the connection is retired.
/// It is created before the state is read, so that no change in between is missed.
fn write_next(router: &Router, id: ConnectionId) -> Result<(EventListener, Written), UpstreamEnd> {
    let mut decisions = router.decisions.borrow_mut();
    decisions.effects.now = router.clock.now();
    let connection = decisions
        .effects
        .nodes
        .connection(id)
        .ok_or(UpstreamEnd::Removed)?;
    let woken = connection.wake.listen();
    let written = write_available(&mut decisions.effects, id)?;
    Ok((woken, written))
}

/// Writes until the buffer is empty or the socket is full. The error is the reason why the connection ends; a retired
/// connection that carries nothing and an abandoned connection end too.
fn write_available(effects: &mut EffectQueue, id: ConnectionId) -> Result<Written, UpstreamEnd> {
    loop {
        fill_buffer(effects, id);
        let connection = effects
            .nodes
            .connection_mut(id)
            .ok_or(UpstreamEnd::Removed)?;
        let Some(stream) = connection.stream.clone() else {
            return Ok(Written::All);
        };
        if connection.abandoned {
            return Err(UpstreamEnd::Abandoned);
        }
        if connection.output.is_empty() {
            if connection.retired && connection.is_idle() {
                return Err(UpstreamEnd::Retired);
            }
            return Ok(Written::All);
        }
        match stream.get_ref().write(connection.output.filled()) {
            Ok(0) => return Err(UpstreamEnd::WriteFailed),
            Ok(count) => {
                connection.output.consume(count);
                connection.written_bytes += count as u64;
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(Written::UntilFull),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return Err(UpstreamEnd::WriteFailed),
        }
    }
}
