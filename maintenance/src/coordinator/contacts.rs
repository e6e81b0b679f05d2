//! Evaluates the routers' reports: which machines are unhealthy, and which routers are drained.

use std::collections::{BTreeMap, BTreeSet};

use ternpick_fleet_policy::{Index, Member, MemberContact};

use super::Coordinator;
#[cfg(any(test, feature = "planted"))]
use super::InjectedBug;
use crate::disruption_budget::ClusterView;
use crate::router_report::RouterReport;

/// A machine counts as unhealthy if at least one in this many routers reports it as unhealthy, and at least one router
/// at all.
pub(super) const UNHEALTHY_QUORUM_DIVISOR: usize = 3;

/// What the leader knew about one router at the last step.
pub(super) struct RouterContact {
    pub(super) member: Member,
    /// The router's newest report, if it could be decoded.
    report: Option<RouterReport>,
    /// Whether the router's last request is recent enough that it counts as reachable.
    pub(super) is_recent: bool,
    /// Whether no process other than the reporting one can have a lease.
    only_one_process: bool,
    /// Whether none of the router's processes can have a lease, or act on a query that it admitted under one.
    pub(super) all_leases_expired: bool,
}

impl From<&MemberContact> for RouterContact {
    fn from(contact: &MemberContact) -> Self {
        RouterContact {
            member: contact.member.clone(),
            report: contact.report.as_deref().and_then(RouterReport::decode),
            is_recent: contact.is_recent,
            only_one_process: contact.only_one_process,
            all_leases_expired: contact.all_leases_expired,
        }
    }
}

/// The machines that enough routers report as unhealthy.
pub(super) fn unhealthy_machines<'a>(reports: &[&'a RouterReport]) -> BTreeSet<&'a str> {
    let mut counts = BTreeMap::<&str, usize>::new();
    for name in reports.iter().flat_map(|report| &report.unhealthy) {
        *counts.entry(name).or_default() += 1;
    }
    let enough = (reports.len() / UNHEALTHY_QUORUM_DIVISOR).max(1);
    counts
        .into_iter()
        .filter(|(_, count)| *count >= enough)
        .map(|(name, _)| name)
        .collect()
}

impl Coordinator {
    /// The reports of all routers from which the leader has one.
    pub(super) fn reports(&self) -> Vec<&RouterReport> {
        self.contacts
            .iter()
            .filter_map(|contact| contact.report.as_ref())
            .collect()
    }

    /// The cluster, with machines under maintenance marked as out of service and unhealthy, and machines that enough
    /// routers report as unhealthy marked as unhealthy.
    pub(super) fn view_with_health(&self, reports: &[&RouterReport]) -> ClusterView {
        let mut view = self.view.clone();
        let unhealthy = unhealthy_machines(reports);
        let active = self.state.active_machines();
        for node in &mut view.nodes {
            node.out_of_service = active.contains(node.name.as_str());
            node.healthy = !node.out_of_service && !unhealthy.contains(node.name.as_str());
        }
        view.load = self.state.load as f64;
        view
    }

    /// Routers that may still send shard requests to a machine that was taken out at the log index `out_since`.
    pub(super) fn undrained_routers(&self, machine: &str, out_since: Index) -> Vec<&Member> {
        self.contacts
            .iter()
            .filter(|contact| !self.is_drained(contact, machine, out_since))
            .map(|contact| &contact.member)
            .collect()
    }

    /// Whether a router can no longer send to the machine. Either its only process treats the machine as out and has
    /// no shard request in flight to it, or all its leases ended so long ago that no query that it admitted is still
    /// running.
    fn is_drained(&self, contact: &RouterContact, machine: &str, out_since: Index) -> bool {
        let reports_idle = contact.report.as_ref().is_some_and(|report| {
            self.reports_since(report, out_since) && !report.busy.iter().any(|name| name == machine)
        });
        let is_drained = contact.only_one_process && reports_idle || contact.all_leases_expired;
        #[cfg(any(test, feature = "planted"))]
        let is_drained = match self.injected_bug {
            Some(InjectedBug::NoDrainWait) => true,
            Some(InjectedBug::SilentRouterIsDrained) => is_drained || contact.report.is_none(),
            _ => is_drained,
        };
        is_drained
    }

    /// Whether the router had applied the list of machines out of this log index when it made the report.
    fn reports_since(&self, report: &RouterReport, out_since: Index) -> bool {
        #[cfg(any(test, feature = "planted"))]
        if self.injected_bug == Some(InjectedBug::StaleReportCounts) {
            return true;
        }
        report.applied_index >= out_since
    }
}
