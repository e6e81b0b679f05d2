//! The batches that routers send each other, encoded with postcard in the body of an HTTP/1.1 request. Their size is
//! limited like that of all requests.

use serde::{Deserialize, Serialize};
use ternpick_consensus::FleetId;
use ternpick_fleet_policy::{Member, PeerMessage};

/// The path of requests between routers. The number in it is the version of the format.
pub(super) const PATH: &str = "/_fleet/1";
/// The maximum size of a sent batch in bytes. The limit for a received request body is a little higher.
pub(super) const MAX_BATCH_BYTES: usize = 60 * 1024;

/// Messages from one router to another. The encoding is by position, so the order of the fields must not change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct PeerBatch {
    pub(super) fleet: FleetId,
    pub(super) from: Member,
    pub(super) to: Member,
    pub(super) messages: Vec<PeerMessage>,
}

/// The reason why a batch is rejected. The sender receives the text.
#[derive(Debug, thiserror::Error)]
pub(super) enum BatchError {
    #[error("peer batch cannot be decoded: {0}")]
    Decode(#[source] postcard::Error),
    #[error("peer batch belongs to fleet {sent}, expected fleet {own}")]
    OtherFleet { sent: FleetId, own: FleetId },
    #[error("peer batch is addressed to member {sent}, expected member {own}")]
    OtherMember { sent: Member, own: Member },
}

impl PeerBatch {
    /// Encodes the batch as the body of a request.
    pub(super) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes the body of a request that is addressed to the member `me`.
    pub(super) fn decode(
        bytes: &[u8],
        fleet: FleetId,
        me: &Member,
    ) -> Result<PeerBatch, BatchError> {
        let batch: PeerBatch = postcard::from_bytes(bytes).map_err(BatchError::Decode)?;
        if batch.fleet != fleet {
            return Err(BatchError::OtherFleet {
                sent: batch.fleet,
                own: fleet,
            });
        }
        if batch.to != *me {
            return Err(BatchError::OtherMember {
                sent: batch.to,
                own: me.clone(),
            });
        }
        Ok(batch)
    }
}
