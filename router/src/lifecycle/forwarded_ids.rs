//! Passes the ids of queries that must not run twice to the new process of a hot restart.
//!
//! The old process sends them once the new one accepts clients, in pieces of the kind of message that carries the
//! snapshot; a new process of an earlier release ignores these while it serves. From then on the old process admits no
//! further such query. The new process lets such queries wait until the ids have come.

use ternpick::types::Micros;

use crate::router::Router;
use crate::state::forwarded_ids::RetainedId;

/// The number of ids in one piece, which stays below the longest body of a message.
const IDS_IN_A_PIECE: usize = 4096;
/// How long a new process waits for the ids. An old process of an earlier release sends none.
const MAX_WAIT: Micros = Micros(100_000);

/// Returns the ids of all queries that must not run twice, ended or in flight, in encoded pieces; at least one.
pub(crate) fn pieces(router: &Router) -> Vec<Vec<u8>> {
    let now = router.clock.now();
    let mut decisions = router.decisions.borrow_mut();
    let effects = &mut decisions.effects;
    let in_flight = effects.in_flight.ids_that_run_once();
    let ids = effects.forwarded_ids.retained_with(now, in_flight);
    if ids.is_empty() {
        return vec![encode(&[])];
    }
    ids.chunks(IDS_IN_A_PIECE).map(encode).collect()
}

fn encode(ids: &[RetainedId]) -> Vec<u8> {
    postcard::to_stdvec(ids).unwrap_or_default()
}

/// Keeps the ids of a piece; `left` pieces follow.
pub(crate) fn restore(router: &Router, left: u32, piece: &[u8]) {
    match postcard::from_bytes::<Vec<RetainedId>>(piece) {
        Ok(ids) => {
            let now = router.clock.now();
            let mut decisions = router.decisions.borrow_mut();
            decisions.effects.forwarded_ids.restore(now, &ids);
        }
        Err(error) => tracing::warn!(%error, "hot restart: ids of forwarded queries unusable"),
    }
    if left == 0 {
        router.predecessor_ids.set_received();
    }
}

/// Begins to wait for the ids of the old process.
pub(crate) fn await_predecessor(router: &Router) {
    router
        .predecessor_ids
        .await_until(router.clock.now() + MAX_WAIT);
}
