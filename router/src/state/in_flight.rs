//! Queries in flight, their shard requests, and the unfinished attempts made for them.
//!
//! Admission adds a query, dispatch adds attempts, and the upstream writer records the progress of an attempt. A
//! query's record is removed with its final response ([`InFlightTable::close`]), an attempt's record with its outcome
//! ([`InFlightTable::finish`]). Nothing else removes records, so the number of admitted queries bounds the table.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;

use ternpick::types::{
    AttemptNo, AttemptOutcome, Micros, NodeId, QueryId, ShardNo, ShardRequestId,
};

pub(crate) use crate::state::admission_record::AdmissionRecord;
use crate::state::clients::PendingResponse;
pub(crate) use crate::state::ids::AttemptKey;
use crate::state::ids::ConnectionId;
use crate::state::response_size::{ResponseSize, ValueTooLong};

/// A shard request of a query in flight, with its value once a node has answered it.
pub(crate) struct InFlightShardRequest {
    /// Its id in the routing engine.
    pub(crate) id: ShardRequestId,
    /// The shard that is asked.
    pub(crate) shard: ShardNo,
    /// The number of attempts made so far.
    pub(crate) attempt_count: u8,
    /// Connections that have carried an attempt of it. A response names only the shard request, so a connection must
    /// not carry two attempts of the same shard request.
    pub(crate) carried_by: Vec<ConnectionId>,
    /// The value of the first successful response.
    pub(crate) value: Option<StoredValue>,
}

/// The value that a node returned for a shard request.
pub(crate) struct StoredValue {
    /// The value.
    pub(crate) text: Box<str>,
    /// The attempt that it answers.
    attempt: AttemptNo,
}

/// A query that has been admitted and has no final response yet.
pub(crate) struct InFlightQuery {
    /// The terms of its admission.
    pub(crate) admission: AdmissionRecord,
    /// The client's id of the request.
    pub(crate) request_id: Rc<str>,
    /// The statement that nodes execute.
    pub(crate) statement: Rc<str>,
    /// The idempotency key.
    pub(crate) idempotency_key: Option<Rc<str>>,
    /// Its shard requests, in the order in which the response lists them.
    pub(crate) shard_requests: Vec<InFlightShardRequest>,
    /// Whether one of its attempts has ended and may have run.
    may_have_run: bool,
    /// The size of its response with the values so far.
    response_size: ResponseSize,
    /// The slot in which the client's connection waits for the response.
    pub(crate) reply: Rc<PendingResponse>,
}

/// The progress of an attempt towards its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptProgress {
    /// Requested by the routing engine, not yet assigned to a connection.
    Ordered,
    /// Waits until its connection is established or has room in its buffer.
    Waiting(ConnectionId),
    /// In the connection's buffer; sent once the connection has written this many bytes in total.
    Queued(ConnectionId, u64),
}

/// One attempt of a shard request, from the engine's decision to make it until its outcome is known.
pub(crate) struct OutgoingAttempt {
    /// The query that it belongs to.
    pub(crate) query: QueryId,
    /// The position of its shard request in [`InFlightQuery::shard_requests`].
    pub(crate) position: usize,
    /// The node that it is sent to.
    pub(crate) node: NodeId,
    /// The shard request's id on the wire.
    pub(crate) id: Rc<str>,
    /// When the routing engine requested it.
    pub(crate) requested_at: Micros,
    /// When it times out.
    pub(crate) due: Micros,
    /// When it is checked next: first whether it has been sent, if its connection may have to be dialled, then at
    /// `due`.
    next_check: Micros,
    /// Its progress towards the node.
    pub(crate) progress: AttemptProgress,
}

/// The query that a shard request belongs to, and its position in that query.
#[derive(Clone, Copy)]
struct ShardRequestLocation {
    query: QueryId,
    position: usize,
}

/// The next check of an attempt; ordered by time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledCheck {
    at: Micros,
    attempt: AttemptKey,
}

/// All queries in flight and their unfinished attempts.
#[derive(Default)]
pub(crate) struct InFlightTable {
    last_number: u64,
    queries: HashMap<QueryId, InFlightQuery>,
    /// The client request ids of the queries in flight.
    request_ids: HashSet<Rc<str>>,
    /// Entries are removed together with their query.
    shard_requests: HashMap<ShardRequestId, ShardRequestLocation>,
    /// The number of shard requests that have a value.
    answered: usize,
    attempts: BTreeMap<AttemptKey, OutgoingAttempt>,
    checks: BTreeSet<ScheduledCheck>,
}

impl InFlightTable {
    /// The number of queries plus unanswered shard requests, which is what the limit on work in flight counts.
    pub(crate) fn load(&self) -> usize {
        self.queries.len() + self.shard_requests.len() - self.answered
    }

    /// The number of queries in flight.
    pub(crate) fn query_count(&self) -> usize {
        self.queries.len()
    }

    /// When the oldest query in flight was admitted.
    pub(crate) fn oldest_admission(&self) -> Option<Micros> {
        self.queries
            .values()
            .map(|query| query.admission.admitted_at)
            .min()
    }

    /// The request ids of the queries that must not run twice.
    pub(crate) fn ids_that_run_once(&self) -> impl Iterator<Item = &str> {
        self.queries
            .values()
            .filter(|query| query.admission.runs_once)
            .map(|query| &*query.request_id)
    }

    /// The number of unfinished attempts.
    pub(crate) fn attempts(&self) -> usize {
        self.attempts.len()
    }

    /// Whether a query with this client request id is in flight.
    pub(crate) fn has_request(&self, request_id: &str) -> bool {
        self.request_ids.contains(request_id)
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// Adds a query. Returns its id and the ids of its shard requests, in the order of `shards`.
    pub(crate) fn open(
        &mut self,
        request_id: &str,
        statement: &str,
        idempotency_key: Option<&str>,
        shards: impl Iterator<Item = ShardNo>,
        reply: Rc<PendingResponse>,
        admission: AdmissionRecord,
    ) -> (QueryId, Vec<ShardRequestId>) {
        let query = QueryId(self.next_number());
        let shard_requests: Vec<InFlightShardRequest> = shards
            .enumerate()
            .map(|(position, shard)| self.add_shard_request(query, position, shard))
            .collect();
        let response_shards = shard_requests.iter().map(|request| request.shard);
        let response_size = ResponseSize::new(response_shards);
        let ids = shard_requests.iter().map(|request| request.id).collect();
        let request_id = Rc::<str>::from(request_id);
        self.request_ids.insert(Rc::clone(&request_id));
        let in_flight = InFlightQuery {
            admission,
            request_id,
            statement: statement.into(),
            idempotency_key: idempotency_key.map(Rc::from),
            shard_requests,
            may_have_run: false,
            response_size,
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

    /// Removes a query with its shard requests. Nothing else removes queries.
    pub(crate) fn close(&mut self, id: QueryId) -> Option<InFlightQuery> {
        let query = self.queries.remove(&id)?;
        self.request_ids.remove(&query.request_id);
        for shard_request in &query.shard_requests {
            self.shard_requests.remove(&shard_request.id);
            self.answered -= usize::from(shard_request.value.is_some());
        }
        Some(query)
    }

    /// Adds an attempt that the routing engine requests; it times out `time_limit` after `now`. If its connection may
    /// have to be dialled, the attempt is first checked after `dial_limit`. Returns `None` if the shard request is
    /// not in flight.
    pub(crate) fn add_attempt(
        &mut self,
        id: ShardRequestId,
        node: NodeId,
        now: Micros,
        time_limit: Micros,
        dial_limit: Option<Micros>,
    ) -> Option<AttemptKey> {
        let ShardRequestLocation { query, position } = *self.shard_requests.get(&id)?;
        let in_flight = self.queries.get_mut(&query)?;
        let shard_request = &mut in_flight.shard_requests[position];
        let key = (id, AttemptNo(shard_request.attempt_count));
        shard_request.attempt_count = shard_request.attempt_count.checked_add(1)?;
        let due = now + time_limit;
        let next_check = dial_limit.map_or(due, |limit| due.min(now + limit));
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

    /// The attempt with this key, while it is unfinished.
    pub(crate) fn attempt(&self, key: AttemptKey) -> Option<&OutgoingAttempt> {
        self.attempts.get(&key)
    }

    /// The query and the shard request that an attempt belongs to, while they are in flight.
    pub(crate) fn shard_request(
        &self,
        attempt: &OutgoingAttempt,
    ) -> Option<(&InFlightQuery, &InFlightShardRequest)> {
        let query = self.queries.get(&attempt.query)?;
        Some((query, query.shard_requests.get(attempt.position)?))
    }

    /// Whether a connection has carried an attempt of the same shard request.
    pub(crate) fn carried(&self, key: AttemptKey, connection: ConnectionId) -> bool {
        let attempt = self.attempts.get(&key);
        let found = attempt.and_then(|attempt| self.shard_request(attempt));
        found.is_some_and(|(_, shard_request)| shard_request.carried_by.contains(&connection))
    }

    /// Records the progress of an attempt, and which connection carries it.
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

    /// Removes an attempt. Nothing else removes attempts.
    pub(crate) fn finish(&mut self, key: AttemptKey) -> Option<OutgoingAttempt> {
        let attempt = self.attempts.remove(&key)?;
        self.checks.remove(&ScheduledCheck {
            at: attempt.next_check,
            attempt: key,
        });
        Some(attempt)
    }

    /// Records with its query how an attempt has ended.
    pub(crate) fn record_outcome(&mut self, attempt: &OutgoingAttempt, outcome: AttemptOutcome) {
        let never_ran = matches!(outcome, AttemptOutcome::NeverRan | AttemptOutcome::Unsent);
        if let Some(query) = self.queries.get_mut(&attempt.query) {
            query.may_have_run |= !never_ran;
        }
    }

    /// Whether an attempt of a query has ended and may have run.
    pub(crate) fn may_have_run(&self, id: QueryId) -> bool {
        self.queries
            .get(&id)
            .is_some_and(|query| query.may_have_run)
    }

    /// Schedules the next check of an attempt for the time at which it times out.
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

    /// Whether the response of a query can hold the value that a node returned for one of its shard requests. A value
    /// that would be ignored fits.
    pub(crate) fn check_value(
        &self,
        attempt: &OutgoingAttempt,
        value: &str,
    ) -> Result<(), ValueTooLong> {
        match self.shard_request(attempt) {
            Some((query, shard_request)) if shard_request.value.is_none() => {
                query.response_size.check(value)
            }
            _ => Ok(()),
        }
    }

    /// Stores the value that a node returned for a shard request. Values after the first one are ignored.
    pub(crate) fn store_value(
        &mut self,
        number: AttemptNo,
        attempt: &OutgoingAttempt,
        value: &str,
    ) {
        let Some(query) = self.queries.get_mut(&attempt.query) else {
            return;
        };
        let Some(shard_request) = query.shard_requests.get_mut(attempt.position) else {
            return;
        };
        if shard_request.value.is_none() {
            shard_request.value = Some(StoredValue {
                text: value.into(),
                attempt: number,
            });
            query.response_size.add(value);
            self.answered += 1;
        }
    }

    /// Removes the value that an attempt returned. Returns its query; `None` if that has ended, or has the value of
    /// another attempt.
    pub(crate) fn withdraw_value(&mut self, (id, number): AttemptKey) -> Option<QueryId> {
        let location = *self.shard_requests.get(&id)?;
        let query = self.queries.get_mut(&location.query)?;
        let shard_request = query.shard_requests.get_mut(location.position)?;
        let value = shard_request
            .value
            .take_if(|value| value.attempt == number)?;
        query.response_size.remove(&value.text);
        self.answered -= 1;
        Some(location.query)
    }

    /// The time of the next check of an attempt.
    pub(crate) fn next_check(&self) -> Option<Micros> {
        self.checks.first().map(|check| check.at)
    }

    /// An attempt whose check is due at `now`.
    pub(crate) fn due_check(&self, now: Micros) -> Option<AttemptKey> {
        let check = self.checks.first().filter(|check| check.at <= now)?;
        Some(check.attempt)
    }

    /// The unfinished attempts of a shard request.
    pub(crate) fn attempts_of(
        &self,
        id: ShardRequestId,
    ) -> impl Iterator<Item = (AttemptKey, &OutgoingAttempt)> {
        self.attempts
            .range((id, AttemptNo(0))..=(id, AttemptNo(u8::MAX)))
            .map(|(key, attempt)| (*key, attempt))
    }
}
