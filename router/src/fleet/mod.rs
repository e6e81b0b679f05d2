//! This router as a member of its fleet, where the settings ask for one: connections to the other routers, the replica's
//! file, time, and what follows from the agreed policy here. What is agreed, who may admit and which step comes next are
//! decided by `ternpick-consensus`, `ternpick-fleet-policy` and `ternpick-maintenance`.
//!
//! One task ([`event_loop::run`]) drives this router's [`FleetNode`]. Admission of queries asks [`Fleet::admit`] in the turn
//! in which a query is admitted.

mod admission;
pub(crate) mod cli;
pub(crate) mod commands;
mod effects;
mod endpoints;
pub(crate) mod event_loop;
mod fragments;
mod maintenance;
pub(crate) mod maintenance_cli;
mod peer_batch;
mod peer_inbox;
mod peer_listener;
mod peer_transport;
mod pending_requests;
mod policy;
mod replica_file;
mod settings;
mod status;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use async_io::Timer;
use event_listener::Event;
use ring::rand::{SecureRandom, SystemRandom};
use ternpick::types::{Micros, PlatformConfig};
use ternpick_consensus::FleetId;
use ternpick_fleet_policy::{FleetNode, Incarnation, LeaseHolder, Member};
use ternpick_store::Journal;

use crate::lifecycle::settings::FleetConfig;
use crate::router::Router;
use crate::state::log_limit::LogLimit;

pub(crate) use admission::PolicyMark;
use endpoints::EndpointOverrides;
use maintenance::MaintenanceParticipant;
use peer_inbox::PeerInbox;
use peer_transport::PeerTransport;
use pending_requests::PendingRequests;
use policy::PlatformDefaults;
use status::Traffic;

/// This router as a member of its fleet.
pub(crate) struct Fleet {
    /// The settings `fleet`.
    settings: FleetConfig,
    /// This router's name in the fleet.
    me: Member,
    /// The fleet's id, from its name.
    id: FleetId,
    /// Where the replica's file is.
    folder: PathBuf,
    /// Notified when admission may be decided otherwise: queries that wait for it ask again.
    admission_changed: Event,
    /// The state machine of consensus, policy and lease.
    node: RefCell<FleetNode>,
    /// Requests of this router's operators that wait for an answer.
    pending_requests: RefCell<PendingRequests>,
    /// The replica's file; none while a write has it, or after a failed one.
    journal: RefCell<Option<Journal>>,
    /// The number of the last replica state that was given to the disk.
    persisted_version: Cell<u64>,
    /// What other routers have sent.
    inbox: RefCell<PeerInbox>,
    /// Notified when the event loop has something to do before its next deadline.
    wake: Event,
    /// Notified when this process no longer takes part for its member.
    participation_ended: Event,
    /// The platform's own settings, which a policy refines.
    platform_defaults: PlatformDefaults,
    /// Endpoint states that the fleet makes stricter than discovery has them.
    endpoints: RefCell<EndpointOverrides>,
    /// Maintenance of machines, where the settings have it.
    maintenance: Option<MaintenanceParticipant>,
    /// What went to other routers and came from them.
    traffic: Cell<Traffic>,
    /// Writes of the replica's state that took long.
    slow_writes: LogLimit,
    /// Turns of the event loop that began late.
    late_turns: LogLimit,
    /// Connections to the others, by member; one ends when its member is no longer in the fleet.
    peers: RefCell<BTreeMap<Member, Rc<PeerTransport>>>,
}

/// A random number, for what has to differ between processes.
pub(crate) fn random_u64() -> u64 {
    let mut bytes = [0; 8];
    if SystemRandom::new().fill(&mut bytes).is_ok() {
        return u64::from_le_bytes(bytes);
    }
    // Without random numbers of the system, two processes could be taken for one; time and process id tell them apart.
    let since_epoch = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    since_epoch.as_nanos() as u64 ^ u64::from(std::process::id()) << 32
}

/// Waits until a time of the router's clock.
async fn sleep_until(router: &Router, at: Micros) {
    Timer::at(router.clock.instant(at)).await;
}

/// Injects the bug that the environment names, for tests of the checkers.
#[cfg(feature = "planted")]
fn inject_bug(node: &mut FleetNode) {
    use ternpick_fleet_policy::injected_bug::{InjectedLeaderBug, InjectedLeaseHolderBug};
    let name = std::env::var("TERNPICK_PLANTED").unwrap_or_default();
    let lease_holder = &mut node.lease_holder;
    match name.as_str() {
        "no-wait" => node.injected_bug = Some(InjectedLeaderBug::SkipsLeaseWait),
        "no-asking" => node.injected_bug = Some(InjectedLeaderBug::SkipsConfirmation),
        "forgets-others" => node.injected_bug = Some(InjectedLeaderBug::IgnoresEarlierLeases),
        "one-voters-word" => node.injected_bug = Some(InjectedLeaderBug::TrustsOneVoter),
        "counts-from-grant" => {
            lease_holder.injected_bug = Some(InjectedLeaseHolderBug::LeaseFromGrant)
        }
        "used-beyond-end" => {
            lease_holder.injected_bug = Some(InjectedLeaseHolderBug::UsesExpiredLease)
        }
        "goes-on-in-barrier" => {
            lease_holder.injected_bug = Some(InjectedLeaseHolderBug::AdmitsInBarrier)
        }
        _ => {}
    }
}

impl Fleet {
    /// This router's part in the fleet of its settings; it takes part once [`event_loop::run`] drives it. `inherits`: the
    /// process takes the place of one that may still admit for a while.
    pub(crate) fn new(
        settings: FleetConfig,
        name: &str,
        platform: &PlatformConfig,
        index_names: &[String],
        customer_names: Vec<String>,
        inherits: bool,
        now: Micros,
    ) -> Rc<Fleet> {
        let me = Member::from(name);
        let id = settings::fleet_id(&settings.name);
        let maintenance = settings.maintenance.map(MaintenanceParticipant::new);
        let node = new_node(&settings, &me, maintenance.as_ref(), inherits, now);
        Rc::new(Fleet {
            id,
            folder: settings.folder.clone().into(),
            settings,
            me,
            admission_changed: Event::new(),
            node: RefCell::new(node),
            pending_requests: RefCell::default(),
            journal: RefCell::default(),
            persisted_version: Cell::new(0),
            inbox: RefCell::default(),
            wake: Event::new(),
            participation_ended: Event::new(),
            platform_defaults: PlatformDefaults {
                config: platform.clone(),
                index_names: index_names.to_vec(),
                customer_names,
            },
            endpoints: RefCell::default(),
            maintenance,
            traffic: Cell::default(),
            slow_writes: LogLimit::default(),
            late_turns: LogLimit::default(),
            peers: RefCell::default(),
        })
    }

    /// Where this router listens for the others: by its settings, else as the fleet knows it.
    fn address(&self) -> Option<SocketAddr> {
        let in_fleet = self
            .node
            .borrow()
            .members
            .get(&self.me)
            .map(|member| member.address.clone());
        let in_settings = self
            .settings
            .members
            .get(&self.me.0)
            .map(|member| member.address.clone());
        self.settings
            .listen
            .clone()
            .or(in_settings)
            .or(in_fleet)
            .and_then(|address| address.parse().ok())
    }
}

fn new_node(
    settings: &FleetConfig,
    me: &Member,
    maintenance: Option<&MaintenanceParticipant>,
    inherits: bool,
    now: Micros,
) -> FleetNode {
    let lease_config = settings::lease_config(settings);
    let incarnation = Incarnation(random_u64());
    let lease_holder = LeaseHolder::new(lease_config, me.clone(), incarnation, inherits, now);
    let mut node = FleetNode::new(
        settings::fleet_id(&settings.name),
        lease_config,
        settings::raft_config(settings),
        lease_holder,
        settings::initial_members(settings),
        random_u64(),
        now,
    );
    #[cfg(feature = "planted")]
    inject_bug(&mut node);
    if let Some(maintenance) = maintenance {
        node.extension = Box::new(maintenance.coordinator());
        #[cfg(feature = "planted")]
        maintenance.inject_bug();
    }
    node
}
