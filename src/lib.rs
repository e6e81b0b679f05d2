//! The decisions of ternpick, the root node of a sharded search service, free of any protocol.
//!
//! [`routing::RoutingEngine`] is told what the router sees and acts through [`actions::Actions`].
//! [`watch_schedule::WatchSchedule`] says how the roster's watch is kept, [`shutdown::Shutdown`] by when a stop owes
//! what.

pub mod actions;
mod config;
mod ids;
pub mod io_errors;
mod node;
mod query;
mod random;
pub mod routing;
pub mod shutdown;
pub mod slow_start;
mod time;
pub mod types;
pub mod watch_schedule;
