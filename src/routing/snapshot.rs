//! Snapshots of the state that an engine has learnt, for another process that takes its place.
//!
//! All times are ages, or durations from now, in microseconds, so that a process with another clock can use them.
//! If a field is absent, the reader behaves as after a start without a snapshot.
//!
//! The fields are stored: their order and their serialized names are frozen.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::types::{
    CustomerNo, InFlightAttempt, InFlightElsewhere, IndexHealth, IndexNo, Micros, Node, NodeId,
    QueryFingerprint, RecentSend, ShardNo,
};

use super::query_of_death::KnownQueryOfDeath;
use super::RoutingEngine;

#[cfg(test)]
mod tests;

/// The state learnt about one node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeSnapshot {
    /// The node's last start according to the endpoint list, in microseconds of Unix time. If the reader knows
    /// another start, it ignores the other fields.
    pub started: u64,
    /// The smoothed load report (milliseconds or requests). If absent, the node counts as having the mean load.
    #[serde(rename = "report")]
    pub reported_load: Option<f64>,
    /// The highest reported rate, in requests per second.
    #[serde(rename = "best_rate")]
    pub max_reported_rate: f64,
    /// The smoothed answer latency, in microseconds. If absent, that of the median node is assumed.
    pub latency: Option<f64>,
    /// The age of `latency`.
    #[serde(rename = "seen")]
    pub latency_age: u64,
    /// For each index: the share of failed attempts, the microseconds lost, and the ages of the last update and
    /// the last answer. If absent, the node counts as healthy.
    #[serde(rename = "standings")]
    pub index_health: Vec<(f64, f64, u64, u64)>,
    /// The smoothed latency divided by the number of requests in flight, in microseconds.
    #[serde(rename = "pace")]
    pub latency_per_request: Option<f64>,
    /// The index for which the node is suspected.
    #[serde(rename = "doubted")]
    pub suspected_for: Option<u8>,
    /// The ages and costs of requests sent within the duration of slow start. If absent, a cold node may get its
    /// allowance twice.
    #[serde(rename = "sends")]
    pub recent_sends: Vec<(u64, f64)>,
    /// The index, age, cost and depth of each attempt in flight. If absent, the node counts as idle, and a hung
    /// node as healthy.
    #[serde(rename = "out")]
    pub in_flight: Vec<(u8, u64, f64, f64)>,
}

/// The state that an engine has learnt. Nodes are identified by the writer's own numbers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineSnapshot {
    /// The state learnt about each node.
    pub nodes: Vec<(u64, NodeSnapshot)>,
    /// The smoothed cost hint of a shard request, in microseconds.
    #[serde(rename = "mean_hint")]
    pub mean_cost_hint: Option<f64>,
    /// For each customer, the queries left within its quota and the age of that count. If absent, the quota starts
    /// anew.
    pub quota_left: Vec<(f64, u64)>,
    /// The ages of queries and shard requests admitted within the retry budget's window. If absent, the budget
    /// counts none.
    #[serde(rename = "taken")]
    pub admitted: Vec<u64>,
    /// The ages of the retries and hedged requests sent within that window.
    #[serde(rename = "extras")]
    pub extra_attempts: Vec<u64>,
    /// The age of the last failure of a node.
    #[serde(rename = "alarm")]
    pub last_node_failure: Option<u64>,
    /// For each known query of death, the time until it expires, its index, customer and shards. If absent, they
    /// are learnt again through further failures.
    #[serde(rename = "fatal")]
    pub queries_of_death: Vec<(u64, u8, u16, Vec<u32>)>,
    /// The settings that the figures depend on, for a reader that may use other settings. If absent, the reader
    /// assumes that they are the same.
    #[serde(default, rename = "terms")]
    pub settings: Option<String>,
    /// The age of the last shed query, while load shedding is active.
    #[serde(rename = "shed")]
    pub last_shed: Option<u64>,
}

impl NodeSnapshot {
    fn of(node: &Node, now: Micros) -> NodeSnapshot {
        let age = |at: Micros| now.since(at).0;
        let health = |health: &IndexHealth| {
            (
                health.failure_rate,
                health.failure_cost,
                age(health.updated_at),
                age(health.last_answer),
            )
        };
        let in_flight = |attempt: &InFlightAttempt| {
            (
                attempt.index.0,
                age(attempt.sent_at),
                attempt.relative_cost,
                attempt.depth_when_sent,
            )
        };
        NodeSnapshot {
            started: node.endpoint.started_at.0,
            reported_load: node.reported_load,
            max_reported_rate: node.max_reported_rate,
            latency: node.latency,
            latency_age: age(node.latency_updated_at),
            index_health: node.index_health.iter().map(health).collect(),
            latency_per_request: node.latency_per_request,
            suspected_for: node.suspected_for.map(|index| index.0),
            recent_sends: node
                .recent_sends
                .iter()
                .map(|send| (age(send.sent_at), send.cost))
                .collect(),
            in_flight: node
                .all_in_flight(now)
                .map(|(attempt, _)| in_flight(attempt))
                .collect(),
        }
    }

    /// Restores the state of the same start of the same node. Invalid figures are ignored.
    fn apply_to(&self, node: &mut Node, now: Micros) {
        let at = |age: u64| now.since(Micros(age));
        let health = |&(rate, cost, updated, answered): &(f64, f64, u64, u64)| IndexHealth {
            failure_rate: valid(Some(rate)).unwrap_or(0.0).min(1.0),
            failure_cost: valid(Some(cost)).unwrap_or(0.0),
            updated_at: at(updated),
            last_answer: at(answered),
        };
        node.reported_load = valid(self.reported_load);
        node.latency = valid(self.latency);
        node.latency_per_request = valid(self.latency_per_request);
        node.max_reported_rate = valid(Some(self.max_reported_rate)).unwrap_or(0.0);
        node.latency_updated_at = at(self.latency_age);
        node.index_health = self.index_health.iter().map(health).collect();
        node.suspected_for = self.suspected_for.map(IndexNo);
        node.recent_sends = self
            .recent_sends
            .iter()
            .map(|&(age, cost)| RecentSend {
                sent_at: at(age),
                cost,
            })
            .collect();
        // This process does not learn how these attempts end. If their ages kept growing, a node that has answered
        // would become suspected.
        node.in_flight_elsewhere = InFlightElsewhere {
            reported_at: now,
            attempts: self
                .in_flight
                .iter()
                .filter(|(_, _, cost, depth)| (0.0..1e9).contains(cost) && *depth >= 0.0)
                .map(|&(index, age, cost, depth)| InFlightAttempt {
                    index: IndexNo(index),
                    sent_at: at(age),
                    relative_cost: cost,
                    depth_when_sent: depth,
                    ..InFlightAttempt::default()
                })
                .collect(),
        };
    }
}

fn valid(figure: Option<f64>) -> Option<f64> {
    figure.filter(|figure| figure.is_finite() && *figure >= 0.0)
}

impl RoutingEngine {
    /// Returns the state that this engine has learnt.
    pub fn snapshot(&self, now: Micros) -> EngineSnapshot {
        let age = |at: &Micros| now.since(*at).0;
        let ages = |times: &VecDeque<Micros>| times.iter().map(age).collect();
        let known_query = |known: &KnownQueryOfDeath| {
            let shards = &known.fingerprint.shards;
            (
                known.expires_at.since(now).0,
                known.fingerprint.index.0,
                known.fingerprint.customer.0,
                shards.iter().map(|shard| shard.0).collect(),
            )
        };
        EngineSnapshot {
            nodes: self
                .nodes
                .iter()
                .map(|(id, node)| (id.0, NodeSnapshot::of(node, now)))
                .collect(),
            mean_cost_hint: self.mean_cost_hint,
            quota_left: self
                .quota_left
                .iter()
                .map(|left| (left.queries, age(&left.counted_at)))
                .collect(),
            admitted: ages(&self.admitted),
            extra_attempts: ages(&self.extra_attempts),
            last_node_failure: self.last_node_failure.as_ref().map(age),
            queries_of_death: self.queries_of_death.iter().map(known_query).collect(),
            settings: Some(self.settings_text()),
            last_shed: self.last_shed.as_ref().map(age),
        }
    }

    /// Restores the state learnt by another engine. The snapshot must identify nodes by this engine's numbers.
    /// Entries for nodes that the endpoint list has not named, or for another start of a node, are ignored.
    /// Returns the number of nodes restored.
    pub fn restore(&mut self, now: Micros, snapshot: &EngineSnapshot) -> usize {
        self.now = now;
        // The snapshot contains what was sent to nodes that are warming up, so this process does not count as just
        // started.
        self.first_list_at = Some(Micros(0));
        let snapshot = &self.applicable(snapshot);
        let restored = self.restore_nodes(snapshot);
        let at = |age: &u64| now.since(Micros(*age));
        self.mean_cost_hint = snapshot
            .mean_cost_hint
            .filter(|hint| hint.is_finite() && *hint > 0.0);
        for (own, (queries, age)) in self.quota_left.iter_mut().zip(&snapshot.quota_left) {
            own.queries = *queries;
            own.counted_at = at(age);
        }
        self.admitted = snapshot.admitted.iter().map(at).collect();
        self.extra_attempts = snapshot.extra_attempts.iter().map(at).collect();
        self.last_node_failure = snapshot.last_node_failure.as_ref().map(at);
        self.last_shed = snapshot.last_shed.as_ref().map(at);
        let known_query =
            |(ahead, index, customer, shards): &(u64, u8, u16, Vec<u32>)| KnownQueryOfDeath {
                expires_at: now + Micros(*ahead),
                fingerprint: QueryFingerprint {
                    index: IndexNo(*index),
                    customer: CustomerNo(*customer),
                    shards: shards.iter().map(|shard| ShardNo(*shard)).collect(),
                },
            };
        self.queries_of_death = snapshot.queries_of_death.iter().map(known_query).collect();
        self.statistics_are_stale = true;
        restored
    }

    fn restore_nodes(&mut self, snapshot: &EngineSnapshot) -> usize {
        let indexes = self.config.indexes.len();
        let mut restored = 0;
        for (id, known) in &snapshot.nodes {
            let id = NodeId(*id);
            let node = self
                .nodes
                .get_mut(&id)
                .filter(|node| node.endpoint.started_at.0 == known.started);
            let Some(node) = node.filter(|_| known.index_health.len() <= indexes) else {
                continue;
            };
            known.apply_to(node, self.now);
            let has_in_flight = !node.in_flight_elsewhere.attempts.is_empty();
            if node.suspected_for.is_some() || has_in_flight {
                self.monitored.insert(id);
            }
            restored += 1;
        }
        restored
    }

    /// Returns the part of another engine's snapshot that has the same meaning under this engine's settings. If
    /// the indexes, customers, metrics or shards differ, the state that depends on them is dropped. The latencies
    /// of nodes, what was sent to them, and what was spent of the retry budget are kept.
    fn applicable(&self, snapshot: &EngineSnapshot) -> EngineSnapshot {
        let settings = snapshot.settings.as_ref();
        if settings.is_none_or(|settings| *settings == self.settings_text()) {
            return snapshot.clone();
        }
        let mut nodes = snapshot.nodes.clone();
        for (_, node) in &mut nodes {
            node.reported_load = None;
            node.max_reported_rate = 0.0;
            node.suspected_for = None;
            node.index_health.clear();
        }
        EngineSnapshot {
            nodes,
            admitted: snapshot.admitted.clone(),
            extra_attempts: snapshot.extra_attempts.clone(),
            last_node_failure: snapshot.last_node_failure,
            ..EngineSnapshot::default()
        }
    }

    /// Returns the settings that a snapshot depends on as text. The text is stored, so the names in its `Debug`
    /// output are frozen.
    fn settings_text(&self) -> String {
        let config = &self.config;
        let rows: Vec<_> = config
            .indexes
            .iter()
            .map(|row| (row.latency_objective, row.retry_semantics))
            .collect();
        format!(
            "{:?}",
            (
                rows,
                &config.load_metrics,
                config.quotas.len(),
                config.shard_group_count,
                config.groups_per_shard
            )
        )
    }
}
