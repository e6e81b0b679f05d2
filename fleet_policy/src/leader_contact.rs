//! When a voter last accepted a leader's message, by term. A leader grants a lease only after a majority has accepted a
//! message that it sent after it received the request. So the voters of the next term can report to its leader a minimum
//! age of the leases that earlier leaders granted, and the new leader need not count these leases from its own election.

#[cfg(test)]
mod tests;

use ternpick::types::Micros;

/// When this router's replica last accepted messages of leaders. [`crate::FleetNode`] keeps it and reports it to the
/// leader with each lease request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LeaderContact {
    /// The latest term in which the replica accepted a leader's message.
    term: u64,
    /// When it accepted the last message of that term's leader.
    last: Micros,
    /// When it accepted the last message of a leader of any earlier term.
    last_of_earlier_term: Micros,
}

impl LeaderContact {
    /// The initial value. A process that starts does not know when its predecessor last accepted a message: that may
    /// have been just before.
    pub(crate) fn at_start(now: Micros) -> LeaderContact {
        LeaderContact {
            term: 0,
            last: now,
            last_of_earlier_term: now,
        }
    }

    /// Records that the replica accepted a message of the leader of this term; a message of an earlier term changes
    /// nothing.
    pub(crate) fn accepted(&mut self, now: Micros, term: u64) {
        if term > self.term {
            self.term = term;
            self.last_of_earlier_term = self.last;
        }
        if term == self.term {
            self.last = now;
        }
    }

    /// When the replica accepted the last message of a leader of any term before `term`.
    pub(crate) fn last_before(&self, term: u64) -> Micros {
        if term == self.term {
            self.last_of_earlier_term
        } else {
            self.last
        }
    }
}
