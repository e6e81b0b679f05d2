//! How many queries were admitted and how they ended, as the control socket and the stop report them.

use crate::state::log_limit::LogLimit;

/// Counts since the start of the process.
#[derive(Default)]
pub(crate) struct Counts {
    /// Queries admitted.
    pub(crate) admitted: u64,
    /// Queries answered.
    pub(crate) satisfied: u64,
    /// Queries rejected by the decision module: a retry is harmless.
    pub(crate) rejected: u64,
    /// Queries that failed, with no promise about their effect.
    pub(crate) failed: u64,
    /// Queries whose client left before the answer.
    pub(crate) client_left: u64,
    /// Queries answered after their latency objective.
    pub(crate) late: u64,
    /// Queries rejected beyond the most that may be in flight, before the decision module saw them.
    pub(crate) over_capacity: u64,
    /// Attempts sent to nodes.
    pub(crate) attempts: u64,
    /// Connections to nodes that were ended over what the node had sent.
    pub(super) unusable_inputs: LogLimit,
}
