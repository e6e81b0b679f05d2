//! The signals of a router: SIGTERM and SIGINT stop it, SIGHUP reloads its configuration and never ends the process.
//!
//! This module only receives signals; [`run`](crate::lifecycle::run) and [`parent`](crate::lifecycle::parent) act on
//! them.

use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::future;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::state::wake_time::WakeTime;

/// The interval at which signals are polled. It limits the delay if a wake-up is lost (the pipe is full, or the write
/// to it failed).
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The signal handlers cannot be registered.
#[derive(Debug, thiserror::Error)]
#[error("cannot wait for signals: {0}")]
pub(crate) struct SignalError(#[from] io::Error);

/// What a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SignalRequest {
    /// SIGTERM or SIGINT.
    Stop,
    /// SIGHUP.
    Reload,
}

/// A received signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReceivedSignal {
    /// What it requests.
    pub(crate) request: SignalRequest,
    /// When it arrived, as far as that is known: the router may have been delayed since.
    pub(crate) received_at: Instant,
}

/// The received signals. Each kind of request has an atomic flag, and the pipe only wakes the waiting task. Signal
/// numbers sent through a pipe were not reliable: a signal was lost when the read of its number was partial and then
/// interrupted.
pub(crate) struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
    pipe: Async<UnixStream>,
    received: WakeTime,
}

/// Registers the signal handlers. Before that, SIGHUP would end the process.
pub(crate) fn listen() -> Result<Signals, SignalError> {
    let stop = Arc::new(AtomicBool::new(false));
    let reload = Arc::new(AtomicBool::new(false));
    let (read, write) = UnixStream::pair()?;
    for (signal, flag) in [(SIGTERM, &stop), (SIGINT, &stop), (SIGHUP, &reload)] {
        // The flag is registered first, so that it is set when the pipe wakes the task.
        signal_hook::flag::register(signal, Arc::clone(flag))?;
        signal_hook::low_level::pipe::register(signal, write.try_clone()?)?;
    }
    Ok(Signals {
        stop,
        reload,
        pipe: Async::new(read)?,
        received: WakeTime::default(),
    })
}

impl Signals {
    /// Takes a signal that was received and not returned yet. A stop takes precedence over a reload.
    fn take(&self) -> Option<SignalRequest> {
        if self.stop.swap(false, Ordering::SeqCst) {
            return Some(SignalRequest::Stop);
        }
        if self.reload.swap(false, Ordering::SeqCst) {
            return Some(SignalRequest::Reload);
        }
        None
    }

    /// Waits for the next signal.
    pub(crate) async fn next(&self) -> ReceivedSignal {
        loop {
            // The pipe is drained before the flags are read: a signal that arrives in between wakes the task again.
            while matches!(self.pipe.get_ref().read(&mut [0; 64]), Ok(count) if count > 0) {}
            if let Some(request) = self.take() {
                let received_at = self.received.take().unwrap_or_else(Instant::now);
                return ReceivedSignal {
                    request,
                    received_at,
                };
            }
            let woken = async {
                if let Some(Err(_)) = self.received.watch(self.pipe.readable()).await {
                    future::pending::<()>().await;
                }
            };
            let poll = async {
                Timer::after(POLL_INTERVAL).await;
            };
            future::or(woken, poll).await;
        }
    }
}
