//! The task of one client connection: waits for a request, reads it, has it admitted, waits for its answer, writes
//! the answer, and repeats until the connection ends.
//!
//! The listener and a hot restart start one task for each connection here. The steps themselves are in
//! `request_reader.rs` (waiting and reading), `admission.rs`, `answer_wait.rs` and `answer_writer.rs`;
//! `graceful_close.rs` closes a connection whose client may still be reading.

use std::fmt;
use std::net::TcpStream;
use std::rc::Rc;

use async_io::Async;
use futures_lite::future;
use ternpick::types::Micros;
use ternpick_wire::http::{HttpError, Reader};

use crate::router::Router;
use crate::stages::admission::{self, AdmissionOutcome};
use crate::stages::client_io::{ClientIo, Presence};
use crate::stages::request_reader::ReadFailure;
use crate::stages::stream::Stream;
use crate::stages::{dispatch, graceful_close, query_request};
use crate::state::client_transfer::TransferredClient;
use crate::state::clients::{Answer, ClientState};
use crate::state::descriptors::{DescriptorPermit, Peer};
use crate::state::turns::Stage;

/// The answer to a query whose client has sent more behind it than the input buffer holds. The query is not started,
/// because the client may have disconnected.
const TOO_MUCH_SENT_AHEAD: &str = "more requests sent ahead than the connection holds";

/// Why a client connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionEnd {
    /// A hot restart passes the connection to another process. A TLS connection is closed, because its TLS state
    /// cannot be passed.
    Migrated,
    /// The connection was idle, and its descriptor or memory was needed or the process stops.
    ClosedWhileIdle,
    /// The client closed the connection between requests.
    ClientLeft,
    /// The client closed the connection before its request was complete.
    ClientLeftDuringRequest,
    /// The client closed the connection before its request was admitted.
    ClientLeftBeforeAdmission,
    /// The client closed the connection before its query was answered.
    ClientLeftBeforeAnswer,
    /// The last answer on the connection has been written.
    LastAnswerWritten,
    /// The answer could not be written in full.
    AnswerNotWritten,
}

impl fmt::Display for ConnectionEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ConnectionEnd::Migrated => "passed to the new process",
            ConnectionEnd::ClosedWhileIdle => "closed while idle",
            ConnectionEnd::ClientLeft => "the client closed the connection",
            ConnectionEnd::ClientLeftDuringRequest => {
                "the client closed the connection before its request was complete"
            }
            ConnectionEnd::ClientLeftBeforeAdmission => {
                "the client closed the connection before its request was admitted"
            }
            ConnectionEnd::ClientLeftBeforeAnswer => {
                "the client closed the connection before its query was answered"
            }
            ConnectionEnd::LastAnswerWritten => "the last answer was written",
            ConnectionEnd::AnswerNotWritten => "the answer could not be written",
        })
    }
}

/// Why a connection from another process cannot be adopted; the connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum AdoptError {
    /// Client connections hold as many descriptors as they may.
    #[error("client connections hold all their descriptors")]
    NoDescriptor,
    /// The socket cannot be registered with the poller.
    #[error("the socket cannot be registered with the poller")]
    Unusable,
}

/// One client connection. When its task ends, the fields are dropped in order: first the buffers, then the
/// descriptor's permit.
pub(crate) struct ClientConnection {
    pub(super) router: Rc<Router>,
    pub(super) io: ClientIo,
    /// Parses the current request, and keeps its head until the next request begins.
    pub(super) request: Reader,
    /// When the connection was accepted; `None` once the first byte of a request has arrived.
    pub(super) awaiting_first_request: Option<Micros>,
    /// When the connection arrived; `None` after the first check for bytes, which may have arrived with the connection.
    pub(super) connection_arrived_at: Option<Micros>,
    /// Identifies the connection in the log.
    number: u64,
    opened_at: Micros,
    requests: u64,
    _permit: DescriptorPermit,
}

/// A connection for which no task has been started yet.
pub(crate) struct NewConnection {
    /// The stream of the connection.
    pub(crate) stream: Stream,
    /// The permit for the connection's descriptor.
    pub(crate) permit: DescriptorPermit,
    /// The bytes that have been received already.
    pub(crate) unread: Vec<u8>,
    /// A lower bound of the arrival time: the connection may have waited in the backlog before it was accepted.
    pub(crate) arrived_at: Micros,
}

/// Starts the task of a connection.
pub(crate) fn spawn(router: &Rc<Router>, new: NewConnection) {
    let number = router.clients.next_connection_number();
    let task = serve(Rc::clone(router), number, new);
    router.spawn(Stage::Client, number, task).detach();
}

/// Starts a task for a connection that another process has passed on, or that this process set aside for a transfer.
/// `unread` are the bytes that the client had sent by `set_aside_at`.
pub(crate) fn adopt(
    router: &Rc<Router>,
    socket: TcpStream,
    unread: &[u8],
    set_aside_at: Micros,
) -> Result<(), AdoptError> {
    let permit = router
        .descriptors
        .take(Peer::Client)
        .ok_or(AdoptError::NoDescriptor)?;
    let stream = Async::new(socket).map_err(|_| AdoptError::Unusable)?;
    let new = NewConnection {
        stream: Stream::Plain(stream),
        permit,
        unread: unread.to_vec(),
        arrived_at: set_aside_at,
    };
    spawn(router, new);
    Ok(())
}

/// Serves one connection from its first request to its end.
async fn serve(router: Rc<Router>, number: u64, new: NewConnection) {
    new.stream.set_nodelay();
    let Some(io) = ClientIo::new(new.stream, router.budget.share(), &new.unread) else {
        tracing::warn!("unread bytes of an adopted client connection do not fit the input buffer");
        return;
    };
    let opened_at = router.clock.now();
    let mut connection = ClientConnection {
        number,
        router,
        io,
        request: Reader::for_requests(),
        awaiting_first_request: Some(opened_at),
        connection_arrived_at: Some(new.arrived_at),
        opened_at,
        requests: 0,
        _permit: new.permit,
    };
    tracing::debug!(client = connection.number, "client connection accepted");
    let end = loop {
        if let Err(end) = connection.serve_request().await {
            break end;
        }
    };
    tracing::debug!(
        client = connection.number,
        reason = %end,
        requests = connection.requests,
        age_ms = connection.age_ms(),
        "client connection ends"
    );
    connection.finish(end).await;
}

impl ClientConnection {
    /// Identifies the connection in the log.
    pub(super) fn number(&self) -> u64 {
        self.number
    }

    fn age_ms(&self) -> u64 {
        self.router.clock.now().since(self.opened_at).0 / 1000
    }

    /// Whether the connection, which is between two requests, is to be passed to a new process.
    fn must_migrate(&self) -> bool {
        let began_at = self.router.client_transfer.began_at();
        began_at.is_some_and(|began_at| {
            ternpick_hot_restart::should_migrate(began_at, self.io.sent_ahead_since())
        })
    }

    /// Reads and answers one request. The error is the reason why the connection ends.
    async fn serve_request(&mut self) -> Result<(), ConnectionEnd> {
        let turn = self.wait_for_turn().await;
        if self.must_migrate() {
            return Err(ConnectionEnd::Migrated);
        }
        if let Err(error) = turn {
            return self.write_error(error).await;
        }
        let sent_ahead_at = self.io.take_sent_ahead();
        let seen_at = if self.io.input.is_empty() {
            self.wait_for_first_byte().await?
        } else {
            self.router.clock.now()
        };
        let awaited_since = self.awaiting_first_request.take().unwrap_or(seen_at);
        match self.read_request(awaited_since).await {
            Ok(()) => {
                let answer = self
                    .answer_request(seen_at, sent_ahead_at.unwrap_or(seen_at))
                    .await?;
                let client_closes = self.request.closes_connection();
                self.write_answer(answer, client_closes).await
            }
            Err(ReadFailure::ClientGone) => Err(ConnectionEnd::ClientLeftDuringRequest),
            Err(ReadFailure::Http(error)) => self.write_error(error).await,
        }
    }

    /// Waits for a turn if a request was sent ahead. Fails if the connection has to make room for others.
    async fn wait_for_turn(&mut self) -> Result<(), HttpError> {
        if self.io.input.is_empty() {
            return Ok(());
        }
        let held_bytes = self.io.account_memory(self.request.body().len());
        let router = &self.router;
        let registration = router
            .clients
            .register(router.clock.now(), ClientState::SentAhead);
        let close_requested = registration.close_requested.listen();
        router.limit_held_bytes(&registration, held_bytes);
        let asked_to_close = async {
            close_requested.await;
            Err(HttpError::NoRoom)
        };
        let turn = async {
            router.client_turns.wait().await;
            Ok(())
        };
        future::or(asked_to_close, turn).await
    }

    /// Finds out whether the client is still connected. It is not known if the connection has to make room for others
    /// before all that the client has sent is read.
    async fn find_presence(&mut self) -> Presence {
        loop {
            if let Some(presence) = self.io.presence() {
                return presence;
            }
            if self.wait_for_turn().await.is_err() {
                self.io.discard_sent_ahead();
                return Presence::Unknown;
            }
        }
    }

    /// Answers with an error, and ends the connection.
    async fn write_error(&mut self, error: HttpError) -> Result<(), ConnectionEnd> {
        let answer = admission::text_answer(error.status(), &error.to_string());
        self.write_answer(answer, true).await
    }

    /// Has a complete request admitted, and waits for its answer. The router saw its first byte at `seen_at`; that
    /// byte had arrived at `request_arrived_at`.
    async fn answer_request(
        &mut self,
        seen_at: Micros,
        request_arrived_at: Micros,
    ) -> Result<Answer, ConnectionEnd> {
        let wait = self.wait_for_admission(request_arrived_at).await;
        self.requests += 1;
        self.io.restart_sent_ahead(request_arrived_at);
        tracing::debug!(
            client = self.number,
            request = self.requests,
            request_id = self.request.header("req-id").unwrap_or("-"),
            connection_age_ms = self.age_ms(),
            "request complete"
        );
        // The client of a request that was sent ahead, or waited in the backlog, may have disconnected since: its
        // query is not started. The client of a health check may have shut its sending side and still wait for the
        // answer.
        let presence = self.find_presence().await;
        self.io.note_sent_ahead(seen_at);
        match presence {
            _ if admission::is_health(&self.request) => {}
            Presence::Connected => {}
            Presence::Gone => return Err(ConnectionEnd::ClientLeftBeforeAdmission),
            // To read on until the end would let one connection take up the router's time.
            Presence::Unknown => return Ok(admission::text_answer(503, TOO_MUCH_SENT_AHEAD)),
        }
        let certificate = self.io.stream.certificate();
        let admitted =
            admission::admit(&self.router, &self.request, request_arrived_at, certificate);
        self.io.account_memory(self.request.body().len());
        self.request.release_body();
        match admitted {
            AdmissionOutcome::Answer(answer) => {
                let request_id = query_request::request_id(&self.request).unwrap_or("-");
                wait.log_rejection(&self.router, request_id, &answer);
                Ok(answer)
            }
            AdmissionOutcome::InFlight(query, reply) => match self.wait_for_answer(&reply).await {
                Some(answer) => Ok(answer),
                None => {
                    dispatch::client_left(&self.router, query);
                    Err(ConnectionEnd::ClientLeftBeforeAnswer)
                }
            },
        }
    }

    /// Ends the connection: passes it to the new process, closes it at once if the client is gone, or closes it
    /// gracefully.
    async fn finish(mut self, end: ConnectionEnd) {
        if end == ConnectionEnd::Migrated && self.io.stream.can_be_passed() {
            self.pass_to_new_process();
        } else if self.io.is_client_gone() {
            self.io.stream.shut_down_write();
        } else {
            graceful_close::close(&self.router, &mut self.io).await;
        }
    }

    /// Queues the connection for transfer to the new process, with the bytes read of its next request.
    fn pass_to_new_process(self) {
        let unread = self.io.input.to_vec();
        let Stream::Plain(socket) = self.io.stream else {
            return;
        };
        if let Ok(socket) = socket.into_inner() {
            self.router.client_transfer.push(TransferredClient {
                socket,
                unread,
                set_aside_at: self.router.clock.now(),
            });
        }
    }
}
