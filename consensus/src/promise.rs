//! How far a replica has committed itself towards its peers, and the comparison that detects an older copy of its state.

use std::cmp::Ordering;
use std::fmt;

use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// The term and index of a log entry. The last position of a log only moves up in this order.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// The term in which a leader appended the entry. First, because the order compares it first.
    pub term: u64,
    /// The index of the entry in the log.
    pub index: u64,
}

impl fmt::Display for LogPosition {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} of term {}", self.index, self.term)
    }
}

/// A lower bound of what a replica has told its peers: its term, its vote, its acknowledged entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Promise {
    pub(crate) term: u64,
    /// The candidate that it voted for in `term`; 0 if unknown or none.
    pub(crate) vote: u64,
    /// The last entry of its log.
    pub(crate) last: LogPosition,
}

impl Promise {
    /// The least promise that covers both. Commutative, associative and idempotent, so that messages may be reordered
    /// and duplicated.
    pub(crate) fn join(self, other: Promise) -> Promise {
        let vote = match self.term.cmp(&other.term) {
            Ordering::Greater => self.vote,
            Ordering::Less => other.vote,
            Ordering::Equal => self.vote.max(other.vote),
        };
        Promise {
            term: self.term.max(other.term),
            vote,
            last: self.last.max(other.last),
        }
    }

    /// Checks that the replica's `own` state covers this promise, which peers have received from it.
    pub(crate) fn check_covered_by(&self, own: &Promise) -> Result<(), OutdatedState> {
        if self.term > own.term {
            return Err(OutdatedState::Term {
                promised: self.term,
                own: own.term,
            });
        }
        if self.term == own.term && self.vote != 0 && self.vote != own.vote {
            return Err(OutdatedState::Vote {
                candidate: self.vote,
                term: self.term,
            });
        }
        if self.last > own.last {
            return Err(OutdatedState::Entry {
                promised: self.last,
                own: own.last,
            });
        }
        Ok(())
    }
}

/// What peers have received from a replica that its own state does not contain: the state is an older copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OutdatedState {
    /// It has sent messages of a later term.
    #[error("it has sent messages in term {promised}, its own state ends in term {own}")]
    Term {
        /// The term that peers know of.
        promised: u64,
        /// The term of the state.
        own: u64,
    },
    /// It has voted in its present term, and the state does not contain that vote.
    #[error("it has voted for replica {candidate} in term {term}, its own state has no such vote")]
    Vote {
        /// The candidate's replica id.
        candidate: u64,
        /// The term of the vote.
        term: u64,
    },
    /// It has acknowledged an entry after its last one.
    #[error("it has acknowledged entry {promised}, its own log ends at {own}")]
    Entry {
        /// The last entry that peers know it has acknowledged.
        promised: LogPosition,
        /// The last entry of its log.
        own: LogPosition,
    },
    /// The leader counts it among those that hold an entry after its last one.
    #[error("it has acknowledged entry {commit}, its own log ends at {last}")]
    Commit {
        /// The commit index that the leader sent.
        commit: u64,
        /// The index of the last entry of its log.
        last: u64,
    },
}
