//! Splits messages that are longer than a batch into fragments, and puts them together again.

use std::collections::BTreeMap;

use ternpick_fleet_policy::{Member, PeerMessage};

#[cfg(test)]
mod release_bytes;
#[cfg(test)]
mod tests;

/// The bytes in one fragment.
const FRAGMENT_BYTES: usize = 48 * 1024;
/// The most fragments of one message.
const MAX_FRAGMENTS: u16 = 48;

/// Splits a message into fragments under a number; none: it is longer than any message that is sent. Without fragments, the
/// state of many machines in maintenance was dropped time and again on its way to a voter that had to catch up.
pub(super) fn split(message: &PeerMessage, number: u64) -> Option<Vec<PeerMessage>> {
    let bytes = postcard::to_stdvec(message).ok()?;
    let of = u16::try_from(bytes.len().div_ceil(FRAGMENT_BYTES))
        .ok()
        .filter(|of| *of <= MAX_FRAGMENTS)?;
    let fragments = (0..of)
        .zip(bytes.chunks(FRAGMENT_BYTES))
        .map(|(at, chunk)| PeerMessage::Fragment {
            number,
            index: at,
            count: of,
            bytes: chunk.to_vec(),
        });
    Some(fragments.collect())
}

/// Fragments that were received, for each router those of its newest message. Emptied as that is complete, or a newer one
/// begins.
#[derive(Default)]
pub(super) struct FragmentBuffer(BTreeMap<Member, IncompleteMessage>);

#[derive(Default)]
struct IncompleteMessage {
    number: u64,
    fragments: Vec<Option<Vec<u8>>>,
}

impl IncompleteMessage {
    fn new(number: u64, of: u16) -> IncompleteMessage {
        IncompleteMessage {
            number,
            fragments: vec![None; usize::from(of)],
        }
    }

    fn is_part_of(&self, number: u64, of: u16) -> bool {
        self.number == number && self.fragments.len() == usize::from(of)
    }

    fn is_complete(&self) -> bool {
        self.fragments.iter().all(Option::is_some)
    }
}

impl FragmentBuffer {
    /// Takes a message, and returns it if it is complete: one that is no fragment is, and of fragments the last.
    pub(super) fn add(&mut self, from: &Member, message: PeerMessage) -> Option<PeerMessage> {
        let PeerMessage::Fragment {
            number,
            index: at,
            count: of,
            bytes,
        } = message
        else {
            return Some(message);
        };
        if of == 0 || at >= of || of > MAX_FRAGMENTS || bytes.len() > FRAGMENT_BYTES {
            return None;
        }
        let incomplete = self.0.entry(from.clone()).or_default();
        if !incomplete.is_part_of(number, of) {
            *incomplete = IncompleteMessage::new(number, of);
        }
        incomplete.fragments[usize::from(at)] = Some(bytes);
        if !incomplete.is_complete() {
            return None;
        }
        let complete = self.0.remove(from)?;
        let bytes: Vec<u8> = complete.fragments.into_iter().flatten().flatten().collect();
        postcard::from_bytes(&bytes).ok()
    }
}
