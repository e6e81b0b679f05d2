//! Signals: SIGTERM and SIGINT stop a router, SIGHUP has it read its configuration again and never ends it.

use std::io::Read;
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::lifecycle::reload::Source;
use crate::lifecycle::stop;
use crate::router::Router;

/// A wake-up that was lost (the pipe is full, its write failed) delays a signal by no more than this.
const LOOK_AGAIN: Duration = Duration::from_millis(100);

/// What a router is told by signals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    Stop,
    Reload,
}

/// Signals that have come. Each is a flag of its own: a flag is neither cut nor interrupted, and one signal is heard once. Told by
/// numbers in a pipe, a signal was lost when a read of its number was cut and then interrupted. The pipe wakes, and says nothing.
pub struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
    pipe: Async<UnixStream>,
}

/// Listens from here on; until then SIGHUP would end the program.
pub fn listen() -> Result<Signals, String> {
    let words = |e: std::io::Error| format!("cannot wait for signals: {e}");
    let (stop, reload) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicBool::new(false)),
    );
    let (read, write) = UnixStream::pair().map_err(words)?;
    for (signal, flag) in [(SIGTERM, &stop), (SIGINT, &stop), (SIGHUP, &reload)] {
        // The flag first: who is woken finds it.
        signal_hook::flag::register(signal, Arc::clone(flag)).map_err(words)?;
        signal_hook::low_level::pipe::register(signal, write.try_clone().map_err(words)?)
            .map_err(words)?;
    }
    Ok(Signals {
        stop,
        reload,
        pipe: Async::new(read).map_err(words)?,
    })
}

impl Signals {
    /// A signal that has come and was not told yet.
    fn take(&self) -> Option<Told> {
        let came = |flag: &AtomicBool| flag.swap(false, Ordering::SeqCst);
        came(&self.stop)
            .then_some(Told::Stop)
            .or_else(|| came(&self.reload).then_some(Told::Reload))
    }

    pub async fn next(&self) -> Told {
        loop {
            // Wake-ups are taken off before the flags are read: one that comes in between wakes again.
            while matches!(self.pipe.get_ref().read(&mut [0; 64]), Ok(count) if count > 0) {}
            if let Some(told) = self.take() {
                return told;
            }
            let woken = async {
                if self.pipe.readable().await.is_err() {
                    future::pending::<()>().await;
                }
            };
            let again = async {
                Timer::after(LOOK_AGAIN).await;
            };
            future::or(woken, again).await;
        }
    }
}

/// Obeys signals until the router has stopped.
pub async fn obey(
    router: &Router,
    signals: Signals,
    source: &Source,
    accepting: async_executor::Task<()>,
) {
    loop {
        let told = router.shutdown.requested();
        if router.shutdown.is_handed_over() {
            return;
        }
        let told = async {
            told.await;
            None
        };
        match future::or(async { Some(signals.next().await) }, told).await {
            Some(Told::Reload) => source.reload(router),
            None if router.shutdown.is_handed_over() => return,
            _ => break,
        }
    }
    let heard = async {
        // What is said during a stop is heard, and changes nothing.
        loop {
            let told = signals.next().await;
            tracing::info!("a signal is passed over ({told:?}): the router is stopping");
        }
    };
    future::or(stop::stop(router, accepting), heard).await;
}
