//! The signals of a router: SIGTERM and SIGINT stop it, SIGHUP reloads its configuration and never ends the process.
//!
//! This module only receives signals, with the process that has sent them; [`requests`](crate::lifecycle::requests)
//! acts on them.

use std::collections::VecDeque;
use std::io;
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::future;
use rustix::process::Pid;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::backend::SignalDelivery;
use signal_hook::iterator::exfiltrator::origin::{Origin, WithOrigin};
use ternpick_hot_restart::Request;

use crate::state::wake_time::WakeTime;

/// The interval at which signals are polled. It limits the delay if a wake-up is lost (the pipe is full, or the write
/// to it failed).
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The signal handlers cannot be registered.
#[derive(Debug, thiserror::Error)]
#[error("cannot wait for signals: {0}")]
pub(crate) struct SignalError(#[from] io::Error);

/// A received signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReceivedSignal {
    /// What it requests.
    pub(crate) request: Request,
    /// The process that has sent it, if the kernel tells.
    pub(crate) sender: Option<Pid>,
    /// When it arrived, as far as that is known: the router may have been delayed since.
    pub(crate) received_at: Instant,
}

/// The received signals. The handler stores each with its sender; the pipe only wakes the waiting task. Signal numbers
/// sent through a pipe were not reliable: a signal was lost when the read of its number was partial and then
/// interrupted.
pub(crate) struct Signals {
    delivery: SignalDelivery<Async<UnixStream>, WithOrigin>,
    /// Signals taken from the handler and not returned yet.
    taken: VecDeque<ReceivedSignal>,
    received: WakeTime,
}

/// Registers the signal handlers. Before that, SIGHUP would end the process.
pub(crate) fn listen() -> Result<Signals, SignalError> {
    let (read, write) = UnixStream::pair()?;
    let read = Async::new(read)?;
    let delivery = SignalDelivery::with_pipe(
        read,
        write,
        WithOrigin::default(),
        [SIGTERM, SIGINT, SIGHUP],
    )?;
    Ok(Signals {
        delivery,
        taken: VecDeque::new(),
        received: WakeTime::default(),
    })
}

impl Signals {
    /// Returns a signal that was received and not returned yet. A stop takes precedence over a reload.
    pub(crate) fn take(&mut self) -> Option<ReceivedSignal> {
        // The pipe is drained before the signals are read: one that arrives in between wakes the task again.
        let pending: Vec<Origin> = self.delivery.pending().collect();
        let received_at = self.received.take().unwrap_or_else(Instant::now);
        for origin in pending {
            self.store(&origin, received_at);
        }
        self.taken.pop_front()
    }

    fn store(&mut self, origin: &Origin, received_at: Instant) {
        let sender = origin
            .process
            .and_then(|process| Pid::from_raw(process.pid));
        let signal = |request| ReceivedSignal {
            request,
            sender,
            received_at,
        };
        match origin.signal {
            SIGHUP => self.taken.push_back(signal(Request::Reload)),
            _ => self.taken.push_front(signal(Request::Stop)),
        }
    }

    /// Waits for the next signal.
    pub(crate) async fn next(&mut self) -> ReceivedSignal {
        loop {
            if let Some(signal) = self.take() {
                return signal;
            }
            let pipe = self.delivery.get_read();
            let woken = async {
                if let Some(Err(_)) = self.received.watch(pipe.readable()).await {
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
