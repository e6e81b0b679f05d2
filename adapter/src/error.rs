//! Errors of the input and the output. Each error ends the adapter: the bytes after a frame that cannot be read
//! cannot be interpreted reliably.

use std::error::Error;
use std::io;

use thiserror::Error as ThisError;

use crate::frame::HEADER_BYTES;
use crate::protocol::MAX_CATALOGS;

/// Why the adapter ended. `read`, `size` and `left` are in bytes.
#[derive(Debug, ThisError)]
pub(crate) enum AdapterError {
    #[error("cannot read a frame: {0}")]
    ReadFrame(#[source] io::Error),
    #[error("cannot write a reply: {0}")]
    WriteReply(#[source] io::Error),
    #[error("truncated frame header: got {read} of {HEADER_BYTES} bytes")]
    TruncatedHeader { read: usize },
    #[error("frame size is {size} bytes, less than its header of {HEADER_BYTES} bytes")]
    FrameBelowHeader { size: usize },
    #[error("truncated frame: got {read} of {size} bytes")]
    TruncatedFrame { read: usize, size: usize },
    #[error("truncated field: got {left} of {size} bytes before the end of the frame")]
    TruncatedField { size: usize, left: usize },
    #[error("frame has {left} unexpected bytes after its {count} records")]
    BytesLeftOver { left: usize, count: u32 },
    #[error("record {record}: {source}")]
    Record {
        record: u32,
        source: Box<AdapterError>,
    },
    #[error("unknown event code {0}")]
    UnknownEvent(u8),
    #[error("event {code} for instance {instance}, which is not running")]
    UnknownInstance { code: u8, instance: u32 },
    #[error("unknown attempt outcome code {0}")]
    UnknownOutcome(u16),
    #[error("unknown endpoint state code {0}")]
    UnknownEndpointState(u8),
    #[error("unknown kind of endpoint update: {0}")]
    UnknownUpdate(u8),
    #[error("catalog number {0} is out of range, expected less than {MAX_CATALOGS}")]
    CatalogOutOfRange(usize),
    #[error("catalog of {count} entries does not fit into the {left} bytes left of the frame")]
    CatalogBeyondFrame { count: usize, left: usize },
    #[error("endpoint update refers to catalog {0}, which has not been sent")]
    CatalogNeverSent(usize),
    #[error("{0}")]
    Settings(#[source] Box<dyn Error + Send + Sync>),
}
