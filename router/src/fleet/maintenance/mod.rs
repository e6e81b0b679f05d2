//! This router's side of machine maintenance: machines that are out of service count as draining on this router, and
//! the router reports its observations of machines to the coordinator. `ternpick-maintenance` makes the decisions.

mod extension;
mod report;
mod requests;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};

use ternpick::types::{Endpoint, Micros, PlatformConfig};
use ternpick_fleet_policy::Index;
use ternpick_maintenance::{ClusterView, Coordinator, MaintenanceConfig, Node, RouterReport};

use super::Fleet;
use crate::router::Router;

use extension::SharedCoordinator;
use report::RecentCounts;
pub(super) use requests::answer;

/// How often this router renews its report on machines.
const REPORT_INTERVAL: Micros = Micros(100_000);
/// A machine that discovery no longer lists counts as failing for this time, and as removed after it.
const REMOVED_AFTER: Micros = Micros(600_000_000);

/// This router's state of maintenance.
pub(super) struct MaintenanceParticipant {
    coordinator: SharedCoordinator,
    /// The log entry that last changed `out` and `returning`.
    applied_index: Cell<Index>,
    /// Machines that are out of service.
    out: RefCell<BTreeSet<String>>,
    /// Machines that return to service, with the time since when this router may use them again.
    returning: RefCell<BTreeMap<String, Micros>>,
    /// Machines that discovery lists or has listed. Unlisted ones are removed after [`REMOVED_AFTER`].
    known: RefCell<BTreeMap<String, KnownMachine>>,
    recent_counts: RefCell<RecentCounts>,
    next_report: Cell<Micros>,
    last_report: RefCell<RouterReport>,
}

/// A machine as discovery last listed it.
struct KnownMachine {
    node: Node,
    listed_at: Micros,
}

impl MaintenanceParticipant {
    /// Creates a participant that knows no machine yet.
    pub(super) fn new(config: MaintenanceConfig) -> MaintenanceParticipant {
        MaintenanceParticipant {
            coordinator: SharedCoordinator::new(Coordinator::new(config)),
            applied_index: Cell::default(),
            out: RefCell::default(),
            returning: RefCell::default(),
            known: RefCell::default(),
            recent_counts: RefCell::default(),
            next_report: Cell::default(),
            last_report: RefCell::default(),
        }
    }

    /// Returns the coordinator, to which the fleet's log is applied.
    pub(super) fn coordinator(&self) -> SharedCoordinator {
        self.coordinator.clone()
    }

    /// Injects the bug that the environment variable names, for tests of the checkers.
    #[cfg(feature = "planted")]
    pub(super) fn inject_bug(&self) {
        use ternpick_maintenance::InjectedBug;
        let name = std::env::var("TERNPICK_PLANTED").unwrap_or_default();
        let bug = match name.as_str() {
            "no-waiting" => Some(InjectedBug::NoDrainWait),
            "silent-is-quiet" => Some(InjectedBug::SilentRouterIsDrained),
            "any-word" => Some(InjectedBug::StaleReportCounts),
            _ => None,
        };
        self.coordinator.set_injected_bug(bug);
    }

    /// Whether a machine is out of service.
    pub(super) fn is_out(&self, name: &str) -> bool {
        self.out.borrow().contains(name)
    }

    /// Applies the machines that are out of service, and those that return to it, as of a log entry. Returns the names
    /// of the machines that went out of service or are no longer out of service.
    fn apply_machines_out(&self, now: Micros, index: Index, encoded: &[u8]) -> Vec<String> {
        let (out, returning) = Coordinator::decode_machines_out(encoded);
        let before = self.out.replace(out.into_iter().collect());
        let changed = before
            .symmetric_difference(&self.out.borrow())
            .cloned()
            .collect();
        let mut returning_since = self.returning.borrow_mut();
        returning_since.retain(|name, _| returning.contains(name));
        for name in returning {
            returning_since.entry(name).or_insert(now);
        }
        self.applied_index.set(index);
        self.next_report.set(now);
        changed
    }

    /// The machines that discovery lists, and those that it listed recently.
    fn cluster_view(
        &self,
        config: &PlatformConfig,
        listed: &BTreeMap<String, Endpoint>,
        now: Micros,
    ) -> ClusterView {
        let mut known = self.known.borrow_mut();
        for (name, endpoint) in listed {
            let node = Node {
                name: name.clone(),
                zone: endpoint.zone.0,
                shard_sets: shard_sets(endpoint, config),
                healthy: true,
                out_of_service: false,
            };
            let machine = KnownMachine {
                node,
                listed_at: now,
            };
            known.insert(name.clone(), machine);
        }
        known.retain(|name, machine| {
            now.since(machine.listed_at) < REMOVED_AFTER || self.is_out(name)
        });
        ClusterView {
            nodes: known.values().map(|machine| machine.node.clone()).collect(),
            load: 0.0,
        }
    }
}

/// The shard sets that a machine of this endpoint's shard group holds.
fn shard_sets(endpoint: &Endpoint, config: &PlatformConfig) -> Vec<u32> {
    let groups = config.shard_group_count.max(1);
    let groups_per_shard = config.groups_per_shard.min(config.shard_group_count).max(1);
    (0..groups_per_shard)
        .map(|back| (endpoint.shard_group.0 % groups + groups - back) % groups)
        .collect()
}

/// The wall clock in milliseconds since the Unix epoch.
fn wall_clock_ms() -> u64 {
    let since_epoch = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

impl Fleet {
    /// Renews this router's report to the coordinator if it is due. Returns the time when it is due next, or `None` if
    /// the settings do not configure maintenance.
    pub(super) fn report_maintenance(&self, router: &Router) -> Option<Micros> {
        let maintenance = self.maintenance.as_ref()?;
        let now = router.clock.now();
        if now < maintenance.next_report.get() {
            return Some(maintenance.next_report.get());
        }
        maintenance.next_report.set(now + REPORT_INTERVAL);
        let decisions = router.decisions.borrow();
        let endpoints = self.endpoints.borrow();
        let listed = endpoints.listed();
        let view = maintenance.cluster_view(&decisions.engine.config, listed, now);
        maintenance
            .coordinator
            .observe_cluster(view, wall_clock_ms());
        let report = maintenance.report(&decisions, listed, now);
        let before = maintenance.last_report.replace(report.clone());
        let has_changed = report::differs(&before, &report);
        self.node.borrow_mut().lease_holder.set_extension_report(
            report.applied_index,
            report.encode(),
            has_changed,
        );
        Some(maintenance.next_report.get())
    }

    /// Applies a change of the set of machines that are out of service.
    pub(super) fn machines_out_changed(&self, router: &Router, index: Index, encoded: &[u8]) {
        let Some(maintenance) = &self.maintenance else {
            return;
        };
        let changed = maintenance.apply_machines_out(router.clock.now(), index, encoded);
        self.update_endpoints(router, &changed);
        for machine in &changed {
            if maintenance.is_out(machine) {
                tracing::info!(%machine, "maintenance: machine out of service");
            } else {
                tracing::info!(%machine, "maintenance: machine back in service");
            }
        }
        self.report_maintenance(router);
    }
}
