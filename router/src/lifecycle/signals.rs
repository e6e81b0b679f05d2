//! Signals: SIGTERM and SIGINT stop a router, SIGHUP has it read its configuration again and never ends it.

use async_signal::{Signal, Signals};
use futures_lite::{future, StreamExt};

use crate::lifecycle::reload::Source;
use crate::lifecycle::stop;
use crate::stages::Router;

/// Listens from here on; until then SIGHUP would end the program.
pub fn listen() -> Result<Signals, String> {
    Signals::new([Signal::Term, Signal::Int, Signal::Hup])
        .map_err(|e| format!("cannot wait for signals: {e}"))
}

/// Obeys signals until the router has stopped.
pub async fn obey(
    router: &Router, mut signals: Signals, source: &Source, accepting: async_executor::Task<()>,
) {
    loop {
        let told = router.told_to_stop.listen();
        if router.gone.get() {
            return;
        }
        let told = async {
            told.await;
            None
        };
        match future::or(signals.next(), told).await {
            Some(Ok(Signal::Hup)) => source.reload(router),
            Some(Err(e)) => tracing::warn!("a signal could not be read: {e}"),
            None if router.gone.get() => return,
            _ => break,
        }
    }
    let heard = async {
        // What is said during a stop is heard, and changes nothing.
        while signals.next().await.is_some() {
            tracing::info!("a signal is passed over: the router is stopping");
        }
        future::pending().await
    };
    future::or(stop::stop(router, accepting), heard).await;
}
