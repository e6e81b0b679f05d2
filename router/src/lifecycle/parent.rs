//! The end of a process that has started a new one in a hot restart. It can stay as the parent of the new process, for
//! supervisors that track the process that they started: it forwards signals and ends when its child ends. If the
//! router stops, it waits for its child in any case, so that no process of the router outlives it.

use std::io;
use std::process::{Child, ExitStatus};
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use ternpick::types::Micros;
use ternpick_hot_restart::Phase;

use crate::lifecycle::requests;
use crate::lifecycle::signals::Signals;
use crate::router::Router;

/// The interval between checks whether the child has ended.
const CHILD_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Why the parent process fails.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ParentError {
    /// The child cannot be waited for.
    #[error("{0}")]
    Wait(#[from] io::Error),
    /// The child ended with a failure status.
    #[error("the new process failed: {0}")]
    Child(ExitStatus),
}

/// A process that no longer serves.
pub(crate) struct Ended {
    /// The new process, if one has been started that serves or has served.
    pub(crate) successor: Option<Child>,
    /// Whether this process stays as the parent of the new one.
    pub(crate) stays_as_parent: bool,
    /// The signals, some of which may not have been handled.
    pub(crate) signals: Signals,
}

/// Stays as the parent of the new process if there is one and this process has to, until the new one has ended.
pub(crate) fn end(router: &Router, ended: Ended) -> Result<(), ParentError> {
    let Ended {
        successor,
        stays_as_parent,
        mut signals,
    } = ended;
    let Some(child) = successor else {
        return Ok(());
    };
    // Before the commit the new process owns nothing, and the stop has killed it.
    let may_fail = router.requests.phase() == Phase::Launching;
    requests::enter(router, Phase::Parent);
    let router_stops = router.shutdown.requested_at().is_some();
    if !stays_as_parent && !router_stops {
        // Signals that have arrived since the handover are for the new process.
        while let Some(signal) = signals.take() {
            requests::handle_signal(router, signal);
        }
        return Ok(());
    }
    tracing::info!(
        process = child.id(),
        "hot restart: staying as the parent of the new process"
    );
    let kill_at = router
        .shutdown
        .schedule()
        .map(|schedule| schedule.final_exit_at);
    let status = future::block_on(forward_signals(router, child, signals, kill_at))?;
    if !status.success() && !may_fail {
        return Err(ParentError::Child(status));
    }
    Ok(())
}

/// Forwards signals to the new process until that has ended. Kills it at `kill_at`, when a process that stops has ended
/// in any case.
async fn forward_signals(
    router: &Router,
    mut child: Child,
    mut signals: Signals,
    kill_at: Option<Micros>,
) -> io::Result<ExitStatus> {
    loop {
        if let Some(status) = child.try_wait()? {
            return Ok(status);
        }
        if kill_at.is_some_and(|at| at <= router.clock.now()) {
            child.kill()?;
        }
        let check = async {
            Timer::after(CHILD_CHECK_INTERVAL).await;
            None
        };
        let signal = async { Some(signals.next().await) };
        if let Some(signal) = future::or(signal, check).await {
            requests::handle_signal(router, signal);
        }
    }
}
