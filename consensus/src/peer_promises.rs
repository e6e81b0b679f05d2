//! The promises of all replicas, as far as this replica has received them.
//!
//! A replica whose state is an older copy lacks the promises that it has made since. Its peers have received them, so a
//! starting replica queries its peers before it takes part (`replica/promise_check.rs`).

use std::collections::BTreeMap;

use raft::eraftpb::{Message, MessageType};
use serde::{Deserialize, Serialize};

use crate::promise::{LogPosition, Promise};
use crate::ReplicaId;

/// One promise for each replica. [`PeerPromises::retain`] removes the promises of removed replicas.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct PeerPromises(BTreeMap<ReplicaId, Promise>);

impl PeerPromises {
    /// The promise of `replica`, or the lowest possible one if none is known.
    pub(crate) fn get(&self, replica: ReplicaId) -> Promise {
        self.0.get(&replica).copied().unwrap_or_default()
    }

    pub(crate) fn join(&mut self, replica: ReplicaId, promise: Promise) {
        let known = self.0.entry(replica).or_default();
        *known = known.join(promise);
    }

    pub(crate) fn all(&self) -> Vec<(ReplicaId, Promise)> {
        self.0
            .iter()
            .map(|(replica, promise)| (*replica, *promise))
            .collect()
    }

    /// Removes the promises of all replicas except `replicas`.
    pub(crate) fn retain(&mut self, replicas: &[ReplicaId]) {
        self.0.retain(|replica, _| replicas.contains(replica));
    }

    /// Records the promise that a raft-rs message of `from` implies. `term_at` returns the term of the entry at an
    /// index that the message acknowledges, or None if it is not known to be an entry of this log.
    pub(crate) fn record_message(
        &mut self,
        from: ReplicaId,
        message: &Message,
        term_at: impl Fn(u64) -> Option<u64>,
    ) {
        let mut promise = Promise {
            term: message.term,
            ..Promise::default()
        };
        match message.get_msg_type() {
            // The term of a pre-vote message is one that its sender has not entered: the message promises nothing.
            MessageType::MsgRequestPreVote | MessageType::MsgRequestPreVoteResponse => return,
            MessageType::MsgRequestVote => promise.vote = message.from,
            MessageType::MsgRequestVoteResponse if !message.reject => promise.vote = message.to,
            MessageType::MsgAppendResponse if !message.reject => {
                promise.last = term_at(message.index)
                    .map(|term| LogPosition {
                        term,
                        index: message.index,
                    })
                    .unwrap_or_default();
            }
            _ => {}
        }
        self.join(from, promise);
    }
}
