//! Start and stop: command line, configuration and its reload, clock, the roster's watch, signals.

pub mod cli;
pub mod clock;
pub mod config;
pub mod control;
pub mod hot_restart_link;
pub mod http_client;
pub mod key_commands;
pub mod key_sources;
pub mod logging;
pub mod reload;
pub mod settings;
pub mod signals;
pub mod snapshot;
pub mod start;
pub mod stop;
pub mod takeover;
pub mod tls;
pub mod upgrade;
pub mod watch;
