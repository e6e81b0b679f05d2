//! When a voter last accepted a leader's message, by term. A leader grants a lease only once a majority has accepted its
//! message after the request came. So the voters of the next term can tell its leader how old the leases that earlier
//! leaders granted are at the least, and it need not count them from its own election on.

#[cfg(test)]
mod tests;

use ternpick::types::Micros;

/// Kept by [`crate::FleetNode`] for its own replica; reported to the leader with each lease request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LeaderContact {
    /// The latest term in which a leader's message was accepted.
    term: u64,
    /// When the last one of that term was accepted.
    last: Micros,
    /// When the last one of any earlier term was accepted.
    last_of_earlier_term: Micros,
}

impl LeaderContact {
    /// A process that starts does not know what the one before it has accepted: that may have been just now.
    pub(crate) fn at_start(now: Micros) -> LeaderContact {
        LeaderContact {
            term: 0,
            last: now,
            last_of_earlier_term: now,
        }
    }

    /// A message of the leader of this term is accepted; one of an earlier term changes nothing.
    pub(crate) fn accepted(&mut self, now: Micros, term: u64) {
        if term > self.term {
            self.term = term;
            self.last_of_earlier_term = self.last;
        }
        if term == self.term {
            self.last = now;
        }
    }

    /// When the last message of a leader of any term before this one was accepted.
    pub(crate) fn last_before(&self, term: u64) -> Micros {
        if term == self.term {
            self.last_of_earlier_term
        } else {
            self.last
        }
    }
}
