//! Plans the rounds of all waiting machines. Operators see the plan, and a new request is checked against it.

use std::collections::BTreeMap;

use super::Coordinator;
use crate::disruption_budget::{ClusterView, DisruptionBudget};
use crate::entry::Request;
use crate::ids::RequestNo;
use crate::operation::OperationKey;
use crate::schedule::{schedule, Schedule, WorkItem};

/// The number of a request that is not in the log yet.
const PROSPECTIVE: RequestNo = RequestNo(u64::MAX);

/// A schedule, with the items and the cluster view to which it refers.
pub(super) struct Plan {
    pub(super) schedule: Schedule,
    items: Vec<WorkItem>,
    view: ClusterView,
}

impl Plan {
    /// The names of an item's machines.
    pub(super) fn machines(&self, item: usize) -> Vec<&str> {
        self.items[item]
            .nodes
            .iter()
            .map(|node| self.view.nodes[*node].name.as_str())
            .collect()
    }

    /// Whether the item belongs to the request that is not in the log yet.
    pub(super) fn is_prospective(&self, item: usize) -> bool {
        self.items[item].request == PROSPECTIVE
    }

    /// How long the first `rounds` rounds take, in milliseconds.
    pub(super) fn duration_ms(&self, rounds: usize) -> u64 {
        self.schedule.rounds[..rounds]
            .iter()
            .map(|round| round.duration_us / 1000)
            .sum()
    }
}

/// One item for each machine of a request, or a single one if all of them go out at once.
fn split_into_items(number: RequestNo, request: &Request, nodes: Vec<usize>) -> Vec<WorkItem> {
    let item = |nodes| WorkItem {
        request: number,
        nodes,
        urgency: request.urgency(),
        duration_us: request.duration_us,
    };
    if request.all_at_once {
        vec![item(nodes)]
    } else {
        nodes.into_iter().map(|node| item(vec![node])).collect()
    }
}

impl Coordinator {
    /// The open requests, the most urgent first.
    pub(super) fn requests_by_urgency(&self) -> Vec<(RequestNo, &Request)> {
        let mut requests: Vec<(RequestNo, &Request)> = self
            .state
            .requests
            .iter()
            .map(|(number, request)| (*number, request))
            .collect();
        requests.sort_by_key(|(number, request)| (request.urgency(), *number));
        requests
    }

    /// The waiting machines as items for a schedule. Routers are not among them, as they have rules of their own.
    pub(super) fn waiting_items(&self, view: &ClusterView) -> Vec<WorkItem> {
        let positions: BTreeMap<&str, usize> = view
            .nodes
            .iter()
            .enumerate()
            .map(|(position, node)| (node.name.as_str(), position))
            .collect();
        let mut items = Vec::new();
        for (number, request) in self.requests_by_urgency() {
            let is_waiting = |machine: &&String| {
                self.state.is_waiting(&OperationKey {
                    request: number,
                    machine: (*machine).clone(),
                })
            };
            let nodes: Vec<usize> = request
                .machines
                .iter()
                .filter(is_waiting)
                .filter_map(|machine| positions.get(machine.as_str()).copied())
                .collect();
            if !nodes.is_empty() {
                items.extend(split_into_items(number, request, nodes));
            }
        }
        items
    }

    /// Plans the rounds of all waiting machines and of the prospective request's machines. The plan counts machines
    /// that are out or failing now as healthy: it rejects only what can never go out, not what cannot go out now.
    /// Otherwise a machine that was suspected for a moment caused a request to be rejected for good.
    pub(super) fn plan(&self, prospective: Option<&Request>) -> Plan {
        let mut view = self.view.clone();
        view.load = self.state.load as f64;
        let mut items = self.waiting_items(&view);
        if let Some(request) = prospective {
            let nodes: Vec<usize> = request
                .machines
                .iter()
                .filter_map(|name| view.position(name))
                .collect();
            items.extend(split_into_items(PROSPECTIVE, request, nodes));
        }
        let budget = DisruptionBudget::new(&view, &self.config.limits, 0);
        Plan {
            schedule: schedule(&items, &budget),
            items,
            view,
        }
    }
}
