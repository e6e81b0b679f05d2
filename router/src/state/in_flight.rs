//! The ledger of lookups in hand and of part calls out. A lookup's record goes with its one final answer, a
//! call's with its one return; nothing else takes them off.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;

use crate::fleet::Mark;
use ternpick::types::{AttemptNo, CustomerNo, Micros, NodeId, QueryId, ShardNo, ShardRequestId};

use crate::state::clients::Reply;
use crate::state::nodes::ConnectionId;

/// A part of a lookup, and its value once it is in.
pub struct HeldPart {
    pub id: ShardRequestId,
    pub shard: ShardNo,
    pub calls: u8,
    /// Connections that have carried a call of it: an answer is known by its connection and the part's id.
    pub carried: Vec<ConnectionId>,
    pub value: Option<Box<str>>,
}

/// On whose account a lookup was taken, and when.
pub struct Taken {
    /// Counted among this tenant's lookups; none where tenants are not told apart.
    pub tenant: Option<CustomerNo>,
    pub at: Micros,
    pub soft: Micros,
    /// The policy that it is decided under; none where the fleet agrees on none.
    pub mark: Option<Mark>,
    /// Follows the lookup through the stages.
    pub span: tracing::Span,
}

impl Default for Taken {
    fn default() -> Self {
        Taken {
            tenant: None,
            at: Micros(0),
            soft: Micros(u64::MAX),
            mark: None,
            span: tracing::Span::none(),
        }
    }
}

pub struct Held {
    pub taken: Taken,
    /// The client's id of the request.
    pub name: Rc<str>,
    pub statement: Rc<str>,
    pub key: Option<Rc<str>>,
    pub parts: Vec<HeldPart>,
    pub reply: Rc<Reply>,
}

/// How far a call has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// Wanted by the module, not yet given to a connection.
    Ordered,
    /// Waits for its connection to come up or to have room.
    Waiting(ConnectionId),
    /// In the connection's buffer; gone out once so many bytes of the connection have.
    Queued(ConnectionId, u64),
}

pub struct CallOut {
    pub lookup: QueryId,
    pub at: usize,
    pub node: NodeId,
    /// The part's id as nodes are told it.
    pub id: Rc<str>,
    pub sent: Micros,
    /// When its time is up.
    pub due: Micros,
    /// When it is looked at: first to see that it has gone out, then as `due`.
    look: Micros,
    pub place: Place,
}

pub type CallKey = (ShardRequestId, AttemptNo);

#[derive(Default)]
pub struct InFlightTable {
    next: u64,
    lookups: HashMap<QueryId, Held>,
    names: HashSet<Rc<str>>,
    /// Which lookup a part belongs to; goes with the lookup.
    parts: HashMap<ShardRequestId, (QueryId, usize)>,
    /// How many of them have their value.
    answered: usize,
    calls: BTreeMap<CallKey, CallOut>,
    due: BTreeSet<(Micros, CallKey)>,
}

impl InFlightTable {
    /// Lookups and parts in hand; a part that is in is over.
    pub fn held(&self) -> usize {
        self.lookups.len() + self.parts.len() - self.answered
    }

    pub fn lookups(&self) -> usize {
        self.lookups.len()
    }

    /// When the lookup in hand longest was taken.
    pub fn oldest(&self) -> Option<Micros> {
        self.lookups.values().map(|held| held.taken.at).min()
    }

    /// Part calls out.
    pub fn calls(&self) -> usize {
        self.calls.len()
    }

    pub fn knows(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Writes a lookup in, and tells its id and its parts' ids, in the order of `shards`.
    pub fn open(
        &mut self,
        name: &str,
        statement: &str,
        key: Option<&str>,
        shards: impl Iterator<Item = ShardNo>,
        reply: Rc<Reply>,
        taken: Taken,
    ) -> (QueryId, Vec<ShardRequestId>) {
        let (lookup, name) = (QueryId(self.number()), Rc::<str>::from(name));
        let mut parts = Vec::new();
        for (at, shard) in shards.enumerate() {
            let id = ShardRequestId(self.number());
            self.parts.insert(id, (lookup, at));
            parts.push(HeldPart {
                id,
                shard,
                calls: 0,
                carried: Vec::new(),
                value: None,
            });
        }
        let ids = parts.iter().map(|part| part.id).collect();
        self.names.insert(Rc::clone(&name));
        let held = Held {
            taken,
            name,
            statement: statement.into(),
            key: key.map(Rc::from),
            parts,
            reply,
        };
        self.lookups.insert(lookup, held);
        (lookup, ids)
    }

    pub fn lookup(&self, id: QueryId) -> Option<&Held> {
        self.lookups.get(&id)
    }

    /// The one place where a lookup is taken off.
    pub fn close(&mut self, id: QueryId) -> Option<Held> {
        let held = self.lookups.remove(&id)?;
        self.names.remove(&held.name);
        for part in &held.parts {
            self.parts.remove(&part.id);
            self.answered -= usize::from(part.value.is_some());
        }
        Some(held)
    }

    /// Writes a call in that the module wants made; none if the part is not in hand.
    pub fn order(
        &mut self,
        part: ShardRequestId,
        node: NodeId,
        now: Micros,
        limit: Micros,
        dial: Option<Micros>,
    ) -> Option<CallKey> {
        let (lookup, at) = *self.parts.get(&part)?;
        let held = self.lookups.get_mut(&lookup)?;
        let of = &mut held.parts[at];
        let key = (part, AttemptNo(of.calls));
        of.calls = of.calls.checked_add(1)?;
        let (id, due) = (format!("{}.{}", held.name, of.shard.0).into(), now + limit);
        let look = dial.map_or(due, |dial| due.min(now + dial));
        self.calls.insert(
            key,
            CallOut {
                lookup,
                at,
                node,
                id,
                sent: now,
                due,
                look,
                place: Place::Ordered,
            },
        );
        self.due.insert((look, key));
        Some(key)
    }

    pub fn call(&self, key: CallKey) -> Option<&CallOut> {
        self.calls.get(&key)
    }

    pub fn part(&self, call: &CallOut) -> Option<(&Held, &HeldPart)> {
        let held = self.lookups.get(&call.lookup)?;
        Some((held, held.parts.get(call.at)?))
    }

    /// Whether a connection has carried a call of the same part.
    pub fn carried(&self, key: CallKey, connection: ConnectionId) -> bool {
        let part = self.calls.get(&key).and_then(|call| self.part(call));
        part.is_some_and(|(_, part)| part.carried.contains(&connection))
    }

    /// Says that a call has been given to a connection, and where it stands there.
    pub fn place(&mut self, key: CallKey, place: Place) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        call.place = place;
        let (Place::Waiting(connection) | Place::Queued(connection, _)) = place else {
            return;
        };
        let held = self.lookups.get_mut(&call.lookup);
        if let Some(part) = held.and_then(|held| held.parts.get_mut(call.at)) {
            if !part.carried.contains(&connection) {
                part.carried.push(connection);
            }
        }
    }

    /// The one place where a call is taken off.
    pub fn finish(&mut self, key: CallKey) -> Option<CallOut> {
        let call = self.calls.remove(&key)?;
        self.due.remove(&(call.look, key));
        Some(call)
    }

    /// Looks at a call again when its time is up.
    pub fn look_when_due(&mut self, key: CallKey) {
        let Some(call) = self.calls.get_mut(&key) else {
            return;
        };
        self.due.remove(&(call.look, key));
        call.look = call.due;
        self.due.insert((call.look, key));
    }

    /// Keeps a part's value as a node gave it; a part counts once.
    pub fn keep(&mut self, call: &CallOut, value: &str) {
        let held = self.lookups.get_mut(&call.lookup);
        if let Some(part) = held.and_then(|held| held.parts.get_mut(call.at)) {
            self.answered += usize::from(part.value.is_none());
            part.value.get_or_insert_with(|| value.into());
        }
    }

    /// When the next call is to be looked at.
    pub fn next_due(&self) -> Option<Micros> {
        self.due.first().map(|(at, _)| *at)
    }

    pub fn overdue(&self, now: Micros) -> Option<CallKey> {
        self.due
            .first()
            .filter(|(at, _)| *at <= now)
            .map(|(_, key)| *key)
    }

    /// Calls of a part that are still out.
    pub fn out_of(&self, part: ShardRequestId) -> impl Iterator<Item = (CallKey, &CallOut)> {
        self.calls
            .range((part, AttemptNo(0))..=(part, AttemptNo(u8::MAX)))
            .map(|(key, call)| (*key, call))
    }
}
