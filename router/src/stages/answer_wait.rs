//! Waits for the answer of a query in flight, and notices a client that leaves before it.

use std::time::Duration;

use async_io::Timer;
use futures_lite::future;

use crate::router::Router;
use crate::stages::client_connection::ClientConnection;
use crate::stages::client_io::ClientIo;
use crate::state::clients::{Answer, PendingResponse};

/// Between the reads of bytes that are discarded.
const OVERRUN_PAUSE: Duration = Duration::from_millis(1);

impl ClientConnection {
    /// The answer of a query; none if the client leaves before it.
    pub(super) async fn wait_for_answer(&mut self, reply: &PendingResponse) -> Option<Answer> {
        let answer = async { Some(reply.wait().await) };
        let client_left = async {
            watch_client(&self.router, &mut self.io).await;
            None
        };
        future::or(answer, client_left).await
    }
}

/// Returns when the client has left. What it sends ahead waits, within its bound and while there is memory.
///
/// The end of a client's bytes stands behind all that it has sent: without reading on, a client that sent much at once and
/// left had its shard requests sent to nodes for as long as its query lasted.
async fn watch_client(router: &Router, io: &mut ClientIo) {
    let mut arrived_at = router.clock.now();
    loop {
        if io.receive_ahead().is_err() {
            return;
        }
        io.note_sent_ahead(arrived_at);
        if io.account_memory(0) > 0 && router.budget.is_over() {
            io.overrun();
        }
        if io.has_overrun() {
            // A client that floods costs no more than a part of the time.
            Timer::after(OVERRUN_PAUSE).await;
        }
        if io.readable().await.is_err() {
            io.mark_client_gone();
            return;
        }
        arrived_at = router.clock.arrival(io.take_readable_since());
    }
}
