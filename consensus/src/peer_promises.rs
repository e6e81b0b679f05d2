//! What this replica knows of the promises of its peers.
//!
//! A replica whose state is an older copy does not know what it has promised since. Its peers do: it asks them before it
//! takes part (`replica/promise_check.rs`).

use std::collections::BTreeMap;

use raft::eraftpb::{Message, MessageType};
use serde::{Deserialize, Serialize};

use crate::promise::{LogPosition, Promise};
use crate::ReplicaId;

/// One promise for each replica. [`PeerPromises::retain`] removes those of replicas that have left.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct PeerPromises(BTreeMap<ReplicaId, Promise>);

impl PeerPromises {
    /// The promise of `replica`; the lowest one if nothing is known.
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

    /// Removes the promises of all replicas but these.
    pub(crate) fn retain(&mut self, replicas: &[ReplicaId]) {
        self.0.retain(|replica, _| replicas.contains(replica));
    }

    /// Takes the promise in from a raft-rs message of `from`. `term_at` returns the term of an entry of the log in which
    /// the message's indexes are known to be meant.
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
            // A pre-vote asks about a term that its sender has not entered: it promises nothing.
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
