//! The ids of queries that must not run twice, for as long as a node may still run them after they have ended.
//!
//! A query ends when its client leaves, while its shard requests may be on their way or running. A client that sends the
//! same id again must not make them run a second time. Admission rejects such a query; completion adds an id when its
//! query ends. Only ids of queries that were forwarded are kept, so that their number is bounded by what nodes were
//! sent, and by [`MAX_IDS`].

use std::collections::{HashSet, VecDeque};

use ring::digest::{digest, SHA256};
use serde::{Deserialize, Serialize};
use ternpick::types::Micros;

/// The most ids that are kept. While there are as many, further queries that must not run twice are rejected.
const MAX_IDS: usize = 32 * 1024;
/// How long an id is kept if the settings have no longest deadline.
const DEFAULT_RETENTION: Micros = Micros(10_000_000);
const DIGEST_BYTES: usize = 16;

/// The digest of an id, which takes less memory than the longest id and cannot be forged to equal another one's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct IdDigest([u8; DIGEST_BYTES]);

impl IdDigest {
    fn of(request_id: &str) -> IdDigest {
        let digest = digest(&SHA256, request_id.as_bytes());
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&digest.as_ref()[..DIGEST_BYTES]);
        IdDigest(bytes)
    }
}

#[derive(Clone, Copy)]
struct Expiry {
    at: Micros,
    id: IdDigest,
}

/// An id and for how much longer it is kept, as a hot restart passes it on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RetainedId {
    id: IdDigest,
    left_us: u64,
}

/// The ids of ended queries that may still run.
pub(crate) struct ForwardedIds {
    /// The longest time for which a node may run a shard request: the longest deadline of any query.
    retention: Micros,
    ids: HashSet<IdDigest>,
    /// The oldest come first; removed once they have expired.
    expiries: VecDeque<Expiry>,
}

impl Default for ForwardedIds {
    fn default() -> Self {
        ForwardedIds::new(None)
    }
}

impl ForwardedIds {
    /// Keeps ids for the longest deadline of any query.
    pub(crate) fn new(longest_deadline: Option<Micros>) -> Self {
        ForwardedIds {
            retention: longest_deadline.unwrap_or(DEFAULT_RETENTION),
            ids: HashSet::new(),
            expiries: VecDeque::new(),
        }
    }

    /// Adds the id of a query that ended at `now` and may have run.
    pub(crate) fn insert(&mut self, now: Micros, request_id: &str) {
        self.keep(now, IdDigest::of(request_id), self.retention);
    }

    /// Whether a query with this id may still run.
    pub(crate) fn contains(&mut self, now: Micros, request_id: &str) -> bool {
        self.expire(now);
        self.ids.contains(&IdDigest::of(request_id))
    }

    /// Whether no more ids can be kept.
    pub(crate) fn is_full(&mut self, now: Micros) -> bool {
        self.expire(now);
        self.ids.len() >= MAX_IDS
    }

    /// All ids, the oldest first, and those of queries in flight, which may run for as long after their end.
    pub(crate) fn retained_with<'a>(
        &mut self,
        now: Micros,
        in_flight: impl Iterator<Item = &'a str>,
    ) -> Vec<RetainedId> {
        self.expire(now);
        let ended = self.expiries.iter().map(|expiry| RetainedId {
            id: expiry.id,
            left_us: expiry.at.since(now).0,
        });
        let longest = self.longest_left();
        let in_flight = in_flight.map(|request_id| RetainedId {
            id: IdDigest::of(request_id),
            left_us: longest.0,
        });
        ended.chain(in_flight).collect()
    }

    /// The longest time for which the id of a query that has just been admitted is needed.
    fn longest_left(&self) -> Micros {
        self.retention.times(2.0)
    }

    /// Adds ids that another process has kept.
    pub(crate) fn restore(&mut self, now: Micros, retained: &[RetainedId]) {
        for entry in retained {
            let left = Micros(entry.left_us).min(self.longest_left());
            self.keep(now, entry.id, left);
        }
    }

    fn keep(&mut self, now: Micros, id: IdDigest, time: Micros) {
        self.expire(now);
        if self.ids.insert(id) {
            self.expiries.push_back(Expiry { at: now + time, id });
        }
    }

    fn expire(&mut self, now: Micros) {
        while let Some(oldest) = self.expiries.pop_front_if(|expiry| expiry.at <= now) {
            self.ids.remove(&oldest.id);
        }
    }
}

#[cfg(test)]
mod tests;
