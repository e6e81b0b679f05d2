//! Counts of queries by outcome, as reported on the control socket and at the stop of the process.

use crate::state::log_limit::LogLimit;

/// Counts since the start of the process.
#[derive(Default)]
pub(crate) struct Counts {
    /// Queries admitted.
    pub(crate) admitted: u64,
    /// Queries answered.
    pub(crate) satisfied: u64,
    /// Queries rejected by the routing engine, which may safely be retried.
    pub(crate) rejected: u64,
    /// Queries that failed and may have taken effect.
    pub(crate) failed: u64,
    /// Queries whose client disconnected before the answer.
    pub(crate) client_left: u64,
    /// Queries answered after their latency objective.
    pub(crate) late: u64,
    /// Queries rejected at the limit on what may be in flight, before they reached the routing engine.
    pub(crate) over_capacity: u64,
    /// Attempts requested by the routing engine.
    pub(crate) attempts: u64,
    /// Connections to nodes that were closed because the node sent unusable data.
    pub(super) unusable_inputs: LogLimit,
}
