//! The outgoing connection to another router of the fleet, with one request in flight at a time. A message that cannot
//! be sent is dropped; the state machines tolerate that and send again what is still needed.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use async_io::Async;
use event_listener::Event;
use ternpick::types::Micros;
use ternpick_fleet_policy::{Member, PeerMessage};
use ternpick_wire::http::MAX_HEAD_BYTES;

use super::fragments::split;
use super::peer_batch::{PeerBatch, MAX_BATCH_BYTES, PATH};
use super::{random_u64, sleep_until, Fleet};
use crate::lifecycle::http_client;
use crate::router::Router;
use crate::stages::upstream_writer;
use crate::state::descriptors::Peer;
use crate::state::turns::Stage;

/// The maximum number of messages queued for one router. Beyond it the oldest are dropped.
const MAX_QUEUED: usize = 64;
/// The timeout of one request. When it expires, the connection is closed.
pub(super) const CALL_TIMEOUT: Micros = Micros(1_000_000);
/// The delay after a failure before the next attempt.
pub(super) const RETRY_DELAY: Micros = Micros(50_000);

/// The connection to one other router, and the messages queued for it.
pub(super) struct PeerTransport {
    to: Member,
    address: Cell<SocketAddr>,
    queue: RefCell<VecDeque<PeerMessage>>,
    /// Notified when a message is queued, or the transport closes.
    changed: Event,
    is_closed: Cell<bool>,
}

/// An idle connection that can be used for another request.
struct Connection {
    stream: Async<TcpStream>,
    address: SocketAddr,
}

/// The reason why a request to another router failed.
#[derive(Debug, thiserror::Error)]
enum CallError {
    #[error("peer did not answer within {} ms", CALL_TIMEOUT.0 / 1000)]
    Timeout,
    #[error("connection to the peer could not be opened")]
    Connect,
    #[error("TCP_NODELAY could not be set on the peer connection: {0}")]
    SocketOption(#[from] std::io::Error),
    #[error("request to the peer failed: {0}")]
    Exchange(String),
}

impl PeerTransport {
    /// Creates a transport and starts its task, which runs until [`PeerTransport::close`]. It connects when the first
    /// message is sent.
    pub(super) fn open(
        router: &Rc<Router>,
        fleet: &Rc<Fleet>,
        to: Member,
        address: SocketAddr,
    ) -> Rc<PeerTransport> {
        let transport = Rc::new(PeerTransport {
            to,
            address: Cell::new(address),
            queue: RefCell::default(),
            changed: Event::new(),
            is_closed: Cell::new(false),
        });
        let task = run(Rc::clone(router), Rc::clone(fleet), Rc::clone(&transport));
        router.spawn(Stage::Fleet, 0, task).detach();
        transport
    }

    /// Sets the address for subsequent requests.
    pub(super) fn set_address(&self, address: SocketAddr) {
        self.address.set(address);
    }

    /// Queues a message, and drops the oldest one if the queue is full.
    pub(super) fn send(&self, message: PeerMessage) {
        let mut queue = self.queue.borrow_mut();
        if queue.len() >= MAX_QUEUED {
            queue.pop_front();
        }
        queue.push_back(message);
        self.changed.notify(1);
    }

    /// Ends the transport's task and drops the queued messages.
    pub(super) fn close(&self) {
        self.is_closed.set(true);
        self.changed.notify(1);
    }

    /// Encodes as many queued messages as fit into a batch as the body of the next request; `None` if nothing is
    /// queued.
    fn next_body(&self, fleet: &Fleet) -> Option<Vec<u8>> {
        let messages = self.next_messages();
        if messages.is_empty() {
            return None;
        }
        let batch = PeerBatch {
            fleet: fleet.id,
            from: fleet.me.clone(),
            to: self.to.clone(),
            messages,
        };
        Some(batch.encode())
    }

    fn next_messages(&self) -> Vec<PeerMessage> {
        let mut queue = self.queue.borrow_mut();
        let mut messages = Vec::new();
        let mut batch_bytes = 0;
        while let Some(next) = queue.front() {
            let bytes = postcard::to_stdvec(next).map_or(0, |bytes| bytes.len());
            if bytes > MAX_BATCH_BYTES {
                self.split_first(&mut queue, bytes);
                continue;
            }
            if batch_bytes + bytes > MAX_BATCH_BYTES {
                break;
            }
            batch_bytes += bytes;
            messages.extend(queue.pop_front());
        }
        messages
    }

    /// Replaces the first message by its fragments. A message that is too long even for fragments is dropped.
    fn split_first(&self, queue: &mut VecDeque<PeerMessage>, bytes: usize) {
        let first = queue.pop_front();
        match first.and_then(|message| split(&message, random_u64())) {
            Some(fragments) => {
                for fragment in fragments.into_iter().rev() {
                    queue.push_front(fragment);
                }
            }
            None => {
                tracing::warn!(bytes, to = %self.to, "fleet: message exceeds the fragment limit, dropped");
            }
        }
    }
}

async fn run(router: Rc<Router>, fleet: Rc<Fleet>, transport: Rc<PeerTransport>) {
    let mut idle: Option<Connection> = None;
    loop {
        let changed = transport.changed.listen();
        if transport.is_closed.get() {
            return;
        }
        let Some(body) = transport.next_body(&fleet) else {
            changed.await;
            continue;
        };
        let address = transport.address.get();
        idle = idle.filter(|connection| connection.address == address);
        // A connection to a peer uses a file descriptor of the share for data nodes. If none is free, the batch is
        // lost.
        let Some(_permit) = router.descriptors.take(Peer::Node) else {
            idle = None;
            sleep_until(&router, router.clock.now() + RETRY_DELAY).await;
            continue;
        };
        let deadline = router.clock.now() + CALL_TIMEOUT;
        let call = call(&router, &fleet, idle.take(), address, &body);
        let outcome = router.with_peer_deadline(Some(deadline), call).await;
        match outcome.unwrap_or(Err(CallError::Timeout)) {
            Ok(connection) => {
                fleet.count_sent(body.len());
                idle = connection;
            }
            Err(error) => {
                tracing::debug!(to = %transport.to, %error, "fleet: request to peer failed");
                sleep_until(&router, router.clock.now() + RETRY_DELAY).await;
            }
        }
    }
}

/// Sends one request and reads its answer. Returns the connection if it stays open for another request.
async fn call(
    router: &Router,
    fleet: &Fleet,
    idle: Option<Connection>,
    address: SocketAddr,
    body: &[u8],
) -> Result<Option<Connection>, CallError> {
    let connection = match idle {
        Some(connection) => connection,
        None => connect(router, address).await?,
    };
    let from = &fleet.me;
    let length = body.len();
    let head = format!(
        "POST {PATH} HTTP/1.1\r\nHost: {address}\r\nFleet-From: {from}\r\nContent-Length: {length}\r\n\r\n"
    );
    let request = [head.as_bytes(), body].concat();
    let answer = http_client::exchange(&connection.stream, &request, MAX_HEAD_BYTES)
        .await
        .map_err(|error| CallError::Exchange(error.to_string()))?;
    Ok(Some(connection).filter(|_| !answer.closes_connection()))
}

async fn connect(router: &Router, address: SocketAddr) -> Result<Connection, CallError> {
    let stream = upstream_writer::dial(router, address)
        .await
        .map_err(|_| CallError::Connect)?;
    stream.get_ref().set_nodelay(true)?;
    Ok(Connection { stream, address })
}
