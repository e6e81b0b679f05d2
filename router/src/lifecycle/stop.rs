//! A graceful shutdown: on SIGTERM, SIGINT or a command a router goes on accepting and serving for a while, then leaves by
//! itself once nothing that it has admitted is unanswered.
//!
//! The instants are [`ShutdownSchedule`]'s; the decision module ends queries early enough for them.

use async_executor::Task;
use async_io::Timer;
use ternpick::shutdown::ShutdownSchedule;
use ternpick::types::Micros;

use crate::router::Router;
use crate::state::clients::{ClientState, StateCount};

/// How often it is checked whether all is answered.
const CHECK_INTERVAL: Micros = Micros(5_000);

/// From the request to stop on: accepts for as long as connections still come, then answers what is in flight. `accepting`
/// ends once the listener is closed. The stop was requested at `requested_at`, and whoever asked for it kills the process by that:
/// a router that is held up then keeps to the same instants.
pub(crate) async fn stop(router: &Router, accepting: Task<()>, requested_at: Micros) {
    let schedule = ShutdownSchedule::new(requested_at, router.bounds.longest_deadline);
    router.shutdown.begin(schedule);
    router.apply(|engine, now, effects| engine.shutdown_started(now, schedule.answers_by, effects));
    if let Some(fleet) = &router.fleet {
        fleet.notify_admission_changed();
    }
    if let Some(auth) = &router.auth {
        auth.recheck_waiting_requests();
    }
    log_progress(router, "stopping");
    Timer::at(router.clock.instant(schedule.accepts_until)).await;
    router.listener.close();
    accepting.await;
    log_progress(router, "stopping: listener closed");
    wait_until_all_answered(router, schedule).await;
    log_progress(router, "stopping: exiting");
    log_totals(router);
}

/// Logs what is in flight and which connections are open, by state, each with the age of the oldest in milliseconds.
fn log_progress(router: &Router, phase: &'static str) {
    let now = router.clock.now();
    let age_ms = |since: Option<Micros>| since.map(|since| now.since(since).0 / 1000);
    let clients = |state| -> StateCount { router.clients.count(state) };
    let new = clients(ClientState::New);
    let partial = clients(ClientState::Partial);
    let idle = clients(ClientState::Idle);
    let decisions = router.decisions.borrow();
    let in_flight = &decisions.effects.in_flight;
    tracing::info!(
        queries = in_flight.query_count(),
        oldest_query_ms = age_ms(in_flight.oldest_admission()),
        attempts = in_flight.attempts(),
        clients = router.descriptors.clients(),
        new = new.count,
        oldest_new_ms = age_ms(new.oldest),
        partial = partial.count,
        oldest_partial_ms = age_ms(partial.oldest),
        idle = idle.count,
        oldest_idle_ms = age_ms(idle.oldest),
        closing = clients(ClientState::Closing).count,
        "{phase}"
    );
}

/// Logs what this process has done, as it leaves.
fn log_totals(router: &Router) {
    let decisions = router.decisions.borrow();
    let counts = &decisions.effects.counts;
    tracing::info!(
        admitted = counts.admitted,
        satisfied = counts.satisfied,
        rejected = counts.rejected,
        aborted = counts.failed,
        lapsed = counts.client_left,
        shed = counts.over_capacity,
        attempts = counts.attempts,
        node_connections = decisions.effects.nodes.opened,
        peers_at_peak = router.descriptors.highest(),
        "stopped"
    );
}

/// Closes connections without a request and waits until nothing is owed, or until the process may be killed.
async fn wait_until_all_answered(router: &Router, schedule: ShutdownSchedule) {
    router.listener.mark_closed();
    // Only those that are idle: one that closes in order has a response on its way.
    router.clients.close_in_state(ClientState::Idle, |_| true);
    loop {
        let now = router.clock.now();
        let clients = router.descriptors.clients();
        let unanswered_clients = clients.saturating_sub(router.clients.count_without_request());
        // A process that hands over leaves when that is done: whoever asked for it is owed the outcome.
        let handing_over = router.client_transfer.is_active() && !router.shutdown.is_handed_over();
        if schedule.may_exit(now, clients + usize::from(handing_over), unanswered_clients) {
            return;
        }
        // Connections that had brought no request yet were left open, and got first requests up to the kill.
        router.clients.close_in_state(ClientState::New, |accepted| {
            schedule.unused_connection_closes_at(accepted) <= now
        });
        router
            .clients
            .close_in_state(ClientState::Partial, |_| schedule.answers_by <= now);
        Timer::at(router.clock.instant(now + CHECK_INTERVAL)).await;
    }
}
