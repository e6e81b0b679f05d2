//! The main loop of a serving router: handles signals and requests of the control socket until the router has stopped
//! or handed over to a new process.

use futures_lite::future;
use ternpick::types::Micros;

use async_executor::Task;

use crate::lifecycle::reload::StartupFiles;
use crate::lifecycle::signals::Signals;
use crate::lifecycle::{requests, stop};
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
    signals: &mut Signals,
    files: &StartupFiles,
    accepting: Task<()>,
) {
    match serve(router, signals, files).await {
        ServingEnded::HandedOver => {}
        ServingEnded::StopRequested(requested_at) => {
            let stop = stop::stop(router, accepting, requested_at);
            future::or(stop, ignore(signals)).await;
        }
    }
}

async fn serve(router: &Router, signals: &mut Signals, files: &StartupFiles) -> ServingEnded {
    loop {
        let shutdown_changed = router.shutdown.changed();
        let reload_requested = router.requests.reload_requested();
        if router.shutdown.is_handed_over() {
            return ServingEnded::HandedOver;
        }
        if let Some(requested_at) = router.shutdown.requested_at() {
            return ServingEnded::StopRequested(requested_at);
        }
        if router.requests.take_reload() {
            files.reload(router);
        }
        let signal = async {
            let signal = signals.next().await;
            requests::handle_signal(router, signal);
        };
        let requested = future::or(shutdown_changed, reload_requested);
        future::or(signal, requested).await;
    }
}

/// Logs signals that arrive during a stop; they have no other effect.
async fn ignore(signals: &mut Signals) {
    loop {
        let signal = signals.next().await.request;
        tracing::info!(?signal, "signal ignored: the router is stopping");
    }
}
