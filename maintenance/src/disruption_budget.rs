//! How many machines may be missing at a time: healthy holders of each set of shards, machines of each zone, capacity
//! for the load with a reserve, and a total. Each limit is a number of healthy machines, of which so many may be missing.
//!
//! [`crate::schedule`] plans rounds with it and the coordinator asks it before a machine goes out. Routers as machines
//! have rules of their own, in [`crate::router_removal`].

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
    /// Its name, as discovery lists it.
    pub name: String,
    /// Its zone's number.
    pub zone: u16,
    /// The sets of shards that it holds.
    pub shard_sets: Vec<u32>,
    /// It serves load.
    pub healthy: bool,
    /// It is under maintenance: out, or not returned to service yet.
    pub out_of_service: bool,
}

/// The machines of the fleet, as one router sees them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClusterView {
    /// All machines; other types name one by its place here.
    pub nodes: Vec<Node>,
    /// Shard requests a second of all routers together.
    pub load: f64,
}

impl ClusterView {
    /// The place of a machine.
    pub fn position(&self, name: &str) -> Option<usize> {
        self.nodes.iter().position(|node| node.name == name)
    }
}

/// Which machines a limit counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Scope {
    ShardSet(u32),
    Zone(u16),
    Load,
    Total,
}

/// What a limit asks of the machines in its scope.
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

/// A number of machines, of which `required` have to stay.
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

/// What is free of every limit, as machines go out. Its size is the fleet's.
#[derive(Clone, Debug)]
pub struct DisruptionBudget {
    /// By shard set and zone as the machines name them, then the load, then the total.
    limits: Vec<Limit>,
    /// For each machine: the limits of which its going out takes one.
    limits_of: Vec<Vec<usize>>,
    max_out: usize,
}

impl DisruptionBudget {
    /// `out`: machines that are out now; they count against the total.
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

    /// Each set and each zone has two limits: on healthy machines, and on those in service. A machine that fails now
    /// takes nothing of the first, and all the same must not go out while a neighbour is out: it may be healthy in a
    /// moment, and under a permit it could not serve. Seen: two permits in a set of three, one of them for a machine
    /// that was suspected for a moment.
    fn add_sets_and_zones(&mut self, view: &ClusterView, limits: &Limits) {
        let mut numbers = HashMap::<(Scope, Requirement), usize>::new();
        let mut members = Vec::<usize>::new();
        for (at, node) in view.nodes.iter().enumerate() {
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
                        self.limits_of[at].push(number);
                    }
                }
            }
        }
        for (limit, members) in self.limits.iter_mut().zip(members) {
            limit.required = match limit.scope {
                // Two where there are more, one where there are two, and the last never goes.
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

    /// The first limit that a machine's going out would break, if any.
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

    /// Counts a machine as missing, whatever the limits say.
    fn take_out(&mut self, node: usize) {
        for limit in &self.limits_of[node] {
            let available = &mut self.limits[*limit].available;
            *available = available.saturating_sub(1);
        }
    }

    /// Counts the machines as missing if all may go out together; otherwise nothing changes.
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

    /// The limits of which a machine takes one, and how much of each is free.
    pub(crate) fn uses(&self, node: usize) -> impl Iterator<Item = LimitUse> + '_ {
        self.limits_of[node].iter().map(|limit| LimitUse {
            limit: *limit,
            free: self.limits[*limit].free(),
        })
    }

    /// How many machines may still go out under each limit.
    pub(crate) fn free(&self) -> Vec<usize> {
        self.limits.iter().map(Limit::free).collect()
    }
}

/// A limit of which a machine takes one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitUse {
    /// Its number.
    pub(crate) limit: usize,
    /// How many machines may still go out under it.
    pub(crate) free: usize,
}
