//! Dials a TCP connection within the dial timeout, and attributes a failure to its [`FailureOwner`]: the peer or this machine.
//!
//! Used for nodes, and through [`upstream_writer::dial`](crate::stages::upstream_writer::dial) for discovery, key
//! sources and other routers. `ternpick::io_errors` maps the errors of system calls to owners.

use std::cell::Cell;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;
use ternpick::io_errors::{self, FailureOwner};
use ternpick::types::Micros;

use crate::router::Router;

/// Opens a connection within the dial timeout. The error is the owner of the failure.
pub(crate) async fn dial(
    router: &Router,
    address: SocketAddr,
) -> Result<Async<TcpStream>, FailureOwner> {
    dial_tracking_owner(router, address, &Cell::new(FailureOwner::Peer)).await
}

/// Like [`dial`], and keeps `failure_owner` at the owner of the failure if the dial ended now. Temporary failures of
/// this machine or of the route are retried within the dial timeout.
pub(super) async fn dial_tracking_owner(
    router: &Router,
    address: SocketAddr,
    failure_owner: &Cell<FailureOwner>,
) -> Result<Async<TcpStream>, FailureOwner> {
    let began = router.clock.now();
    let dial_until = router.bounds.dial_timeout.map(|limit| began + limit);
    let connect = async {
        let mut failures_in_a_row = 0;
        loop {
            failure_owner.set(FailureOwner::Peer);
            let failed = match Async::<TcpStream>::connect(address).await {
                Ok(stream) => return Ok(stream),
                Err(error) => io_errors::connect_failure_owner(error.raw_os_error().unwrap_or(0)),
            };
            failure_owner.set(final_owner(router, failed, began));
            let is_final = failed == FailureOwner::Peer
                || dial_until.is_none() && failed != FailureOwner::None;
            if is_final {
                return Err(failure_owner.get());
            }
            failures_in_a_row += 1;
            pause(io_errors::retry_delay(failures_in_a_row)).await;
        }
    };
    let stream = router
        .with_peer_deadline(dial_until, connect)
        .await
        .unwrap_or(Err(failure_owner.get()))?;
    // Frames are small, and each should be sent without delay.
    let _ = stream.get_ref().set_nodelay(true);
    Ok(stream)
}

/// Returns the owner to which the dial's failure is attributed if this is its last failure.
fn final_owner(router: &Router, failed: FailureOwner, began: Micros) -> FailureOwner {
    match failed {
        FailureOwner::Route => {
            let others_heard = router.decisions.borrow().effects.nodes.last_received >= began;
            io_errors::route_failure_owner(others_heard)
        }
        // Interrupted until the timeout: no peer is at fault, so the failure does not count against the node.
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
