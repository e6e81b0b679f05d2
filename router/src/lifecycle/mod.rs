//! Start and stop: command line, configuration, clock, the roster's watch, signals.

pub mod cli;
pub mod clock;
pub mod config;
pub mod start;
pub mod stop;
pub mod watch;
