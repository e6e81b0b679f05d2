//! Accepts client connections: the accept loop, the handling of its failures, and the backlog of a closing listener.
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
use crate::state::descriptors::{DescriptorPermit, Peer, RESERVED_DESCRIPTORS};
use crate::state::wake_time::WakeTime;

pub(crate) use crate::stages::client_connection::adopt;

/// How long a connection that is asked to close may take to free its descriptor before another connection is asked.
const CLOSE_ANOTHER_AFTER: Duration = Duration::from_millis(5);
/// The number of connections that are asked to close at a time.
const CLOSED_AT_ONCE: usize = 16;
/// The maximum number of connections that are accepted in a row before other tasks run.
const ACCEPTS_IN_A_ROW: usize = 16;

/// Accepts connections until the router closes the listener, then accepts those that still wait in the backlog.
pub(crate) async fn accept(
    router: Rc<Router>,
    listener: Rc<Async<TcpListener>>,
    tls: Option<Rc<Tls>>,
) {
    let closing = router.listener.closing();
    let mut acceptor = Acceptor {
        backlog_arrived_since: router.clock.now(),
        router,
        listener,
        tls,
        connection_arrived: WakeTime::default(),
        failures: AcceptFailures::default(),
        accepted_in_a_row: 0,
    };
    future::or(acceptor.accept_connections(), closing).await;
    acceptor.accept_backlog().await;
    acceptor.shut_down();
}

/// The accept loop of one listening socket.
struct Acceptor {
    router: Rc<Router>,
    listener: Rc<Async<TcpListener>>,
    tls: Option<Rc<Tls>>,
    failures: AcceptFailures,
    /// The number of connections accepted since other tasks last ran.
    accepted_in_a_row: usize,
    /// Records when the first connection arrived in an empty backlog.
    connection_arrived: WakeTime,
    /// A lower bound of the arrival time of the connections in the backlog.
    backlog_arrived_since: Micros,
}

impl Acceptor {
    /// Accepts connections while this process is the accepting one; never returns.
    async fn accept_connections(&mut self) {
        loop {
            let changed = self.router.listener.accepting_changed();
            if !self.router.listener.is_accepting() {
                changed.await;
                self.backlog_arrived_since = self.router.clock.now();
                continue;
            }
            let permit = self.wait_for_permit().await;
            match self.accept_unless(changed).await {
                None => {}
                Some(Ok(stream)) => {
                    self.start_connection(stream, permit);
                    self.yield_after_some().await;
                }
                Some(Err(error)) => self.back_off(&error).await,
            }
        }
    }

    /// Lets other tasks run after [`ACCEPTS_IN_A_ROW`] connections. An accept does not wait while the backlog holds
    /// connections, so that clients that connect without end would keep all other tasks from running.
    async fn yield_after_some(&mut self) {
        self.accepted_in_a_row += 1;
        if self.accepted_in_a_row >= ACCEPTS_IN_A_ROW {
            self.accepted_in_a_row = 0;
            future::yield_now().await;
        }
    }

    /// Returns the next connection. Returns `None` after a wake-up without a ready result, and when this process may
    /// have stopped accepting, because the connections in the backlog then belong to the other process.
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

    /// Records when the last wait for a connection was woken: connections accepted until the next wait arrived after
    /// that.
    fn note_arrival(&mut self) {
        if let Some(instant) = self.connection_arrived.take() {
            self.backlog_arrived_since = self.router.clock.time_of(instant);
        }
    }

    /// Waits for a permit for the descriptor of the next connection.
    async fn wait_for_permit(&mut self) -> DescriptorPermit {
        if let Some(permit) = self.router.descriptors.take(Peer::Client) {
            return permit;
        }
        let permit = wait_for_freed_descriptor(&self.router).await;
        // How long a connection has waited in the backlog is unknown after this wait.
        self.backlog_arrived_since = self.router.clock.now();
        permit
    }

    /// Accepts the connections that wait in the backlog of a listener that is about to close. Their number is bounded,
    /// so that clients that connect without end do not delay the stop.
    async fn accept_backlog(&mut self) {
        self.backlog_arrived_since = self.router.clock.arrival(self.connection_arrived.take());
        // The backlog has room for as many connections as the process may hold descriptors.
        let mut left = self.router.descriptors.total() + RESERVED_DESCRIPTORS;
        while self.router.listener.is_accepting() && left > 0 {
            let Some(permit) = self.permit_for_backlog().await else {
                return;
            };
            let accepted = self.listener.get_ref().accept();
            // A failed accept leaves the backlog as it was.
            left -= usize::from(accepted.is_ok());
            match accepted {
                Ok((stream, _)) => match Async::new(stream) {
                    Ok(stream) => {
                        self.start_connection(stream, permit);
                        self.yield_after_some().await;
                    }
                    Err(error) => {
                        self.failures.reset();
                        tracing::warn!(
                            %error,
                            "cannot accept a client connection, the socket cannot be registered with the poller"
                        );
                    }
                },
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // Stopping at the first failure reset the connections behind it, with their requests.
                Err(error) => {
                    self.back_off(&error).await;
                    if self.failures.is_persistent() {
                        return;
                    }
                }
            }
        }
    }

    /// Waits for a permit for a connection in the backlog of a closing listener, for as long as its request could be
    /// answered. Connections that are left in the backlog are reset, with requests that clients have sent.
    async fn permit_for_backlog(&self) -> Option<DescriptorPermit> {
        if let Some(permit) = self.router.descriptors.take(Peer::Client) {
            return Some(permit);
        }
        let freed = wait_for_freed_descriptor(&self.router);
        let answers_by = self
            .router
            .before_shutdown(None, |schedule| schedule.answers_by);
        self.router.with_deadline(answers_by, freed).await
    }

    /// Shuts down the listener, unless another process accepts on it.
    ///
    /// The control socket also holds the listener, to pass it on. Without the shutdown, the kernel would keep
    /// completing connections that no process serves while this process answers its remaining requests.
    fn shut_down(&self) {
        let router = &self.router;
        if router.listener.is_accepting() && router.requests.may_shut_down_listeners() {
            shut_down(self.listener.get_ref());
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
            arrived_at: self.backlog_arrived_since,
        };
        client_connection::spawn(&self.router, new);
    }

    /// Logs a failed accept at a limited rate, and pauses for as long as the kind of failure requires. If no pause is
    /// required, yields to other tasks, so that a failure that repeats at once does not starve them.
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

/// Shuts down a listening socket for all processes that hold it.
pub(crate) fn shut_down(listener: &TcpListener) {
    if let Err(error) = rustix::net::shutdown(listener, rustix::net::Shutdown::Both) {
        tracing::debug!(%error, "cannot shut down the listener");
    }
}

/// Waits for a descriptor for a client. Until one is free, asks the connections to close that [`Clients`] selects, so
/// that clients that send nothing or half a request, or do not read, do not block others.
///
/// [`Clients`]: crate::state::clients::Clients
async fn wait_for_freed_descriptor(router: &Router) -> DescriptorPermit {
    let _waiting = router.descriptors.note_waiting_client();
    loop {
        let freed = router.descriptors.freed();
        if let Some(permit) = router.descriptors.take(Peer::Client) {
            return permit;
        }
        // Several at a time: clients that connect faster than single connections end would fill the backlog, in which
        // others wait.
        router.clients.close_oldest(CLOSED_AT_ONCE);
        // A connection that is asked to close just as its request becomes complete is served and frees no descriptor,
        // so another one is asked.
        let ask_another = async {
            Timer::after(CLOSE_ANOTHER_AFTER).await;
        };
        future::or(freed, ask_another).await;
    }
}
