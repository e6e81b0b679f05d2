//! Batches received from other routers, queued for the event loop's next turn.

use std::collections::VecDeque;

use ternpick_fleet_policy::{Member, PeerMessage};

use super::fragments::FragmentBuffer;
use super::peer_batch::PeerBatch;
use super::Fleet;

/// The maximum number of queued batches. Beyond it the oldest are dropped, which the protocol tolerates like any
/// message loss on the network.
const MAX_BATCHES: usize = 1024;

/// The queue of received batches, and the fragments of messages that are not complete yet.
#[derive(Default)]
pub(super) struct PeerInbox {
    batches: VecDeque<PeerBatch>,
    fragments: FragmentBuffer,
}

/// A complete message and the member that sent it.
pub(super) struct ReceivedMessage {
    pub(super) from: Member,
    pub(super) message: PeerMessage,
}

impl PeerInbox {
    fn add(&mut self, batch: PeerBatch) {
        if self.batches.len() >= MAX_BATCHES {
            self.batches.pop_front();
        }
        self.batches.push_back(batch);
    }

    /// Removes the oldest batch and returns its complete messages; `None` if no batch is queued.
    fn next_messages(&mut self) -> Option<Vec<ReceivedMessage>> {
        let PeerBatch { from, messages, .. } = self.batches.pop_front()?;
        let mut complete = Vec::new();
        for message in messages {
            if let Some(message) = self.fragments.add(&from, message) {
                let from = from.clone();
                complete.push(ReceivedMessage { from, message });
            }
        }
        Some(complete)
    }
}

impl Fleet {
    /// Queues a batch from another router and wakes the event loop.
    pub(super) fn receive(&self, batch: PeerBatch) {
        self.inbox.borrow_mut().add(batch);
        self.wake.notify(1);
    }

    /// Removes the oldest batch and returns its complete messages; `None` if no batch is queued.
    pub(super) fn next_messages(&self) -> Option<Vec<ReceivedMessage>> {
        self.inbox.borrow_mut().next_messages()
    }
}
