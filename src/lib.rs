//! The decisions of ternpick, the root node of a sharded search service, free of any protocol and I/O.
//!
//! [`routing::RoutingEngine`] takes in what the router sees and acts through [`actions::Actions`]. Beside it
//! stand tables and schedules that the router reads itself: [`watch_schedule::WatchSchedule`] says how the watch
//! of the endpoint list is kept, [`shutdown::ShutdownSchedule`] by when a shutdown has done what, and [`io_errors`] whom
//! a failed system call concerns.

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
