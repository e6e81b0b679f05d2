//! Limits how many machines may be missing at a time: holders of each set of shards, machines of each zone, capacity
//! for the load with a reserve, and a total. Each limit counts the machines that are available and how many are
//! required.
//!
//! [`crate::schedule`] plans rounds with the budget, and the coordinator checks it before it takes a machine out.
//! Routers under maintenance have rules of their own, in [`crate::router_removal`].

mod limits;
#[cfg(test)]
mod tests;
mod violation;

use std::collections::HashMap;

pub use limits::Limits;
pub(crate) use limits::MAX_MACHINES_OUT;
pub use violation::Violation;

/// One machine that answers shard requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    /// The machine's name as discovery lists it.
    pub name: String,
    /// The number of the machine's zone.
    pub zone: u16,
    /// The sets of shards that the machine holds.
    pub shard_sets: Vec<u32>,
    /// Whether the machine serves load.
    pub healthy: bool,
    /// Whether the machine is under maintenance: out, or returning to service.
    pub out_of_service: bool,
}

/// The machines of the fleet, as one router sees them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClusterView {
    /// All machines; other types refer to a machine by its position in this list.
    pub nodes: Vec<Node>,
    /// Shard requests per second of all routers together.
    pub load: f64,
}

impl ClusterView {
    /// The position of a machine in `nodes`.
    pub fn position(&self, name: &str) -> Option<usize> {
        self.nodes.iter().position(|node| node.name == name)
    }
}

/// The machines that a limit counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Scope {
    ShardSet(u32),
    Zone(u16),
    Load,
    Total,
}

/// The condition under which a machine in a limit's scope counts as available.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Requirement {
    Healthy,
    InService,
}

impl Requirement {
    fn is_met_by(self, node: &Node) -> bool {
        match self {
            Requirement::Healthy => node.healthy,
            Requirement::InService => !node.out_of_service,
        }
    }
}

/// A number of available machines, of which `required` have to stay.
#[derive(Clone, Debug)]
struct Limit {
    scope: Scope,
    available: usize,
    required: usize,
}

impl Limit {
    fn free(&self) -> usize {
        self.available.saturating_sub(self.required)
    }
}

/// All limits, with the number of machines that may still be taken out under each. Its size grows with the number of
/// machines.
#[derive(Clone, Debug)]
pub struct DisruptionBudget {
    /// The limits of shard sets and zones in the order of the machines, then the load, then the total.
    limits: Vec<Limit>,
    /// For each machine, the limits that lose one available machine when it is taken out.
    limits_of: Vec<Vec<usize>>,
    max_out: usize,
}

impl DisruptionBudget {
    /// `out` is the number of machines that are out now; they count against the total.
    pub fn new(view: &ClusterView, limits: &Limits, out: usize) -> DisruptionBudget {
        let max_out = limits.max_out(view.nodes.len());
        let mut budget = DisruptionBudget {
            limits: Vec::new(),
            limits_of: vec![Vec::new(); view.nodes.len()],
            max_out,
        };
        budget.add_sets_and_zones(view, limits);
        let healthy = view.nodes.iter().filter(|node| node.healthy).count();
        let load = Limit {
            scope: Scope::Load,
            available: healthy,
            required: limits.machines_for(view.load),
        };
        budget.add_for_all(view, load, |node| node.healthy);
        let total = Limit {
            scope: Scope::Total,
            available: max_out,
            required: out.min(max_out),
        };
        budget.add_for_all(view, total, |_| true);
        budget
    }

    /// Adds two limits for each shard set and each zone: one on healthy machines, one on machines in service. Taking
    /// out a machine that is failing uses nothing of the first limit, but it must still not go out while another
    /// machine of its set is out: the failure may be over in a moment, and under a permit the machine could not serve.
    /// With only the first limit, two machines of a set of three had permits, one of them after a brief suspicion.
    fn add_sets_and_zones(&mut self, view: &ClusterView, limits: &Limits) {
        let mut numbers = HashMap::<(Scope, Requirement), usize>::new();
        let mut members = Vec::<usize>::new();
        for (position, node) in view.nodes.iter().enumerate() {
            let sets = node.shard_sets.iter().map(|set| Scope::ShardSet(*set));
            for scope in sets.chain([Scope::Zone(node.zone)]) {
                for requirement in [Requirement::Healthy, Requirement::InService] {
                    let number = *numbers.entry((scope, requirement)).or_insert_with(|| {
                        members.push(0);
                        self.limits.push(Limit {
                            scope,
                            available: 0,
                            required: 0,
                        });
                        self.limits.len() - 1
                    });
                    members[number] += 1;
                    self.limits[number].available += usize::from(requirement.is_met_by(node));
                    if requirement == Requirement::InService || node.healthy {
                        self.limits_of[position].push(number);
                    }
                }
            }
        }
        for (limit, members) in self.limits.iter_mut().zip(members) {
            limit.required = match limit.scope {
                // At least two of three or more holders stay, one of two, and the only holder always stays.
                Scope::ShardSet(_) => limits.min_holders.max(2).min(members - 1).max(1),
                _ => (limits.min_zone_share * members as f64).ceil() as usize,
            };
        }
    }

    fn add_for_all(&mut self, view: &ClusterView, limit: Limit, counts: impl Fn(&Node) -> bool) {
        let number = self.limits.len();
        self.limits.push(limit);
        for (node, limits) in view.nodes.iter().zip(&mut self.limits_of) {
            if counts(node) {
                limits.push(number);
            }
        }
    }

    /// Checks whether a machine may be taken out; the error names the first limit that forbids it.
    pub fn check(&self, node: usize) -> Result<(), Violation> {
        let exhausted = self.limits_of[node]
            .iter()
            .find(|limit| self.limits[**limit].free() == 0);
        match exhausted {
            Some(limit) => Err(self.violation(*limit)),
            None => Ok(()),
        }
    }

    fn violation(&self, limit: usize) -> Violation {
        let Limit {
            scope,
            available,
            required,
        } = self.limits[limit];
        match scope {
            Scope::ShardSet(set) if available <= 1 => Violation::LastHolder(set),
            Scope::ShardSet(set) => Violation::Holders {
                set,
                healthy: available,
                required,
            },
            Scope::Zone(zone) => Violation::Zone {
                zone,
                healthy: available,
                required,
            },
            Scope::Load => Violation::Load {
                healthy: available,
                required,
            },
            Scope::Total => Violation::MaxOut(self.max_out),
        }
    }

    /// Counts a machine as missing without checking the limits.
    fn take_out(&mut self, node: usize) {
        for limit in &self.limits_of[node] {
            let available = &mut self.limits[*limit].available;
            *available = available.saturating_sub(1);
        }
    }

    /// Counts the machines as missing if all of them may be out together; otherwise changes nothing.
    pub fn take_out_all(&mut self, nodes: &[usize]) -> Result<(), Violation> {
        let before = self.limits.clone();
        for node in nodes {
            if let Err(violation) = self.check(*node) {
                self.limits = before;
                return Err(violation);
            }
            self.take_out(*node);
        }
        Ok(())
    }

    /// The limits that count a machine, with the number of machines that may still be taken out under each.
    pub(crate) fn uses(&self, node: usize) -> impl Iterator<Item = LimitUse> + '_ {
        self.limits_of[node].iter().map(|limit| LimitUse {
            limit: *limit,
            free: self.limits[*limit].free(),
        })
    }

    /// How many machines may still be taken out under each limit.
    pub(crate) fn free(&self) -> Vec<usize> {
        self.limits.iter().map(Limit::free).collect()
    }
}

/// A limit that loses one available machine when a certain machine is taken out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitUse {
    /// The limit's position in the budget.
    pub(crate) limit: usize,
    /// How many machines may still be taken out under the limit.
    pub(crate) free: usize,
}
