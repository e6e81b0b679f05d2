//! The names by which connections and attempts refer to each other.

use ternpick::types::{AttemptNo, ShardRequestId};

/// Names a connection to a node; never used twice in a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ConnectionId(pub u64);

/// Names an attempt: its shard request, and its number among that one's attempts.
pub(crate) type AttemptKey = (ShardRequestId, AttemptNo);
