//! A query in flight: its shard requests, their attempts, and the outcomes of these.

use std::collections::BTreeSet;

use crate::config::IndexConfig;
use crate::ids::{CustomerNo, IndexNo, NodeId, QueryId, ShardNo, ShardRequestId, WireQueryNo};
use crate::time::Micros;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The node answered.
    Satisfied,
    /// The attempt failed and may have run.
    MayHaveRun,
    /// The connection broke while the attempt was in flight; it may have run.
    Broken,
    /// This router cancelled the attempt. It may have run, and its end says nothing about the node's health.
    Cancelled,
    /// The attempt failed at the node and certainly never ran.
    NeverRan,
    /// The attempt never left the router.
    Unsent,
}

/// One transmission of a shard request to one node.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// The node that the attempt was sent to.
    pub node: NodeId,
    /// When the attempt was sent.
    pub sent_at: Micros,
    /// The outcome; `None` while the attempt is in flight.
    pub outcome: Option<AttemptOutcome>,
}

impl Attempt {
    /// Whether the node may have started to run the attempt.
    pub fn may_have_run(&self) -> bool {
        !matches!(
            self.outcome,
            Some(AttemptOutcome::NeverRan | AttemptOutcome::Unsent)
        )
    }

    /// Whether the outcome is still unknown.
    pub fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }
}

/// The part of a query that asks one shard.
#[derive(Clone, Debug, Default)]
pub struct ShardRequest {
    /// The identifier of the shard request.
    pub id: ShardRequestId,
    /// The shard that the request asks.
    pub shard: ShardNo,
    /// The share of this request in the query's answer; the weights of a query add up to 1.
    pub weight: f64,
    /// The work that the client expects the request to take.
    pub cost_hint: Option<Micros>,
    /// All attempts, in the order of their numbers.
    pub attempts: Vec<Attempt>,
    /// Whether an attempt was answered.
    pub answered: bool,
    /// The time before which no attempt is made, because the last one never left this machine for lack of a local
    /// resource.
    pub retry_not_before: Micros,
}

/// The number of attempts that a shard request has had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptCounts {
    /// The attempts that left the router or may still leave it.
    pub sent: usize,
    /// The attempts that never left the router.
    pub unsent: usize,
}

impl ShardRequest {
    /// Counts the attempts made so far.
    pub fn attempt_counts(&self) -> AttemptCounts {
        let unsent = self
            .attempts
            .iter()
            .filter(|attempt| attempt.outcome == Some(AttemptOutcome::Unsent))
            .count();
        AttemptCounts {
            sent: self.attempts.len() - unsent,
            unsent,
        }
    }

    /// Counts the attempts whose outcome is still unknown.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| attempt.is_in_flight())
            .count()
    }
}

/// A query in flight.
#[derive(Clone, Debug, Default)]
pub struct Query {
    /// The identifier of the query.
    pub id: QueryId,
    /// The number by which shard requests refer to the query.
    pub wire_no: WireQueryNo,
    /// Whether the client marked the query as a retry of an earlier one.
    pub is_client_retry: bool,
    /// The index that the query asks.
    pub index: IndexNo,
    /// The settings of the index when the query was received. A later change of policy does not affect the query.
    pub config: IndexConfig,
    /// When the query gets a partial response.
    pub partial_response_at: Micros,
    /// The customer whose quota the query counts against.
    pub customer: CustomerNo,
    /// When an answer loses most of its value.
    pub soft_deadline: Micros,
    /// When the client stops waiting.
    pub deadline: Micros,
    /// The time that the client allows for the query.
    pub time_allowed: Micros,
    /// The total number of shard requests expected in the current phase.
    pub expected_requests: usize,
    /// The shard requests of the current phase received so far.
    pub requests: Vec<ShardRequest>,
    /// Whether the shard requests have been sent to nodes.
    pub placed: bool,
    /// Whether the first phase has been answered.
    pub in_second_phase: bool,
    /// Whether the answer to the first phase was complete.
    pub first_phase_complete: bool,
}

/// The properties that a query shares with its client retries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueryFingerprint {
    /// The index that the query asks.
    pub index: IndexNo,
    /// The customer that sent the query.
    pub customer: CustomerNo,
    /// The shards that the query asks, in the order of its shard requests.
    pub shards: Vec<ShardNo>,
}

impl Query {
    /// Whether all shard requests of the current phase have been received.
    pub fn all_requests_received(&self) -> bool {
        self.requests.len() >= self.expected_requests && self.expected_requests > 0
    }

    /// Returns the total weight of the answered shard requests.
    pub fn answered_weight(&self) -> f64 {
        self.requests
            .iter()
            .filter(|request| request.answered)
            .map(|request| request.weight)
            .sum()
    }

    /// Returns the send time of each attempt in flight.
    pub fn in_flight_since(&self) -> impl Iterator<Item = Micros> + '_ {
        let attempts = self.requests.iter().flat_map(|request| &request.attempts);
        attempts
            .filter(|attempt| attempt.is_in_flight())
            .map(|attempt| attempt.sent_at)
    }

    /// Counts the nodes whose connections broke during an attempt of this query.
    pub fn nodes_with_broken_connections(&self) -> usize {
        let broken = |attempt: &&Attempt| attempt.outcome == Some(AttemptOutcome::Broken);
        let attempts = self
            .requests
            .iter()
            .flat_map(|request| &request.attempts)
            .filter(broken);
        attempts
            .map(|attempt| attempt.node)
            .collect::<BTreeSet<_>>()
            .len()
    }

    /// Returns the properties that the query shares with its client retries.
    pub fn fingerprint(&self) -> QueryFingerprint {
        QueryFingerprint {
            index: self.index,
            customer: self.customer,
            shards: self.requests.iter().map(|request| request.shard).collect(),
        }
    }

    /// Whether no shard request has been answered, in either phase.
    pub fn is_unanswered(&self) -> bool {
        self.answered_weight() == 0.0 && !self.in_second_phase
    }

    /// Whether no node has failed during the query, or a node has answered it.
    pub fn is_survivable(&self) -> bool {
        !self.is_unanswered() || self.nodes_with_broken_connections() == 0
    }
}
