//! Stop: on SIGTERM or SIGINT a router goes on accepting and serving for a while, then leaves by itself once
//! nothing that it has taken is unanswered.

use async_executor::Task;
use async_io::Timer;
use ternpick::types::Micros;

use crate::stages::Router;

/// New connections may go on coming for so long after the signal, by the protocol.
const STILL_ACCEPTS: Micros = Micros(700_000);
/// How often it is looked whether all is answered.
const LOOK_AGAIN: Micros = Micros(5_000);

/// From the signal on: accepts for as long as connections still come, then answers what is in hand.
pub async fn stop(router: &Router, accepting: Task<()>) {
    let now = router.clock.now();
    router.stopping.set(Some(now));
    let lookups = router.desk.borrow().office.ledger.lookups();
    tracing::info!("stopping: {lookups} lookups in hand");
    Timer::at(router.clock.instant(now + STILL_ACCEPTS)).await;
    router.closing.notify(usize::MAX);
    accepting.await;
    when_done(router).await;
}

/// Closes idle connections and waits until none is busy, or until no client waits any more.
async fn when_done(router: &Router) {
    let longest = router.bounds.longest_deadline.unwrap_or_default();
    let last = router.clock.now() + longest;
    router.accepts_no_more.set(true);
    router.clients.keep_idle(0);
    while router.descriptors.clients() > 0 && router.clock.now() < last {
        Timer::at(router.clock.instant(router.clock.now() + LOOK_AGAIN)).await;
    }
    let desk = router.desk.borrow();
    let (office, counts) = (&desk.office, &desk.office.counts);
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
