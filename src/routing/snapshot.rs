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
    pub report: Option<f64>,
    /// The highest reported rate, requests a second.
    pub best_rate: f64,
    /// Smoothed answer latency, microseconds. Without it: the median node's.
    pub latency: Option<f64>,
    /// Age of that.
    pub seen: u64,
    /// By index: share failed, microseconds lost, ages of the last change and the last answer. Without:
    /// healthy.
    pub standings: Vec<(f64, f64, u64, u64)>,
    /// Smoothed latency for each request in flight, microseconds.
    pub pace: Option<f64>,
    /// The index for which it is suspected.
    pub doubted: Option<u8>,
    /// Ages and costs of requests sent within a warm-up. Without it a cold node may get its allowance twice.
    pub sends: Vec<(u64, f64)>,
    /// Attempts in flight: index, age, cost and depth. Without it: the node counts as idle, and one that
    /// hangs as healthy.
    pub out: Vec<(u8, u64, f64, f64)>,
}

/// All that was learnt, nodes by whatever number the writer gave them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineSnapshot {
    /// What is known of each node.
    pub nodes: Vec<(u64, NodeSnapshot)>,
    /// Smoothed cost hint of a request, microseconds.
    pub mean_hint: Option<f64>,
    /// By customer: queries left within its quota, and the age of that count. Without it: a new quota.
    pub quota_left: Vec<(f64, u64)>,
    /// Ages of what was admitted within the retry budget's window. Without: a budget of none.
    pub taken: Vec<u64>,
    /// Ages of the retries and hedged requests sent within it.
    pub extras: Vec<u64>,
    /// Age of the last failure of a node.
    pub alarm: Option<u64>,
    /// Queries of death: time ahead until which they are known, index, customer, shards. Without: learnt by
    /// further failures.
    pub fatal: Vec<(u64, u8, u16, Vec<u32>)>,
    /// The settings that these figures rest on, for one that reads them under others. Without: the same
    /// settings.
    #[serde(default)]
    pub terms: Option<String>,
    /// Age of the last shed query, while queries are shed.
    pub shed: Option<u64>,
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
            report: node.reported_load,
            best_rate: node.max_reported_rate,
            latency: node.latency,
            seen: age(node.latency_updated_at),
            standings: node.index_health.iter().map(health).collect(),
            pace: node.latency_per_request,
            doubted: node.suspected_for.map(|index| index.0),
            sends: node
                .recent_sends
                .iter()
                .map(|send| (age(send.at), send.cost))
                .collect(),
            out: node
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
        node.reported_load = valid(self.report);
        node.latency = valid(self.latency);
        node.latency_per_request = valid(self.pace);
        node.max_reported_rate = valid(Some(self.best_rate)).unwrap_or(0.0);
        node.latency_updated_at = at(self.seen);
        node.index_health = self.standings.iter().map(health).collect();
        node.suspected_for = self.doubted.map(IndexNo);
        node.recent_sends = self
            .sends
            .iter()
            .map(|&(age, cost)| RecentSend { at: at(age), cost })
            .collect();
        // How these end, this process does not learn; an age that went on would make a node suspected that
        // has answered.
        node.in_flight_elsewhere = InFlightElsewhere {
            reported_at: now,
            attempts: self
                .out
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
            mean_hint: self.mean_cost_hint,
            quota_left: self
                .quota_left
                .iter()
                .map(|left| (left.queries, age(&left.counted_at)))
                .collect(),
            taken: ages(&self.admitted),
            extras: ages(&self.extra_attempts),
            alarm: self.last_node_failure.as_ref().map(age),
            fatal: self.queries_of_death.iter().map(known_query).collect(),
            terms: Some(self.settings_text()),
            shed: self.last_shed.as_ref().map(age),
        }
    }

    /// Takes on what another engine has learnt about the nodes that the endpoint list has named, by this
    /// engine's numbers. What is said of others, or of another start of a node, is passed over. Returns how
    /// many nodes were taken.
    pub fn believe(&mut self, now: Micros, of: &EngineSnapshot) -> usize {
        self.now = now;
        // What was sent to nodes that warm up is known from here on, as if this process had been there.
        self.first_list_at = Some(Micros(0));
        let of = &self.applicable(of);
        let taken = self.restore_nodes(of);
        let at = |age: &u64| now.since(Micros(*age));
        self.mean_cost_hint = of.mean_hint.filter(|hint| hint.is_finite() && *hint > 0.0);
        for (own, (queries, age)) in self.quota_left.iter_mut().zip(&of.quota_left) {
            own.queries = *queries;
            own.counted_at = at(age);
        }
        self.admitted = of.taken.iter().map(at).collect();
        self.extra_attempts = of.extras.iter().map(at).collect();
        self.last_node_failure = of.alarm.as_ref().map(at);
        self.last_shed = of.shed.as_ref().map(at);
        let known_query =
            |(ahead, index, customer, shards): &(u64, u8, u16, Vec<u32>)| KnownQueryOfDeath {
                until: now + Micros(*ahead),
                fingerprint: QueryFingerprint {
                    index: IndexNo(*index),
                    customer: CustomerNo(*customer),
                    shards: shards.iter().map(|shard| ShardNo(*shard)).collect(),
                },
            };
        self.queries_of_death = of.fatal.iter().map(known_query).collect();
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
            let Some(node) = node.filter(|_| known.standings.len() <= indexes) else {
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
        let settings = of.terms.as_ref();
        if settings.is_none_or(|settings| *settings == self.settings_text()) {
            return of.clone();
        }
        let mut nodes = of.nodes.clone();
        for (_, node) in &mut nodes {
            node.report = None;
            node.best_rate = 0.0;
            node.doubted = None;
            node.standings.clear();
        }
        EngineSnapshot {
            nodes,
            taken: of.taken.clone(),
            extras: of.extras.clone(),
            alarm: of.alarm,
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
