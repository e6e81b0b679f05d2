//! The control socket: a Unix socket for the router's owner alone. A request is one line of JSON; the answer is lines of
//! JSON, of which the last has `done`.
//!
//! [`server`] answers for the router, [`client`] asks for commands, and [`command`] holds the commands `ternpick status`,
//! `upgrade` and `drain`. Requests about the fleet are answered by `fleet::commands`.

mod client;
mod command;
mod server;
mod status;

use std::cell::Cell;

use crate::lifecycle::settings::ControlConfig;
use crate::lifecycle::upgrade::{LaunchSpec, Upgrades};

pub(crate) use client::{request_with_timeout, ControlError, Socket};
pub(crate) use command::{run, ControlCommand};
pub(crate) use server::{open, open_later, serve};

/// What the control socket of one router answers from.
pub(crate) struct Control {
    /// The settings `control`.
    pub(crate) config: ControlConfig,
    /// The program and files that this process was started with.
    pub(crate) launch_spec: LaunchSpec,
    /// The state of hot restarts of this process.
    pub(crate) upgrades: Upgrades,
    /// Connections that are being answered.
    open_connections: Cell<usize>,
    /// The router's name in its configuration.
    pub(crate) name: String,
}

impl Control {
    /// The control socket's state at the start of a router.
    pub(crate) fn new(
        config: ControlConfig,
        launch_spec: LaunchSpec,
        upgrades: Upgrades,
        name: &str,
    ) -> Self {
        Control {
            config,
            launch_spec,
            upgrades,
            open_connections: Cell::new(0),
            name: name.to_owned(),
        }
    }
}
