//! After a hot restart the old process can stay as the parent of the new one, for supervisors that track the process
//! that they started. It forwards signals and ends when its child ends.

use std::io;
use std::process::{Child, ExitStatus};
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use rustix::process::{kill_process, Pid, Signal};

use crate::lifecycle::signals::{self, SignalError, SignalRequest};

/// The interval between checks whether the child has ended.
const CHILD_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Why the parent process fails.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ParentError {
    /// Signals cannot be received.
    #[error("{0}")]
    Signals(#[from] SignalError),
    /// The child cannot be waited for.
    #[error("{0}")]
    Wait(#[from] io::Error),
    /// The child ended with a failure status.
    #[error("the new process failed: {0}")]
    Child(ExitStatus),
}

/// Forwards signals to `child` until it has ended.
pub(crate) fn stay(child: Child) -> Result<(), ParentError> {
    let signals = signals::listen()?;
    tracing::info!(
        process = child.id(),
        "hot restart: staying as the parent of the new process"
    );
    let status = future::block_on(forward_signals(child, signals))?;
    if !status.success() {
        return Err(ParentError::Child(status));
    }
    Ok(())
}

async fn forward_signals(mut child: Child, signals: signals::Signals) -> io::Result<ExitStatus> {
    let pid = Pid::from_child(&child);
    loop {
        if let Some(status) = child.try_wait()? {
            return Ok(status);
        }
        let check = async {
            Timer::after(CHILD_CHECK_INTERVAL).await;
            None
        };
        let signal = async { Some(signals.next().await.request) };
        let signal = match future::or(signal, check).await {
            Some(SignalRequest::Reload) => Signal::HUP,
            Some(SignalRequest::Stop) => Signal::TERM,
            None => continue,
        };
        if let Err(error) = kill_process(pid, signal) {
            tracing::debug!(%error, "hot restart: signal could not be forwarded to the new process");
        }
    }
}
