//! Queries in flight, their shard requests, and the attempts that are out for them.
//!
//! Admission adds a query, dispatch adds attempts, the upstream writer notes where an attempt is. A query's record goes with
//! its one final response ([`InFlightTable::close`]) and an attempt's with its one return ([`InFlightTable::finish`]); nothing
//! else removes them, so the table is bounded by what is admitted.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;

use ternpick::types::{AttemptNo, CustomerNo, Micros, NodeId, QueryId, ShardNo, ShardRequestId};

use crate::fleet::PolicyMark;
use crate::state::clients::PendingResponse;
pub(crate) use crate::state::ids::AttemptKey;
use crate::state::ids::ConnectionId;

/// One shard's part of a query, and its value once a node has answered it.
pub(crate) struct InFlightShardRequest {
    /// Its number in the decision module.
    pub(crate) id: ShardRequestId,
    /// The shard that is asked.
    pub(crate) shard: ShardNo,
    /// Attempts made so far.
    pub(crate) attempt_count: u8,
    /// Connections that have carried an attempt of it. A response names the shard request alone, so no connection may carry
    /// two attempts of one.
    pub(crate) carried_by: Vec<ConnectionId>,
    /// The first answer's value.
    pub(crate) value: Option<Box<str>>,
}

/// On whose account a query was admitted, and when.
pub(crate) struct AdmissionRecord {
    /// The tenant that it counts for; none where tenants are not told apart.
    pub(crate) tenant: Option<CustomerNo>,
    /// When it was admitted.
    pub(crate) admitted_at: Micros,
    /// Its soft deadline.
    pub(crate) latency_objective: Micros,
    /// The policy that it is decided under; none where the fleet agrees on none.
    pub(crate) mark: Option<PolicyMark>,
    /// Follows the query through the stages.
    pub(crate) span: tracing::Span,
}

impl Default for AdmissionRecord {
    /// A query of nobody, at the epoch, without a soft deadline.
    fn default() -> Self {
        AdmissionRecord {
            tenant: None,
            admitted_at: Micros(0),
            latency_objective: Micros(u64::MAX),
            mark: None,
            span: tracing::Span::none(),
        }
    }
}

/// A query that has been admitted and has no final response yet.
pub(crate) struct InFlightQuery {
    /// On whose account, and when.
    pub(crate) admission: AdmissionRecord,
    /// The client's id of the request.
    pub(crate) request_id: Rc<str>,
    /// What nodes are asked.
    pub(crate) statement: Rc<str>,
    /// The idempotency key.
    pub(crate) idempotency_key: Option<Rc<str>>,
    /// Its shard requests, in the order in which they are answered.
    pub(crate) shard_requests: Vec<InFlightShardRequest>,
    /// Where the client's connection waits for the response.
    pub(crate) reply: Rc<PendingResponse>,
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptProgress {
    /// Wanted by the decision module, not yet given to a connection.
    Ordered,
    /// Waits for its connection to come up or to have room.
    Waiting(ConnectionId),
    /// In the connection's buffer; sent once the connection has written this many bytes.
    Queued(ConnectionId, u64),
}

/// One attempt of a shard request, from the decision to make it until its outcome is known.
pub(crate) struct OutgoingAttempt {
    /// The query that it is made for.
    pub(crate) query: QueryId,
    /// Position of its shard request in [`InFlightQuery::parts`].
    pub(crate) position: usize,
    /// The node that is asked.
    pub(crate) node: NodeId,
    /// The shard request's id on the wire.
    pub(crate) id: Rc<str>,
    /// When the decision module wanted it.
    pub(crate) requested_at: Micros,
    /// When its time is up.
    pub(crate) due: Micros,
    /// When it is examined next: first to see whether it has been sent, then at `due`.
    next_check: Micros,
    /// How far it has come.
    pub(crate) progress: AttemptProgress,
}

/// Where a shard request is: its query, and its position there.
#[derive(Clone, Copy)]
struct ShardRequestLocation {
    query: QueryId,
    position: usize,
}

/// When an attempt is to be examined; ordered by time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledCheck {
    at: Micros,
    attempt: AttemptKey,
}

/// All queries in flight and all attempts out.
#[derive(Default)]
pub(crate) struct InFlightTable {
    last_number: u64,
    queries: HashMap<QueryId, InFlightQuery>,
    /// Clients' ids of the requests in flight.
    request_ids: HashSet<Rc<str>>,
    /// Goes with the query.
    shard_requests: HashMap<ShardRequestId, ShardRequestLocation>,
    /// How many shard requests have their value.
    answered: usize,
    attempts: BTreeMap<AttemptKey, OutgoingAttempt>,
    checks: BTreeSet<ScheduledCheck>,
}

impl InFlightTable {
    /// Queries and unanswered shard requests, which the limit on what is in flight counts.
    pub(crate) fn load(&self) -> usize {
        self.queries.len() + self.shard_requests.len() - self.answered
    }

    /// Queries in flight.
    pub(crate) fn query_count(&self) -> usize {
        self.queries.len()
    }

    /// When the query longest in flight was admitted.
    pub(crate) fn oldest_admission(&self) -> Option<Micros> {
        self.queries
            .values()
            .map(|query| query.admission.admitted_at)
            .min()
    }

    /// Attempts out.
    pub(crate) fn attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Whether a request with this id of the client is in flight.
    pub(crate) fn has_request(&self, request_id: &str) -> bool {
        self.request_ids.contains(request_id)
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Adds a query; returns its id and the ids of its shard requests, in the order of `shards`.
    pub(crate) fn open(
        &mut self,
        name: &str,
        statement: &str,
        key: Option<&str>,
        shards: impl Iterator<Item = ShardNo>,
        reply: Rc<PendingResponse>,
        admission: AdmissionRecord,
    ) -> (QueryId, Vec<ShardRequestId>) {
        let query = QueryId(self.next_number());
        let shard_requests: Vec<InFlightShardRequest> = shards
            .enumerate()
            .map(|(position, shard)| self.add_shard_request(query, position, shard))
            .collect();
        let ids = shard_requests.iter().map(|request| request.id).collect();
        let name = Rc::<str>::from(name);
        self.request_ids.insert(Rc::clone(&name));
        let in_flight = InFlightQuery {
            admission,
            request_id: name,
            statement: statement.into(),
            idempotency_key: key.map(Rc::from),
            shard_requests,
            reply,
        };
        self.queries.insert(query, in_flight);
        (query, ids)
    }

    fn add_shard_request(
        &mut self,
        query: QueryId,
        position: usize,
        shard: ShardNo,
    ) -> InFlightShardRequest {
        let id = ShardRequestId(self.next_number());
        let location = ShardRequestLocation { query, position };
        self.shard_requests.insert(id, location);
        InFlightShardRequest {
            id,
            shard,
            attempt_count: 0,
            carried_by: Vec::new(),
            value: None,
        }
    }

    /// The query with this id, while it is in flight.
    pub(crate) fn query(&self, id: QueryId) -> Option<&InFlightQuery> {
        self.queries.get(&id)
    }

    /// Removes a query with its shard requests; the one place that does.
    pub(crate) fn close(&mut self, id: QueryId) -> Option<InFlightQuery> {
        let query = self.queries.remove(&id)?;
        self.request_ids.remove(&query.request_id);
        for shard_request in &query.shard_requests {
            self.shard_requests.remove(&shard_request.id);
            self.answered -= usize::from(shard_request.value.is_some());
        }
        Some(query)
    }

    /// Adds an attempt that the decision module wants made, with `limit` from `now` to its end. Where the connection may have
    /// to be dialled, the attempt is examined after `dial` already. Nothing if the shard request is not in flight.
    pub(crate) fn add_attempt(
        &mut self,
        id: ShardRequestId,
        node: NodeId,
        now: Micros,
        limit: Micros,
        dial: Option<Micros>,
    ) -> Option<AttemptKey> {
        let ShardRequestLocation { query, position } = *self.shard_requests.get(&id)?;
        let in_flight = self.queries.get_mut(&query)?;
        let shard_request = &mut in_flight.shard_requests[position];
        let key = (id, AttemptNo(shard_request.attempt_count));
        shard_request.attempt_count = shard_request.attempt_count.checked_add(1)?;
        let due = now + limit;
        let next_check = dial.map_or(due, |dial| due.min(now + dial));
        let attempt = OutgoingAttempt {
            query,
            position,
            node,
            id: format!("{}.{}", in_flight.request_id, shard_request.shard.0).into(),
            requested_at: now,
            due,
            next_check,
            progress: AttemptProgress::Ordered,
        };
        self.attempts.insert(key, attempt);
        self.checks.insert(ScheduledCheck {
            at: next_check,
            attempt: key,
        });
        Some(key)
    }

    /// The attempt with this key, while it is out.
    pub(crate) fn attempt(&self, key: AttemptKey) -> Option<&OutgoingAttempt> {
        self.attempts.get(&key)
    }

    /// The query and the shard request that an attempt is made for, while they are in flight.
    pub(crate) fn shard_request(
        &self,
        call: &OutgoingAttempt,
    ) -> Option<(&InFlightQuery, &InFlightShardRequest)> {
        let query = self.queries.get(&call.query)?;
        Some((query, query.shard_requests.get(call.position)?))
    }

    /// Whether a connection has carried an attempt of the same shard request.
    pub(crate) fn carried(&self, key: AttemptKey, connection: ConnectionId) -> bool {
        let attempt = self.attempts.get(&key);
        let found = attempt.and_then(|attempt| self.shard_request(attempt));
        found.is_some_and(|(_, shard_request)| shard_request.carried_by.contains(&connection))
    }

    /// Notes that an attempt has been given to a connection, and how far it has come there.
    pub(crate) fn set_progress(&mut self, key: AttemptKey, progress: AttemptProgress) {
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        attempt.progress = progress;
        let (AttemptProgress::Waiting(connection) | AttemptProgress::Queued(connection, _)) =
            progress
        else {
            return;
        };
        let query = self.queries.get_mut(&attempt.query);
        let shard_request = query.and_then(|query| query.shard_requests.get_mut(attempt.position));
        if let Some(shard_request) = shard_request {
            if !shard_request.carried_by.contains(&connection) {
                shard_request.carried_by.push(connection);
            }
        }
    }

    /// Removes an attempt; the one place that does.
    pub(crate) fn finish(&mut self, key: AttemptKey) -> Option<OutgoingAttempt> {
        let attempt = self.attempts.remove(&key)?;
        self.checks.remove(&ScheduledCheck {
            at: attempt.next_check,
            attempt: key,
        });
        Some(attempt)
    }

    /// Examines an attempt again when its time is up.
    pub(crate) fn check_when_due(&mut self, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        self.checks.remove(&ScheduledCheck {
            at: attempt.next_check,
            attempt: key,
        });
        attempt.next_check = attempt.due;
        self.checks.insert(ScheduledCheck {
            at: attempt.due,
            attempt: key,
        });
    }

    /// Stores a shard request's value as a node gave it; only the first one counts.
    pub(crate) fn store_value(&mut self, call: &OutgoingAttempt, value: &str) {
        let query = self.queries.get_mut(&call.query);
        let shard_request = query.and_then(|query| query.shard_requests.get_mut(call.position));
        if let Some(shard_request) = shard_request {
            self.answered += usize::from(shard_request.value.is_none());
            shard_request.value.get_or_insert_with(|| value.into());
        }
    }

    /// When the next attempt is to be examined.
    pub(crate) fn next_check(&self) -> Option<Micros> {
        self.checks.first().map(|check| check.at)
    }

    /// An attempt that is to be examined by `now`.
    pub(crate) fn due_check(&self, now: Micros) -> Option<AttemptKey> {
        let check = self.checks.first().filter(|check| check.at <= now)?;
        Some(check.attempt)
    }

    /// Attempts of a shard request that are still out.
    pub(crate) fn attempts_of(
        &self,
        id: ShardRequestId,
    ) -> impl Iterator<Item = (AttemptKey, &OutgoingAttempt)> {
        self.attempts
            .range((id, AttemptNo(0))..=(id, AttemptNo(u8::MAX)))
            .map(|(key, attempt)| (*key, attempt))
    }
}
