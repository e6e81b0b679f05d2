//! The life of a router process, from the command line to its exit.
//!
//! - starting: [`cli`], [`config`], [`settings`], [`build`], [`start`], [`sockets`], [`logging`], [`clock`];
//! - serving: [`run`], [`signals`], [`requests`], [`reload`], [`control`], [`watch`], [`discovery_calls`], [`endpoint_list`], [`tls`],
//!   [`key_sources`], [`http_client`], [`socket_io`];
//! - stopping: [`stop`];
//! - hot restart: [`upgrade`] (old process), [`takeover`] (new process), [`hot_restart_link`],
//!   [`snapshot`], [`forwarded_ids`], [`capacity_share`], [`parent`];
//! - operator commands: [`key_commands`].

pub(crate) mod build;
pub(crate) mod capacity_share;
pub(crate) mod cli;
pub(crate) mod clock;
pub(crate) mod config;
pub(crate) mod control;
pub(crate) mod discovery_calls;
pub(crate) mod endpoint_list;
pub(crate) mod forwarded_ids;
pub(crate) mod hot_restart_link;
pub(crate) mod http_client;
pub(crate) mod key_commands;
pub(crate) mod key_sources;
pub(crate) mod logging;
pub(crate) mod parent;
pub(crate) mod reload;
pub(crate) mod requests;
pub(crate) mod run;
pub(crate) mod settings;
pub(crate) mod signals;
pub(crate) mod snapshot;
pub(crate) mod socket_io;
pub(crate) mod sockets;
pub(crate) mod start;
pub(crate) mod stop;
pub(crate) mod takeover;
pub(crate) mod tls;
pub(crate) mod upgrade;
pub(crate) mod watch;
