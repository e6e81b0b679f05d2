//! Graceful shutdown: its instants, all known from the signal on. Every path during a shutdown reads them, none
//! counts its own: two that did (0.7 s and the longest deadline, once for a query and once for the process) let
//! a process leave, or be killed, with queries in hand.

use crate::time::Micros;

#[cfg(test)]
mod tests;

/// New connections may go on coming for so long after the signal, by the protocol.
const ACCEPT_TIME: Micros = Micros(700_000);
/// Longer deadlines count as this, by the protocol: the kill may come so long after [`ACCEPT_TIME`].
const LONGEST_COUNTED_DEADLINE: Micros = Micros(3_000_000);
/// A process may be held up for so long between reading its clock and writing, by the operators' terms.
const STALL_ALLOWANCE: Micros = Micros(150_000);
/// For the tick of the rules, the write, and the way to the client.
const WRITE_ALLOWANCE: Micros = Micros(50_000);
/// A kill that is late leaves so long to a process that was held up.
const LATE_KILL_ALLOWANCE: Micros = Micros(1_000_000);
/// A connection that has just been accepted has so long to bring its first byte.
const FIRST_BYTE_TIME: Micros = Micros(200_000);

/// What a shutdown keeps to, from the signal on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// The signal.
    pub requested_at: Micros,
    /// Until then connections are accepted; then those without a request on them are closed.
    pub accepts_until: Micros,
    /// By then all that was read is answered: queries end sooner for it, and what comes too late for that is
    /// refused.
    pub answers_by: Micros,
    /// The process leaves then, and sooner if nobody is connected: a client that has its answer is waited for no
    /// longer.
    pub exit_by: Micros,
    /// A process that was held up over all that, and was not killed, still answers, up to here.
    pub final_exit_at: Micros,
}

impl ShutdownSchedule {
    /// The instants of a shutdown that was requested at `requested_at`, where no client has a longer deadline
    /// than `longest_deadline`.
    pub fn new(requested_at: Micros, longest_deadline: Option<Micros>) -> Self {
        let counted = longest_deadline
            .unwrap_or(LONGEST_COUNTED_DEADLINE)
            .min(LONGEST_COUNTED_DEADLINE);
        let accepts_until = requested_at + ACCEPT_TIME;
        let kill = accepts_until + counted;
        let spare = (STALL_ALLOWANCE + WRITE_ALLOWANCE).min(counted.times(0.5));
        ShutdownSchedule {
            requested_at,
            accepts_until,
            answers_by: Micros(kill.0 - spare.0),
            exit_by: Micros(kill.0 - spare.times(0.25).0),
            final_exit_at: kill + LATE_KILL_ALLOWANCE,
        }
    }

    /// Whether the process is to leave, with so many clients connected and `unanswered` of them without their
    /// answer.
    pub fn may_exit(&self, now: Micros, clients: usize, unanswered: usize) -> bool {
        let all_are_answered = now >= self.exit_by && unanswered == 0;
        clients == 0 || all_are_answered || now >= self.final_exit_at
    }

    /// When a connection accepted at `accepted` that has brought no byte yet is closed. One that stays open gets
    /// first requests up to the kill (connections of the incident were 1.1 to 1.5 s old at their first).
    pub fn unused_connection_closes_at(&self, accepted: Micros) -> Micros {
        self.accepts_until
            .max(accepted + FIRST_BYTE_TIME)
            .min(self.answers_by)
    }
}
