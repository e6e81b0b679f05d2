//! What voters have promised, as others heard it. A voter whose state is an older copy does not know what it has answered
//! for since; the others do, and it asks them before it takes part.

use std::collections::BTreeMap;

use raft::eraftpb::{Message, MessageType};
use serde::{Deserialize, Serialize};

use crate::ReplicaId;

/// How far a seat has gone, at least.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Promise {
    pub term: u64,
    /// Whom it voted for in that term; 0: not known.
    pub vote: u64,
    /// The term and place of the last entry that it has, in this order: a log never goes back in it.
    pub last: (u64, u64),
}

impl Promise {
    /// Both together.
    pub fn join(self, other: Promise) -> Promise {
        let vote = match self.term.cmp(&other.term) {
            std::cmp::Ordering::Greater => self.vote,
            std::cmp::Ordering::Less => other.vote,
            std::cmp::Ordering::Equal => self.vote.max(other.vote),
        };
        Promise {
            term: self.term.max(other.term),
            vote,
            last: self.last.max(other.last),
        }
    }

    /// Words for what of this promise `own` does not know: then that is an older copy.
    pub fn beyond(&self, own: &Promise) -> Option<String> {
        if self.term > own.term {
            return Some(format!(
                "it has spoken in term {}, its own state ends in {}",
                self.term, own.term
            ));
        }
        if self.term == own.term && self.vote != 0 && self.vote != own.vote {
            return Some(format!(
                "it has voted for seat {} in term {}, its own state does not know",
                self.vote, self.term
            ));
        }
        if self.last > own.last {
            let ((term, index), own) = (self.last, own.last);
            return Some(format!(
                "it has answered for entry {index} of term {term}, its own ends at {} of {}",
                own.1, own.0
            ));
        }
        None
    }
}

/// One entry a seat; emptied of seats that vote no longer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PeerPromises(BTreeMap<ReplicaId, Promise>);

impl PeerPromises {
    pub fn of(&self, replica: ReplicaId) -> Promise {
        self.0.get(&replica).copied().unwrap_or_default()
    }

    pub fn join(&mut self, replica: ReplicaId, promise: Promise) {
        let known = self.0.entry(replica).or_default();
        *known = known.join(promise);
    }

    pub fn all(&self) -> Vec<(ReplicaId, Promise)> {
        self.0
            .iter()
            .map(|(replica, promise)| (*replica, *promise))
            .collect()
    }

    pub fn keep_only(&mut self, seats: &[ReplicaId]) {
        self.0.retain(|replica, _| seats.contains(replica));
    }

    /// A message says how far its sender is; `term_at` tells the terms of entries that are here.
    pub fn heard(
        &mut self,
        from: ReplicaId,
        message: &Message,
        term_at: impl Fn(u64) -> Option<u64>,
    ) {
        // What is only asked whether it would be is no promise.
        let kind = message.get_msg_type();
        if matches!(
            kind,
            MessageType::MsgRequestPreVote | MessageType::MsgRequestPreVoteResponse
        ) {
            return;
        }
        let mut promise = Promise {
            term: message.term,
            ..Promise::default()
        };
        match kind {
            MessageType::MsgRequestVote => promise.vote = message.from,
            MessageType::MsgRequestVoteResponse if !message.reject => promise.vote = message.to,
            MessageType::MsgAppendResponse if !message.reject => {
                promise.last = term_at(message.index).map_or((0, 0), |term| (term, message.index));
            }
            _ => {}
        }
        self.join(from, promise);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn some() -> impl Strategy<Value = Promise> {
        (0u64..4, 0u64..4, 0u64..4, 0u64..6).prop_map(|(term, vote, last, index)| Promise {
            term,
            vote,
            last: (last, index),
        })
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]
        #[test]
        fn promises_join_in_any_order_and_as_often_as_they_come(a in some(), b in some(), c in some()) {
            prop_assert_eq!(a.join(b), b.join(a));
            prop_assert_eq!(a.join(b).join(c), a.join(b.join(c)));
            prop_assert_eq!(a.join(a), a);
        }

        #[test]
        fn one_that_kept_its_state_is_never_taken_for_an_older_copy(a in some(), more in some()) {
            // What was promised is known to who promised it, and a vote stands for its whole term.
            let mut own = a.join(more);
            if a.term == own.term && a.vote != 0 {
                own.vote = a.vote;
            }
            prop_assert_eq!(a.beyond(&own), None);
        }
    }
}
