//! The old process's side of a hot restart: the state that a serving router keeps for upgrades, and the course of one
//! upgrade. The control socket starts upgrades.
//!
//! [`ternpick_hot_restart::OldProcess`] implements the protocol; [`driver`] carries out its effects.

mod driver;

use std::cell::{Cell, RefCell};
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::rc::Rc;

use async_io::Async;
use serde::{Serialize, Serializer};
use ternpick::shutdown::ShutdownSchedule;
use ternpick::types::Micros;
use ternpick_hot_restart::{OldProcess, StepTimeouts};

use crate::lifecycle::capacity_share::CapacityShare;
use crate::lifecycle::settings::ControlConfig;
use crate::router::Router;

/// The program and files that a new process is started with.
#[derive(Clone, Debug)]
pub(crate) struct LaunchSpec {
    /// The program.
    pub(crate) program: PathBuf,
    /// Its configuration file.
    pub(crate) config: PathBuf,
    /// Its settings file.
    pub(crate) settings: PathBuf,
}

/// Why an upgrade failed. The old process serves as before.
#[derive(Debug, thiserror::Error)]
pub(crate) enum UpgradeError {
    /// The upgrade cannot start now.
    #[error("{0}")]
    NotNow(String),
    /// The upgrade started and was abandoned.
    #[error("{reason}")]
    Abandoned { reason: String },
}

/// Serialized as its text, for the control socket.
impl Serialize for UpgradeError {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// Returns the timeouts of the steps of an upgrade.
pub(crate) fn step_timeouts(settings: &ControlConfig) -> StepTimeouts {
    StepTimeouts {
        hello: Micros(settings.hello_timeout),
        step: Micros(settings.step_timeout),
        ready: Micros(settings.ready_timeout),
        silence: Micros(settings.silence_timeout),
    }
}

/// The state that a serving router keeps for upgrades.
pub(crate) struct Upgrades {
    /// The protocol's state.
    pub(crate) machine: RefCell<OldProcess>,
    /// The share of the router's capacity that this process may use.
    pub(crate) share: Rc<CapacityShare>,
    /// The listeners that are passed to the new process, the plain one first.
    pub(crate) listeners: Vec<Rc<Async<TcpListener>>>,
    /// The new process of the upgrade in progress, or the one that has taken over.
    pub(crate) successor: RefCell<Option<Child>>,
    /// The number of upgrades started so far.
    pub(crate) begun: Cell<u32>,
}

impl Upgrades {
    /// Creates the state of a process that runs with the settings of this `digest`.
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

/// Runs one upgrade and calls `on_step` with each step as it happens. After an error this process serves as before.
/// After a success the new process has taken over everything, and this one has to exit.
pub(crate) async fn upgrade(
    router: &Rc<Router>,
    upgrades: &Upgrades,
    launch_spec: &LaunchSpec,
    on_step: &mut dyn FnMut(&str),
) -> Result<(), UpgradeError> {
    if let Some(requested_at) = router.shutdown.requested_at() {
        note_stop(router, upgrades, requested_at);
    }
    let begun = upgrades
        .machine
        .borrow_mut()
        .start(router.clock.now(), upgrades.share.current());
    let effects = begun.map_err(|error| UpgradeError::NotNow(error.to_string()))?;
    upgrades.begun.set(upgrades.begun.get() + 1);
    let driver = driver::Driver::new(router, upgrades, launch_spec, on_step);
    driver.run(effects).await
}

/// Tells the protocol that the router stops.
fn note_stop(router: &Router, upgrades: &Upgrades, requested_at: Micros) {
    let schedule = ShutdownSchedule::new(requested_at, router.bounds.longest_deadline);
    let mut machine = upgrades.machine.borrow_mut();
    machine.note_stop(schedule.accepts_until);
}
