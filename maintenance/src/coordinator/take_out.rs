//! Selects the machines, or the router, to take out next.

use std::collections::BTreeSet;

use ternpick::types::Micros;
use ternpick_fleet_policy::Member;

use super::contacts::UNHEALTHY_QUORUM_DIVISOR;
use super::Coordinator;
use crate::disruption_budget::{ClusterView, DisruptionBudget};
use crate::entry::{Entry, Request};
use crate::operation::OperationKey;
use crate::router_removal::{router_of, OtherRouters, RouterFleet, RouterViolation};
use crate::router_report::RouterReport;
use crate::schedule::{schedule, WorkItem};

/// The maximum number of machines that one entry takes out, unless a single item has more.
const MAX_MACHINES_PER_ENTRY: usize = 32;

/// A router that waits to be taken out.
pub(super) struct WaitingRouter {
    key: OperationKey,
    member: Member,
}

impl Coordinator {
    /// Proposes to take out the machines that may go out now, in the order of the schedule: the items of its first
    /// round fit together best.
    pub(super) fn take_out_machines(&self, now: Micros) -> Option<Entry> {
        let reports = self.reports();
        if !self.may_take_out(now, &reports) {
            return None;
        }
        let view = self.view_with_health(&reports);
        let active = self.state.active_machines();
        let mut budget = DisruptionBudget::new(&view, &self.config.limits, active.len());
        let mut items = self.waiting_items(&view);
        items.retain(|item| self.may_start(item, &view, &active));
        let schedule = schedule(&items, &budget);
        let mut operations = Vec::<OperationKey>::new();
        for item_index in schedule.rounds.iter().flat_map(|round| &round.items) {
            let item = &items[*item_index];
            let keys = item_keys(item, &view);
            let is_taken_already = keys
                .iter()
                .any(|key| operations.iter().any(|other| other.machine == key.machine));
            let max_operations = MAX_MACHINES_PER_ENTRY.max(keys.len());
            if operations.len() + keys.len() <= max_operations
                && !is_taken_already
                && budget.take_out_all(&item.nodes).is_ok()
            {
                operations.extend(keys);
            }
        }
        (!operations.is_empty()).then(|| self.take_out_entry(operations))
    }

    /// Whether any machine may be taken out: maintenance is not paused, no reason to pause has existed for the
    /// stabilization time, the total limit is not reached, and enough reports name all unhealthy machines.
    fn may_take_out(&self, now: Micros, reports: &[&RouterReport]) -> bool {
        let is_stable = self
            .healthy_since
            .is_some_and(|since| now.since(since).0 >= self.config.stabilization_us);
        let machines = self.view.nodes.len();
        if self.state.pause.is_some() || !is_stable || machines == 0 {
            return false;
        }
        if self.state.active_machines().len() >= self.config.limits.max_out(machines) {
            return false;
        }
        let incomplete = reports
            .iter()
            .filter(|report| report.unlisted_unhealthy > 0)
            .count();
        incomplete * UNHEALTHY_QUORUM_DIVISOR < reports.len().max(1)
    }

    /// Whether none of the item's machines is out or returning for another request, and the item's request may begin.
    fn may_start(&self, item: &WorkItem, view: &ClusterView, active: &BTreeSet<&str>) -> bool {
        let is_free = item
            .nodes
            .iter()
            .all(|node| !active.contains(view.nodes[*node].name.as_str()));
        let request = self.state.requests.get(&item.request);
        is_free && request.is_none_or(|request| self.is_due(request))
    }

    fn is_due(&self, request: &Request) -> bool {
        request.not_before_ms.is_none_or(|due| due <= self.wall_ms)
    }

    fn take_out_entry(&self, operations: Vec<OperationKey>) -> Entry {
        Entry::TakeOut {
            fence: self.state.fence,
            operations,
            wall_ms: self.wall_ms,
        }
    }

    /// Proposes to take out the first waiting router that may go out now, if any.
    pub(super) fn take_out_router(&self) -> Option<Entry> {
        if self.state.pause.is_some() {
            return None;
        }
        let waiting = self.waiting_routers();
        let fleet = self.router_fleet()?;
        let others = other_routers(&waiting);
        let next = waiting
            .iter()
            .find(|router| fleet.check(&router.member, others).is_ok())?;
        Some(self.take_out_entry(vec![next.key.clone()]))
    }

    /// The waiting routers whose requests may begin, in the order of their requests.
    pub(super) fn waiting_routers(&self) -> Vec<WaitingRouter> {
        let mut waiting = Vec::new();
        for (number, request) in self.requests_by_urgency() {
            if !self.is_due(request) {
                continue;
            }
            for machine in &request.machines {
                let key = OperationKey {
                    request: number,
                    machine: machine.clone(),
                };
                if let Some(member) = router_of(machine).filter(|_| self.state.is_waiting(&key)) {
                    waiting.push(WaitingRouter { key, member });
                }
            }
        }
        waiting
    }

    /// The rule that forbids taking a waiting router out now, if any.
    pub(super) fn router_violation(
        &self,
        router: &Member,
        waiting: &[WaitingRouter],
    ) -> Option<RouterViolation> {
        self.router_fleet()?
            .check(router, other_routers(waiting))
            .err()
    }

    /// The routers as the coordinator sees them now; `None` while there is no coordinator.
    fn router_fleet(&self) -> Option<RouterFleet<'_>> {
        let coordinator = &self.state.coordinator.as_ref()?.member;
        let active: BTreeSet<Member> = self
            .state
            .active_machines()
            .into_iter()
            .filter_map(router_of)
            .collect();
        let present = self
            .contacts
            .iter()
            .filter(|contact| contact.is_recent && !active.contains(&contact.member))
            .map(|contact| contact.member.clone())
            .collect();
        Some(RouterFleet {
            members: &self.members,
            present,
            coordinator,
            min_zone_share: self.config.limits.min_zone_share,
        })
    }
}

fn other_routers(waiting: &[WaitingRouter]) -> OtherRouters {
    if waiting.len() > 1 {
        OtherRouters::Wait
    } else {
        OtherRouters::NoneWait
    }
}

fn item_keys(item: &WorkItem, view: &ClusterView) -> Vec<OperationKey> {
    item.nodes
        .iter()
        .map(|node| OperationKey {
            request: item.request,
            machine: view.nodes[*node].name.clone(),
        })
        .collect()
}
