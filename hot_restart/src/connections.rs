//! Which client connections go over to the new process.

use ternpick::types::Micros;

/// How long after the first connection went over requests that clients have sent ahead are still answered by the old process.
/// A client that sends ahead for ever does not keep the old process for ever.
const MAX_SENT_AHEAD_WAIT: Micros = Micros(3_000_000);

/// Whether a connection between two requests goes over, where connections have been going over since `began_at`.
/// `sent_ahead_at`: since when the next request, or a part of it, waits behind the one that was answered.
///
/// The old process answers what it has read. The messages do not say how long a request has waited: its deadline was counted
/// anew by the new process, and nodes were told more time than its client had left. A TLS connection cannot go over at all, and
/// a request that had been read from it was lost.
pub fn should_migrate(began_at: Micros, sent_ahead_at: Option<Micros>) -> bool {
    sent_ahead_at.is_none_or(|at| at >= began_at + MAX_SENT_AHEAD_WAIT)
}
