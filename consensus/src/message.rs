//! What replicas send to each other. The driver carries the encoded bytes and does not look into them.

use serde::{Deserialize, Serialize};

use crate::promise::Promise;
use crate::ReplicaId;

/// A message between replicas. postcard encodes a variant by its position: the order is part of the wire format.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum PeerMessage {
    /// A message of raft-rs, in its protobuf encoding.
    Raft(Vec<u8>),
    /// A replica that has started sends its own promise and asks for what the peer knows of it.
    PromiseQuery(Promise),
    /// The answer: the sender's knowledge of the receiver's promise.
    PromiseReply(Promise),
    /// What the leader knows of the promises of all replicas.
    PromiseBroadcast(Vec<(ReplicaId, Promise)>),
}

impl PeerMessage {
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("sequences of known length can always be encoded")
    }

    /// None for bytes that are not a message; the sender may be of another version or faulty.
    pub(crate) fn decode(bytes: &[u8]) -> Option<PeerMessage> {
        postcard::from_bytes(bytes).ok()
    }
}
