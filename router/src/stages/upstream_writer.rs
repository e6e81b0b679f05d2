//! Send: part calls become frames on connections to nodes, opened as needed.

use std::cell::Cell;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;
use ternpick::io_errors::{self, Owner};
use ternpick::types::{AttemptOutcome, Micros, NodeId};

use crate::router::Router;
use crate::stages::completion::EffectQueue;
use crate::stages::upstream_reader;
use crate::state::descriptors::Peer;
use crate::state::in_flight::{CallKey, CallOut, Place};
use crate::state::nodes::{Connection, ConnectionId, Nodes};
use ternpick_wire::frames::{self, LINE_BOUND};
use ternpick_wire::http::BODY_BOUND;

/// Whether the last byte of a call's frame has left.
pub fn is_written(nodes: &Nodes, call: &CallOut) -> bool {
    match call.place {
        Place::Queued(id, end) => nodes
            .connection(id)
            .is_none_or(|connection| connection.written >= end),
        Place::Ordered | Place::Waiting(_) => false,
    }
}

/// Carries out the orders of a turn: those for one node share calls, up to the number in the settings.
pub fn carry_out(router: &Rc<Router>) {
    let mut desk = router.decisions.borrow_mut();
    let office = &mut desk.effects;
    office.now = router.clock.now();
    let mut orders = std::mem::take(&mut office.ordered_attempts);
    while let Some(node) = orders
        .first()
        .and_then(|key| Some(office.in_flight.call(*key)?.node))
    {
        let (frame, rest) = split(office, orders, node);
        orders = rest;
        send_frame(router, office, node, frame);
    }
    for node in std::mem::take(&mut office.health_checks) {
        let known = office.nodes.usable(node).next().map(|(id, _)| id);
        let Some(id) = known.or_else(|| open(router, office, node)) else {
            continue;
        };
        let now = office.now;
        if let Some(connection) = office.nodes.connection_mut(id) {
            // A buffer too full for it: the node is not reading, and would not answer.
            let _ = connection.push(&frames::load_probe(), now);
        }
    }
    // Calls that could not be made are told in a turn of their own.
    if !office.finished_attempts.is_empty() {
        router.input_applied.notify(1);
    }
}

/// The next frame for a node, and the orders left over.
fn split(office: &EffectQueue, orders: Vec<CallKey>, node: NodeId) -> (Vec<CallKey>, Vec<CallKey>) {
    let mut room = office
        .bounds
        .parts_a_call
        .min(office.bounds.parts_a_connection);
    orders.into_iter().partition(|key| {
        let shares = room > 0
            && office
                .in_flight
                .call(*key)
                .is_some_and(|call| call.node == node);
        room -= usize::from(shares);
        shares
    })
}

/// Gives a frame's calls to the first connection with room for them, or to a new one.
fn send_frame(router: &Rc<Router>, office: &mut EffectQueue, node: NodeId, frame: Vec<CallKey>) {
    let most = office.bounds.parts_a_connection;
    let fits = |id: ConnectionId, carried: usize| {
        carried + frame.len() <= most && frame.iter().all(|key| !office.in_flight.carried(*key, id))
    };
    let found = office.nodes.usable(node).find(|(id, connection)| {
        let waiting = connection.waiting.iter().map(Vec::len).sum::<usize>();
        fits(*id, connection.carries.len() + waiting)
    });
    let found = found
        .map(|(id, _)| id)
        .or_else(|| open(router, office, node));
    let Some(id) = found else {
        // A shortage of the router's own: it says nothing of the node.
        frame
            .into_iter()
            .for_each(|key| office.end_call(key, AttemptOutcome::Unsent));
        return;
    };
    frame
        .iter()
        .for_each(|key| office.in_flight.place(*key, Place::Waiting(id)));
    if let Some(connection) = office.nodes.connection_mut(id) {
        connection.waiting.push_back(frame);
        // What the socket does not take now, the connection's task writes; it also finds what is wrong.
        connection.stirred.notify(1);
    }
    let _ = write_out(office, id);
}

fn open(router: &Rc<Router>, office: &mut EffectQueue, node: NodeId) -> Option<ConnectionId> {
    office.nodes.node(node)?;
    let Some(permit) = router.descriptors.take(Peer::Node) else {
        office.nodes.retire_longest_idle();
        return None;
    };
    // Room for the longest call at least.
    let out_bound = office.bounds.parts_a_call * (BODY_BOUND + LINE_BOUND);
    let id = office.nodes.connect(node, office.now, out_bound, permit)?;
    router
        .executor
        .spawn(connection(Rc::clone(router), id))
        .detach();
    Some(id)
}

/// Moves frames that wait into the connection's buffer while it is up and has room.
fn fill(office: &mut EffectQueue, id: ConnectionId) {
    let EffectQueue {
        nodes,
        in_flight: ledger,
        now,
        ..
    } = office;
    let Some(connection) = nodes.connection_mut(id).filter(|of| of.stream.is_some()) else {
        return;
    };
    while let Some(keys) = connection.waiting.pop_front() {
        let mut rest = Vec::new();
        let calls = || {
            keys.iter()
                .filter_map(|key| Some((*key, ledger.call(*key)?)))
        };
        for (_, call) in calls() {
            let Some((held, part)) = ledger.part(call) else {
                continue;
            };
            held.taken
                .span
                .in_scope(|| tracing::debug!("send: part {} to node {:x}", call.id, call.node.0));
            // Rounded down: a node is never told more than is left.
            let wait_ms = (call.due.since(*now).0 / 1000).max(1);
            frames::add_part(
                &mut rest,
                &call.id,
                part.shard.0,
                wait_ms,
                held.key.as_deref(),
                &held.statement,
            );
        }
        if !connection.push(&frames::call(&rest), *now) {
            return connection.waiting.push_front(keys);
        }
        let end = connection.queued;
        let carried: Vec<_> = calls()
            .map(|(key, call)| (Rc::clone(&call.id), key))
            .collect();
        for (name, key) in carried {
            connection.carries.insert(name, key);
            ledger.place(key, Place::Queued(id, end));
        }
    }
}

/// A connection's whole life: dialled, used, and closed when it breaks, is retired or has stood idle.
async fn connection(router: Rc<Router>, id: ConnectionId) {
    let found = |of: &Connection| (of.address, Rc::clone(&of.dials));
    let found = router
        .decisions
        .borrow()
        .effects
        .nodes
        .connection(id)
        .map(found);
    let Some((address, dials)) = found else {
        return;
    };
    let dialled = dial_noting(&router, address, &dials).await;
    if let Ok(stream) = dialled {
        let stream = Rc::new(stream);
        router.decisions.borrow_mut().effects.nodes.heard = router.clock.now();
        if let Some(connection) = router
            .decisions
            .borrow_mut()
            .effects
            .nodes
            .connection_mut(id)
        {
            connection.stream = Some(Rc::clone(&stream));
        }
        let talk = future::or(
            write(&router, id, &stream),
            upstream_reader::read(&router, id, &stream),
        );
        let what = future::or(talk, idle(&router, id)).await;
        tracing::debug!("connection to {address}: {what}");
    } else if let Err(of) = dialled {
        tracing::debug!("connection to {address}: could not be made, {of:?}'s");
        // What this machine could not do says nothing of the node.
        if let (Owner::Machine, Some(connection)) = (
            of,
            router
                .decisions
                .borrow_mut()
                .effects
                .nodes
                .connection_mut(id),
        ) {
            connection.abandoned = true;
        }
    }
    lost(&router, id);
}

/// A new connection, if it comes up in time; else whose failure it is.
pub async fn dial(router: &Router, address: SocketAddr) -> Result<Async<TcpStream>, Owner> {
    dial_noting(router, address, &Cell::new(Owner::Peer)).await
}

/// The same; `last` says at any moment for whom it waits. What fails for a moment on this machine, or on the way, is
/// tried again within the time of the dial.
async fn dial_noting(
    router: &Router,
    address: SocketAddr,
    last: &Cell<Owner>,
) -> Result<Async<TcpStream>, Owner> {
    let began = router.clock.now();
    let limit = router.bounds.dial_timeout.map(|limit| began + limit);
    let mut in_a_row = 0;
    let dials = async {
        loop {
            last.set(Owner::Peer);
            let failed = match Async::<TcpStream>::connect(address).await {
                Ok(stream) => return Ok(stream),
                Err(e) => io_errors::dial(e.raw_os_error().unwrap_or(0)),
            };
            let heard = || router.decisions.borrow().effects.nodes.heard >= began;
            last.set(match failed {
                Owner::Route => io_errors::route(heard()),
                // Interrupted up to the end: nobody's, so not the node's.
                Owner::Nobody => Owner::Machine,
                of => of,
            });
            if failed == Owner::Peer || limit.is_none() && failed != Owner::Nobody {
                return Err(last.get());
            }
            in_a_row += 1;
            match io_errors::pause(in_a_row) {
                Micros(0) => future::yield_now().await,
                pause => {
                    Timer::after(Duration::from_micros(pause.0)).await;
                }
            }
        }
    };
    let stream = router
        .with_deadline(limit, dials)
        .await
        .unwrap_or(Err(last.get()))?;
    // Frames and calls are small, and each is wanted at once.
    let _ = stream.get_ref().set_nodelay(true);
    Ok(stream)
}

/// Ends what was out on a connection. What was not written whole has never run. A connection that the router
/// ends itself says nothing of its node but for the call whose answer came spoilt: the node has not fallen.
fn lost(router: &Router, id: ConnectionId) {
    let mut desk = router.decisions.borrow_mut();
    let office = &mut desk.effects;
    office.now = router.clock.now();
    let Some(connection) = office.nodes.connection(id) else {
        return;
    };
    let mut carried: Vec<CallKey> = connection.carries.values().copied().collect();
    carried.sort();
    let all = connection.waiting.iter().flatten().copied().chain(carried);
    let written = |key| {
        office
            .in_flight
            .call(key)
            .is_some_and(|call| is_written(&office.nodes, call))
    };
    let ending = |key| match (written(key), connection.abandoned) {
        (true, true) if connection.spoilt == Some(key) => AttemptOutcome::MayHaveRun,
        (true, true) => AttemptOutcome::Cancelled,
        (true, false) => AttemptOutcome::Broken,
        (false, true) => AttemptOutcome::Unsent,
        (false, false) => AttemptOutcome::NeverRan,
    };
    let ends: Vec<(CallKey, AttemptOutcome)> = all.map(|key| (key, ending(key))).collect();
    office.nodes.disconnect(id);
    ends.into_iter()
        .for_each(|(key, ending)| office.end_call(key, ending));
    router.input_applied.notify(1);
}

/// Writes what stands in the connection's buffer, when the socket could not take it at once.
async fn write(router: &Router, id: ConnectionId, stream: &Async<TcpStream>) -> &'static str {
    loop {
        let (stirred, written) = {
            let mut desk = router.decisions.borrow_mut();
            desk.effects.now = router.clock.now();
            let Some(connection) = desk.effects.nodes.connection(id) else {
                return "gone";
            };
            (
                connection.stirred.listen(),
                write_out(&mut desk.effects, id),
            )
        };
        match written {
            Ok(true) => stirred.await,
            Ok(false) => {
                let free = async {
                    stream
                        .writable()
                        .await
                        .map_err(|_| "cannot be written")
                        .err()
                };
                let stirred = async {
                    stirred.await;
                    None
                };
                if let Some(what) = future::or(free, stirred).await {
                    return what;
                }
            }
            Err(what) => return what,
        }
    }
}

/// Writes until the buffer is empty (true) or the socket full. An error is the connection's end: also that of
/// a retired one that carries nothing, and of one with a frame that is not to be finished.
fn write_out(office: &mut EffectQueue, id: ConnectionId) -> Result<bool, &'static str> {
    loop {
        fill(office, id);
        let Some(connection) = office.nodes.connection_mut(id) else {
            return Err("gone");
        };
        let Some(stream) = connection.stream.clone() else {
            return Ok(true);
        };
        if connection.abandoned {
            return Err("abandoned");
        }
        if connection.out.is_empty() {
            return if connection.retired && connection.idle() {
                Err("retired")
            } else {
                Ok(true)
            };
        }
        match stream.get_ref().write(connection.out.filled()) {
            Ok(0) => return Err("takes nothing"),
            Ok(count) => {
                connection.out.consume(count);
                connection.written += count as u64;
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return Err("broke"),
        }
    }
}

/// Ends a connection that has stood idle so long that the node is about to close it.
async fn idle(router: &Router, id: ConnectionId) -> &'static str {
    let Some(limit) = router.bounds.idle_close else {
        return future::pending().await;
    };
    let limit = limit.since(router.bounds.dial_timeout.unwrap_or_default());
    loop {
        let at = {
            let desk = router.decisions.borrow();
            let Some(connection) = desk.effects.nodes.connection(id) else {
                return "gone";
            };
            let now = router.clock.now();
            match connection.idle() {
                true if connection.used + limit <= now => return "idle",
                true => connection.used + limit,
                false => now + limit,
            }
        };
        Timer::at(router.clock.instant(at)).await;
    }
}
