//! Batches of other routers that wait for the event loop's next turn.

use std::collections::VecDeque;

use ternpick_fleet_policy::{Member, PeerMessage};

use super::fragments::FragmentBuffer;
use super::peer_batch::PeerBatch;
use super::Fleet;

/// Batches that wait at a time; of more, the oldest are dropped, as on any network.
const MAX_BATCHES: usize = 1024;

/// What other routers have sent.
#[derive(Default)]
pub(super) struct PeerInbox {
    batches: VecDeque<PeerBatch>,
    fragments: FragmentBuffer,
}

/// A message, and the member that has sent it.
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

    /// The complete messages of the oldest batch; none: no batch waits.
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
    /// Takes a batch that another router has sent.
    pub(super) fn receive(&self, batch: PeerBatch) {
        self.inbox.borrow_mut().add(batch);
        self.wake.notify(1);
    }

    /// The complete messages of the oldest batch; none: no batch waits.
    pub(super) fn next_messages(&self) -> Option<Vec<ReceivedMessage>> {
        self.inbox.borrow_mut().next_messages()
    }
}
