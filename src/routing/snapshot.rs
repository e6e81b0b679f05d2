//! What a module has come to believe, for another process that goes on in its place. All times are ages or times ahead
//! in microseconds, so that another clock can take them in; a reader that lacks a field does as after a plain start.

use serde::{Deserialize, Serialize};

use crate::routing::RoutingEngine;
use crate::types::{
    CustomerNo, InFlightAttempt, IndexHealth, IndexNo, Micros, Node, NodeId, ShardNo,
};

/// Beliefs about one node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeSnapshot {
    /// Its last start by the roster, microseconds of Unix time. Another start: nothing else here holds.
    pub started: u64,
    /// Smoothed report (milliseconds or parts). Without it: the mean.
    pub report: Option<f64>,
    /// Parts a second.
    pub best_rate: f64,
    /// Smoothed answer latency, microseconds. Without it: the middle node's.
    pub latency: Option<f64>,
    /// Age of that.
    pub seen: u64,
    /// By index: share failed, microseconds lost, ages of the last change and the last answer. Without: sound.
    pub standings: Vec<(f64, f64, u64, u64)>,
    /// Smoothed latency a part out, microseconds.
    pub pace: Option<f64>,
    /// The index for which it is doubted.
    pub doubted: Option<u8>,
    /// Ages and weights of parts sent of late: its warm-up. Without it a cold node may get its allowance twice.
    pub sends: Vec<(u64, f64)>,
    /// Parts out: index, age, weight and depth. Without it: the node counts as idle, and one that hangs as sound.
    pub out: Vec<(u8, u64, f64, f64)>,
}

/// All that is believed, nodes by whatever number the writer gave them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineSnapshot {
    pub nodes: Vec<(u64, NodeSnapshot)>,
    /// Smoothed hint of a part, microseconds.
    pub mean_hint: Option<f64>,
    /// By customer: lookups left within its share, and the age of that count. Without it: a share anew.
    pub quota_left: Vec<(f64, u64)>,
    /// Ages of the lookups taken and the further calls made within the budget's window. Without: a budget of none.
    pub taken: Vec<u64>,
    pub extras: Vec<u64>,
    /// Age of the last fall of a node.
    pub alarm: Option<u64>,
    /// Deadly lookups: time ahead until which they are known, index, customer, shards. Without: learnt by more falls.
    pub fatal: Vec<(u64, u8, u16, Vec<u32>)>,
    /// What these figures rest on, for one that reads them under other terms. Without: the same terms.
    #[serde(default)]
    pub terms: Option<String>,
    /// Age of the last nack at admission, while they come.
    pub shed: Option<u64>,
}

impl Node {
    fn belief(&self, now: Micros) -> NodeSnapshot {
        let age = |at: Micros| now.since(at).0;
        let standing = |of: &IndexHealth| {
            (
                of.failure_rate,
                of.failure_cost,
                age(of.updated_at),
                age(of.last_answer),
            )
        };
        NodeSnapshot {
            started: self.endpoint.started_at.0,
            report: self.reported_load,
            best_rate: self.max_reported_rate,
            latency: self.latency,
            seen: age(self.latency_updated_at),
            standings: self.index_health.iter().map(standing).collect(),
            pace: self.latency_per_request,
            doubted: self.suspected_for.map(|index| index.0),
            sends: self
                .recent_sends
                .iter()
                .map(|(at, z)| (age(*at), *z))
                .collect(),
            out: self
                .all_in_flight(now)
                .map(|(of, _)| (of.index.0, age(of.sent_at), of.z, of.depth_when_sent))
                .collect(),
        }
    }

    /// Takes on what was believed of the same start of the same node.
    fn believe(&mut self, now: Micros, of: &NodeSnapshot) {
        let at = |age: u64| now.since(Micros(age));
        let sound =
            |figure: Option<f64>| figure.filter(|figure| figure.is_finite() && *figure >= 0.0);
        let standing = |(fear, toll, changed, answered): &(f64, f64, u64, u64)| IndexHealth {
            failure_rate: sound(Some(*fear)).unwrap_or(0.0).min(1.0),
            failure_cost: sound(Some(*toll)).unwrap_or(0.0),
            updated_at: at(*changed),
            last_answer: at(*answered),
        };
        (self.reported_load, self.latency, self.latency_per_request) =
            (sound(of.report), sound(of.latency), sound(of.pace));
        self.max_reported_rate = sound(Some(of.best_rate)).unwrap_or(0.0);
        self.latency_updated_at = at(of.seen);
        self.index_health = of.standings.iter().map(standing).collect();
        self.suspected_for = of.doubted.map(IndexNo);
        self.recent_sends = of.sends.iter().map(|(age, z)| (at(*age), *z)).collect();
        // What it hears of these, this process does not; an age that went on would doubt a node that has answered.
        let out = of
            .out
            .iter()
            .filter(|(_, _, z, depth)| (0.0..1e9).contains(z) && *depth >= 0.0);
        let out = out.map(|(index, age, z, depth)| InFlightAttempt {
            index: IndexNo(*index),
            sent_at: at(*age),
            z: *z,
            depth_when_sent: *depth,
            ..InFlightAttempt::default()
        });
        self.in_flight_elsewhere = (now, out.collect());
    }
}

impl RoutingEngine {
    pub fn snapshot(&self, now: Micros) -> EngineSnapshot {
        let age = |at: &Micros| now.since(*at).0;
        let ages = |times: &std::collections::VecDeque<Micros>| times.iter().map(age).collect();
        let print =
            |(until, (index, customer, shards)): &(Micros, (IndexNo, CustomerNo, Vec<ShardNo>))| {
                (
                    until.since(now).0,
                    index.0,
                    customer.0,
                    shards.iter().map(|shard| shard.0).collect(),
                )
            };
        EngineSnapshot {
            nodes: self
                .nodes
                .iter()
                .map(|(id, node)| (id.0, node.belief(now)))
                .collect(),
            mean_hint: self.mean_hint,
            quota_left: self
                .quota_left
                .iter()
                .map(|(left, at)| (*left, age(at)))
                .collect(),
            taken: ages(&self.taken),
            extras: ages(&self.extras),
            alarm: self.alarm_at.as_ref().map(age),
            fatal: self.fatal.iter().map(print).collect(),
            terms: Some(self.terms()),
            shed: self.shed_at.as_ref().map(age),
        }
    }

    /// Takes on another's beliefs about the nodes that the roster has told of, by this module's numbers. What is said of
    /// others, or of another start of a node, is passed over; tells how many nodes were taken.
    pub fn believe(&mut self, now: Micros, of: &EngineSnapshot) -> usize {
        self.now = now;
        // What was sent to nodes that warm up is known from here on, as if this process had been there.
        self.born = Some(Micros(0));
        let of = &self.carried(of);
        let at = |age: &u64| now.since(Micros(*age));
        let mut taken = 0;
        for (id, belief) in &of.nodes {
            let indexes = self.config.indexes.len();
            let node = self
                .nodes
                .get_mut(&NodeId(*id))
                .filter(|node| node.endpoint.started_at.0 == belief.started);
            if let Some(node) = node.filter(|_| belief.standings.len() <= indexes) {
                node.believe(now, belief);
                if node.suspected_for.is_some() || !node.in_flight_elsewhere.1.is_empty() {
                    self.watched.insert(NodeId(*id));
                }
                taken += 1;
            }
        }
        self.mean_hint = of.mean_hint.filter(|hint| hint.is_finite() && *hint > 0.0);
        for (own, (left, age)) in self.quota_left.iter_mut().zip(&of.quota_left) {
            *own = (*left, at(age));
        }
        self.taken = of.taken.iter().map(at).collect();
        self.extras = of.extras.iter().map(at).collect();
        (self.alarm_at, self.shed_at) = (of.alarm.as_ref().map(at), of.shed.as_ref().map(at));
        let print = |(ahead, index, customer, shards): &(u64, u8, u16, Vec<u32>)| {
            let shards = shards.iter().map(|shard| ShardNo(*shard)).collect();
            (
                now + Micros(*ahead),
                (IndexNo(*index), CustomerNo(*customer), shards),
            )
        };
        self.fatal = of.fatal.iter().map(print).collect();
        self.stale = true;
        taken
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::types::{AttemptNo, Endpoint, PlatformConfig, ShardRequestId};
    use test_case::test_case;

    fn brain(now: Micros) -> RoutingEngine {
        let mut brain = RoutingEngine::new(
            PlatformConfig {
                quotas: vec![5.0],
                ..PlatformConfig::default()
            },
            1,
        );
        brain.now = now;
        for id in 1..4u64 {
            let listing = Endpoint {
                node: NodeId(id),
                started_at: Micros(id),
                ..Endpoint::default()
            };
            brain.nodes.insert(
                NodeId(id),
                Node {
                    endpoint: listing,
                    ..Node::default()
                },
            );
        }
        brain
    }

    #[test]
    fn beliefs_go_over_to_another_clock_and_stand_as_they_were() {
        let (here, there) = (Micros(900_000_000), Micros(2_000_000_000));
        let mut old = brain(here);
        let node = old.nodes.get_mut(&NodeId(2)).expect("a node");
        (
            node.latency,
            node.latency_per_request,
            node.latency_updated_at,
        ) = (Some(4000.0), Some(1000.0), Micros(here.0 - 7_000));
        node.recent_sends.push_back((Micros(here.0 - 50_000), 2.0));
        node.index_health = vec![IndexHealth {
            failure_rate: 0.5,
            failure_cost: 10.0,
            updated_at: Micros(here.0 - 3),
            last_answer: Micros(here.0 - 9),
        }];
        let owed = InFlightAttempt {
            sent_at: Micros(here.0 - 80),
            z: 1.5,
            depth_when_sent: 3.0,
            ..InFlightAttempt::default()
        };
        node.in_flight
            .insert((ShardRequestId(1), AttemptNo(0)), owed);
        old.config.indexes = vec![Default::default()];
        old.extras.push_back(Micros(here.0 - 1000));
        old.fatal.push_back((
            here + Micros(5_000_000),
            (IndexNo(0), CustomerNo(0), vec![ShardNo(3)]),
        ));
        let beliefs = old.snapshot(here);
        let mut new = brain(there);
        new.config.indexes = vec![Default::default()];
        assert_eq!(new.believe(there, &beliefs), 3);
        assert_eq!(new.snapshot(there), beliefs);
        assert_eq!(
            new.nodes[&NodeId(2)].recent_sends[0],
            (Micros(there.0 - 50_000), 2.0)
        );
        assert_eq!(new.fatal[0].0, there + Micros(5_000_000));
    }

    #[test_case(0, 2.0, 300_000.0; "as old as when it was told")]
    #[test_case(900_000, 2.0, 300_000.0; "and no older later")]
    fn parts_out_at_another_process_weigh_until_it_is_done(later: u64, z: f64, age: f64) {
        let now = Micros(1_000_000_000);
        let mut new = brain(now);
        let out = vec![(0, 300_000, 2.0, 1.0), (0, 1, f64::NAN, 1.0)];
        let nodes = vec![(
            2,
            NodeSnapshot {
                started: 2,
                out,
                ..NodeSnapshot::default()
            },
        )];
        new.believe(
            now,
            &EngineSnapshot {
                nodes,
                ..EngineSnapshot::default()
            },
        );
        new.serve_share(1.0, true);
        new.now = now + Micros(later);
        let seen = |new: &RoutingEngine| {
            let node = &new.nodes[&NodeId(2)];
            (node.in_flight_cost(), new.belief(node, IndexNo(0)))
        };
        assert_eq!(seen(&new), (z, age));
        new.serve_whole();
        assert_eq!(seen(&new), (0.0, 0.0));
    }

    #[test_case(false, (2.0, 0.0, 0.0, 0); "one that finishes")]
    #[test_case(true, (2.0, 0.1, 0.2, 1); "one that goes on")]
    fn a_part_of_the_budget_is_kept_and_the_whole_comes_back(
        goes_on: bool,
        kept: (f64, f64, f64, usize),
    ) {
        let mut brain = brain(Micros(1_000_000));
        (
            brain.config.retry_budget_min,
            brain.config.retry_budget_ratio,
            brain.config.slow_start_initial_share,
        ) = (8.0, 0.1, 0.2);
        brain.extras.push_back(Micros(990_000));
        let seen = |brain: &RoutingEngine| {
            let of = &brain.config;
            (
                of.retry_budget_min,
                of.retry_budget_ratio,
                of.slow_start_initial_share,
                brain.extras.len(),
            )
        };
        brain.serve_share(4.0, goes_on);
        brain.serve_share(2.0, goes_on);
        assert_eq!(seen(&brain), kept);
        brain.extras.push_back(Micros(1_000_000));
        brain.serve_whole();
        brain.serve_whole();
        assert_eq!(seen(&brain), (8.0, 0.1, 0.2, 2));
    }

    /// The first seconds after a move to other indexes: a node that failed one is not doubted for another that has
    /// its number, one that warms up gets no allowance twice, and no share of the budget is spent twice.
    #[test_case(true, (Some(4000.0), Some(90.0), 1, 1, 1, 1); "the same terms")]
    #[test_case(false, (Some(4000.0), None, 0, 1, 1, 0); "other terms")]
    fn what_means_the_same_is_carried_over_a_move(
        same: bool,
        kept: (Option<f64>, Option<f64>, usize, usize, usize, usize),
    ) {
        let now = Micros(900_000_000);
        let mut old = brain(now);
        old.config.indexes = vec![Default::default()];
        let node = old.nodes.get_mut(&NodeId(2)).expect("a node");
        (node.latency, node.reported_load) = (Some(4000.0), Some(90.0));
        node.index_health = vec![IndexHealth {
            failure_rate: 1.0,
            failure_cost: 1e6,
            ..IndexHealth::default()
        }];
        node.recent_sends.push_back((now, 2.0));
        old.extras.push_back(now);
        old.fatal.push_back((
            now + Micros(5_000_000),
            (IndexNo(0), CustomerNo(0), vec![ShardNo(3)]),
        ));
        let mut new = brain(now);
        new.config.indexes = vec![Default::default()];
        new.config.groups_per_shard = if same { 0 } else { 3 };
        new.believe(now, &old.snapshot(now));
        let node = &new.nodes[&NodeId(2)];
        let counts = (
            node.index_health.len(),
            node.recent_sends.len(),
            new.extras.len(),
            new.fatal.len(),
        );
        assert_eq!(
            (
                node.latency,
                node.reported_load,
                counts.0,
                counts.1,
                counts.2,
                counts.3
            ),
            kept
        );
    }

    #[test]
    fn another_start_of_a_node_another_node_and_nonsense_are_passed_over() {
        let mut new = brain(Micros(1_000_000));
        let belief = |started, latency| NodeSnapshot {
            started,
            latency: Some(latency),
            ..NodeSnapshot::default()
        };
        let nodes = vec![
            (1, belief(9, 1.0)),
            (2, belief(2, f64::NAN)),
            (3, belief(3, 70.0)),
            (8, belief(8, 1.0)),
        ];
        assert_eq!(
            new.believe(
                Micros(1_000_000),
                &EngineSnapshot {
                    nodes,
                    ..EngineSnapshot::default()
                }
            ),
            2
        );
        let latencies: Vec<Option<f64>> = new.nodes.values().map(|node| node.latency).collect();
        assert_eq!(latencies, [None, None, Some(70.0)]);
    }
}
