//! Accepts connections of clients: the accept loop, its failures, and what happens to the backlog when the listener closes.
//!
//! Started once for each listening socket by `lifecycle/start.rs`. Each accepted connection becomes a task in
//! `client_connection.rs`; this file reads nothing from it.

use std::io::ErrorKind;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use event_listener::EventListener;
use futures_lite::future;
use ternpick::io_errors::{self, AcceptFailures};
use ternpick::types::Micros;

use crate::lifecycle::tls::Tls;
use crate::router::Router;
use crate::stages::client_connection::{self, NewConnection};
use crate::stages::stream::Stream;
use crate::state::descriptors::{DescriptorPermit, Peer};
use crate::state::wake_time::WakeTime;

pub(crate) use crate::stages::client_connection::adopt;

/// How long a connection that is asked to close may take to free its descriptor before another one is asked.
const CLOSE_ANOTHER_AFTER: Duration = Duration::from_millis(5);

/// Accepts connections until the router closes the listener, and then those that still wait in the backlog.
pub(crate) async fn accept(
    router: Rc<Router>,
    listener: Rc<Async<TcpListener>>,
    tls: Option<Rc<Tls>>,
) {
    let closing = router.listener.closing();
    let mut acceptor = Acceptor {
        waiting_since: router.clock.now(),
        router,
        listener,
        tls,
        connection_arrived: WakeTime::default(),
        failures: AcceptFailures::default(),
    };
    future::or(acceptor.accept_connections(), closing).await;
    acceptor.accept_backlog().await;
    acceptor.shut_down();
}

/// One listening socket, and how accepting on it goes.
struct Acceptor {
    router: Rc<Router>,
    listener: Rc<Async<TcpListener>>,
    tls: Option<Rc<Tls>>,
    failures: AcceptFailures,
    /// Notes when the first connection arrived in an empty backlog.
    connection_arrived: WakeTime,
    /// What is in the backlog has arrived since then.
    waiting_since: Micros,
}

impl Acceptor {
    /// Accepts whenever this process is the one that accepts; ends only by being dropped.
    async fn accept_connections(&mut self) {
        loop {
            let changed = self.router.listener.accepting_changed();
            if !self.router.listener.is_accepting() {
                changed.await;
                self.waiting_since = self.router.clock.now();
                continue;
            }
            let permit = self.wait_for_permit().await;
            match self.accept_unless(changed).await {
                None => {}
                Some(Ok(stream)) => self.start_connection(stream, permit),
                Some(Err(error)) => self.back_off(&error).await,
            }
        }
    }

    /// The next connection; none if there may be one, and once this process may have ceased to accept: what waits in the
    /// listener is the other process's from then on.
    async fn accept_unless(
        &mut self,
        changed: EventListener,
    ) -> Option<std::io::Result<Async<TcpStream>>> {
        let ceased = async {
            changed.await;
            None
        };
        let accept = self.connection_arrived.watch(self.listener.accept());
        let accepted = async { Some(accept.await?.map(|(stream, _)| stream)) };
        let event = future::or(ceased, accepted).await;
        self.note_arrival();
        event
    }

    /// A wait for a connection has ended: what is accepted up to the next wait has arrived since it was woken.
    fn note_arrival(&mut self) {
        if let Some(instant) = self.connection_arrived.take() {
            self.waiting_since = self.router.clock.time_of(instant);
        }
    }

    /// A descriptor for the next connection.
    async fn wait_for_permit(&mut self) -> DescriptorPermit {
        if let Some(permit) = self.router.descriptors.take(Peer::Client) {
            return permit;
        }
        let permit = wait_for_permit(&self.router).await;
        // For how long a connection has waited is not known then.
        self.waiting_since = self.router.clock.now();
        permit
    }

    /// Accepts what waits in the backlog of a listener that is about to close.
    async fn accept_backlog(&mut self) {
        self.waiting_since = self.router.clock.arrival(self.connection_arrived.take());
        while self.router.listener.is_accepting() {
            let Some(permit) = self.router.descriptors.take(Peer::Client) else {
                return;
            };
            match self.listener.get_ref().accept() {
                Ok((stream, _)) => match Async::new(stream) {
                    Ok(stream) => self.start_connection(stream, permit),
                    Err(error) => {
                        self.failures.reset();
                        tracing::warn!(%error, "cannot accept a client connection, it cannot be polled");
                    }
                },
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // Abandoned at the first failure, the connections behind it were reset with their requests.
                Err(error) => {
                    self.back_off(&error).await;
                    if self.failures.is_persistent() {
                        return;
                    }
                }
            }
        }
    }

    /// Shuts the listener down, unless another process accepts on it.
    ///
    /// The control socket holds the listener too, to pass it on: while this process answers the requests that it has taken,
    /// the system would go on accepting connections that nobody serves.
    fn shut_down(&self) {
        if !self.router.listener.is_accepting() {
            return;
        }
        let listener = self.listener.get_ref();
        if let Err(error) = rustix::net::shutdown(listener, rustix::net::Shutdown::Both) {
            tracing::debug!(%error, "cannot shut down the listener");
        }
    }

    fn start_connection(&mut self, stream: Async<TcpStream>, permit: DescriptorPermit) {
        self.failures.reset();
        let stream = match &self.tls {
            None => Stream::Plain(stream),
            Some(tls) => match Stream::secure(stream, tls) {
                Ok(stream) => stream,
                Err(error) => {
                    tracing::warn!(%error, "cannot start TLS on a client connection");
                    return;
                }
            },
        };
        let new = NewConnection {
            stream,
            permit,
            unread: Vec::new(),
            arrived_at: self.waiting_since,
        };
        client_connection::spawn(&self.router, new);
    }

    /// Logs a failed accept, at most once in a while, and pauses as long as its kind asks for. Without a pause other tasks
    /// still get their turn: a failure that repeats at once must not starve them.
    async fn back_off(&mut self, error: &std::io::Error) {
        let errno = error.raw_os_error().unwrap_or(0);
        let (pause, unreported) = self.failures.record(errno, self.router.clock.now());
        if let Some(count) = unreported {
            let owner = io_errors::accept_failure_owner(errno);
            tracing::warn!(%error, ?owner, count, "cannot accept a client connection");
        }
        if pause == Micros(0) {
            future::yield_now().await;
        } else {
            Timer::after(Duration::from_micros(pause.0)).await;
        }
    }
}

/// Waits for a descriptor for a client. Meanwhile the connection that has been idle longest is asked to close, else the one
/// whose request has been arriving longest: clients that send nothing, or half a request, must not shut others out.
async fn wait_for_permit(router: &Router) -> DescriptorPermit {
    loop {
        let freed = router.descriptors.freed();
        if let Some(permit) = router.descriptors.take(Peer::Client) {
            return permit;
        }
        router.clients.close_oldest();
        // A connection that is asked to close just as its request becomes complete is served, and frees nothing: then
        // another one is asked.
        let ask_another = async {
            Timer::after(CLOSE_ANOTHER_AFTER).await;
        };
        future::or(freed, ask_another).await;
    }
}
