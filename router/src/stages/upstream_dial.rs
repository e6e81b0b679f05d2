//! Dials a TCP connection within the time of a dial, and says whom a failure concerns.
//!
//! Used for nodes, and through [`upstream_writer::dial`](crate::stages::upstream_writer::dial) for discovery, key sources and
//! other routers. `ternpick::io_errors` holds the table of whom a failed call concerns.

use std::cell::Cell;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;
use ternpick::io_errors::{self, FailureOwner};
use ternpick::types::Micros;

use crate::router::Router;

/// A new connection, if it comes up in time; else whom the failure concerns.
pub(crate) async fn dial(
    router: &Router,
    address: SocketAddr,
) -> Result<Async<TcpStream>, FailureOwner> {
    dial_reporting(router, address, &Cell::new(FailureOwner::Peer)).await
}

/// The same; `waits_for` says at any moment whom the dial waits for. What fails for a moment on this machine, or on the way, is
/// tried again within the time of the dial.
pub(super) async fn dial_reporting(
    router: &Router,
    address: SocketAddr,
    waits_for: &Cell<FailureOwner>,
) -> Result<Async<TcpStream>, FailureOwner> {
    let began = router.clock.now();
    let give_up_at = router.bounds.dial_timeout.map(|limit| began + limit);
    let attempts = async {
        let mut failures_in_a_row = 0;
        loop {
            waits_for.set(FailureOwner::Peer);
            let failed = match Async::<TcpStream>::connect(address).await {
                Ok(stream) => return Ok(stream),
                Err(error) => io_errors::connect_failure_owner(error.raw_os_error().unwrap_or(0)),
            };
            waits_for.set(concerns(router, failed, began));
            let is_final = failed == FailureOwner::Peer
                || give_up_at.is_none() && failed != FailureOwner::None;
            if is_final {
                return Err(waits_for.get());
            }
            failures_in_a_row += 1;
            pause(io_errors::retry_delay(failures_in_a_row)).await;
        }
    };
    let stream = router
        .with_deadline(give_up_at, attempts)
        .await
        .unwrap_or(Err(waits_for.get()))?;
    // Frames are small, and each is wanted at once.
    let _ = stream.get_ref().set_nodelay(true);
    Ok(stream)
}

/// Whom the dial is held against if it gets no further than this failure.
fn concerns(router: &Router, failed: FailureOwner, began: Micros) -> FailureOwner {
    match failed {
        FailureOwner::Route => {
            let others_heard = router.decisions.borrow().effects.nodes.last_received >= began;
            io_errors::route_failure_owner(others_heard)
        }
        // Interrupted up to the end: that concerns nobody, so it is not held against the node.
        FailureOwner::None => FailureOwner::Machine,
        owner => owner,
    }
}

async fn pause(pause: Micros) {
    if pause == Micros(0) {
        future::yield_now().await;
    } else {
        Timer::after(Duration::from_micros(pause.0)).await;
    }
}
