//! Machines are taken out for work in an order that the routers of a fleet settle among themselves, without I/O.
//!
//! [`MaintenanceState`] is what was agreed, replayed from the log alone: requests, which machine is out, which permit stands.
//! [`DisruptionBudget`] says what is never given up: holders of each set of shards, of each zone, room for the load. [`schedule`] puts
//! machines into rounds. [`Coordinator`] is one router's part and the one way in: it plays the log, and while its router
//! leads it takes machines out one step after the other, each step with its fencing number.
//!
//! The rule: a permit exists only once every router has said that it goes by the machine's being out and has nothing
//! there, or can surely act no more on anything it admitted before. `docs/design/works.md` says why that holds.

mod coordinator;
mod disruption_budget;
mod ids;
mod router_removal;
mod router_report;
mod schedule;
mod state;

#[cfg(test)]
mod model;

#[cfg(any(test, feature = "planted"))]
pub use coordinator::InjectedBug;
pub use coordinator::{Coordinator, MaintenanceConfig};
pub use disruption_budget::{ClusterView, DisruptionBudget, Limits, Node, Violation};
pub use ids::{Fence, PermitNo, RequestNo};
pub use router_removal::{router_of, RouterViolation, Routers};
pub use router_report::RouterReport;
pub use schedule::{exact_rounds, lower_bound, schedule, Round, Schedule, WorkItem};
pub use state::{
    Entry, HistoryEntry, MaintenanceState, Operation, Pause, Phase, Request, MOST_MACHINES,
    MOST_REQUESTS,
};
