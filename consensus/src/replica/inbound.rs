//! The handling of messages from peers.

use protobuf::Message as _;
use raft::eraftpb::{Message, MessageType};
use raft::StateRole;

use super::{Input, Replica};
use crate::message::PeerMessage;
use crate::{Participation, ReplicaFault, ReplicaId};

impl Replica {
    /// Handles a message from a peer. Ignores bytes that are not a message. If the message is one that only leaders
    /// send and its term is not outdated, passes it to raft-rs and returns its term.
    pub fn step(&mut self, from: ReplicaId, bytes: &[u8]) -> Option<u64> {
        if matches!(self.participation, Participation::Faulted(_)) {
            return None;
        }
        match PeerMessage::decode(bytes)? {
            PeerMessage::Raft(bytes) => return self.step_raft(from, &bytes),
            PeerMessage::PromiseQuery(promise) => self.handle_promise_query(from, promise),
            PeerMessage::PromiseReply(promise) => self.handle_promise_reply(from, promise),
            PeerMessage::PromiseBroadcast(promises) => self.handle_promise_broadcast(promises),
        }
        None
    }

    fn step_raft(&mut self, from: ReplicaId, bytes: &[u8]) -> Option<u64> {
        let message = self.decode_raft_message(from, bytes)?;
        self.record_promise(from, &message);
        if self.participation != Participation::TakesPart {
            return None;
        }
        let kind = message.get_msg_type();
        let is_current = message.term >= self.term();
        if kind == MessageType::MsgHeartbeat && is_current {
            if let Err(outdated) = self.check_heartbeat_commit(message.commit) {
                self.disable(ReplicaFault::Outdated(outdated));
                return None;
            }
        }
        let accepted_term = (is_current && is_from_leader(kind)).then_some(message.term);
        self.apply_input(Input::Message(message));
        accepted_term
    }

    /// Decodes a message and checks that its sender may send it to this replica.
    fn decode_raft_message(&self, from: ReplicaId, bytes: &[u8]) -> Option<Message> {
        let mut message = Message::default();
        message.merge_from_bytes(bytes).ok()?;
        if message.from != from.0 || message.to != self.id().0 {
            return None;
        }
        // raft-rs also uses messages for its internal steps and for proposals; these must not come from a peer.
        let kind = message.get_msg_type();
        if raft::raw_node::is_local_msg(kind) || kind == MessageType::MsgPropose {
            return None;
        }
        Some(message)
    }

    /// Records the sender's promise. An acknowledged index refers to an entry of this log only if the message replies
    /// to this replica as the leader of the same term; a leader of an earlier term may have had another entry at that
    /// index.
    fn record_promise(&mut self, from: ReplicaId, message: &Message) {
        let log_storage = self.raft.store();
        let replies_to_this_leader =
            self.raft.raft.state == StateRole::Leader && message.term == self.raft.raft.term;
        self.peer_promises.record_message(from, message, |index| {
            log_storage
                .term_at(index)
                .filter(|_| replies_to_this_leader)
        });
    }
}

fn is_from_leader(kind: MessageType) -> bool {
    matches!(
        kind,
        MessageType::MsgHeartbeat | MessageType::MsgAppend | MessageType::MsgSnapshot
    )
}
