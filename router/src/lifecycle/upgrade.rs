//! The old side of an upgrade: what a router that serves keeps for upgrades to come, and one upgrade from its beginning to its
//! end. Started by the control socket.
//!
//! The protocol is [`ternpick_hot_restart::OldProcess`]'s; [`driver`] carries out its effects.

mod driver;

use std::cell::{Cell, RefCell};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::rc::Rc;

use async_io::Async;
use serde::{Serialize, Serializer};
use ternpick::types::Micros;
use ternpick_hot_restart::{OldProcess, StepTimeouts};

use crate::lifecycle::capacity_share::CapacityShare;
use crate::lifecycle::settings::ControlConfig;
use crate::router::Router;

/// What a new process is started as.
#[derive(Clone, Debug)]
pub(crate) struct LaunchSpec {
    /// The program.
    pub(crate) program: PathBuf,
    /// Its configuration file.
    pub(crate) config: PathBuf,
    /// Its settings file.
    pub(crate) settings: PathBuf,
}

/// Why a router has not been upgraded; its process serves as before.
#[derive(Debug, thiserror::Error)]
pub(crate) enum UpgradeError {
    /// It cannot be upgraded now.
    #[error("{0}")]
    NotNow(String),
    /// The upgrade was begun and given up.
    #[error("{reason}")]
    GivenUp { reason: String },
}

/// The control socket answers with the text.
impl Serialize for UpgradeError {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// How long each step of an upgrade may take.
pub(crate) fn step_timeouts(settings: &ControlConfig) -> StepTimeouts {
    StepTimeouts {
        hello: Micros(settings.hello_timeout),
        step: Micros(settings.step_timeout),
        ready: Micros(settings.ready_timeout),
        silence: Micros(settings.silence_timeout),
    }
}

/// The old side of a router that serves, for upgrades to come.
pub(crate) struct Upgrades {
    /// The protocol's state.
    pub(crate) machine: RefCell<OldProcess>,
    /// What this process may use.
    pub(crate) share: Rc<CapacityShare>,
    /// The listeners, which go to the new process; the plain one first.
    pub(crate) listeners: Vec<Rc<Async<TcpListener>>>,
    /// The process that has taken over, for who stays as its parent.
    pub(crate) successor: RefCell<Option<Child>>,
    /// Upgrades begun so far.
    pub(crate) begun: Cell<u32>,
}

impl Upgrades {
    /// For a process that runs on the settings of this `digest`.
    pub(crate) fn new(
        share: &Rc<CapacityShare>,
        settings: &ControlConfig,
        digest: u64,
        listeners: Vec<Rc<Async<TcpListener>>>,
    ) -> Self {
        let machine = OldProcess::new(step_timeouts(settings), share.all(), digest);
        Upgrades {
            machine: RefCell::new(machine),
            share: Rc::clone(share),
            listeners,
            successor: RefCell::default(),
            begun: Cell::new(0),
        }
    }
}

/// One upgrade, from its beginning to its end; `report` is called with each step as it happens. After an error this process
/// serves as before; otherwise it has nothing left and is to leave.
pub(crate) async fn upgrade(
    router: &Rc<Router>,
    upgrades: &Upgrades,
    launch_spec: &LaunchSpec,
    on_step: &mut dyn FnMut(&str),
) -> Result<(), UpgradeError> {
    let begun = upgrades
        .machine
        .borrow_mut()
        .start(router.clock.now(), upgrades.share.current());
    let effects = begun.map_err(|error| UpgradeError::NotNow(error.to_string()))?;
    upgrades.begun.set(upgrades.begun.get() + 1);
    let driver = driver::Driver::new(router, upgrades, launch_spec, on_step);
    let new_process = driver.run(effects).await?;
    upgrades.successor.replace(new_process);
    Ok(())
}
