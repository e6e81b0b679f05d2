//! Reads the requests of a client connection: waits for the first byte, then reads until the request is complete.
//!
//! A connection that waits here has no request in flight, and may be asked to close when descriptors or memory run out
//! (`state/clients.rs`). `ternpick_wire::http` parses the requests.

use event_listener::EventListener;
use futures_lite::future;
use ternpick::types::Micros;
use ternpick_wire::http::HttpError;

use crate::stages::client_connection::{ClientConnection, ConnectionEnd};
use crate::stages::client_io::{ClientGone, Received};
use crate::state::clients::ClientState;

/// The time limit for a request to be complete. It counts from the accept of the connection for the first request,
/// and from the first byte for later ones. An incomplete request then gets an error; a connection that has sent
/// nothing is closed.
const REQUEST_TIMEOUT: Micros = Micros(2_500_000);

/// The maximum number of reads of one request before other tasks run. The longest body arrives in as many reads into a
/// new buffer.
const READS_IN_A_ROW: usize = 64;

/// Why no request could be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadFailure {
    /// The client has disconnected, so no answer can be sent.
    ClientGone,
    /// The request is unusable, too slow, or has to make room for others; the client gets an error answer.
    Http(HttpError),
}

impl From<ClientGone> for ReadFailure {
    fn from(_: ClientGone) -> Self {
        ReadFailure::ClientGone
    }
}

impl ClientConnection {
    /// Waits for the first byte of a request, and returns the time at which it arrived.
    ///
    /// The byte may have arrived well before it is read, if the router's thread was blocked. When the deadline
    /// counted from the read, it was later than the client's deadline, and nodes were sent more time than was left.
    pub(super) async fn wait_for_first_byte(&mut self) -> Result<Micros, ConnectionEnd> {
        // A connection that has sent nothing yet is treated like an incomplete request, by the age of the connection.
        let (state, since) = match self.awaiting_first_request {
            Some(accepted_at) => (ClientState::New, accepted_at),
            None => (ClientState::Idle, self.router.clock.now()),
        };
        let registration = self.router.clients.register(since, state);
        let mut close_requested = registration.close_requested.listen();
        let idle_limit = self.router.descriptors.idle_client_limit();
        self.router.clients.limit_idle(idle_limit);
        // Bytes that are available at once may have arrived as early as the connection.
        let mut arrived_at = self.connection_arrived_at.take();
        loop {
            let transfer_changed = self.router.client_transfer.active_changed();
            if self.router.client_transfer.is_active() {
                return Err(ConnectionEnd::Migrated);
            }
            if let Some(at) = arrived_at.take() {
                self.wait_for_handshake_turn().await;
                match self.io.receive() {
                    Ok(Received::Bytes) => return Ok(at),
                    Ok(Received::Nothing) => {}
                    Err(ClientGone) => return Err(self.idle_end()),
                }
            }
            let stays_open = self
                .wait_while_idle(transfer_changed, &mut close_requested)
                .await;
            if self.router.client_transfer.is_active() && self.io.stream.can_be_passed() {
                // The new process reads the bytes that have arrived.
                return Err(ConnectionEnd::Migrated);
            }
            self.wait_for_handshake_turn().await;
            // A request that arrived during the wait is still served; a wake-up without bytes starts none.
            match self.io.receive() {
                Ok(Received::Bytes) => {
                    let noted = self.io.take_readable_since();
                    return Ok(self.router.clock.arrival(noted));
                }
                Ok(Received::Nothing) if stays_open => {}
                _ => return Err(self.idle_end()),
            }
        }
    }

    /// Waits for a turn if the next read may take a step of a TLS handshake.
    async fn wait_for_handshake_turn(&self) {
        if self.io.stream.is_handshaking() {
            self.router.client_turns.wait().await;
        }
    }

    /// Waits for an event on an idle connection; returns false if the connection is to close.
    async fn wait_while_idle(
        &mut self,
        transfer_changed: EventListener,
        close_requested: &mut EventListener,
    ) -> bool {
        // During a shutdown, a connection without any request yet is asked to close at a time that depends on its
        // accept.
        if self.awaiting_first_request.is_none() && self.router.listener.is_closed() {
            return false;
        }
        let io = &mut self.io;
        let readable = async { io.readable().await.is_ok() };
        let asked_to_close = async {
            close_requested.await;
            false
        };
        let transfer = async {
            transfer_changed.await;
            true
        };
        let event = future::or(readable, future::or(asked_to_close, transfer));
        let silent_until = self
            .awaiting_first_request
            .map(|accepted_at| accepted_at + REQUEST_TIMEOUT);
        self.router
            .with_deadline(silent_until, event)
            .await
            .unwrap_or(false)
    }

    fn idle_end(&self) -> ConnectionEnd {
        if self.io.is_client_gone() {
            ConnectionEnd::ClientLeft
        } else {
            ConnectionEnd::ClosedWhileIdle
        }
    }

    /// Reads until a request is complete, within the time limit for a request, which starts at `awaited_since`.
    pub(super) async fn read_request(&mut self, awaited_since: Micros) -> Result<(), ReadFailure> {
        let router = self.router.clone();
        let limit = router
            .bounds
            .longest_deadline
            .map_or(REQUEST_TIMEOUT, |longest| longest.min(REQUEST_TIMEOUT));
        let read = self.read_until_complete(awaited_since);
        router
            .with_peer_deadline(Some(awaited_since + limit), read)
            .await
            .unwrap_or(Err(ReadFailure::Http(HttpError::TooSlow)))
    }

    async fn read_until_complete(&mut self, awaited_since: Micros) -> Result<(), ReadFailure> {
        let registration = self
            .router
            .clients
            .register(awaited_since, ClientState::Partial);
        let mut close_requested = registration.close_requested.listen();
        loop {
            if self.read_available()? {
                return Ok(());
            }
            registration.set_held_bytes(self.io.account_memory(self.request.memory_bytes()));
            self.router.close_largest_if_over_budget();
            let stream = &mut self.io.stream;
            let readable = async { stream.readable().await.map_err(|_| ReadFailure::ClientGone) };
            let asked_to_close = async {
                (&mut close_requested).await;
                Err(ReadFailure::Http(HttpError::NoRoom))
            };
            future::or(asked_to_close, readable).await?;
        }
    }

    /// Reads bytes that have arrived, up to a bound, and parses all that it has read: no further bytes may arrive, so
    /// that the caller would wait in vain for what it has already. Returns whether the request is complete.
    fn read_available(&mut self) -> Result<bool, ReadFailure> {
        for _ in 0..READS_IN_A_ROW {
            if self.parse()? {
                return Ok(true);
            }
            if self.io.receive()? == Received::Nothing {
                return Ok(false);
            }
        }
        self.parse()
    }

    /// Parses the bytes in the input buffer. Returns whether the request is complete.
    fn parse(&mut self) -> Result<bool, ReadFailure> {
        self.request
            .read(&mut self.io.input)
            .map_err(ReadFailure::Http)
    }
}
