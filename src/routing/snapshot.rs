//! What an engine has learnt, for another process that goes on in its place. All times are ages or times
//! ahead in microseconds, so that another clock can take them in; a reader that lacks a field does as after a
//! plain start.
//!
//! The fields are stored: their order is frozen.

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

/// What is known of one node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeSnapshot {
    /// Its last start by the endpoint list, microseconds of Unix time. Another start: nothing else here
    /// holds.
    pub started: u64,
    /// Smoothed load report (milliseconds or requests). Without it: the mean.
    #[serde(rename = "report")]
    pub reported_load: Option<f64>,
    /// The highest reported rate, requests a second.
    #[serde(rename = "best_rate")]
    pub max_reported_rate: f64,
    /// Smoothed answer latency, microseconds. Without it: the median node's.
    pub latency: Option<f64>,
    /// Age of that.
    #[serde(rename = "seen")]
    pub latency_age: u64,
    /// By index: share failed, microseconds lost, ages of the last change and the last answer. Without:
    /// healthy.
    #[serde(rename = "standings")]
    pub index_health: Vec<(f64, f64, u64, u64)>,
    /// Smoothed latency for each request in flight, microseconds.
    #[serde(rename = "pace")]
    pub latency_per_request: Option<f64>,
    /// The index for which it is suspected.
    #[serde(rename = "doubted")]
    pub suspected_for: Option<u8>,
    /// Ages and costs of requests sent within a warm-up. Without it a cold node may get its allowance twice.
    #[serde(rename = "sends")]
    pub recent_sends: Vec<(u64, f64)>,
    /// Attempts in flight: index, age, cost and depth. Without it: the node counts as idle, and one that
    /// hangs as healthy.
    #[serde(rename = "out")]
    pub in_flight: Vec<(u8, u64, f64, f64)>,
}

/// All that was learnt, nodes by whatever number the writer gave them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineSnapshot {
    /// What is known of each node.
    pub nodes: Vec<(u64, NodeSnapshot)>,
    /// Smoothed cost hint of a request, microseconds.
    #[serde(rename = "mean_hint")]
    pub mean_cost_hint: Option<f64>,
    /// By customer: queries left within its quota, and the age of that count. Without it: a new quota.
    pub quota_left: Vec<(f64, u64)>,
    /// Ages of what was admitted within the retry budget's window. Without: a budget of none.
    #[serde(rename = "taken")]
    pub admitted: Vec<u64>,
    /// Ages of the retries and hedged requests sent within it.
    #[serde(rename = "extras")]
    pub extra_attempts: Vec<u64>,
    /// Age of the last failure of a node.
    #[serde(rename = "alarm")]
    pub last_node_failure: Option<u64>,
    /// Queries of death: time ahead until which they are known, index, customer, shards. Without: learnt by
    /// further failures.
    #[serde(rename = "fatal")]
    pub queries_of_death: Vec<(u64, u8, u16, Vec<u32>)>,
    /// The settings that these figures rest on, for one that reads them under others. Without: the same
    /// settings.
    #[serde(default, rename = "terms")]
    pub settings: Option<String>,
    /// Age of the last shed query, while queries are shed.
    #[serde(rename = "shed")]
    pub last_shed: Option<u64>,
}

impl NodeSnapshot {
    fn of(node: &Node, now: Micros) -> NodeSnapshot {
        let age = |at: Micros| now.since(at).0;
        let health = |of: &IndexHealth| {
            (
                of.failure_rate,
                of.failure_cost,
                age(of.updated_at),
                age(of.last_answer),
            )
        };
        let in_flight =
            |of: &InFlightAttempt| (of.index.0, age(of.sent_at), of.z, of.depth_when_sent);
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
                .map(|send| (age(send.at), send.cost))
                .collect(),
            in_flight: node
                .all_in_flight(now)
                .map(|(attempt, _)| in_flight(attempt))
                .collect(),
        }
    }

    /// Takes on what was known of the same start of the same node. Figures that make no sense are passed
    /// over.
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
            .map(|&(age, cost)| RecentSend { at: at(age), cost })
            .collect();
        // How these end, this process does not learn; an age that went on would make a node suspected that
        // has answered.
        node.in_flight_elsewhere = InFlightElsewhere {
            reported_at: now,
            attempts: self
                .in_flight
                .iter()
                .filter(|(_, _, cost, depth)| (0.0..1e9).contains(cost) && *depth >= 0.0)
                .map(|&(index, age, cost, depth)| InFlightAttempt {
                    index: IndexNo(index),
                    sent_at: at(age),
                    z: cost,
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
    /// What this engine has learnt.
    pub fn snapshot(&self, now: Micros) -> EngineSnapshot {
        let age = |at: &Micros| now.since(*at).0;
        let ages = |times: &VecDeque<Micros>| times.iter().map(age).collect();
        let known_query = |known: &KnownQueryOfDeath| {
            let shards = &known.fingerprint.shards;
            (
                known.until.since(now).0,
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

    /// Takes on what another engine has learnt about the nodes that the endpoint list has named, by this
    /// engine's numbers. What is said of others, or of another start of a node, is passed over. Returns how
    /// many nodes were taken.
    pub fn restore(&mut self, now: Micros, of: &EngineSnapshot) -> usize {
        self.now = now;
        // What was sent to nodes that warm up is known from here on, as if this process had been there.
        self.first_list_at = Some(Micros(0));
        let of = &self.applicable(of);
        let taken = self.restore_nodes(of);
        let at = |age: &u64| now.since(Micros(*age));
        self.mean_cost_hint = of
            .mean_cost_hint
            .filter(|hint| hint.is_finite() && *hint > 0.0);
        for (own, (queries, age)) in self.quota_left.iter_mut().zip(&of.quota_left) {
            own.queries = *queries;
            own.counted_at = at(age);
        }
        self.admitted = of.admitted.iter().map(at).collect();
        self.extra_attempts = of.extra_attempts.iter().map(at).collect();
        self.last_node_failure = of.last_node_failure.as_ref().map(at);
        self.last_shed = of.last_shed.as_ref().map(at);
        let known_query =
            |(ahead, index, customer, shards): &(u64, u8, u16, Vec<u32>)| KnownQueryOfDeath {
                until: now + Micros(*ahead),
                fingerprint: QueryFingerprint {
                    index: IndexNo(*index),
                    customer: CustomerNo(*customer),
                    shards: shards.iter().map(|shard| ShardNo(*shard)).collect(),
                },
            };
        self.queries_of_death = of.queries_of_death.iter().map(known_query).collect();
        self.statistics_are_stale = true;
        taken
    }

    fn restore_nodes(&mut self, of: &EngineSnapshot) -> usize {
        let indexes = self.config.indexes.len();
        let mut taken = 0;
        for (id, known) in &of.nodes {
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
            taken += 1;
        }
        taken
    }

    /// What of another's snapshot means the same here. Under other indexes, customers, metrics or shards what
    /// was learnt by them starts anew; how nodes answer, what they were sent, and what was spent go on.
    fn applicable(&self, of: &EngineSnapshot) -> EngineSnapshot {
        let settings = of.settings.as_ref();
        if settings.is_none_or(|settings| *settings == self.settings_text()) {
            return of.clone();
        }
        let mut nodes = of.nodes.clone();
        for (_, node) in &mut nodes {
            node.reported_load = None;
            node.max_reported_rate = 0.0;
            node.suspected_for = None;
            node.index_health.clear();
        }
        EngineSnapshot {
            nodes,
            admitted: of.admitted.clone(),
            extra_attempts: of.extra_attempts.clone(),
            last_node_failure: of.last_node_failure,
            ..EngineSnapshot::default()
        }
    }

    /// The settings that a snapshot rests on, as text that is stored: names in its `Debug` output are frozen.
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
