//! Ways to the other routers: one connection out to each, one request at a time, and those that come in. What cannot go
//! out is dropped, as on any network; whoever needs it says it again.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future;
use ternpick::types::Micros;
use ternpick_fleet_policy::{Member, PeerMessage};
use ternpick_wire::http::{self, Reader, HEAD_BOUND};
use ternpick_wire::ring::Ring;

use crate::fleet::fragments::{in_pieces, PeerBatch, PARCEL_BYTES, PATH};
use crate::fleet::{chance, Fleet};
use crate::lifecycle::http_client;
use crate::router::Router;
use crate::stages::upstream_writer;
use crate::state::descriptors::Peer;

/// What waits for one router; the oldest goes first.
const MOST_WAITING: usize = 64;
/// How long one request may take; then its connection is given up.
const CALL_WITHIN: Micros = Micros(1_000_000);
/// After a failure the next try waits so long.
const AGAIN: Micros = Micros(50_000);
/// A connection on which nothing comes for so long is closed.
const IDLE: Micros = Micros(30_000_000);
/// Connections that others may hold here.
const MOST_CONNECTIONS: usize = 1200;

/// The way to one other router.
pub struct PeerTransport {
    to: Member,
    pub address: Cell<SocketAddr>,
    waiting: RefCell<VecDeque<PeerMessage>>,
    more: Event,
    pub ends: Cell<bool>,
}

impl PeerTransport {
    pub fn open(
        router: &Rc<Router>,
        fleet: &Rc<Fleet>,
        to: Member,
        address: SocketAddr,
    ) -> Rc<PeerTransport> {
        let (waiting, more, ends) = (RefCell::default(), Event::new(), Cell::new(false));
        let post = Rc::new(PeerTransport {
            to,
            address: Cell::new(address),
            waiting,
            more,
            ends,
        });
        let task = carry(Rc::clone(router), Rc::clone(fleet), Rc::clone(&post));
        router.executor.spawn(task).detach();
        post
    }

    pub fn say(&self, said: PeerMessage) {
        let mut waiting = self.waiting.borrow_mut();
        if waiting.len() >= MOST_WAITING {
            waiting.pop_front();
        }
        waiting.push_back(said);
        self.more.notify(1);
    }

    pub fn end(&self) {
        self.ends.set(true);
        self.more.notify(1);
    }

    /// As much of what waits as goes into one parcel.
    fn take(&self, fleet: &Fleet) -> Option<Vec<u8>> {
        let mut waiting = self.waiting.borrow_mut();
        let (mut said, mut size) = (Vec::new(), 0);
        while let Some(next) = waiting.front() {
            let length = postcard::to_stdvec(next).map_or(0, |bytes| bytes.len());
            if length > PARCEL_BYTES {
                let long = waiting.pop_front();
                match long.and_then(|said| in_pieces(&said, chance())) {
                    Some(pieces) => pieces
                        .into_iter()
                        .rev()
                        .for_each(|piece| waiting.push_front(piece)),
                    None => tracing::warn!(
                        "fleet: {length} bytes for {} are more than is ever sent, and dropped",
                        self.to
                    ),
                }
                continue;
            }
            if size + length > PARCEL_BYTES {
                break;
            }
            size += length;
            said.extend(waiting.pop_front());
        }
        let parcel = PeerBatch {
            fleet: fleet.id,
            from: fleet.me.clone(),
            to: self.to.clone(),
            said,
        };
        (!parcel.said.is_empty()).then(|| parcel.bytes())
    }
}

async fn carry(router: Rc<Router>, fleet: Rc<Fleet>, post: Rc<PeerTransport>) {
    let mut kept: Option<(Async<TcpStream>, SocketAddr)> = None;
    loop {
        let more = post.more.listen();
        if post.ends.get() {
            return;
        }
        let Some(body) = post.take(&fleet) else {
            more.await;
            continue;
        };
        let address = post.address.get();
        kept = kept.filter(|(_, at)| *at == address);
        // A connection to another router counts as one to a node; where none is left, what waits is lost.
        let Some(_permit) = router.descriptors.take(Peer::Node) else {
            kept = None;
            Timer::at(router.clock.instant(router.clock.now() + AGAIN)).await;
            continue;
        };
        let called = router.with_deadline(
            Some(router.clock.now() + CALL_WITHIN),
            call(&router, &fleet, &mut kept, address, &body),
        );
        match called.await {
            Some(Ok(())) => fleet.counts((1, body.len() as u64), (0, 0)),
            failed => {
                let words = failed
                    .and_then(Result::err)
                    .unwrap_or_else(|| "no answer in time".into());
                tracing::debug!("fleet: {} is not reached, {words}", post.to);
                kept = None;
                Timer::at(router.clock.instant(router.clock.now() + AGAIN)).await;
            }
        }
    }
}

async fn call(
    router: &Router,
    fleet: &Fleet,
    kept: &mut Option<(Async<TcpStream>, SocketAddr)>,
    address: SocketAddr,
    body: &[u8],
) -> Result<(), String> {
    let stream = match kept.take() {
        Some((stream, _)) => stream,
        None => {
            let stream = upstream_writer::dial(router, address)
                .await
                .map_err(|_| "the connection could not be made")?;
            stream
                .get_ref()
                .set_nodelay(true)
                .map_err(|e| e.to_string())?;
            stream
        }
    };
    let (from, length) = (&fleet.me, body.len());
    let head = format!(
        "POST {PATH} HTTP/1.1\r\nHost: {address}\r\nFleet-From: {from}\r\nContent-Length: {length}\r\n\r\n"
    );
    let answer =
        http_client::exchange(&stream, &[head.as_bytes(), body].concat(), HEAD_BOUND).await?;
    if !answer.closes() {
        *kept = Some((stream, address));
    }
    Ok(())
}

/// Takes what others send, until it is dropped.
pub async fn listen(router: Rc<Router>, fleet: Rc<Fleet>, listener: Async<TcpListener>) {
    let open = Rc::new(Cell::new(0));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let permit = router
                    .descriptors
                    .take(Peer::Node)
                    .filter(|_| open.get() < MOST_CONNECTIONS);
                let Some(permit) = permit else { continue };
                open.set(open.get() + 1);
                let (of, fleet, open) = (Rc::clone(&router), Rc::clone(&fleet), Rc::clone(&open));
                let task = async move {
                    let leaves = fleet.leaves.listen();
                    future::or(hear(&of, &fleet, stream), leaves).await;
                    open.set(open.get() - 1);
                    drop(permit);
                };
                router.executor.spawn(task).detach();
            }
            Err(e) => {
                tracing::warn!("fleet: cannot accept, {e}");
                Timer::at(router.clock.instant(router.clock.now() + AGAIN)).await;
            }
        }
    }
}

async fn hear(router: &Router, fleet: &Fleet, stream: Async<TcpStream>) {
    // What the other end answers is small, and waited for.
    let _ = stream.get_ref().set_nodelay(true);
    let (mut input, mut request) = (Ring::new(HEAD_BOUND), Reader::of_requests());
    loop {
        let read = router
            .with_deadline(
                Some(router.clock.now() + IDLE),
                read(&stream, &mut input, &mut request),
            )
            .await;
        let Some(Ok(())) = read else { return };
        let length = request.body().len() as u64;
        let (status, words) = match (request.method(), request.path()) {
            ("POST", PATH) => match PeerBatch::parse(request.body(), fleet.id, &fleet.me) {
                Ok(parcel) => {
                    fleet.counts((0, 0), (1, length));
                    fleet.has_come(parcel);
                    (200, String::new())
                }
                Err(words) => {
                    tracing::debug!("fleet: something is not taken, {words}");
                    (409, words)
                }
            },
            _ => (404, "routers of a fleet speak here".into()),
        };
        request.forget_body();
        let answer = http::answer(status, "", &words, status != 200);
        let written = router
            .with_deadline(
                Some(router.clock.now() + CALL_WITHIN),
                write(&stream, &answer),
            )
            .await;
        if written != Some(true) || status != 200 {
            return;
        }
    }
}

async fn read(stream: &Async<TcpStream>, input: &mut Ring, request: &mut Reader) -> Result<(), ()> {
    use std::io::Read;
    while !request.read(input).map_err(|_| ())? {
        stream.readable().await.map_err(|_| ())?;
        match stream.get_ref().read(input.free()) {
            Ok(0) => return Err(()),
            Ok(count) => input.filled_more(count),
            Err(e)
                if matches!(
                    e.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::Interrupted
                ) => {}
            Err(_) => return Err(()),
        }
    }
    Ok(())
}

async fn write(stream: &Async<TcpStream>, mut rest: &[u8]) -> bool {
    use std::io::Write;
    while !rest.is_empty() {
        match stream.write_with(|mut stream| stream.write(rest)).await {
            Ok(count) if count > 0 => rest = &rest[count..],
            _ => return false,
        }
    }
    true
}

/// Binds the fleet's own address, once whoever had it has let it go.
pub async fn bind(router: &Router, address: SocketAddr) -> Async<TcpListener> {
    let mut said = false;
    loop {
        match Async::<TcpListener>::bind(address) {
            Ok(listener) => return listener,
            Err(e) if !said => {
                tracing::warn!("fleet: cannot listen on {address} yet, {e}");
                said = true;
            }
            Err(_) => {}
        }
        let again = async {
            Timer::at(router.clock.instant(router.clock.now() + AGAIN)).await;
        };
        future::or(again, future::pending()).await;
    }
}
