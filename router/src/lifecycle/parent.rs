//! A process that has handed over stays as the parent of the process that serves, for supervisors that keep their child in
//! the foreground: passes signals on, and ends as its child ends.

use std::io;
use std::process::{Child, ExitStatus};
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use rustix::process::{kill_process, Pid, Signal};

use crate::lifecycle::signals::{self, SignalError, SignalRequest};

/// How often it is checked whether the child lives.
const CHILD_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Why a parent ends with a failure.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ParentError {
    /// Signals cannot be received.
    #[error("{0}")]
    Signals(#[from] SignalError),
    /// The child cannot be waited for.
    #[error("{0}")]
    Wait(#[from] io::Error),
    /// The child has failed.
    #[error("the process that served: {0}")]
    Child(ExitStatus),
}

/// Stays until `child` has ended.
pub(crate) fn stay(child: Child) -> Result<(), ParentError> {
    let signals = signals::listen()?;
    tracing::info!(
        process = child.id(),
        "hot restart: staying as the parent of the new process"
    );
    let status = future::block_on(pass_signals_on(child, signals))?;
    if !status.success() {
        return Err(ParentError::Child(status));
    }
    Ok(())
}

async fn pass_signals_on(mut child: Child, signals: signals::Signals) -> io::Result<ExitStatus> {
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
            tracing::debug!(%error, "hot restart: signal could not be passed on");
        }
    }
}
