//! Writes a reply frame: records of actions, big-endian, without padding.

use ternpick::types::{Micros, NodeId};

/// The size of a header: the size of the whole frame, and the count of records.
const HEADER_BYTES: usize = 8;

/// A reply frame under construction.
#[derive(Default)]
pub(crate) struct Reply {
    records: Vec<u8>,
    count: u32,
}

impl Reply {
    /// Starts the record of an action of an instance.
    pub(crate) fn start_record(&mut self, code: u8, instance: u32) -> &mut Self {
        self.count += 1;
        self.put(&[code]).put(&instance.to_be_bytes())
    }

    pub(crate) fn put(&mut self, bytes: &[u8]) -> &mut Self {
        self.records.extend_from_slice(bytes);
        self
    }

    /// Writes a node's address and port.
    pub(crate) fn node(&mut self, node: NodeId) -> &mut Self {
        self.put(&node.0.to_be_bytes()[2..])
    }

    /// Writes a duration as microseconds in 32 bits. A duration that does not fit becomes the longest that does.
    pub(crate) fn micros(&mut self, duration: Micros) -> &mut Self {
        self.put(&u32::try_from(duration.0).unwrap_or(u32::MAX).to_be_bytes())
    }

    /// Writes text after its length in 16 bits. Text that does not fit is cut at the end of a character.
    pub(crate) fn text(&mut self, text: &str) -> &mut Self {
        let bytes = &text.as_bytes()[..text.floor_char_boundary(usize::from(u16::MAX))];
        self.put(&(bytes.len() as u16).to_be_bytes()).put(bytes)
    }

    /// The complete frame, with its header.
    pub(crate) fn finish(self) -> Vec<u8> {
        let size = HEADER_BYTES + self.records.len();
        let mut frame = Vec::with_capacity(size);
        frame.extend_from_slice(&(size as u32).to_be_bytes());
        frame.extend_from_slice(&self.count.to_be_bytes());
        frame.extend_from_slice(&self.records);
        frame
    }
}
