//! Graceful shutdown: after SIGTERM, SIGINT or `ternpick drain` a router continues to accept and serve for a while,
//! then exits once it has answered all queries that it has admitted.
//!
//! [`ShutdownSchedule`] defines the times; the routing engine ends queries early enough to meet them.

use async_executor::Task;
use async_io::Timer;
use ternpick::shutdown::ShutdownSchedule;
use ternpick::types::Micros;

use crate::router::Router;
use crate::state::clients::{ClientState, StateCount};

/// The interval between checks whether all queries are answered.
const CHECK_INTERVAL: Micros = Micros(5_000);

/// Stops the router: accepts connections until the schedule closes the listeners, then answers the queries in flight.
/// `accepting` ends once the listeners are closed. All times count from `requested_at`, even if the router was delayed
/// since, because the supervisor that requested the stop kills the process by a timeout from then.
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

/// Logs the queries in flight and the number of open connections by state, each with the age of the oldest in
/// milliseconds.
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
        sent_ahead = clients(ClientState::SentAhead).count,
        unread = clients(ClientState::Unread).count,
        "{phase}"
    );
}

/// Logs the totals of this process before it exits.
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

/// Closes connections without a request and waits until all admitted queries are answered, or until the process may be
/// killed.
async fn wait_until_all_answered(router: &Router, schedule: ShutdownSchedule) {
    router.listener.mark_closed();
    // Only idle connections are closed: one in an orderly close still has a response under way.
    router.clients.close_in_state(ClientState::Idle, |_| true);
    loop {
        let now = router.clock.now();
        let clients = router.descriptors.clients();
        let unanswered_clients = clients.saturating_sub(router.clients.count_without_request());
        // A process that hands over exits after the handover: the client of the control socket waits for the outcome.
        let handing_over = router.requests.is_upgrading();
        if schedule.may_exit(now, clients + usize::from(handing_over), unanswered_clients) {
            return;
        }
        // Unused connections are closed as well: when they were left open, first requests arrived on them until the
        // kill.
        router.clients.close_in_state(ClientState::New, |accepted| {
            schedule.unused_connection_closes_at(accepted) <= now
        });
        for state in [ClientState::Partial, ClientState::SentAhead] {
            router
                .clients
                .close_in_state(state, |_| schedule.answers_by <= now);
        }
        Timer::at(router.clock.instant(now + CHECK_INTERVAL)).await;
    }
}
