//! Connections of clients that may be closed when descriptors or memory run out, and the place where a query's response waits
//! for the connection that sent it.
//!
//! Each connection registers while it has no complete request ([`Clients::wait`]) and listens for being closed. A query that
//! has been admitted is never closed for want of resources. The listener decides when something has to be closed; a shutdown
//! closes connections by state.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::rc::Rc;

use event_listener::Event;
use ternpick::types::Micros;

/// A response to a client: status, header lines, body.
pub(crate) type Answer = (u16, String, String);

/// Where a query's one response waits for its client.
#[derive(Default)]
pub(crate) struct PendingResponse {
    /// The response, from when it is known until the client's connection takes it.
    pub(crate) answer: RefCell<Option<Answer>>,
    /// Notified once there is a response.
    pub(crate) ready: Event,
}

impl PendingResponse {
    /// Stores the response and wakes the client's connection.
    pub(crate) fn set(&self, status: u16, headers: String, body: String) {
        *self.answer.borrow_mut() = Some((status, headers, body));
        self.ready.notify(1);
    }

    /// Waits for the response and takes it.
    pub(crate) async fn wait(&self) -> Answer {
        loop {
            let ready = self.ready.listen();
            if let Some(answer) = self.answer.borrow_mut().take() {
                return answer;
            }
            ready.await;
        }
    }
}

/// The state of a client's connection that has no complete request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ClientState {
    /// Kept alive after a response.
    Idle,
    /// Shut for writing, and read to its end.
    Closing,
    /// It has brought no byte yet.
    New,
    /// Its request is incomplete.
    Partial,
}

impl ClientState {
    /// Whether nothing is owed on it: such connections are closed first.
    pub(crate) fn is_idle(self) -> bool {
        matches!(self, ClientState::Idle | ClientState::Closing)
    }
}

/// How many connections are in one state, and since when the first of them is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct StateCount {
    /// How many.
    pub(crate) count: usize,
    /// Since when the first of them is in that state; none if there is none.
    pub(crate) oldest: Option<Micros>,
}

/// A connection that may be closed: it is idle, or its request is incomplete.
struct Registered {
    state: ClientState,
    since: Micros,
    /// What it holds of its request.
    bytes: usize,
    /// Notified when it is to close.
    close: Rc<Event>,
}

/// All connections of clients that may be closed.
#[derive(Default)]
pub(crate) struct Clients {
    next_key: Cell<u64>,
    last_number: Cell<u64>,
    /// An entry goes when its request is complete, or its connection is closed or asked to close.
    waiting: RefCell<BTreeMap<u64, Registered>>,
}

/// A connection's entry among those that may be closed; removed when it is dropped.
pub(crate) struct Registration {
    clients: Rc<Clients>,
    key: u64,
    /// Notified when the connection is to close.
    pub(crate) close_requested: Rc<Event>,
}

impl Clients {
    /// Registers a connection that has been in `state` since `since`.
    pub(crate) fn register(self: &Rc<Self>, since: Micros, state: ClientState) -> Registration {
        let key = self.next_key.replace(self.next_key.get() + 1);
        let close = Rc::new(Event::new());
        let waiting = Registered {
            state,
            since,
            bytes: 0,
            close: Rc::clone(&close),
        };
        self.waiting.borrow_mut().insert(key, waiting);
        Registration {
            clients: Rc::clone(self),
            key,
            close_requested: close,
        }
    }

    /// A number of its own for each connection, from 1.
    pub(crate) fn next_connection_number(&self) -> u64 {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        number
    }

    /// Asks the connection to close whose rank is lowest, of those that have a rank; false if none has.
    fn close_lowest<T: Ord>(&self, rank: impl Fn(&Registered) -> Option<T>) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        let ranked = waiting
            .iter()
            .filter_map(|(key, connection)| Some((rank(connection)?, *key)));
        let Some((_, key)) = ranked.min() else {
            return false;
        };
        if let Some(connection) = waiting.remove(&key) {
            connection.close.notify(1);
        }
        true
    }

    /// For want of a descriptor: closes the connection idle longest, else the request that has been arriving longest.
    pub(crate) fn close_oldest(&self) -> bool {
        self.close_lowest(|connection| Some((!connection.state.is_idle(), connection.since)))
    }

    /// For want of memory: closes the incomplete request that holds the most.
    pub(crate) fn close_largest(&self) -> bool {
        self.close_lowest(|connection| (connection.bytes > 0).then_some(Reverse(connection.bytes)))
    }

    /// Closes the connections idle longest until no more than `limit` are idle. Some clients send one request and keep their
    /// connection; what clients may hold is bounded on their side too, and used up by such connections nobody else gets in.
    pub(crate) fn limit_idle(&self, limit: usize) {
        let idle = self
            .waiting
            .borrow()
            .values()
            .filter(|connection| connection.state.is_idle())
            .count();
        for _ in limit..idle {
            self.close_lowest(|connection| connection.state.is_idle().then_some(connection.since));
        }
    }

    /// Closes all connections in `state` for which `wanted` holds of the instant since which they are in it.
    pub(crate) fn close_in_state(&self, state: ClientState, wanted: impl Fn(Micros) -> bool) {
        let rank = |connection: &Registered| {
            let ends = connection.state == state && wanted(connection.since);
            ends.then_some(connection.since)
        };
        while self.close_lowest(rank) {}
    }

    /// How many connections have no request and are owed no response; an incomplete request is owed one.
    pub(crate) fn count_without_request(&self) -> usize {
        self.waiting
            .borrow()
            .values()
            .filter(|connection| connection.state != ClientState::Partial)
            .count()
    }

    /// How many connections are in `state`, and since when the first of them is.
    pub(crate) fn count(&self, state: ClientState) -> StateCount {
        let waiting = self.waiting.borrow();
        let in_state = waiting
            .values()
            .filter(|connection| connection.state == state);
        StateCount {
            count: in_state.clone().count(),
            oldest: in_state.map(|connection| connection.since).min(),
        }
    }
}

impl Registration {
    /// Notes how many bytes of its request the connection holds.
    pub(crate) fn set_held_bytes(&self, bytes: usize) {
        if let Some(waiting) = self.clients.waiting.borrow_mut().get_mut(&self.key) {
            waiting.bytes = bytes;
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.clients.waiting.borrow_mut().remove(&self.key);
    }
}

#[cfg(test)]
mod tests;
