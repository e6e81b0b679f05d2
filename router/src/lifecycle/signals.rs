//! Signals that a router obeys: SIGTERM and SIGINT stop it, SIGHUP has it read its configuration again and never ends it.
//!
//! Only receives them; [`run`](crate::lifecycle::run) and [`parent`](crate::lifecycle::parent) act on them.

use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::future;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

use crate::state::wake_time::WakeTime;

/// A wake-up that was lost (the pipe is full, its write failed) delays a signal by no more than this.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Signals cannot be received.
#[derive(Debug, thiserror::Error)]
#[error("cannot wait for signals: {0}")]
pub(crate) struct SignalError(#[from] io::Error);

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SignalRequest {
    /// SIGTERM or SIGINT.
    Stop,
    /// SIGHUP.
    Reload,
}

/// A signal that has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReceivedSignal {
    /// What it asks for.
    pub(crate) request: SignalRequest,
    /// When it came, as far as that is known: the router may have been held up since.
    pub(crate) received_at: Instant,
}

/// Signals that have come. Each is a flag of its own: a flag is neither cut nor interrupted, and one signal is seen once. When
/// numbers in a pipe named them, a signal was lost when a read of its number was cut and then interrupted. The pipe wakes, and
/// carries nothing.
pub(crate) struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
    pipe: Async<UnixStream>,
    received: WakeTime,
}

/// Receives signals from here on; until then SIGHUP would end the program.
pub(crate) fn listen() -> Result<Signals, SignalError> {
    let stop = Arc::new(AtomicBool::new(false));
    let reload = Arc::new(AtomicBool::new(false));
    let (read, write) = UnixStream::pair()?;
    for (signal, flag) in [(SIGTERM, &stop), (SIGINT, &stop), (SIGHUP, &reload)] {
        // The flag first: who is woken finds it.
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
    /// A signal that has come and was not returned yet; a stop takes precedence.
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
            // Wake-ups are taken off before the flags are read: one that comes in between wakes again.
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
