//! The attempts that one connection to a node has carried, and which answers may still arrive on it.
//!
//! An answer names its shard request by an id that is made of the client's request id and the shard, and nothing else.
//! It is therefore matched to an attempt by its connection and this id. An answer may arrive for an attempt from when
//! its frame is sent until it has arrived or the connection has ended, however the attempt and its query have ended in
//! the meantime: timed out, cancelled, answered by another node, or its client gone. As long as it may, the connection
//! must not carry another attempt under that id, whoever has asked for it: the earlier answer would be taken for the
//! later one's, and a client would be served the value of another statement. [`CarriedAttempts::awaits_answer`] decides
//! this for the upstream writer.
//!
//! Nodes answer each attempt once. A second answer is ignored, and not kept apart from the answer to a later attempt
//! under the same id.

use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;

use ternpick::types::Micros;

use crate::state::ids::AttemptKey;

/// How long a connection remembers an attempt that was answered. A second answer that arrives later ends the connection.
pub(crate) const ANSWERED_REMEMBERED_FOR: Micros = Micros(10_000_000);
/// The most answered attempts that a connection remembers.
pub(crate) const ANSWERED_REMEMBERED: usize = 1024;
/// The number of ended attempts without an answer from which on a connection accepts no more attempts. Nodes need not
/// answer attempts that were cancelled, and none of their ids may be forgotten while the connection is in use.
pub(crate) const MAX_UNANSWERED: usize = 1024;

/// An attempt that was answered, for which a second answer may still arrive.
struct AnsweredAttempt {
    answered_at: Micros,
    id: Rc<str>,
}

/// The attempt that an answer belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerOwner {
    /// An unfinished attempt.
    InFlight(AttemptKey),
    /// An attempt that has ended without this answer, so that the answer has no effect.
    Ended,
    /// An attempt that was answered before.
    Answered,
    /// None that this connection has carried, as far as it remembers.
    Unknown,
}

/// The attempts of one connection, by their ids on the wire.
#[derive(Default)]
pub(crate) struct CarriedAttempts {
    /// Unfinished attempts that have been queued or sent.
    in_flight: HashMap<Rc<str>, AttemptKey>,
    /// Attempts that have ended and that the node may still answer. Bounded by [`MAX_UNANSWERED`] and the number of
    /// attempts that a connection carries at once.
    unanswered: HashSet<Rc<str>>,
    /// Attempts that the node has recently answered; bounded by age and by number.
    answered: VecDeque<AnsweredAttempt>,
}

impl CarriedAttempts {
    /// Adds an unfinished attempt. The caller has checked that no answer is awaited under its id.
    pub(crate) fn add(&mut self, id: Rc<str>, key: AttemptKey) {
        debug_assert!(!self.awaits_answer(&id), "an answer to {id} may arrive");
        self.in_flight.insert(id, key);
    }

    /// The unfinished attempt with this id.
    pub(crate) fn get(&self, id: &str) -> Option<AttemptKey> {
        self.in_flight.get(id).copied()
    }

    /// The unfinished attempts, in no particular order.
    pub(crate) fn in_flight(&self) -> impl Iterator<Item = AttemptKey> + '_ {
        self.in_flight.values().copied()
    }

    /// The number of unfinished attempts.
    pub(crate) fn in_flight_count(&self) -> usize {
        self.in_flight.len()
    }

    /// The number of answers that may still arrive.
    pub(crate) fn awaited_count(&self) -> usize {
        self.in_flight.len() + self.unanswered.len()
    }

    /// Whether an answer under this id may still arrive.
    pub(crate) fn awaits_answer(&self, id: &str) -> bool {
        self.in_flight.contains_key(id) || self.unanswered.contains(id)
    }

    /// Whether too many ended attempts are unanswered for the connection to carry more.
    pub(crate) fn is_full(&self) -> bool {
        self.unanswered.len() >= MAX_UNANSWERED
    }

    /// Ends an attempt that the node has not answered.
    pub(crate) fn end_unanswered(&mut self, id: &Rc<str>) {
        if self.in_flight.remove(id).is_some() {
            self.unanswered.insert(Rc::clone(id));
        }
    }

    /// Records an answer, and returns the attempt that it belongs to.
    pub(crate) fn record_answer(&mut self, id: &str, now: Micros) -> AnswerOwner {
        self.forget_answered(now);
        if let Some((id, key)) = self.in_flight.remove_entry(id) {
            self.remember_answered(id, now);
            return AnswerOwner::InFlight(key);
        }
        if let Some(id) = self.unanswered.take(id) {
            self.remember_answered(id, now);
            return AnswerOwner::Ended;
        }
        if self.answered.iter().any(|attempt| *attempt.id == *id) {
            return AnswerOwner::Answered;
        }
        AnswerOwner::Unknown
    }

    fn remember_answered(&mut self, id: Rc<str>, now: Micros) {
        if self.answered.len() >= ANSWERED_REMEMBERED {
            self.answered.pop_front();
        }
        self.answered.push_back(AnsweredAttempt {
            answered_at: now,
            id,
        });
    }

    fn forget_answered(&mut self, now: Micros) {
        let is_old = |attempt: &mut AnsweredAttempt| {
            now.since(attempt.answered_at) > ANSWERED_REMEMBERED_FOR
        };
        while self.answered.pop_front_if(is_old).is_some() {}
    }
}

#[cfg(test)]
mod tests;
