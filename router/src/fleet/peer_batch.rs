//! What routers send each other: serde records (postcard) in the body of an HTTP/1.1 request, bounded as all requests.

use serde::{Deserialize, Serialize};
use ternpick_consensus::FleetId;
use ternpick_fleet_policy::{Member, PeerMessage};

/// The path of requests between routers; its number is the version of the format.
pub(super) const PATH: &str = "/_fleet/1";
/// The longest batch that is sent, in bytes; a request's body may be a little longer.
pub(super) const MAX_BATCH_BYTES: usize = 60 * 1024;

/// Messages of one router for another. Encoded by position: fields keep their order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct PeerBatch {
    pub(super) fleet: FleetId,
    pub(super) from: Member,
    pub(super) to: Member,
    pub(super) messages: Vec<PeerMessage>,
}

/// Why a batch is not accepted. The sender gets the text.
#[derive(Debug, thiserror::Error)]
pub(super) enum BatchError {
    #[error("it cannot be read")]
    Decode(#[source] postcard::Error),
    #[error("it is of fleet {sent}, this one is {own}")]
    OtherFleet { sent: FleetId, own: FleetId },
    #[error("it is for {sent}, this is {own}")]
    OtherMember { sent: Member, own: Member },
}

impl PeerBatch {
    /// The body of a request.
    pub(super) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads the body of a request to the member `me`.
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
