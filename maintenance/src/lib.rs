//! Takes machines out of service for maintenance, in an order that all routers of a fleet agree on. No I/O, clock or
//! threads: the caller passes in the time and the routers' reports, and gets log entries to propose.
//!
//! [`MaintenanceState`] is the replicated state, derived from the log alone: open requests, the phase of each machine,
//! permits. [`DisruptionBudget`] limits how many machines may be missing: holders of each set of shards, machines of
//! each zone, capacity for the load. [`schedule`] divides the waiting machines into rounds. [`Coordinator`] is the
//! entry point that the router uses: it applies the log, and while its router is the fleet's leader it proposes the
//! next entries, each with its fencing number.
//!
//! The safety rule: the coordinator grants a permit only after every router has reported that it treats the machine as
//! out of service and has no shard request in flight to it, or can no longer act on any query that it admitted earlier.
//! `docs/design/maintenance.md` explains why the rule holds.

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
