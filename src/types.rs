//! Re-exports the plain data types of the decision module, for callers that need many of them.

pub use crate::actions::DecisionReason;
pub use crate::config::{IndexConfig, LoadMetric, LoadReporting, PlatformConfig, RetrySemantics};
pub use crate::ids::{
    AttemptNo, CustomerNo, IndexNo, NodeId, QueryId, ShardGroupNo, ShardNo, ShardRequestId,
    TimerId, WireQueryNo, ZoneNo,
};
pub use crate::node::{
    Endpoint, EndpointState, InFlightAttempt, InFlightElsewhere, IndexHealth, Node, RecentSend,
};
pub use crate::query::{Attempt, AttemptOutcome, Query, QueryFingerprint, ShardRequest};
pub use crate::random::RandomSource;
pub use crate::time::Micros;
