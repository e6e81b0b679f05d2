//! Frames as they come: a header with the clock, the size and the count of records, then the records.

use std::io::Read;

use crate::error::AdapterError;
use crate::fields::Fields;

/// Clock, size of the whole frame, and count of records.
pub(crate) const HEADER_BYTES: usize = 16;

/// One frame: its clock, its count of records, and their bytes.
pub(crate) struct Batch {
    pub(crate) clock: u64,
    pub(crate) count: u32,
    pub(crate) body: Vec<u8>,
}

/// Reads the next frame; `None` at a clean end of input.
pub(crate) fn read(input: &mut impl Read) -> Result<Option<Batch>, AdapterError> {
    let header = read_up_to(input, HEADER_BYTES)?;
    if header.is_empty() {
        return Ok(None);
    }
    if header.len() < HEADER_BYTES {
        let read = header.len();
        return Err(AdapterError::TruncatedHeader { read });
    }
    let mut fields = Fields::new(&header);
    let clock = fields.u64()?;
    let size = fields.u32()? as usize;
    let count = fields.u32()?;
    if size < HEADER_BYTES {
        return Err(AdapterError::FrameBelowHeader { size });
    }
    let body = read_up_to(input, size - HEADER_BYTES)?;
    let read = HEADER_BYTES + body.len();
    if read < size {
        return Err(AdapterError::TruncatedFrame { read, size });
    }
    Ok(Some(Batch { clock, count, body }))
}

/// As many bytes, or fewer where the input ends. Space is taken as bytes come, whatever the header claims.
fn read_up_to(input: &mut impl Read, size: usize) -> Result<Vec<u8>, AdapterError> {
    let mut bytes = Vec::new();
    input
        .take(size as u64)
        .read_to_end(&mut bytes)
        .map_err(AdapterError::ReadFrame)?;
    Ok(bytes)
}
