//! What the routers have reported, and what enough of them agree on.

use std::collections::{BTreeMap, BTreeSet};

use ternpick_fleet_policy::{Index, Member, MemberContact};

use super::Coordinator;
#[cfg(any(test, feature = "planted"))]
use super::InjectedBug;
use crate::disruption_budget::ClusterView;
use crate::router_report::RouterReport;

/// A machine is unhealthy where one in so many routers says so, and at least one does.
pub(super) const UNHEALTHY_QUORUM_DIVISOR: usize = 3;

/// One router, as the leader knows it at the last step.
pub(super) struct RouterContact {
    pub(super) member: Member,
    /// Its newest report that could be read.
    report: Option<RouterReport>,
    /// It was heard lately.
    pub(super) is_recent: bool,
    /// No other process of it can have a lease.
    only_one_process: bool,
    /// None of its processes can have a lease, nor act on what it admitted under one.
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

/// Machines that enough routers call unhealthy.
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
    /// The reports of all routers that have been heard.
    pub(super) fn reports(&self) -> Vec<&RouterReport> {
        self.contacts
            .iter()
            .filter_map(|contact| contact.report.as_ref())
            .collect()
    }

    /// The cluster with everything that is under maintenance as out of service, and everything that is so or that
    /// routers call so as unhealthy.
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

    /// Routers that may still send shard requests to a machine that went out at a log index.
    pub(super) fn undrained_routers(&self, machine: &str, out_since: Index) -> Vec<&Member> {
        self.contacts
            .iter()
            .filter(|contact| !self.is_drained(contact, machine, out_since))
            .map(|contact| &contact.member)
            .collect()
    }

    /// Whether a router can no longer act on the machine: its only process applies the machine's being out and has
    /// nothing in flight there, or all its leases ended so long ago that nothing it admitted is left.
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

    /// Whether the report comes from a time at which its router applied the list of this log index.
    fn reports_since(&self, report: &RouterReport, out_since: Index) -> bool {
        #[cfg(any(test, feature = "planted"))]
        if self.injected_bug == Some(InjectedBug::StaleReportCounts) {
            return true;
        }
        report.applied_index >= out_since
    }
}
