//! Graceful shutdown: the instants of a stop, all known from the signal on. Every path under a stop reads
//! them, none counts its own: two that did (0.7 s and the longest deadline, once for a lookup and once for
//! the process) let a process leave, or be killed, with lookups in hand.

use crate::types::Micros;

#[cfg(test)]
mod tests;

/// New connections may go on coming for so long after the signal, by the protocol.
const ACCEPTS: Micros = Micros(700_000);
/// Longer deadlines count as this, by the protocol: the kill may come so long after `ACCEPTS`.
const COUNTED: Micros = Micros(3_000_000);
/// A process may be held up for so long between reading its clock and writing, by the operators' terms.
const HELD_UP: Micros = Micros(150_000);
/// For the beat of the rules, the write, and the way to the client.
const WRITES: Micros = Micros(50_000);
/// A kill that is late leaves so long to a process that has been held up.
const LATE: Micros = Micros(1_000_000);
/// A connection that has just been accepted has so long to bring its first byte.
const FIRST_BYTE: Micros = Micros(200_000);

/// What a stop keeps to, from the signal on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// The signal.
    pub requested_at: Micros,
    /// Until then connections are accepted; then those without a request on them are closed.
    pub accepts_until: Micros,
    /// By then all that was read is answered: lookups end sooner for it, and what comes too late for that
    /// is refused.
    pub answers_by: Micros,
    /// The process leaves then, and sooner if nobody is connected: who has had its answer is waited for no
    /// longer.
    pub exit_by: Micros,
    /// One that was held up over all that, and was not killed, still pays what it owes, up to here.
    pub gives_up_at: Micros,
}

impl Shutdown {
    pub fn new(told: Micros, longest_deadline: Option<Micros>) -> Self {
        let counted = longest_deadline.unwrap_or(COUNTED).min(COUNTED);
        let kill = told + ACCEPTS + counted;
        let spare = (HELD_UP + WRITES).min(counted.times(0.5));
        Shutdown {
            requested_at: told,
            accepts_until: told + ACCEPTS,
            answers_by: Micros(kill.0 - spare.0),
            exit_by: Micros(kill.0 - spare.times(0.25).0),
            gives_up_at: kill + LATE,
        }
    }

    /// Whether the process is to leave, with so many clients connected and `owed` of them without their
    /// answer.
    pub fn may_exit(&self, now: Micros, clients: usize, owed: usize) -> bool {
        clients == 0 || now >= self.exit_by && owed == 0 || now >= self.gives_up_at
    }

    /// When a connection accepted at `accepted` that has brought no byte yet is closed. One that stays open
    /// gets first requests up to the kill (connections of the incident were 1.1 to 1.5 s old at their
    /// first).
    pub fn closes_new(&self, accepted: Micros) -> Micros {
        self.accepts_until
            .max(accepted + FIRST_BYTE)
            .min(self.answers_by)
    }
}
