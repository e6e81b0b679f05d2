//! The life of one client connection: it waits for a request, reads it, has it admitted, waits for its answer, writes that,
//! and begins again, until the connection ends.
//!
//! The listener and a hot restart start one task for each connection here. The steps themselves are in `request_reader.rs`
//! (waiting and reading), `admission.rs` (what becomes of a request), `answer_wait.rs` and `answer_writer.rs`;
//! `graceful_close.rs` ends a connection whose client may still be reading.

use std::fmt;
use std::net::TcpStream;
use std::rc::Rc;

use async_io::Async;
use ternpick::types::Micros;
use ternpick_wire::http::Reader;

use crate::router::Router;
use crate::stages::admission::{self, Admitted};
use crate::stages::client_io::ClientIo;
use crate::stages::request_reader::ReadFailure;
use crate::stages::stream::Stream;
use crate::stages::{dispatch, graceful_close, query_request};
use crate::state::client_transfer::TransferredClient;
use crate::state::clients::Answer;
use crate::state::descriptors::{DescriptorPermit, Peer};

/// Why a client connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionEnd {
    /// It goes on in another process, by a hot restart; one with TLS is closed, as its TLS state cannot go.
    Migrated,
    /// It was idle and its descriptor or memory was wanted, or the process stops.
    ClosedWhileIdle,
    /// The client closed it between requests.
    ClientLeft,
    /// The client closed it before its request was complete.
    ClientLeftDuringRequest,
    /// The client closed it before anything was begun for its request.
    ClientLeftBeforeAdmission,
    /// The client closed it before its answer.
    ClientLeftBeforeAnswer,
    /// The answer that was written is the last one.
    LastAnswerWritten,
    /// The answer could not be written in full.
    AnswerNotWritten,
    /// The answer is longer than its bound.
    AnswerTooLong,
}

impl fmt::Display for ConnectionEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ConnectionEnd::Migrated => "it goes to the new process",
            ConnectionEnd::ClosedWhileIdle => "closed while idle",
            ConnectionEnd::ClientLeft => "the client left",
            ConnectionEnd::ClientLeftDuringRequest => {
                "the client left before its request was complete"
            }
            ConnectionEnd::ClientLeftBeforeAdmission => {
                "the client left before its request was begun"
            }
            ConnectionEnd::ClientLeftBeforeAnswer => "the client left before its answer",
            ConnectionEnd::LastAnswerWritten => "its last answer is written",
            ConnectionEnd::AnswerNotWritten => "the answer could not be written",
            ConnectionEnd::AnswerTooLong => "an answer is longer than its bound",
        })
    }
}

/// Why a connection from another process cannot be taken over; it is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum AdoptError {
    /// Clients hold as many descriptors as they may.
    #[error("no descriptor is left")]
    NoDescriptor,
    /// The socket cannot be registered with the poller.
    #[error("it cannot be used")]
    Unusable,
}

/// One client connection. Its buffers and then its descriptor are given back, in the order of the fields, when its task ends.
pub(crate) struct ClientConnection {
    pub(super) router: Rc<Router>,
    pub(super) io: ClientIo,
    /// Reads the current request, and holds its head until the next one begins.
    pub(super) request: Reader,
    /// When the connection was accepted, until it has brought its first byte of a request.
    pub(super) awaiting_first_request: Option<Micros>,
    /// When the connection itself arrived, until its first request is awaited: that may have come with it.
    pub(super) arrived_at: Option<Micros>,
    /// Identifies the connection in the log.
    number: u64,
    opened_at: Micros,
    requests: u64,
    _permit: DescriptorPermit,
}

/// A connection that has no task yet.
pub(crate) struct NewConnection {
    /// The connection itself.
    pub(crate) stream: Stream,
    /// Its descriptor's.
    pub(crate) permit: DescriptorPermit,
    /// What has been received on it already.
    pub(crate) unread: Vec<u8>,
    /// No later than when it arrived; it may have waited to be accepted.
    pub(crate) arrived_at: Micros,
}

/// Starts the task of a connection.
pub(crate) fn spawn(router: &Rc<Router>, new: NewConnection) {
    let task = serve(Rc::clone(router), new);
    router.executor.spawn(task).detach();
}

/// Takes over a connection that another process has passed on, or this one had set aside at `set_aside_at`, with what its client
/// had sent by then.
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
async fn serve(router: Rc<Router>, new: NewConnection) {
    new.stream.set_nodelay();
    let Some(io) = ClientIo::new(new.stream, router.budget.share(), &new.unread) else {
        tracing::warn!("a client connection from another process has sent more than its bound");
        return;
    };
    let opened_at = router.clock.now();
    let mut connection = ClientConnection {
        number: router.clients.next_connection_number(),
        router,
        io,
        request: Reader::for_requests(),
        awaiting_first_request: Some(opened_at),
        arrived_at: Some(new.arrived_at),
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

    /// Whether the connection, between two requests, goes to a new process.
    fn goes_over(&self) -> bool {
        let began_at = self.router.client_transfer.began_at();
        began_at.is_some_and(|began_at| {
            ternpick_hot_restart::goes_over(began_at, self.io.sent_ahead_since())
        })
    }

    /// Reads and answers one request; an error is the connection's end.
    async fn serve_request(&mut self) -> Result<(), ConnectionEnd> {
        if self.goes_over() {
            return Err(ConnectionEnd::Migrated);
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
            Err(ReadFailure::Http(error)) => {
                let answer = admission::line(error.status(), &error.to_string());
                self.write_answer(answer, true).await
            }
        }
    }

    /// Has a complete request admitted, and waits for its answer. Its first byte was seen at `seen_at`, and had arrived at
    /// `began`.
    async fn answer_request(
        &mut self,
        seen_at: Micros,
        began: Micros,
    ) -> Result<Answer, ConnectionEnd> {
        let wait = self.wait_for_admission(began).await;
        self.requests += 1;
        self.io.restart_sent_ahead(began);
        tracing::debug!(
            client = self.number,
            request = self.requests,
            request_id = self.request.header("req-id").unwrap_or("-"),
            connection_age_ms = self.age_ms(),
            "request complete"
        );
        // The client of a request that was sent ahead, or waited to be accepted, may have left meanwhile: nothing is begun
        // for it. A client that asks for health alone may have shut its side of the connection and still listen.
        let client_there = self.io.is_client_there();
        self.io.note_sent_ahead(seen_at);
        if !client_there && !admission::is_health(&self.request) {
            return Err(ConnectionEnd::ClientLeftBeforeAdmission);
        }
        let certificate = self.io.stream.certificate();
        let admitted = admission::admit(&self.router, &self.request, began, certificate);
        self.io.account_memory(self.request.body().len());
        self.request.release_body();
        match admitted {
            Admitted::Answer(answer) => {
                let request_id = query_request::request_id(&self.request).unwrap_or("-");
                wait.log_rejection(&self.router, request_id, &answer);
                Ok(answer)
            }
            Admitted::InFlight(query, reply) => match self.wait_for_answer(&reply).await {
                Some(answer) => Ok(answer),
                None => {
                    dispatch::client_left(&self.router, query);
                    Err(ConnectionEnd::ClientLeftBeforeAnswer)
                }
            },
        }
    }

    /// Ends the connection: passed on to the new process, closed at once where the client is gone, else gracefully.
    async fn finish(mut self, end: ConnectionEnd) {
        if end == ConnectionEnd::Migrated && self.io.stream.can_be_passed() {
            self.pass_to_new_process();
        } else if self.io.is_client_gone() {
            self.io.stream.finish();
        } else {
            graceful_close::close(&self.router, &mut self.io).await;
        }
    }

    /// The connection goes on in the new process, with what has been read of its next request.
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
