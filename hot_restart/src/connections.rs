//! Decides which client connections the old process passes to the new one.

use ternpick::types::Micros;

/// How long after the start of the migration the old process still answers requests that clients have sent ahead. The
/// limit keeps a client that never stops sending ahead from holding the old process open.
const MAX_SENT_AHEAD_WAIT: Micros = Micros(3_000_000);

/// Whether the old process passes on a connection that is between two requests. `began_at` is when the migration of
/// connections began, `sent_ahead_at` since when the next request or a part of it waits behind the one that was
/// answered.
///
/// The old process answers the requests that it has read. The messages between the processes do not contain how long
/// a request has waited: the new process would count its deadline anew and send nodes a longer deadline than the
/// client has left. A TLS connection cannot be passed at all, so a request that was read from it would be lost.
pub fn should_migrate(began_at: Micros, sent_ahead_at: Option<Micros>) -> bool {
    sent_ahead_at.is_none_or(|at| at >= began_at + MAX_SENT_AHEAD_WAIT)
}
