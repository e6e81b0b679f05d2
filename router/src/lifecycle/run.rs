//! The main wait of a router that serves: until it has stopped or handed over, requests of signals and of the control socket
//! are carried out.

use async_executor::Task;
use futures_lite::future;

use crate::lifecycle::reload::Source;
use crate::lifecycle::signals::{SignalRequest, Signals};
use crate::lifecycle::stop;
use crate::router::Router;

/// Why a router no longer serves.
enum ServingEnded {
    /// It is to stop.
    StopRequested,
    /// Everything has gone over to a new process.
    HandedOver,
}

/// Obeys signals until the router has stopped or handed over. `accepting` ends once the listener is closed.
pub(crate) async fn until_stopped(
    router: &Router,
    signals: Signals,
    source: &Source,
    accepting: Task<()>,
) {
    match serve(router, &signals, source).await {
        ServingEnded::HandedOver => {}
        ServingEnded::StopRequested => {
            future::or(stop::stop(router, accepting), ignore(&signals)).await;
        }
    }
}

async fn serve(router: &Router, signals: &Signals, source: &Source) -> ServingEnded {
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
            Some(SignalRequest::Reload) => source.reload(router),
            Some(SignalRequest::Stop) => return ServingEnded::StopRequested,
            None if router.shutdown.is_handed_over() => return ServingEnded::HandedOver,
            None => return ServingEnded::StopRequested,
        }
    }
}

/// Signals during a stop are logged, and change nothing.
async fn ignore(signals: &Signals) {
    loop {
        let signal = signals.next().await;
        tracing::info!(?signal, "signal ignored: the router is stopping");
    }
}
