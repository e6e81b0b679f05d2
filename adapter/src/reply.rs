//! Writes a reply frame: records of actions, big-endian, no padding.

use ternpick::types::{Micros, NodeId};

/// Size and count of records.
const HEADER_BYTES: usize = 8;

/// A reply frame under construction.
#[derive(Default)]
pub(crate) struct Reply {
    records: Vec<u8>,
    count: u32,
}

impl Reply {
    /// Starts a record of an instance.
    pub(crate) fn record(&mut self, code: u8, instance: u32) -> &mut Self {
        self.count += 1;
        self.put(&[code]).put(&instance.to_be_bytes())
    }

    pub(crate) fn put(&mut self, bytes: &[u8]) -> &mut Self {
        self.records.extend_from_slice(bytes);
        self
    }

    /// A node's address and port.
    pub(crate) fn node(&mut self, node: NodeId) -> &mut Self {
        self.put(&node.0.to_be_bytes()[2..])
    }

    /// A span of time in 32 bits; a longer one becomes the longest that fits.
    pub(crate) fn micros(&mut self, span: Micros) -> &mut Self {
        self.put(&u32::try_from(span.0).unwrap_or(u32::MAX).to_be_bytes())
    }

    /// Text with its length in 16 bits; longer text is cut at the end of a character.
    pub(crate) fn text(&mut self, text: &str) -> &mut Self {
        let bytes = &text.as_bytes()[..text.floor_char_boundary(usize::from(u16::MAX))];
        self.put(&(bytes.len() as u16).to_be_bytes()).put(bytes)
    }

    /// The whole frame.
    pub(crate) fn finish(self) -> Vec<u8> {
        let size = HEADER_BYTES + self.records.len();
        let mut frame = Vec::with_capacity(size);
        frame.extend_from_slice(&(size as u32).to_be_bytes());
        frame.extend_from_slice(&self.count.to_be_bytes());
        frame.extend_from_slice(&self.records);
        frame
    }
}
