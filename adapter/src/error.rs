//! What can be wrong with the input or the output. Each error ends the adapter: after a frame that cannot be
//! read, nothing that follows can be trusted.

use std::error::Error;
use std::io;

use thiserror::Error as ThisError;

use crate::frame::HEADER_BYTES;

/// Why the adapter ended. Sizes and counts are in bytes and records.
#[derive(Debug, ThisError)]
pub(crate) enum AdapterError {
    #[error("cannot read a frame: {0}")]
    ReadFrame(#[source] io::Error),
    #[error("cannot write a reply: {0}")]
    WriteReply(#[source] io::Error),
    #[error("input ends after {read} of a header's {HEADER_BYTES} bytes")]
    TruncatedHeader { read: usize },
    #[error("a frame says it has {size} bytes, fewer than its header")]
    FrameBelowHeader { size: usize },
    #[error("input ends after {read} of a frame's {size} bytes")]
    TruncatedFrame { read: usize, size: usize },
    #[error("a field of {size} bytes where {left} are left of the frame")]
    TruncatedField { size: usize, left: usize },
    #[error("{left} bytes left over after the {count} records of a frame")]
    BytesLeftOver { left: usize, count: u32 },
    #[error("record {record}: {source}")]
    Record {
        record: u32,
        source: Box<AdapterError>,
    },
    #[error("unknown event code {0}")]
    UnknownEvent(u8),
    #[error("event {code} for instance {instance}, which has not begun")]
    UnknownInstance { code: u8, instance: u32 },
    #[error("unknown outcome {0}")]
    UnknownOutcome(u16),
    #[error("unknown endpoint state {0}")]
    UnknownEndpointState(u8),
    #[error("an endpoint update of unknown kind {0}")]
    UnknownUpdate(u8),
    #[error("catalog number {0} is out of range")]
    CatalogOutOfRange(usize),
    #[error("a catalog of {count} entries where {left} bytes are left")]
    CatalogBeyondFrame { count: usize, left: usize },
    #[error("catalog {0} is named but was never sent")]
    CatalogNeverSent(usize),
    #[error("{0}")]
    Settings(#[source] Box<dyn Error + Send + Sync>),
}
