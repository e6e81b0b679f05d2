//! Takes machines out of service for maintenance, in an order that all routers of a fleet agree on. No I/O, clock or
//! threads: time and reports come in as arguments, log entries go out.
//!
//! [`MaintenanceState`] is the replicated state, derived from the log alone: open requests, the phase of each machine,
//! permits. [`DisruptionBudget`] says how many machines may be missing: holders of each set of shards, machines of each
//! zone, capacity for the load. [`schedule`] puts machines into rounds. [`Coordinator`] is the entry point that the
//! router uses: it applies the log, and while its router is the fleet's leader it proposes the next entries, each with
//! its fencing number.
//!
//! The safety rule: a permit exists only once every router either has reported that it applies the machine's being out
//! and has no shard request in flight there, or can no longer act on anything it admitted before.
//! `docs/design/maintenance.md` says why that holds.

mod coordinator;
mod disruption_budget;
mod entry;
mod ids;
mod operation;
mod router_removal;
mod router_report;
mod schedule;
mod state;

#[cfg(any(test, feature = "planted"))]
pub use coordinator::InjectedBug;
pub use coordinator::{Coordinator, MaintenanceConfig};
pub use disruption_budget::{ClusterView, DisruptionBudget, Limits, Node, Violation};
pub use entry::{Entry, Request, MAX_MACHINES_PER_REQUEST, MAX_OPEN_REQUESTS};
pub use ids::{Fence, PermitNo, RequestNo};
pub use operation::{Operation, OperationKey, Phase};
pub use router_removal::{router_of, OtherRouters, RouterFleet, RouterViolation};
pub use router_report::RouterReport;
pub use schedule::{
    exact_rounds, lower_bound, schedule, Round, Schedule, Unschedulable, Urgency, WorkItem,
};
pub use state::{CoordinatorTerm, HistoryEntry, MaintenanceState, Pause, Rejection};
