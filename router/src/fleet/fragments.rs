//! Splits messages that are too long for one batch into fragments, and reassembles them.

use std::collections::BTreeMap;

use ternpick_fleet_policy::{Member, PeerMessage};

#[cfg(test)]
mod release_bytes;
#[cfg(test)]
mod tests;

/// The maximum number of payload bytes in one fragment.
const FRAGMENT_BYTES: usize = 48 * 1024;
/// The maximum number of fragments of one message.
const MAX_FRAGMENTS: u16 = 48;

/// Splits a message into fragments that carry the message number `number`. Returns `None` if the message needs more
/// than [`MAX_FRAGMENTS`]. Without fragments, the maintenance state of many machines was dropped repeatedly on its way
/// to a voter that had to catch up.
pub(super) fn split(message: &PeerMessage, number: u64) -> Option<Vec<PeerMessage>> {
    let bytes = postcard::to_stdvec(message).ok()?;
    let count = u16::try_from(bytes.len().div_ceil(FRAGMENT_BYTES))
        .ok()
        .filter(|count| *count <= MAX_FRAGMENTS)?;
    let fragments = (0..count)
        .zip(bytes.chunks(FRAGMENT_BYTES))
        .map(|(index, chunk)| PeerMessage::Fragment {
            number,
            index,
            count,
            bytes: chunk.to_vec(),
        });
    Some(fragments.collect())
}

/// The received fragments of the newest message of each peer. A peer's fragments are removed when the message is
/// complete, and replaced when a newer message begins.
#[derive(Default)]
pub(super) struct FragmentBuffer(BTreeMap<Member, IncompleteMessage>);

#[derive(Default)]
struct IncompleteMessage {
    number: u64,
    fragments: Vec<Option<Vec<u8>>>,
}

impl IncompleteMessage {
    fn new(number: u64, count: u16) -> IncompleteMessage {
        IncompleteMessage {
            number,
            fragments: vec![None; usize::from(count)],
        }
    }

    fn is_part_of(&self, number: u64, count: u16) -> bool {
        self.number == number && self.fragments.len() == usize::from(count)
    }

    fn is_complete(&self) -> bool {
        self.fragments.iter().all(Option::is_some)
    }
}

impl FragmentBuffer {
    /// Adds a received message. Returns it if it is not a fragment, or the reassembled message if its last missing
    /// fragment has arrived.
    pub(super) fn add(&mut self, from: &Member, message: PeerMessage) -> Option<PeerMessage> {
        let PeerMessage::Fragment {
            number,
            index,
            count,
            bytes,
        } = message
        else {
            return Some(message);
        };
        if count == 0 || index >= count || count > MAX_FRAGMENTS || bytes.len() > FRAGMENT_BYTES {
            return None;
        }
        let incomplete = self.0.entry(from.clone()).or_default();
        if !incomplete.is_part_of(number, count) {
            *incomplete = IncompleteMessage::new(number, count);
        }
        incomplete.fragments[usize::from(index)] = Some(bytes);
        if !incomplete.is_complete() {
            return None;
        }
        let complete = self.0.remove(from)?;
        let bytes: Vec<u8> = complete.fragments.into_iter().flatten().flatten().collect();
        postcard::from_bytes(&bytes).ok()
    }
}
