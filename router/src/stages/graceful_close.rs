//! Closes a client connection so that an answer on its way still arrives.

use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use ternpick_wire::http::MAX_BODY_BYTES;

use crate::router::Router;
use crate::stages::client_io::{ClientIo, Received};
use crate::state::clients::ClientState;
use ternpick::types::Micros;

/// How many bytes are read at most behind the last answer.
const DRAIN_BYTES: usize = 4 * MAX_BODY_BYTES;
/// How long is read at most behind the last answer.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Shuts the sending side, reads what still arrives up to its end, and discards it.
///
/// Closed over bytes that were not read, a connection is reset, and an answer on its way is lost with it. Nothing that is read
/// here is begun: a client that sees the end before an answer asks again elsewhere. The connection gives its descriptor up
/// earlier when one is wanted.
pub(super) async fn close(router: &Router, io: &mut ClientIo) {
    let place = router.clients.register(Micros(0), ClientState::Closing);
    let close_wanted = place.close_requested.listen();
    io.stream.finish();
    io.discard_input();
    io.account_memory(0);
    let timeout = async {
        Timer::after(DRAIN_TIMEOUT).await;
    };
    future::or(future::or(drain(io), timeout), close_wanted).await;
}

/// Reads and discards until the client's end, or as many bytes as are read at most.
async fn drain(io: &mut ClientIo) {
    let mut bytes_left = DRAIN_BYTES;
    while let Ok(received) = io.receive() {
        bytes_left = bytes_left.saturating_sub(io.input.filled().len());
        io.discard_input();
        if bytes_left == 0 {
            return;
        }
        if received == Received::Nothing && io.stream.readable().await.is_err() {
            return;
        }
    }
}
