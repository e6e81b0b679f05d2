//! Messages between replicas. The driver transports the encoded bytes and does not interpret them.

use serde::{Deserialize, Serialize};

use crate::promise::Promise;
use crate::ReplicaId;

/// A message between replicas. postcard encodes a variant by its position: the order is part of the wire format.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// A message of raft-rs, in its protobuf encoding.
    Raft(Vec<u8>),
    /// A starting replica sends its own promise, and requests the promise that the peer has received from it.
    PromiseQuery(Promise),
    /// The reply to a query: the receiver's promise, as far as the sender knows it.
    PromiseReply(Promise),
    /// The promises of all replicas, as far as the leader knows them.
    PromiseBroadcast(Vec<(ReplicaId, Promise)>),
}

impl PeerMessage {
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("sequences of known length can always be encoded")
    }

    /// Returns None for bytes that are not a message; the sender may be of another version or faulty.
    pub(crate) fn decode(bytes: &[u8]) -> Option<PeerMessage> {
        postcard::from_bytes(bytes).ok()
    }
}
