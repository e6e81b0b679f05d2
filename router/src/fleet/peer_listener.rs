//! The listener for peers: accepts connections on which other routers send their batches.

use std::cell::Cell;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

use async_io::Async;
use futures_lite::future;
use ternpick::types::Micros;
use ternpick_wire::http::{self, Reader, MAX_HEAD_BYTES};
use ternpick_wire::ring::Ring;

use super::peer_batch::{BatchError, PeerBatch, PATH};
use super::peer_transport::{CALL_TIMEOUT, RETRY_DELAY};
use super::{sleep_until, Fleet};
use crate::lifecycle::socket_io::write_all;
use crate::router::Router;
use crate::state::descriptors::Peer;
use crate::state::turns::Stage;

/// A connection on which no request is received within this time is closed.
const IDLE_TIMEOUT: Micros = Micros(30_000_000);
/// The maximum number of open connections from other routers.
const MAX_CONNECTIONS: usize = 1200;

/// Binds the peer address, and retries until the process that still has it closes it.
pub(super) async fn bind(router: &Router, address: SocketAddr) -> Async<TcpListener> {
    let mut is_logged = false;
    loop {
        match Async::<TcpListener>::bind(address) {
            Ok(listener) => return listener,
            Err(error) if !is_logged => {
                tracing::warn!(%address, %error, "fleet: cannot bind the peer address yet, retrying");
                is_logged = true;
            }
            Err(_) => {}
        }
        sleep_until(router, router.clock.now() + RETRY_DELAY).await;
    }
}

/// Accepts connections from other routers until the future is dropped.
pub(super) async fn serve(router: Rc<Router>, fleet: Rc<Fleet>, listener: Async<TcpListener>) {
    let open_connections = Rc::new(Cell::new(0));
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                accept(&router, &fleet, &open_connections, stream);
                // Accepting does not wait while connections are pending.
                future::yield_now().await;
            }
            Err(error) => {
                tracing::warn!(%error, "fleet: cannot accept a peer connection");
                sleep_until(&router, router.clock.now() + RETRY_DELAY).await;
            }
        }
    }
}

/// Starts a task that reads the connection. Connections beyond the limits are closed.
fn accept(
    router: &Rc<Router>,
    fleet: &Rc<Fleet>,
    open_connections: &Rc<Cell<usize>>,
    stream: Async<TcpStream>,
) {
    let permit = router
        .descriptors
        .take(Peer::Node)
        .filter(|_| open_connections.get() < MAX_CONNECTIONS);
    let Some(permit) = permit else { return };
    open_connections.set(open_connections.get() + 1);
    let fleet = Rc::clone(fleet);
    let open_connections = Rc::clone(open_connections);
    let reader = Rc::clone(router);
    let task = async move {
        let ended = fleet.participation_ended.listen();
        future::or(read_batches(&reader, &fleet, stream), ended).await;
        open_connections.set(open_connections.get() - 1);
        drop(permit);
    };
    router.spawn(Stage::Fleet, 0, task).detach();
}

async fn read_batches(router: &Router, fleet: &Fleet, stream: Async<TcpStream>) {
    // Peers wait for these small answers. If the option cannot be set, the answers are only delayed.
    let _ = stream.get_ref().set_nodelay(true);
    let mut input = Ring::new(MAX_HEAD_BYTES);
    let mut request = Reader::for_requests();
    loop {
        let idle_deadline = router.clock.now() + IDLE_TIMEOUT;
        let read = router
            .with_deadline(
                Some(idle_deadline),
                read_request(&stream, &mut input, &mut request),
            )
            .await;
        if read != Some(true) {
            return;
        }
        let answer = receive(fleet, &request);
        request.release_body();
        let is_last = answer.status != 200;
        let bytes = http::encode_response(answer.status, "", &answer.body, is_last);
        let write_deadline = router.clock.now() + CALL_TIMEOUT;
        let written = router
            .with_deadline(Some(write_deadline), write_all(&stream, &bytes))
            .await;
        if !matches!(written, Some(Ok(()))) || is_last {
            return;
        }
    }
}

/// The answer to a request of a peer.
struct PeerAnswer {
    status: u16,
    body: String,
}

impl PeerAnswer {
    fn rejected(error: &BatchError) -> PeerAnswer {
        PeerAnswer {
            status: 409,
            body: error.to_string(),
        }
    }
}

/// Decodes the batch in a request, queues it and returns the answer.
fn receive(fleet: &Fleet, request: &Reader) -> PeerAnswer {
    if request.method() != "POST" || request.path() != PATH {
        return PeerAnswer {
            status: 404,
            body: format!("the peer listener accepts only POST {PATH}"),
        };
    }
    match PeerBatch::decode(request.body(), fleet.id, &fleet.me) {
        Ok(batch) => {
            fleet.count_received(request.body().len());
            fleet.receive(batch);
            PeerAnswer {
                status: 200,
                body: String::new(),
            }
        }
        Err(error) => {
            tracing::debug!(%error, "fleet: batch rejected");
            PeerAnswer::rejected(&error)
        }
    }
}

/// Reads one request. Returns false if the connection has ended, or if the received bytes are not a valid request.
async fn read_request(stream: &Async<TcpStream>, input: &mut Ring, request: &mut Reader) -> bool {
    use std::io::{ErrorKind, Read};
    loop {
        match request.read(input) {
            Ok(true) => return true,
            Ok(false) => {}
            Err(_) => return false,
        }
        if stream.readable().await.is_err() {
            return false;
        }
        match stream.get_ref().read(input.free()) {
            Ok(0) => return false,
            Ok(count) => input.commit(count),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            Err(_) => return false,
        }
    }
}
