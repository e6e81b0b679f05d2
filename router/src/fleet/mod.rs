//! This router as a member of its fleet, if the settings configure one: connections to the other routers, the
//! replica's file, timing, and the effects of the agreed policy on this router. Consensus, admission and maintenance
//! steps are decided by `ternpick-consensus`, `ternpick-fleet-policy` and `ternpick-maintenance`.
//!
//! One task ([`event_loop::run`]) drives this router's [`FleetNode`]. The admission stage calls [`Fleet::admit`] in
//! the same turn in which it admits the query.

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
    /// The folder of the replica's file.
    folder: PathBuf,
    /// Notified when the admission decision may have changed, so that waiting queries evaluate it again.
    admission_changed: Event,
    /// The state machine of consensus, policy and lease.
    node: RefCell<FleetNode>,
    /// Requests of this router's operators that have no answer yet.
    pending_requests: RefCell<PendingRequests>,
    /// The replica's file; `None` while a write uses it, and after a failed write.
    journal: RefCell<Option<Journal>>,
    /// The number of the last replica state whose write was started.
    persisted_version: Cell<u64>,
    /// Batches received from other routers.
    inbox: RefCell<PeerInbox>,
    /// Notified when the event loop has something to do before its next deadline.
    wake: Event,
    /// Notified when this process no longer participates for its member.
    participation_ended: Event,
    /// The platform's own settings, which a policy refines.
    platform_defaults: PlatformDefaults,
    /// Endpoint states that the fleet makes stricter than discovery lists them.
    endpoints: RefCell<EndpointOverrides>,
    /// Maintenance of machines, if the settings configure it.
    maintenance: Option<MaintenanceParticipant>,
    /// Counters of the batches sent to and received from other routers.
    traffic: Cell<Traffic>,
    /// Limits the log lines about slow writes of the replica's state.
    slow_writes: LogLimit,
    /// Limits the log lines about late turns of the event loop.
    late_turns: LogLimit,
    /// Connections to the other routers, by member. A connection is closed when its member leaves the fleet.
    peers: RefCell<BTreeMap<Member, Rc<PeerTransport>>>,
}

/// Returns a random number for ids and seeds that have to differ between processes.
pub(crate) fn random_u64() -> u64 {
    let mut bytes = [0; 8];
    if SystemRandom::new().fill(&mut bytes).is_ok() {
        return u64::from_le_bytes(bytes);
    }
    // If the system's random source fails, time and process id still distinguish two processes.
    let since_epoch = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    since_epoch.as_nanos() as u64 ^ u64::from(std::process::id()) << 32
}

/// Waits until the given time of the router's clock.
async fn sleep_until(router: &Router, at: Micros) {
    Timer::at(router.clock.instant(at)).await;
}

/// Injects the bug that the environment variable names, for tests of the checkers.
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
    /// Makes this router's membership from its settings; it participates once [`event_loop::run`] drives it.
    /// `inherits`: this process replaces one that may still admit queries for a while.
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

    /// The address on which this router listens for peers: from `listen` or its member entry in the settings,
    /// otherwise from the fleet's member list.
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
