//! The control socket: a Unix socket that only the router's owner may use. A request is one line of JSON. The answer is
//! one or more lines of JSON; the last one has `done`.
//!
//! [`server`] answers requests in the router, [`client`] sends the requests of commands, and [`command`] implements the
//! commands `ternpick status`, `upgrade` and `drain`. `fleet::commands` answers requests about the fleet.

mod client;
mod command;
mod server;
mod status;

use std::cell::Cell;

use event_listener::Event;

use crate::lifecycle::settings::ControlConfig;
use crate::lifecycle::upgrade::{LaunchSpec, Upgrades};

pub(crate) use client::{request_with_timeout, ControlError, Socket};
pub(crate) use command::{run, ControlCommand};
pub(crate) use server::{open, open_later, serve};

/// Identifies a socket file: another process of a hot restart binds its own at the same path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SocketFile {
    device: u64,
    inode: u64,
}

/// The state from which the control socket of a router answers.
pub(crate) struct Control {
    /// The settings under `control`.
    pub(crate) config: ControlConfig,
    /// The program and files that this process was started with.
    pub(crate) launch_spec: LaunchSpec,
    /// The state of this process's hot restarts.
    pub(crate) upgrades: Upgrades,
    /// The number of connections that are being answered.
    open_connections: Cell<usize>,
    /// The socket file that this process has bound.
    bound: Cell<Option<SocketFile>>,
    /// Notified when this process binds the socket anew.
    bound_anew: Event,
    /// The router's name in its configuration.
    pub(crate) name: String,
}

impl Control {
    /// Creates the control socket's state when a router starts.
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
            bound: Cell::new(None),
            bound_anew: Event::new(),
            name: name.to_owned(),
        }
    }
}
