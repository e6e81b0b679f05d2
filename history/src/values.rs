//! The values that clients are served: a checker of the rule that each one was made for the client's statement, by an
//! attempt of the client's own query. Queries are told apart by a number that the test gives them, because their request
//! ids may be equal. Times are microseconds of one monotonic clock.

use std::collections::BTreeMap;

/// An observation of a client or a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ValueEvent {
    /// A client has begun to send a query.
    QuerySent {
        /// The number of the query in the history.
        query: u64,
        /// The id that the client has sent.
        request_id: String,
        /// The statement of the query.
        statement: String,
    },
    /// A node has received a shard request, for which it makes a value that no other one gets.
    AttemptReceived {
        /// The id of the query that the shard request names.
        request_id: String,
        /// The shard.
        shard: u32,
        /// The statement that came with it.
        statement: String,
        /// The value that the node makes.
        value: String,
    },
    /// A client has received a value with the answer to its query.
    ValueServed {
        /// The number of the query in the history.
        query: u64,
        /// The shard that the answer names.
        shard: u32,
        /// The value.
        value: String,
    },
}

/// What is wrong with a value that was served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WrongValue {
    /// The query was never sent.
    UnknownQuery,
    /// No node has made it before it was served.
    NotMade,
    /// It was made for a shard request with another request id, shard or statement.
    OtherRequest,
    /// Its attempt reached the node before the query was sent, so that it belongs to an earlier query.
    EarlierQuery,
}

/// A value that breaks the rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValueViolation {
    /// The number of the query that was served it.
    pub query: u64,
    /// The shard.
    pub shard: u32,
    /// The value.
    pub value: String,
    /// What is wrong with it.
    pub wrong: WrongValue,
}

struct Query<'a> {
    sent_at: u64,
    request_id: &'a str,
    statement: &'a str,
}

struct Attempt<'a> {
    received_at: u64,
    request_id: &'a str,
    shard: u32,
    statement: &'a str,
}

/// Returns the served values that break the rule; none means that the history is accepted. Events may be in any order.
pub fn check_values(events: &[(u64, ValueEvent)]) -> Vec<ValueViolation> {
    let mut queries = BTreeMap::new();
    let mut attempts = BTreeMap::new();
    for (at, event) in events {
        match event {
            ValueEvent::QuerySent {
                query,
                request_id,
                statement,
            } => {
                let sent = Query {
                    sent_at: *at,
                    request_id,
                    statement,
                };
                queries.insert(*query, sent);
            }
            ValueEvent::AttemptReceived {
                request_id,
                shard,
                statement,
                value,
            } => {
                let received = Attempt {
                    received_at: *at,
                    request_id,
                    shard: *shard,
                    statement,
                };
                attempts.insert(&value[..], received);
            }
            ValueEvent::ValueServed { .. } => {}
        }
    }
    let mut violations = Vec::new();
    for (at, event) in events {
        let ValueEvent::ValueServed {
            query,
            shard,
            value,
        } = event
        else {
            continue;
        };
        let attempt = attempts.get(&value[..]);
        let wrong = find_wrong(*at, queries.get(query), *shard, attempt);
        violations.extend(wrong.map(|wrong| ValueViolation {
            query: *query,
            shard: *shard,
            value: value.clone(),
            wrong,
        }));
    }
    violations
}

/// What is wrong with a value of `attempt` that was served to `query` at `served_at`.
fn find_wrong(
    served_at: u64,
    query: Option<&Query>,
    shard: u32,
    attempt: Option<&Attempt>,
) -> Option<WrongValue> {
    let Some(query) = query else {
        return Some(WrongValue::UnknownQuery);
    };
    let Some(attempt) = attempt.filter(|attempt| attempt.received_at <= served_at) else {
        return Some(WrongValue::NotMade);
    };
    let is_same_request = attempt.request_id == query.request_id
        && attempt.statement == query.statement
        && attempt.shard == shard;
    if !is_same_request {
        return Some(WrongValue::OtherRequest);
    }
    (attempt.received_at < query.sent_at).then_some(WrongValue::EarlierQuery)
}
