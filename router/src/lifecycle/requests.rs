//! Carries out stops and reloads, for this process and for the other process of a hot restart.
//!
//! [`ternpick_hot_restart::Requests`] decides what is done. The other process is told by a signal: that needs no link,
//! and every release understands it.

use rustix::process::{getppid, kill_process, Signal};
use ternpick::types::Micros;
use ternpick_hot_restart::{Phase, Request, RequestEffect, Requester};

use crate::lifecycle::signals::{ReceivedSignal, Signals};
use crate::router::Router;

/// Handles a signal.
pub(crate) fn handle_signal(router: &Router, signal: ReceivedSignal) {
    let requester = router.requests.requester(signal.sender);
    let received_at = router.clock.time_of(signal.received_at);
    handle(router, signal.request, requester, received_at);
}

/// Handles a request that arrived at `received_at`.
pub(crate) fn handle(router: &Router, request: Request, requester: Requester, received_at: Micros) {
    let phase = router.requests.phase();
    let effects = router.requests.handle(request, requester);
    tracing::info!(?request, ?requester, ?phase, ?effects, "request received");
    carry_out(router, effects, received_at);
}

/// Handles signals before this process has taken over from the old one. Returns once this process has to exit.
pub(crate) async fn handle_before_takeover(router: &Router, signals: &mut Signals) {
    while router.shutdown.requested_at().is_none() {
        let signal = signals.next().await;
        handle_signal(router, signal);
    }
}

/// Handles the death of the old process.
pub(crate) fn handle_death_of_old_process(router: &Router) {
    let effects = router.requests.handle_death_of_old_process();
    carry_out(router, effects, router.clock.now());
}

/// Enters a phase of a hot restart, and does what earlier requests require in it.
pub(crate) fn enter(router: &Router, phase: Phase) {
    let effects = router.requests.enter(phase);
    carry_out(router, effects, router.clock.now());
}

fn carry_out(router: &Router, effects: Vec<RequestEffect>, received_at: Micros) {
    for effect in effects {
        match effect {
            RequestEffect::Stop | RequestEffect::Exit => router.shutdown.request(received_at),
            RequestEffect::Reload => router.requests.request_reload(),
            RequestEffect::Forward(Request::Stop) => signal_other_process(router, Signal::TERM),
            RequestEffect::Forward(Request::Reload) => signal_other_process(router, Signal::HUP),
            RequestEffect::KillNewProcess => signal_other_process(router, Signal::KILL),
        }
    }
}

fn signal_other_process(router: &Router, signal: Signal) {
    let Some(process) = router.requests.other_process() else {
        return;
    };
    let is_parent = matches!(
        router.requests.phase(),
        Phase::TakingOver | Phase::Succeeding
    );
    // A process that has ended keeps its id until its parent waits for it, but a parent that has ended does not.
    if is_parent && getppid() != Some(process) {
        return;
    }
    if let Err(error) = kill_process(process, signal) {
        tracing::debug!(%error, ?signal, "hot restart: the other process cannot be signalled");
    }
}
