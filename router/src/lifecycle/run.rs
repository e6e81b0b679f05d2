//! The main loop of a serving router: handles signals and requests of the control socket until the router has stopped
//! or handed over to a new process.

use async_executor::Task;
use futures_lite::future;
use ternpick::types::Micros;

use crate::lifecycle::reload::StartupFiles;
use crate::lifecycle::signals::{SignalRequest, Signals};
use crate::lifecycle::stop;
use crate::router::Router;

/// Why the main loop has ended.
enum ServingEnded {
    /// A stop was requested at this time.
    StopRequested(Micros),
    /// A new process has taken over everything.
    HandedOver,
}

/// Handles signals until the router has stopped or handed over. `accepting` ends once the listeners are closed.
pub(crate) async fn until_stopped(
    router: &Router,
    signals: Signals,
    files: &StartupFiles,
    accepting: Task<()>,
) {
    match serve(router, &signals, files).await {
        ServingEnded::HandedOver => {}
        ServingEnded::StopRequested(requested_at) => {
            let stop = stop::stop(router, accepting, requested_at);
            future::or(stop, ignore(&signals)).await;
        }
    }
}

async fn serve(router: &Router, signals: &Signals, files: &StartupFiles) -> ServingEnded {
    loop {
        let stop_requested = router.shutdown.requested();
        if router.shutdown.is_handed_over() {
            return ServingEnded::HandedOver;
        }
        let signal = async { Some(signals.next().await) };
        let commanded = async {
            stop_requested.await;
            None
        };
        match future::or(signal, commanded).await {
            Some(signal) => match signal.request {
                SignalRequest::Reload => files.reload(router),
                SignalRequest::Stop => {
                    let requested_at = router.clock.time_of(signal.received_at);
                    return ServingEnded::StopRequested(requested_at);
                }
            },
            None if router.shutdown.is_handed_over() => return ServingEnded::HandedOver,
            None => return ServingEnded::StopRequested(router.clock.now()),
        }
    }
}

/// Logs signals that arrive during a stop; they have no other effect.
async fn ignore(signals: &Signals) {
    loop {
        let signal = signals.next().await.request;
        tracing::info!(?signal, "signal ignored: the router is stopping");
    }
}
