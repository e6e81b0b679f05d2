//! Route: hands the module its inputs, and after each turn has what it wants carried out.

use std::rc::Rc;

use async_io::Timer;
use futures_lite::future;
use ternpick::io_errors::Owner;
use ternpick::types::{
    AttemptOutcome, CustomerNo, IndexNo, Micros, QueryId, ShardNo, ShardRequestId, WireQueryNo,
};

use crate::router::Router;
use crate::stages::completion::{EffectQueue, Return};
use crate::stages::upstream_writer;
use crate::state::in_flight::{CallKey, Place};

/// Plays a lookup and all its parts.
pub fn take(
    router: &Router,
    id: QueryId,
    index: IndexNo,
    customer: CustomerNo,
    left: Micros,
    repeat: bool,
    parts: Vec<(ShardRequestId, ShardNo, f64, Option<Micros>)>,
) {
    let query = WireQueryNo(id.0);
    router.apply(|brain, now, out| {
        out.counts.taken += 1;
        if let Some(held) = out.in_flight.lookup(id) {
            held.taken
                .span
                .in_scope(|| tracing::debug!("route: {} parts, {} us left", parts.len(), left.0));
        }
        brain.query_received(
            now,
            id,
            query,
            index,
            customer,
            parts.len(),
            left,
            repeat,
            out,
        );
        for (part, shard, weight, hint) in parts {
            brain.shard_request_received(now, part, query, shard, weight, hint, out);
        }
    });
}

/// A client has left before its answer.
pub fn lapse(router: &Router, id: QueryId) {
    router.apply(|brain, now, out| {
        if out.in_flight.lookup(id).is_some() {
            out.client_left(id);
            brain.client_left(now, id, out);
        }
    });
}

/// Tells the module of one call's end.
pub fn returned(router: &Router, back: Return, report: &[f64]) {
    let Return {
        key: (part, number),
        call,
        ending,
    } = back;
    router.apply(|brain, now, out| {
        brain.attempt_finished(
            now,
            part,
            number,
            call.node,
            now.since(call.sent),
            ending,
            report,
            out,
        );
    });
}

/// Plays what time and the module's own word have brought about.
fn play_due(router: &Router) {
    loop {
        let (now, mut desk) = (router.clock.now(), router.decisions.borrow_mut());
        desk.effects.now = now;
        let cancels = desk.engine.config.cancellation;
        let office = &mut desk.effects;
        if let Some(back) = office.finished_attempts.pop_front() {
            drop(desk);
            returned(router, back, &[]);
        } else if let Some(key) = office.in_flight.overdue(now) {
            call_is_late(office, key, cancels);
        } else if office.timers.first().is_some_and(|(at, _)| *at <= now) {
            let Some((_, timer)) = office.timers.pop_first() else {
                return;
            };
            drop(desk);
            router.apply(|brain, now, out| brain.timer_fired(now, timer, out));
        } else {
            return;
        }
    }
}

/// A call whose frame has not gone out in the time of a dial was not made; one that has waits out its limit.
/// A connection that has brought nothing since is not trusted with more: its peer may have vanished, and on
/// its return would reset what is written to it.
fn call_is_late(office: &mut EffectQueue, key: CallKey, cancels: bool) {
    let Some(call) = office.in_flight.call(key) else {
        return;
    };
    let (written, sent, place) = (
        upstream_writer::is_written(&office.nodes, call),
        call.sent,
        call.place,
    );
    if written && call.due > office.now {
        return office.in_flight.look_when_due(key);
    }
    if let (Place::Queued(id, _), true) = (place, written) {
        office.nodes.retire_silent(id, sent);
    }
    // A dial that this machine could not make, though it tried up to now, is not held against the node.
    let dials = |id| {
        office
            .nodes
            .connection(id)
            .map(|connection| connection.dials.get())
    };
    let ours = matches!(place, Place::Waiting(id) if dials(id) == Some(Owner::Machine));
    let ending = match (written, ours) {
        (true, _) => AttemptOutcome::MayHaveRun,
        (false, true) => AttemptOutcome::Unsent,
        (false, false) => AttemptOutcome::NeverRan,
    };
    office.give_up(key, ending, cancels);
}

fn next_due(router: &Router) -> Option<Micros> {
    let desk = router.decisions.borrow();
    let timer = desk.effects.timers.first().map(|(at, _)| *at);
    timer
        .into_iter()
        .chain(desk.effects.in_flight.next_due())
        .min()
}

/// The turns of a router: wakes on inputs and on time, lets the inputs that are ready be played first, then
/// has all orders carried out together, so that parts for one node share a call.
pub async fn turns(router: Rc<Router>) {
    loop {
        let turn = router.input_applied.listen();
        future::yield_now().await;
        play_due(&router);
        upstream_writer::carry_out(&router);
        match next_due(&router) {
            Some(at) => {
                let timer = Timer::at(router.clock.instant(at));
                let time = async {
                    timer.await;
                };
                future::or(turn, time).await;
            }
            None => turn.await,
        }
    }
}
