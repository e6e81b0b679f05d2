//! A simulated fleet of data nodes: how long each attempt takes at a node, and how it ends.

use ternpick::types::*;

use super::Random;

/// The fault of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    None,
    /// Answers slower by this factor.
    Slow(u64),
    /// Accepts attempts and never answers.
    Hung,
    /// Breaks connections, and accepts no new ones.
    Down,
    /// This many of a thousand attempts end in an error after 2 ms.
    Errors(u64),
    /// Attempts for this index end in an error.
    FailsIndex(u8),
    /// Rejects attempts before they run.
    Rejects,
    /// Reports no load, whatever its load is.
    ReportsIdle,
}

#[derive(Clone, Debug)]
pub(crate) struct NodeState {
    pub(crate) endpoint: Endpoint,
    pub(crate) fault: Fault,
    /// Attempts that the node works on.
    pub(crate) load: u64,
    last_used_at: Micros,
}

/// How an attempt ends, and how long after it was sent.
pub(crate) struct AttemptEnd {
    pub(crate) delay: Micros,
    pub(crate) outcome: AttemptOutcome,
}

pub(crate) struct Fleet {
    pub(crate) nodes: Vec<NodeState>,
    /// Mean time of a shard request at an idle node.
    pub(crate) mean_service_us: u64,
    /// Connections that have been idle for longer are dropped silently.
    pub(crate) drops_idle_connections_after: Option<Micros>,
    /// This many of a thousand attempts are never sent by the router.
    pub(crate) unsent_per_mille: u64,
}

impl Fleet {
    pub(crate) fn new(nodes: u64, groups: u32, zones: u16, mean_service_us: u64) -> Fleet {
        let node = |id: u64| NodeState {
            endpoint: Endpoint {
                node: NodeId(id),
                zone: ZoneNo(id as u16 % zones),
                shard_group: ShardGroupNo(id as u32 % groups),
                ..Endpoint::default()
            },
            fault: Fault::None,
            load: 0,
            last_used_at: Micros(0),
        };
        Fleet {
            nodes: (1..=nodes).map(node).collect(),
            mean_service_us,
            drops_idle_connections_after: None,
            unsent_per_mille: 0,
        }
    }

    pub(crate) fn node(&mut self, id: NodeId) -> &mut NodeState {
        &mut self.nodes[id.0 as usize - 1]
    }

    pub(crate) fn endpoints(&self) -> Vec<Endpoint> {
        self.nodes.iter().map(|node| node.endpoint).collect()
    }

    /// Starts an attempt at a node, and returns how it ends. It times out after `time_limit`.
    pub(crate) fn send(
        &mut self,
        now: Micros,
        node: NodeId,
        index: IndexNo,
        is_query_of_death: bool,
        time_limit: Micros,
        random: &mut Random,
    ) -> AttemptEnd {
        let mean_service = self.mean_service_us;
        let drops_idle_connections_after = self.drops_idle_connections_after;
        let is_unsent = random.per_mille(self.unsent_per_mille);
        let node = self.node(node);
        let idle_time = now.since(node.last_used_at);
        node.last_used_at = now;
        node.load += 1;
        let work = mean_service / 2 + random.below(mean_service);
        let duration_us = work * (1 + node.load / 3);
        let timed_out = AttemptEnd {
            delay: time_limit,
            outcome: AttemptOutcome::MayHaveRun,
        };
        let end_after = |delay_us, outcome| AttemptEnd {
            delay: Micros(delay_us),
            outcome,
        };
        let error_draw = random.below(1000);
        if is_unsent {
            return end_after(300, AttemptOutcome::Unsent);
        }
        if drops_idle_connections_after.is_some_and(|limit| idle_time > limit) {
            return timed_out;
        }
        if is_query_of_death {
            return end_after(4_000 + work / 8, AttemptOutcome::Broken);
        }
        let duration_us = match node.fault {
            Fault::Hung => return timed_out,
            Fault::Down if error_draw < 300 => return end_after(1_500, AttemptOutcome::Broken),
            Fault::Down | Fault::Rejects => return end_after(900, AttemptOutcome::NeverRan),
            Fault::Errors(per_mille) if error_draw < per_mille => {
                return end_after(2_000, AttemptOutcome::MayHaveRun);
            }
            Fault::FailsIndex(failing_index) if failing_index == index.0 => {
                return end_after(2_500, AttemptOutcome::MayHaveRun);
            }
            Fault::Slow(factor) => duration_us * factor,
            _ => duration_us,
        };
        if duration_us >= time_limit.0 {
            return timed_out;
        }
        end_after(duration_us, AttemptOutcome::Satisfied)
    }

    /// The load report of a node: a value for each load metric. Some reports have no usable values.
    pub(crate) fn report(
        &mut self,
        id: NodeId,
        metrics: &[LoadMetric],
        random: &mut Random,
    ) -> Vec<f64> {
        let mean_service = self.mean_service_us as f64;
        let node = self.node(id);
        if random.per_mille(20) {
            return vec![f64::NAN; metrics.len()];
        }
        let reports_idle = node.fault == Fault::ReportsIdle;
        let load = if reports_idle { 0.0 } else { node.load as f64 };
        let value = |metric: &LoadMetric| match metric {
            LoadMetric::LatencyMs if reports_idle => 0.0,
            LoadMetric::LatencyMs => mean_service / 1e3 * (1.0 + load / 3.0),
            LoadMetric::Queue => load,
            LoadMetric::Rate => 1e6 / mean_service * 2.0,
            LoadMetric::Unread => 0.5,
        };
        metrics.iter().map(value).collect()
    }
}
