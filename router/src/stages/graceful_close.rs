//! Closes a client connection in such a way that an answer in transit still arrives.

use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use ternpick_wire::http::MAX_BODY_BYTES;

use crate::router::Router;
use crate::stages::client_io::ClientIo;
use crate::state::client_turns::ClientTurns;
use crate::state::clients::ClientState;
use ternpick::types::Micros;

/// The maximum number of bytes read after the last answer.
const MAX_DRAIN_BYTES: usize = 4 * MAX_BODY_BYTES;
/// The maximum time spent reading after the last answer.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(1);

/// Shuts down the sending side, then reads and discards bytes until the end of the stream.
///
/// Closing a socket with unread bytes resets the connection, and an answer in transit is lost. No request that is
/// read here is started: a client that sees the end of the stream before an answer retries elsewhere. The connection
/// is closed earlier if its descriptor is needed, at once if a client already waits for one.
pub(super) async fn close(router: &Router, io: &mut ClientIo) {
    let registration = router.clients.register(Micros(0), ClientState::Closing);
    let close_requested = registration.close_requested.listen();
    io.stream.shut_down_write();
    io.discard_input();
    io.account_memory(0);
    if router.descriptors.client_waits() {
        // Bytes that have arrived and are not read would reset the connection, and the answer with it.
        let discarded = discard_all_arrived(io, &router.client_turns);
        future::or(discarded, close_requested).await;
        return;
    }
    let timeout = async {
        Timer::after(DRAIN_TIMEOUT).await;
    };
    let drained = drain(io, &router.client_turns);
    future::or(future::or(drained, timeout), close_requested).await;
}

/// Reads and discards what has arrived, up to [`MAX_DRAIN_BYTES`].
async fn discard_all_arrived(io: &mut ClientIo, turns: &ClientTurns) {
    let mut bytes_left = MAX_DRAIN_BYTES;
    while bytes_left > 0 {
        match io.discard_arrived() {
            Ok(discarded @ 1..) => bytes_left = bytes_left.saturating_sub(discarded),
            _ => return,
        }
        turns.wait().await;
    }
}

/// Reads and discards until the end of the stream, or up to [`MAX_DRAIN_BYTES`]. It is never urgent, so that it takes
/// turns.
async fn drain(io: &mut ClientIo, turns: &ClientTurns) {
    let mut bytes_left = MAX_DRAIN_BYTES;
    while let Ok(discarded) = io.discard_arrived() {
        bytes_left = bytes_left.saturating_sub(discarded);
        if bytes_left == 0 {
            return;
        }
        if discarded > 0 {
            turns.wait().await;
        } else if io.stream.readable().await.is_err() {
            return;
        }
    }
}
