//! Writes answers to clients, and decides whether a connection stays open after its answer.

use futures_lite::future;
use ternpick_wire::http;

use crate::stages::client_connection::{ClientConnection, ConnectionEnd};
use crate::stages::client_io::{ClientGone, Written};
use crate::state::clients::{Answer, ClientState};

/// The status of a query that may have run and has no answer.
const BAD_GATEWAY: u16 = 502;
/// The body of the failure that replaces an answer too long for the output buffer.
const ANSWER_TOO_LONG: &str = "failed: its answer is too long\n";

/// Whether this status reports a malformed request. The bytes after such a request may be misread as a request, so the
/// connection is closed.
fn is_malformed_request(status: u16) -> bool {
    match status {
        401 | 403 | 429 => false,
        400..=499 | 501 | 505 => true,
        _ => false,
    }
}

impl ClientConnection {
    /// Writes an answer. The error is the reason why the connection ends, also after an intended last answer.
    pub(super) async fn write_answer(
        &mut self,
        answer: Answer,
        client_closes: bool,
    ) -> Result<(), ConnectionEnd> {
        let (status, headers, body) = answer;
        let is_last = client_closes
            || is_malformed_request(status)
            || self.io.has_discarded_sent_ahead()
            || self.router.is_stopping();
        let body = if self.request.method() == "HEAD" {
            String::new()
        } else {
            body
        };
        let is_last = self.queue_answer(status, &headers, &body, is_last) || is_last;
        self.io.account_memory(0);
        let written = self.write_in_time().await;
        self.io.account_memory(0);
        tracing::debug!(client = self.number(), status, written, "answer sent");
        if !written {
            return Err(ConnectionEnd::AnswerNotWritten);
        }
        if is_last {
            return Err(ConnectionEnd::LastAnswerWritten);
        }
        Ok(())
    }

    /// Puts an answer into the output buffer. One that does not fit is replaced by a failure, because a client must not
    /// be left without an answer; returns whether the connection ends for it.
    fn queue_answer(&mut self, status: u16, headers: &str, body: &str, is_last: bool) -> bool {
        let bytes = http::encode_response(status, headers, body, is_last);
        if self.io.output.push(&bytes) {
            return false;
        }
        tracing::error!(
            bytes = bytes.len(),
            status,
            "answer does not fit the output buffer"
        );
        let failure = http::encode_response(BAD_GATEWAY, "", ANSWER_TOO_LONG, true);
        // The buffer is empty between answers, and has room for this one.
        let _ = self.io.output.push(&failure);
        true
    }

    /// Writes the output buffer; returns false if the client does not accept it in time. The time limit is the
    /// longest deadline of any client, and during a shutdown the exit of the process.
    async fn write_in_time(&mut self) -> bool {
        let written = match self.io.write_available() {
            Ok(Written::All) => true,
            Ok(Written::Partly) => self.write_unread_answer().await.is_ok(),
            Err(ClientGone) => false,
        };
        if !written {
            self.io.mark_client_gone();
        }
        written
    }

    /// Writes the rest of the output buffer to a client that does not read. The connection may be asked to close
    /// meanwhile: clients that send much and read nothing would hold all descriptors.
    async fn write_unread_answer(&mut self) -> Result<(), ClientGone> {
        let now = self.router.clock.now();
        let registration = self.router.clients.register(now, ClientState::Unread);
        let close_requested = registration.close_requested.listen();
        let held_bytes = self.io.account_memory(0);
        self.router.limit_held_bytes(&registration, held_bytes);
        let write_until = self
            .router
            .bounds
            .longest_deadline
            .map(|longest| now + longest);
        let write_until = self
            .router
            .before_shutdown(write_until, |shutdown| shutdown.exit_by);
        let asked_to_close = async {
            close_requested.await;
            Err(ClientGone)
        };
        let written = future::or(self.io.write_output(), asked_to_close);
        self.router
            .with_deadline(write_until, written)
            .await
            .unwrap_or(Err(ClientGone))
    }
}
