//! A query in hand: its shard requests, the attempts of each, and how they ended.

use std::collections::BTreeSet;

use crate::config::IndexConfig;
use crate::ids::{CustomerNo, IndexNo, NodeId, QueryId, ShardNo, ShardRequestId, WireQueryNo};
use crate::time::Micros;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Answered.
    Satisfied,
    /// Failed; it may have run.
    MayHaveRun,
    /// The connection broke while it was in flight; it may have run.
    Broken,
    /// Cancelled by this router; it may have run and says nothing about the node.
    Cancelled,
    /// Failed at the node and certainly never ran.
    NeverRan,
    /// Never left the router.
    Unsent,
}

/// One sending of a shard request to one node.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Where it went.
    pub node: NodeId,
    /// When it was sent.
    pub sent_at: Micros,
    /// `None` while it is in flight.
    pub outcome: Option<AttemptOutcome>,
}

impl Attempt {
    /// Whether the node may have begun it.
    pub fn may_have_run(&self) -> bool {
        !matches!(
            self.outcome,
            Some(AttemptOutcome::NeverRan | AttemptOutcome::Unsent)
        )
    }

    /// Whether its end is not known yet.
    pub fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }
}

/// What a query asks of one shard.
#[derive(Clone, Debug, Default)]
pub struct ShardRequest {
    /// Its number.
    pub id: ShardRequestId,
    /// The shard that it asks.
    pub shard: ShardNo,
    /// Its share of the query's answer; those of a query add up to 1.
    pub weight: f64,
    /// The work that the client expects it to be.
    pub cost_hint: Option<Micros>,
    /// All its attempts, by their numbers.
    pub attempts: Vec<Attempt>,
    /// One of its attempts was answered.
    pub answered: bool,
    /// No attempt before this time: the last one never left, for want of something on this machine.
    pub retry_not_before: Micros,
}

/// How many attempts a shard request has had.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Those that left the router, or may yet.
    pub sent: usize,
    /// Those that never did.
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

    /// Attempts whose end is not known yet.
    pub fn attempts_in_flight(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| attempt.is_in_flight())
            .count()
    }
}

/// A query in hand.
#[derive(Clone, Debug, Default)]
pub struct Query {
    /// Its number.
    pub id: QueryId,
    /// The number by which its requests name it.
    pub wire_no: WireQueryNo,
    /// A client's repeat of an earlier query, as far as clients say so.
    pub is_client_retry: bool,
    /// The index that it asks.
    pub index: IndexNo,
    /// Its index's row as it was when the query was admitted: a change of policy leaves it under the old one
    /// to its end.
    pub config: IndexConfig,
    /// When it is answered from what is in.
    pub partial_response_at: Micros,
    /// Whose quota it counts against.
    pub customer: CustomerNo,
    /// When its gain falls.
    pub soft_deadline: Micros,
    /// When its client leaves.
    pub deadline: Micros,
    /// The time that its client gave it.
    pub time_allowed: Micros,
    /// Requests of the present phase that are to come in all.
    pub expected_requests: usize,
    /// Requests of the present phase that have come.
    pub requests: Vec<ShardRequest>,
    /// Its requests have been sent to nodes.
    pub placed: bool,
    /// Its first phase is answered.
    pub in_second_phase: bool,
    /// That answer was complete.
    pub first_phase_complete: bool,
}

/// What a query has in common with its repeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueryFingerprint {
    /// The index that it asks.
    pub index: IndexNo,
    /// Who asks.
    pub customer: CustomerNo,
    /// The shards that it asks, in the order of its requests.
    pub shards: Vec<ShardNo>,
}

impl Query {
    /// All requests of its phase have come.
    pub fn all_requests_received(&self) -> bool {
        self.requests.len() >= self.expected_requests && self.expected_requests > 0
    }

    /// The weight of the requests that are answered.
    pub fn answered_weight(&self) -> f64 {
        self.requests
            .iter()
            .filter(|request| request.answered)
            .map(|request| request.weight)
            .sum()
    }

    /// When each attempt that is in flight was sent.
    pub fn in_flight_since(&self) -> impl Iterator<Item = Micros> + '_ {
        let attempts = self.requests.iter().flat_map(|request| &request.attempts);
        attempts
            .filter(|attempt| attempt.is_in_flight())
            .map(|attempt| attempt.sent_at)
    }

    /// Nodes at which connections broke under it.
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

    /// What it has in common with its repeats.
    pub fn fingerprint(&self) -> QueryFingerprint {
        QueryFingerprint {
            index: self.index,
            customer: self.customer,
            shards: self.requests.iter().map(|request| request.shard).collect(),
        }
    }

    /// No request of it, in either phase, has been answered.
    pub fn is_unanswered(&self) -> bool {
        self.answered_weight() == 0.0 && !self.in_second_phase
    }

    /// No node has failed under it, or one has survived it.
    pub fn is_survivable(&self) -> bool {
        !self.is_unanswered() || self.nodes_with_broken_connections() == 0
    }
}
