//! Reads the requests of a client connection: the wait for the first byte, and from there to a complete request.
//!
//! While a connection waits here it has no request in flight, and is one of those that are asked to close when descriptors or
//! memory run out (`state/clients.rs`). Parsing is `ternpick_wire::http`'s.

use event_listener::EventListener;
use futures_lite::future;
use ternpick::types::Micros;
use ternpick_wire::http::HttpError;

use crate::stages::client_connection::{ClientConnection, ConnectionEnd};
use crate::stages::client_io::{ClientGone, Received};
use crate::state::clients::ClientState;

/// A request that is not complete so long after its connection was accepted, or after its first byte on a connection that has
/// had requests before, gets an error; a connection that has sent nothing by then is closed.
const REQUEST_TIMEOUT: Micros = Micros(2_500_000);

/// Why no request could be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadFailure {
    /// Nobody is left to answer.
    ClientGone,
    /// The request cannot be used, or has to make room for others; the client is told.
    Http(HttpError),
}

impl From<ClientGone> for ReadFailure {
    fn from(_: ClientGone) -> Self {
        ReadFailure::ClientGone
    }
}

impl ClientConnection {
    /// Waits for the first byte of a request, and returns when it arrived.
    ///
    /// That may be well before it is read, if something holds the router up meanwhile. Counted from when it was read, its
    /// deadline was longer than its client's, and nodes were told more time than was left.
    pub(super) async fn wait_for_first_byte(&mut self) -> Result<Micros, ConnectionEnd> {
        // A connection that has sent nothing yet counts with the requests that are not complete, by its age.
        let (state, since) = match self.awaiting_first_request {
            Some(accepted_at) => (ClientState::New, accepted_at),
            None => (ClientState::Idle, self.router.clock.now()),
        };
        let place = self.router.clients.register(since, state);
        let mut close_wanted = place.close_requested.listen();
        let idle_limit = self.router.descriptors.idle_client_limit();
        self.router.clients.limit_idle(idle_limit);
        // What comes with the connection may have arrived as early as the connection.
        let mut arrived_at = self.arrived_at.take();
        loop {
            let transfer_changed = self.router.client_transfer.active_changed();
            if self.router.client_transfer.is_active() {
                return Err(ConnectionEnd::Migrated);
            }
            if let Some(at) = arrived_at.take() {
                match self.io.receive() {
                    Ok(Received::Bytes) => return Ok(at),
                    Ok(Received::Nothing) => {}
                    Err(ClientGone) => return Err(self.idle_end()),
                }
            }
            let stays_open = self
                .wait_while_idle(transfer_changed, &mut close_wanted)
                .await;
            if self.router.client_transfer.is_active() && self.io.stream.can_be_passed() {
                // What has arrived is read by the new process.
                return Err(ConnectionEnd::Migrated);
            }
            // A request that has arrived meanwhile is still served; a wake-up without bytes begins none.
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

    /// Waits until something happens to an idle connection; false if it is to close.
    async fn wait_while_idle(
        &mut self,
        transfer_changed: EventListener,
        close_wanted: &mut EventListener,
    ) -> bool {
        // During a shutdown, a connection that has had no request yet is asked to close at a time of its own.
        if self.awaiting_first_request.is_none() && self.router.listener.is_closed() {
            return false;
        }
        let io = &mut self.io;
        let readable = async { io.readable().await.is_ok() };
        let asked_to_close = async {
            close_wanted.await;
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

    /// Reads until a request is complete, within the time that a request may take from `awaited_since` on.
    pub(super) async fn read_request(&mut self, awaited_since: Micros) -> Result<(), ReadFailure> {
        let router = self.router.clone();
        let limit = router
            .bounds
            .longest_deadline
            .map_or(REQUEST_TIMEOUT, |longest| longest.min(REQUEST_TIMEOUT));
        let read = self.read_until_complete(awaited_since);
        router
            .with_deadline(Some(awaited_since + limit), read)
            .await
            .unwrap_or(Err(ReadFailure::Http(HttpError::TooSlow)))
    }

    async fn read_until_complete(&mut self, awaited_since: Micros) -> Result<(), ReadFailure> {
        let place = self
            .router
            .clients
            .register(awaited_since, ClientState::Partial);
        let mut close_wanted = place.close_requested.listen();
        loop {
            let complete = self
                .request
                .read(&mut self.io.input)
                .map_err(ReadFailure::Http)?;
            if complete {
                return Ok(());
            }
            place.set_held_bytes(self.io.account_memory(self.request.memory_bytes()));
            if self.router.budget.is_over() {
                self.router.clients.close_largest();
            }
            let stream = &mut self.io.stream;
            let readable = async { stream.readable().await.map_err(|_| ReadFailure::ClientGone) };
            let asked_to_close = async {
                (&mut close_wanted).await;
                Err(ReadFailure::Http(HttpError::NoRoom))
            };
            future::or(asked_to_close, readable).await?;
            self.io.receive()?;
        }
    }
}
