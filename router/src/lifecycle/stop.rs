//! Stop: on SIGTERM or SIGINT a router goes on accepting and serving for a while, then leaves by itself once
//! nothing that it has taken is unanswered.

use std::process::Child;
use std::time::Duration;

use async_executor::Task;
use async_io::Timer;
use futures_lite::future;
use rustix::process::{kill_process, Pid, Signal};
use ternpick::shutdown::Shutdown;
use ternpick::types::Micros;

use crate::lifecycle::signals::{self, Told};
use crate::router::Router;
use crate::state::clients::{State, StateCount};

/// How often a parent looks whether its heir lives.
const LOOK_AT_HEIR: Duration = Duration::from_millis(100);
/// How often it is looked whether all is answered.
const LOOK_AGAIN: Micros = Micros(5_000);

/// From the signal on: accepts for as long as connections still come, then answers what is in hand.
pub async fn stop(router: &Router, accepting: Task<()>) {
    let of = Shutdown::new(router.clock.now(), router.bounds.longest_deadline);
    router.shutdown.begin(of);
    router.apply(|brain, now, out| brain.shutdown_started(now, of.answers_by, out));
    if let Some(fleet) = &router.fleet {
        fleet.look_again();
    }
    tracing::info!("stopping: {}", what_is_out(router));
    Timer::at(router.clock.instant(of.accepts_until)).await;
    router.listener.close();
    accepting.await;
    tracing::info!("stopping: the listener is gone, {}", what_is_out(router));
    when_done(router, of).await;
}

/// What is in hand and which connections are open, by state, each with the age of the oldest.
fn what_is_out(router: &Router) -> String {
    let now = router.clock.now();
    let aged = |StateCount {
                    count,
                    oldest: since,
                }: StateCount,
                what: &str| {
        let age = since.map(|since| format!(" (oldest {} ms)", now.since(since).0 / 1000));
        format!("{count} {what}{}", age.unwrap_or_default())
    };
    let of = |state| router.clients.count(state);
    let desk = router.decisions.borrow();
    let ledger = &desk.effects.in_flight;
    let lookups = aged(
        StateCount {
            count: ledger.lookups(),
            oldest: ledger.oldest_admission(),
        },
        "lookups in hand",
    );
    let clients = [
        aged(of(State::New), "without a request yet"),
        aged(of(State::Partial), "with a part of one"),
        aged(of(State::Resting), "resting"),
        format!("{} closing", of(State::Closing).count),
    ];
    format!(
        "{lookups}, {} part calls out; {} clients: {}",
        ledger.attempts(),
        router.descriptors.clients(),
        clients.join(", ")
    )
}

/// Closes connections without a request and waits until nothing is owed, or until the process may be killed.
async fn when_done(router: &Router, of: Shutdown) {
    router.listener.mark_closed();
    // Only those that rest: who is closing in order has an answer on its way.
    router.clients.end(State::Resting, |_| true);
    loop {
        let now = router.clock.now();
        let (clients, waiting) = (router.descriptors.clients(), router.clients.waiting());
        // One that hands over leaves when that is done: whoever asked for it is owed the word.
        let hands =
            usize::from(router.client_transfer.is_active() && !router.shutdown.is_handed_over());
        if of.may_exit(now, clients + hands, clients.saturating_sub(waiting)) {
            break;
        }
        // Connections that had brought no request yet were left open, and got first requests up to the kill.
        router
            .clients
            .end(State::New, |accepted| of.closes_new(accepted) <= now);
        router.clients.end(State::Partial, |_| of.answers_by <= now);
        Timer::at(router.clock.instant(now + LOOK_AGAIN)).await;
    }
    tracing::info!("stopping: leaves, {}", what_is_out(router));
    let desk = router.decisions.borrow();
    let (office, counts) = (&desk.effects, &desk.effects.counts);
    tracing::info!(
        "stopped: {} lookups taken, {} satisfied, {} nacked, {} aborted, {} lapsed, {} turned away; \
         {} part calls, {} connections to nodes, {} peers at the highest",
        counts.taken,
        counts.satisfied,
        counts.nacked,
        counts.aborted,
        counts.lapsed,
        counts.turned_away,
        counts.calls,
        office.nodes.opened,
        router.descriptors.highest()
    );
}

/// Stays as the parent of the process that has taken over: passes signals on, and ends as it ends. For supervisors that
/// keep their child in the foreground.
pub fn stay(mut heir: Child) -> Result<(), String> {
    let pid = Pid::from_child(&heir);
    let signals = signals::listen()?;
    tracing::info!("upgrade: this process stays as the parent of {}", heir.id());
    future::block_on(async {
        loop {
            if let Some(status) = heir.try_wait().map_err(|e| e.to_string())? {
                return if status.success() {
                    Ok(())
                } else {
                    Err(format!("the process that served: {status}"))
                };
            }
            let look = async {
                Timer::after(LOOK_AT_HEIR).await;
                None
            };
            let signal = match future::or(async { Some(signals.next().await) }, look).await {
                Some(Told::Reload) => Signal::HUP,
                Some(Told::Stop) => Signal::TERM,
                None => continue,
            };
            if let Err(e) = kill_process(pid, signal) {
                tracing::debug!("upgrade: a signal could not be passed on: {e}");
            }
        }
    })
}
