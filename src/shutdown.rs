//! The deadlines of a graceful shutdown, all known once the signal arrives.
//!
//! All code that runs during a shutdown uses these deadlines and computes none of its own. When the deadline of
//! a query and that of the process were computed separately (0.7 s plus the longest deadline in each case), a
//! process could exit, or be killed, with queries in flight.

use crate::time::Micros;

#[cfg(test)]
mod tests;

/// The time after the signal during which new connections may still arrive, by the platform's protocol.
const ACCEPT_PERIOD: Micros = Micros(700_000);
/// The upper bound on the deadline that is counted, by the platform's protocol: the kill may come this long after
/// the end of [`ACCEPT_PERIOD`].
const MAX_COUNTED_DEADLINE: Micros = Micros(3_000_000);
/// The time that a process may be stalled between reading its clock and writing, by the operators' requirements.
const STALL_ALLOWANCE: Micros = Micros(150_000);
/// The time reserved for a tick of the rules, for the write, and for the transfer to the client.
const WRITE_ALLOWANCE: Micros = Micros(50_000);
/// The time that a stalled process still uses after the earliest kill, in case the kill is late.
const LATE_KILL_ALLOWANCE: Micros = Micros(1_000_000);
/// The time that a newly accepted connection has to send its first byte.
const FIRST_BYTE_TIMEOUT: Micros = Micros(200_000);

/// The deadlines of one graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// When the signal arrived.
    pub requested_at: Micros,
    /// The time until which connections are accepted. Then connections without a request are closed.
    pub accepts_until: Micros,
    /// The time by which every request that was read is answered. Queries end early enough for it, and requests that
    /// arrive too late are refused.
    pub answers_by: Micros,
    /// The time at which the process exits if no answer is outstanding; it does not wait for clients that have their
    /// answers. It exits earlier if no client is connected.
    pub exit_by: Micros,
    /// The time at which the process exits in any case. A process that was stalled past the other deadlines, and was
    /// not killed, sends answers until then.
    pub final_exit_at: Micros,
}

impl ShutdownSchedule {
    /// Computes the deadlines of a shutdown requested at `requested_at`, where `longest_deadline` is the longest
    /// deadline of any client.
    pub fn new(requested_at: Micros, longest_deadline: Option<Micros>) -> Self {
        let counted_deadline = longest_deadline
            .unwrap_or(MAX_COUNTED_DEADLINE)
            .min(MAX_COUNTED_DEADLINE);
        let accepts_until = requested_at + ACCEPT_PERIOD;
        let earliest_kill = accepts_until + counted_deadline;
        let reserve = (STALL_ALLOWANCE + WRITE_ALLOWANCE).min(counted_deadline.times(0.5));
        ShutdownSchedule {
            requested_at,
            accepts_until,
            answers_by: Micros(earliest_kill.0 - reserve.0),
            exit_by: Micros(earliest_kill.0 - reserve.times(0.25).0),
            final_exit_at: earliest_kill + LATE_KILL_ALLOWANCE,
        }
    }

    /// Whether the process should exit, given the number of connected clients and how many of them still wait for an
    /// answer.
    pub fn may_exit(&self, now: Micros, clients: usize, unanswered: usize) -> bool {
        let all_are_answered = now >= self.exit_by && unanswered == 0;
        clients == 0 || all_are_answered || now >= self.final_exit_at
    }

    /// Returns when a connection accepted at `accepted` is closed if it has not sent a byte. A connection left open
    /// could bring its first request as late as the kill: in an incident, connections were 1.1 to 1.5 s old when
    /// they sent their first request.
    pub fn unused_connection_closes_at(&self, accepted: Micros) -> Micros {
        self.accepts_until
            .max(accepted + FIRST_BYTE_TIMEOUT)
            .min(self.answers_by)
    }
}
