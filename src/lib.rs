//! The decision logic of ternpick, the root node of a sharded search service, without any protocol or I/O.
//!
//! [`routing::RoutingEngine`] receives the router's events and acts through [`actions::Actions`]. The router
//! also uses some tables and schedules directly: [`watch_schedule::WatchSchedule`] schedules the calls that
//! watch the endpoint list, [`shutdown::ShutdownSchedule`] gives the deadlines of a graceful shutdown, and
//! [`io_errors`] classifies failed system calls by the party at fault.

pub mod actions;
mod config;
mod ids;
pub mod io_errors;
mod node;
mod query;
mod random;
pub mod routing;
pub mod shutdown;
pub mod start_time;
mod time;
pub mod types;
pub mod watch_schedule;
