//! Relay: reads what nodes send, and matches it to the calls out by connection and id.

use std::io::{ErrorKind, Read};
use std::net::TcpStream;

use async_io::Async;
use ternpick::types::{AttemptOutcome, Micros};

use crate::router::Router;
use crate::stages::completion::Return;
use crate::stages::dispatch;
use crate::state::nodes::ConnectionId;
use ternpick_wire::frames::{self, End};
use ternpick_wire::ring::Ring;

/// Bytes of a node's that may wait to be read on.
const IN_BOUND: usize = 16 * 1024;
/// Bytes of a node's words that are logged.
const WORDS: usize = 200;
/// Reads in a row before other connections have their turn.
const READS: usize = 16;

/// Reads a connection until it ends or sends what cannot be used: also a frame that is begun and not finished
/// in the time of a dial, which would take in all that comes behind it.
pub async fn read(router: &Router, id: ConnectionId, stream: &Async<TcpStream>) -> &'static str {
    let (mut input, mut frame, mut begun) = (Ring::new(IN_BOUND), Vec::new(), None::<Micros>);
    let mut share = router.budget.share();
    loop {
        let stalled = begun
            .zip(router.bounds.dial_timeout)
            .map(|(at, limit)| at + limit);
        match router.with_deadline(stalled, stream.readable()).await {
            Some(Ok(())) => {}
            Some(Err(_)) => return "cannot be read",
            None => return spoilt(router, id, "a frame is not finished", &frame),
        }
        for _ in 0..READS {
            match stream.get_ref().read(input.free()) {
                Ok(0) => return "ended by the node",
                Ok(count) => input.filled_more(count),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(_) => return "broke",
            }
            loop {
                match frames::next(&mut input, &mut frame) {
                    Ok(None) => break,
                    Ok(Some(letter)) => {
                        if let Err(what) = take_frame(router, id, letter, &frame) {
                            return spoilt(router, id, what, &frame);
                        }
                        heard(router, id);
                        begun = None;
                        frame = Vec::new();
                    }
                    Err(what) => return spoilt(router, id, what, &[]),
                }
            }
            share.set(frame.capacity());
            begun = begun
                .or(Some(router.clock.now()))
                .filter(|_| !frame.is_empty());
        }
        input.rest();
    }
}

fn spoilt(router: &Router, id: ConnectionId, what: &'static str, frame: &[u8]) -> &'static str {
    let (now, mut desk) = (router.clock.now(), router.decisions.borrow_mut());
    desk.effects.now = now;
    desk.effects.spoil(id, what, frames::id(frame));
    what
}

fn heard(router: &Router, id: ConnectionId) {
    let (now, mut desk) = (router.clock.now(), router.decisions.borrow_mut());
    desk.effects.nodes.heard = now;
    if let Some(connection) = desk.effects.nodes.connection_mut(id) {
        (connection.used, connection.heard) = (now, now);
    }
}

fn take_frame(
    router: &Router,
    id: ConnectionId,
    letter: u8,
    rest: &[u8],
) -> Result<(), frames::BadFrame> {
    match letter {
        b'a' => answer(router, id, rest),
        b'l' => load(router, id, rest),
        b'p' => Ok(()),
        b'e' => {
            tracing::debug!(
                "a node's words: {}",
                String::from_utf8_lossy(&rest[..rest.len().min(WORDS)])
            );
            Err("the node could not use a frame")
        }
        _ => Err("a frame of unknown letter"),
    }
}

fn answer(router: &Router, id: ConnectionId, rest: &[u8]) -> Result<(), frames::BadFrame> {
    let (name, end, report, value) = frames::answer(rest)?;
    let ending = match end {
        End::Served => AttemptOutcome::Satisfied,
        End::Broke => AttemptOutcome::MayHaveRun,
        End::Skipped => AttemptOutcome::NeverRan,
    };
    let back = {
        let (now, mut desk) = (router.clock.now(), router.decisions.borrow_mut());
        let office = &mut desk.effects;
        let Some(connection) = office.nodes.connection_mut(id) else {
            return Err("gone");
        };
        let Some(key) = connection.carries.remove(name) else {
            // An answer to a call given up is ordinary, and a second copy harmless. One to a call that never was
            // on this connection belongs to one that is: that one would wait for its time to be up.
            return if connection.is_over(name) {
                Ok(())
            } else {
                Err("an answer of unknown id")
            };
        };
        let Some(call) = office.in_flight.finish(key) else {
            return Ok(());
        };
        connection.over(&call.id, now);
        if let Some((held, _)) = office.in_flight.part(&call) {
            held.taken
                .span
                .in_scope(|| tracing::debug!("relay: part {} {ending:?}", call.id));
        }
        if ending == AttemptOutcome::Satisfied {
            office.in_flight.keep(&call, value);
        }
        office.nodes.stir_retired(id);
        Return { key, call, ending }
    };
    dispatch::returned(
        router,
        back,
        &frames::report(report, &router.bounds.columns),
    );
    Ok(())
}

fn load(router: &Router, id: ConnectionId, rest: &[u8]) -> Result<(), frames::BadFrame> {
    let text = std::str::from_utf8(rest).map_err(|_| "a report is not text")?;
    let node = {
        let desk = router.decisions.borrow();
        desk.effects.nodes.connection(id).ok_or("gone")?.node
    };
    let report = frames::report(text.trim_end(), &router.bounds.columns);
    router.apply(|brain, now, out| brain.health_check_finished(now, node, &report, out));
    Ok(())
}
