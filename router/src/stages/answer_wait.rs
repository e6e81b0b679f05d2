//! Waits for the answer of a query in flight, and detects a client that disconnects first.

use std::time::Duration;

use async_io::Timer;
use futures_lite::future;

use crate::router::Router;
use crate::stages::client_connection::ClientConnection;
use crate::stages::client_io::ClientIo;
use crate::state::clients::{Answer, PendingResponse};

/// The pause between reads whose bytes are discarded.
const DISCARD_PAUSE: Duration = Duration::from_millis(1);

impl ClientConnection {
    /// Returns the answer of a query, or `None` if the client disconnects first.
    pub(super) async fn wait_for_answer(&mut self, reply: &PendingResponse) -> Option<Answer> {
        let answer = async { Some(reply.wait().await) };
        let client_left = async {
            wait_until_client_leaves(&self.router, &mut self.io).await;
            None
        };
        future::or(answer, client_left).await
    }
}

/// Returns when the client has disconnected. Bytes that it sends ahead stay in the input buffer, within the buffer's
/// bound and while memory is available.
///
/// The end of the stream can be seen only after all bytes before it have been read. Without these reads, the shard
/// requests of a client that had sent much at once and disconnected went to nodes for as long as its query lasted.
async fn wait_until_client_leaves(router: &Router, io: &mut ClientIo) {
    let mut arrived_at = router.clock.now();
    loop {
        if io.receive_ahead().is_err() {
            return;
        }
        io.note_sent_ahead(arrived_at);
        if io.account_memory(0) > 0 && router.budget.is_over() {
            io.discard_sent_ahead();
        }
        if io.has_discarded_sent_ahead() {
            // Limits the share of the router's time that a client flooding its connection takes.
            Timer::after(DISCARD_PAUSE).await;
        }
        if io.readable().await.is_err() {
            io.mark_client_gone();
            return;
        }
        arrived_at = router.clock.arrival(io.take_readable_since());
    }
}
