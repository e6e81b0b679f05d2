//! Writes answers to clients, and decides whether their connection stays open behind them.

use ternpick_wire::http;

use crate::stages::client_connection::{ClientConnection, ConnectionEnd};
use crate::state::clients::Answer;

/// Whether an answer of this status says that the request made no sense: what follows it on its connection may make none
/// either.
fn is_malformed_request(status: u16) -> bool {
    match status {
        401 | 403 | 429 => false,
        400..=499 | 501 | 505 => true,
        _ => false,
    }
}

impl ClientConnection {
    /// Writes an answer; an error is the connection's end, also where the answer was meant to be the last.
    pub(super) async fn write_answer(
        &mut self,
        answer: Answer,
        client_closes: bool,
    ) -> Result<(), ConnectionEnd> {
        let (status, headers, body) = answer;
        let is_last = client_closes
            || is_malformed_request(status)
            || self.io.has_overrun()
            || self.router.is_stopping();
        let body = if self.request.method() == "HEAD" {
            String::new()
        } else {
            body
        };
        let bytes = http::encode_response(status, &headers, &body, is_last);
        if !self.io.output.push(&bytes) {
            tracing::warn!(bytes = body.len(), "an answer is longer than its bound");
            return Err(ConnectionEnd::AnswerTooLong);
        }
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

    /// Writes the output buffer; false if the client does not take it in time. A slow client holds nothing up beyond the
    /// longest time that any client waits, nor beyond the end of a shutdown.
    async fn write_in_time(&mut self) -> bool {
        let write_until = self
            .router
            .bounds
            .longest_deadline
            .map(|longest| self.router.clock.now() + longest);
        let write_until = self
            .router
            .before_shutdown(write_until, |shutdown| shutdown.exit_by);
        let written = self
            .router
            .with_deadline(write_until, self.io.write_output())
            .await
            .unwrap_or(false);
        if !written {
            self.io.mark_client_gone();
        }
        written
    }
}
