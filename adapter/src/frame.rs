//! Reads input frames: a header with the clock, the size and the count of records, then the records.

use std::io::Read;

use crate::error::AdapterError;
use crate::fields::Fields;

/// The size of a header: the clock, the size of the whole frame, and the count of records.
pub(crate) const HEADER_BYTES: usize = 16;

/// An input frame.
pub(crate) struct Frame {
    /// The time of the frame's events, in microseconds.
    pub(crate) clock_us: u64,
    pub(crate) record_count: u32,
    /// The bytes of the records.
    pub(crate) records: Vec<u8>,
}

/// Reads the next frame; `None` if the input ends between two frames.
pub(crate) fn read(input: &mut impl Read) -> Result<Option<Frame>, AdapterError> {
    let header = read_up_to(input, HEADER_BYTES)?;
    if header.is_empty() {
        return Ok(None);
    }
    if header.len() < HEADER_BYTES {
        let read = header.len();
        return Err(AdapterError::TruncatedHeader { read });
    }
    let mut fields = Fields::new(&header);
    let clock_us = fields.u64()?;
    let size = fields.u32()? as usize;
    let record_count = fields.u32()?;
    if size < HEADER_BYTES {
        return Err(AdapterError::FrameBelowHeader { size });
    }
    let records = read_up_to(input, size - HEADER_BYTES)?;
    let read = HEADER_BYTES + records.len();
    if read < size {
        return Err(AdapterError::TruncatedFrame { read, size });
    }
    Ok(Some(Frame {
        clock_us,
        record_count,
        records,
    }))
}

/// Reads `size` bytes, or fewer if the input ends before. Memory is allocated as bytes arrive, so that a wrong size
/// in a header allocates nothing.
fn read_up_to(input: &mut impl Read, size: usize) -> Result<Vec<u8>, AdapterError> {
    let mut bytes = Vec::new();
    input
        .take(size as u64)
        .read_to_end(&mut bytes)
        .map_err(AdapterError::ReadFrame)?;
    Ok(bytes)
}
