//! The ids by which connections and attempts refer to each other.

use ternpick::types::{AttemptNo, ShardRequestId};

/// Identifies a connection to a node; never reused within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ConnectionId(pub u64);

/// Identifies an attempt by its shard request and its number among the attempts of that shard request.
pub(crate) type AttemptKey = (ShardRequestId, AttemptNo);
