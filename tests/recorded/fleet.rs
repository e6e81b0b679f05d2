//! A made-up fleet: how long each attempt takes at a node, and how it ends.

use ternpick::types::*;

use super::Random;

/// What is wrong with a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    None,
    /// So many times slower.
    Slow(u64),
    /// Takes attempts and never answers.
    Hung,
    /// Breaks every connection, and takes no new one.
    Down,
    /// So many of a thousand attempts end in an error at once.
    Errors(u64),
    /// Errors for one index alone.
    FailsIndex(u8),
    /// Turns attempts away before they run.
    Refuses,
    /// Reports itself idle.
    ReportsNothing,
}

#[derive(Clone, Debug)]
pub(crate) struct ModelNode {
    pub(crate) endpoint: Endpoint,
    pub(crate) fault: Fault,
    /// Attempts that it works on.
    pub(crate) load: u64,
    last_used: Micros,
}

/// How an attempt ends, and when.
pub(crate) struct Ending {
    pub(crate) delay: Micros,
    pub(crate) outcome: AttemptOutcome,
}

pub(crate) struct Fleet {
    pub(crate) nodes: Vec<ModelNode>,
    /// Time of one request at an idle node.
    pub(crate) service_us: u64,
    /// Connections that were idle for this long are dropped silently.
    pub(crate) drops_idle_after: Option<Micros>,
    /// So many of a thousand attempts never leave the router.
    pub(crate) unsent_per_mille: u64,
}

impl Fleet {
    pub(crate) fn new(nodes: u64, groups: u32, zones: u16, service_us: u64) -> Fleet {
        let node = |id: u64| ModelNode {
            endpoint: Endpoint {
                node: NodeId(id),
                zone: ZoneNo(id as u16 % zones),
                shard_group: ShardGroupNo(id as u32 % groups),
                ..Endpoint::default()
            },
            fault: Fault::None,
            load: 0,
            last_used: Micros(0),
        };
        Fleet {
            nodes: (1..=nodes).map(node).collect(),
            service_us,
            drops_idle_after: None,
            unsent_per_mille: 0,
        }
    }

    pub(crate) fn node(&mut self, id: NodeId) -> &mut ModelNode {
        &mut self.nodes[id.0 as usize - 1]
    }

    pub(crate) fn endpoints(&self) -> Vec<Endpoint> {
        self.nodes.iter().map(|node| node.endpoint).collect()
    }

    /// Sends an attempt; `limit` is when it is given up at the latest.
    pub(crate) fn send(
        &mut self,
        now: Micros,
        to: NodeId,
        index: IndexNo,
        deadly: bool,
        limit: Micros,
        random: &mut Random,
    ) -> Ending {
        let (service, drops_idle_after) = (self.service_us, self.drops_idle_after);
        let unsent = random.per_mille(self.unsent_per_mille);
        let node = self.node(to);
        let idle = now.since(node.last_used);
        node.last_used = now;
        node.load += 1;
        let work = service / 2 + random.below(service);
        let took = work * (1 + node.load / 3);
        let timed_out = Ending {
            delay: limit,
            outcome: AttemptOutcome::MayHaveRun,
        };
        let ends = |delay, outcome| Ending {
            delay: Micros(delay),
            outcome,
        };
        let errors = random.below(1000);
        if unsent {
            return ends(300, AttemptOutcome::Unsent);
        }
        if drops_idle_after.is_some_and(|after| idle > after) {
            return timed_out;
        }
        if deadly {
            return ends(4_000 + work / 8, AttemptOutcome::Broken);
        }
        let took = match node.fault {
            Fault::Hung => return timed_out,
            Fault::Down if errors < 300 => return ends(1_500, AttemptOutcome::Broken),
            Fault::Down | Fault::Refuses => return ends(900, AttemptOutcome::NeverRan),
            Fault::Errors(share) if errors < share => {
                return ends(2_000, AttemptOutcome::MayHaveRun);
            }
            Fault::FailsIndex(failing) if failing == index.0 => {
                return ends(2_500, AttemptOutcome::MayHaveRun);
            }
            Fault::Slow(times) => took * times,
            _ => took,
        };
        if took >= limit.0 {
            return timed_out;
        }
        ends(took, AttemptOutcome::Satisfied)
    }

    /// The load report of a node, a figure for each metric.
    pub(crate) fn report(
        &mut self,
        id: NodeId,
        metrics: &[LoadMetric],
        random: &mut Random,
    ) -> Vec<f64> {
        let service = self.service_us as f64;
        let node = self.node(id);
        if random.per_mille(20) {
            return vec![f64::NAN; metrics.len()];
        }
        let idle = node.fault == Fault::ReportsNothing;
        let load = if idle { 0.0 } else { node.load as f64 };
        let figure = |metric: &LoadMetric| match metric {
            LoadMetric::LatencyMs if idle => 0.0,
            LoadMetric::LatencyMs => service / 1e3 * (1.0 + load / 3.0),
            LoadMetric::Queue => load,
            LoadMetric::Rate => 1e6 / service * 2.0,
            LoadMetric::Unread => 0.5,
        };
        metrics.iter().map(figure).collect()
    }
}
