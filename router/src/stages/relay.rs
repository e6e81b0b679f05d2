//! Relay: reads what nodes send, and matches it to the calls out by connection and id.

use std::io::{ErrorKind, Read};
use std::net::TcpStream;

use async_io::Async;
use ternpick::types::Ending;

use crate::memory::nodes::ConnectionId;
use crate::memory::ring::Ring;
use crate::stages::book::Return;
use crate::stages::{route, Router};
use crate::wire::frames::{self, End};

/// Bytes of a node's that may wait to be read on.
const IN_BOUND: usize = 16 * 1024;
/// Bytes of a node's words that are logged.
const WORDS: usize = 200;
/// Reads in a row before other connections have their turn.
const READS: usize = 16;

/// Reads a connection until it ends or sends what cannot be used.
pub async fn read(router: &Router, id: ConnectionId, stream: &Async<TcpStream>) -> &'static str {
    let (mut input, mut frame) = (Ring::new(IN_BOUND), Vec::new());
    loop {
        if stream.readable().await.is_err() {
            return "cannot be read";
        }
        for _ in 0..READS {
            match stream.get_ref().read(input.free()) {
                Ok(0) => return "ended by the node",
                Ok(count) => {
                    input.filled_more(count);
                    heard(router, id);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(_) => return "broke",
            }
            loop {
                match frames::next(&mut input, &mut frame) {
                    Ok(None) => break,
                    Ok(Some(letter)) => {
                        if let Err(what) = take_frame(router, id, letter, &frame) {
                            log::warn!("a node's connection is ended: {what}");
                            return what;
                        }
                        frame.clear();
                    }
                    Err(what) => {
                        log::warn!("a node's connection is ended: {what}");
                        return what;
                    }
                }
            }
        }
        input.rest();
    }
}

fn heard(router: &Router, id: ConnectionId) {
    let (now, mut desk) = (router.clock.now(), router.desk.borrow_mut());
    if let Some(connection) = desk.office.nodes.connection_mut(id) {
        (connection.used, connection.heard) = (now, now);
    }
}

fn take_frame(router: &Router, id: ConnectionId, letter: u8, rest: &[u8]) -> Result<(), frames::BadFrame> {
    match letter {
        b'a' => answer(router, id, rest),
        b'l' => load(router, id, rest),
        b'p' => Ok(()),
        b'e' => {
            log::warn!("a node's words: {}", String::from_utf8_lossy(&rest[..rest.len().min(WORDS)]));
            Err("the node could not use a frame")
        }
        _ => Err("a frame of unknown letter"),
    }
}

fn answer(router: &Router, id: ConnectionId, rest: &[u8]) -> Result<(), frames::BadFrame> {
    let (name, end, report, value) = frames::answer(rest)?;
    let ending = match end {
        End::Served => Ending::Satisfied,
        End::Broke => Ending::MayHaveRun,
        End::Skipped => Ending::NeverRan,
    };
    let back = {
        let mut desk = router.desk.borrow_mut();
        let office = &mut desk.office;
        let Some(connection) = office.nodes.connection_mut(id) else { return Err("gone") };
        // Late answers, and those for ids never asked, are ordinary: the part was given up.
        let Some(key) = connection.carries.remove(name) else { return Ok(()) };
        let Some(call) = office.ledger.finish(key) else { return Ok(()) };
        if ending == Ending::Satisfied {
            office.ledger.keep(&call, value);
        }
        office.nodes.stir_retired(id);
        Return { key, call, ending }
    };
    route::returned(router, back, &frames::report(report, &router.bounds.columns));
    Ok(())
}

fn load(router: &Router, id: ConnectionId, rest: &[u8]) -> Result<(), frames::BadFrame> {
    let text = std::str::from_utf8(rest).map_err(|_| "a report is not text")?;
    let node = {
        let mut desk = router.desk.borrow_mut();
        let Some(connection) = desk.office.nodes.connection_mut(id) else { return Err("gone") };
        connection.probes = connection.probes.saturating_sub(1);
        connection.node
    };
    let report = frames::report(text.trim_end(), &router.bounds.columns);
    router.play(|brain, now, out| brain.probed(now, node, &report, out));
    Ok(())
}
