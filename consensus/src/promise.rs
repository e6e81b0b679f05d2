//! Promises: the term, vote and log position that a replica has sent to its peers and must not go back behind; and the
//! comparison of promises that detects an older copy of a replica's state.

use std::cmp::Ordering;
use std::fmt;

use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// The term and index of a log entry, ordered by term first. The position of a log's last entry never decreases.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPosition {
    /// The term in which a leader appended the entry. It is the first field because the derived order compares it
    /// first.
    pub term: u64,
    /// The index of the entry in the log.
    pub index: u64,
}

impl fmt::Display for LogPosition {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{} of term {}", self.index, self.term)
    }
}

/// A lower bound of the term, the vote and the last entry that a replica has sent or acknowledged to its peers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct Promise {
    pub(crate) term: u64,
    /// The candidate that the replica voted for in `term`; 0 if unknown or none.
    pub(crate) vote: u64,
    /// The last entry of the replica's log.
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

    /// Checks that this promise, which peers have received from a replica, is covered by the `own` promise that the
    /// replica's state contains.
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

/// A message that peers have received from a replica and that contradicts the replica's state: the state is an older
/// copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OutdatedState {
    /// The replica has sent messages of a later term than its state contains.
    #[error("it has sent messages in term {promised}, its own state ends in term {own}")]
    Term {
        /// The latest term in which peers have received messages.
        promised: u64,
        /// The term of the state.
        own: u64,
    },
    /// The replica has voted in its present term, and its state does not contain that vote.
    #[error("it has voted for replica {candidate} in term {term}, its own state has no such vote")]
    Vote {
        /// The candidate's replica id.
        candidate: u64,
        /// The term of the vote.
        term: u64,
    },
    /// The replica has acknowledged an entry after the last one of its log.
    #[error("it has acknowledged entry {promised}, its own log ends at {own}")]
    Entry {
        /// The last acknowledged entry that peers know of.
        promised: LogPosition,
        /// The last entry of the replica's log.
        own: LogPosition,
    },
    /// The leader has recorded that the replica acknowledged an entry after the last one of its log.
    #[error("it has acknowledged entry {commit}, its own log ends at {last}")]
    Commit {
        /// The commit index that the leader sent.
        commit: u64,
        /// The index of the last entry of the replica's log.
        last: u64,
    },
}
