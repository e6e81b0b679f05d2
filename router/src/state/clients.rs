//! Client connections that may be closed when descriptors or memory run out, and the slot in which a query's response
//! waits for the connection that sent the query.
//!
//! A connection registers while it has no complete request, while a request sent ahead waits for its turn, or while its
//! client does not read the response ([`Clients::register`]), and listens for a request to close. The router never closes the connection of an admitted
//! query without a response to free resources. The listener (descriptors)
//! and the request reader (memory) decide when a connection has to be closed; a shutdown closes connections by state.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::rc::Rc;

use event_listener::Event;
use ternpick::types::Micros;

/// A response to a client: status, header lines and body.
pub(crate) type Answer = (u16, String, String);

/// The slot in which a query's only response waits for the client's connection.
#[derive(Default)]
pub(crate) struct PendingResponse {
    /// The response, from the time it is set until the client's connection takes it.
    pub(crate) answer: RefCell<Option<Answer>>,
    /// Notified when the response is set.
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

/// The state of a client's connection that has no complete request, or whose response is not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ClientState {
    /// Kept alive after a response.
    Idle,
    /// Shut down for writing; the router reads until the client closes it.
    Closing,
    /// No byte has been received on it yet.
    New,
    /// Part of a request has been received on it.
    Partial,
    /// A request that was sent ahead of the previous response waits on it for its turn.
    SentAhead,
    /// An answer is written to it, and the client does not read.
    Unread,
}

impl ClientState {
    /// Whether the client expects nothing on the connection. Such connections are closed first.
    pub(crate) fn is_idle(self) -> bool {
        matches!(self, ClientState::Idle | ClientState::Closing)
    }

    /// Whether an answer is owed on the connection, or will be once its request is complete.
    fn owes_answer(self) -> bool {
        matches!(
            self,
            ClientState::Partial | ClientState::SentAhead | ClientState::Unread
        )
    }
}

/// The number of connections that the other states together must have for each idle one, so that they are closed before
/// idle ones.
const OUTNUMBERED: usize = 3;

/// The number of connections in one state, and when the first of them entered it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct StateCount {
    /// The number of connections.
    pub(crate) count: usize,
    /// When the first of them entered the state; `None` if no connection is in it.
    pub(crate) oldest: Option<Micros>,
}

/// A connection that may be closed.
struct Registered {
    state: ClientState,
    since: Micros,
    /// The memory that its requests and responses take up.
    held_bytes: usize,
    /// Notified when the connection has to close.
    close_requested: Rc<Event>,
}

/// All client connections that may be closed.
#[derive(Default)]
pub(crate) struct Clients {
    next_key: Cell<u64>,
    last_number: Cell<u64>,
    /// An entry is removed when its request is complete, or when its connection is closed or asked to close.
    registered: RefCell<BTreeMap<u64, Registered>>,
}

/// A connection's entry in [`Clients`]. Dropping it removes the entry.
pub(crate) struct Registration {
    clients: Rc<Clients>,
    key: u64,
    /// Notified when the connection has to close.
    pub(crate) close_requested: Rc<Event>,
}

impl Clients {
    /// Registers a connection that has been in `state` since `since`.
    pub(crate) fn register(self: &Rc<Self>, since: Micros, state: ClientState) -> Registration {
        let key = self.next_key.replace(self.next_key.get() + 1);
        let close_requested = Rc::new(Event::new());
        let connection = Registered {
            state,
            since,
            held_bytes: 0,
            close_requested: Rc::clone(&close_requested),
        };
        self.registered.borrow_mut().insert(key, connection);
        Registration {
            clients: Rc::clone(self),
            key,
            close_requested,
        }
    }

    /// Returns a unique number for a new connection, counting from 1.
    pub(crate) fn next_connection_number(&self) -> u64 {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        number
    }

    /// Asks the connection with the lowest rank to close. Connections for which `rank` returns `None` are skipped;
    /// returns false if all are.
    fn close_lowest<T: Ord>(&self, rank: impl Fn(&Registered) -> Option<T>) -> bool {
        let mut registered = self.registered.borrow_mut();
        let ranked = registered
            .iter()
            .filter_map(|(key, connection)| Some((rank(connection)?, *key)));
        let Some((_, key)) = ranked.min() else {
            return false;
        };
        if let Some(connection) = registered.remove(&key) {
            connection.close_requested.notify(1);
        }
        true
    }

    /// Frees descriptors: closes the `count` connections that have been idle longest, and if fewer are idle, those
    /// that have been waiting longest for their request or their client. Returns how many are asked to close.
    ///
    /// If connections that are not idle hold nearly all descriptors, the longest waiting of them are closed first.
    /// Otherwise clients that send half a request, or do not read, made clients that rest between two requests lose
    /// their connections.
    pub(crate) fn close_oldest(&self, count: usize) -> usize {
        let idle_goes_last = self.is_idle_outnumbered();
        let mut registered = self.registered.borrow_mut();
        let mut ranked: Vec<_> = registered
            .iter()
            .map(|(key, connection)| {
                let goes_last = connection.state.is_idle() == idle_goes_last;
                let is_open = connection.state != ClientState::Closing;
                ((is_open, goes_last, connection.since), *key)
            })
            .collect();
        ranked.sort_unstable();
        ranked.truncate(count);
        for (_, key) in &ranked {
            if let Some(connection) = registered.remove(key) {
                connection.close_requested.notify(1);
            }
        }
        ranked.len()
    }

    fn is_idle_outnumbered(&self) -> bool {
        let registered = self.registered.borrow();
        let idle = registered
            .values()
            .filter(|connection| connection.state.is_idle())
            .count();
        registered.len() - idle > OUTNUMBERED * idle
    }

    /// Frees memory: closes the connection that holds the most bytes of requests and responses. Returns false if none
    /// holds any.
    pub(crate) fn close_largest(&self) -> bool {
        self.close_lowest(|connection| {
            (connection.held_bytes > 0).then_some(Reverse(connection.held_bytes))
        })
    }

    /// Closes the longest idle connections until at most `limit` are idle. Some clients send one request and keep
    /// their connection open. The clients' side limits its connections too, and idle ones would use that limit up and
    /// shut others out.
    pub(crate) fn limit_idle(&self, limit: usize) {
        let idle = self
            .registered
            .borrow()
            .values()
            .filter(|connection| connection.state.is_idle())
            .count();
        for _ in limit..idle {
            self.close_lowest(|connection| connection.state.is_idle().then_some(connection.since));
        }
    }

    /// Closes all connections in `state` for which `matches_since` accepts the time at which they entered it.
    pub(crate) fn close_in_state(
        &self,
        state: ClientState,
        matches_since: impl Fn(Micros) -> bool,
    ) {
        let rank = |connection: &Registered| {
            let closes = connection.state == state && matches_since(connection.since);
            closes.then_some(connection.since)
        };
        while self.close_lowest(rank) {}
    }

    /// The number of connections on which the client expects no response. An incomplete request already counts as
    /// expecting one, and so does a response that is not written in full.
    pub(crate) fn count_without_request(&self) -> usize {
        self.registered
            .borrow()
            .values()
            .filter(|connection| !connection.state.owes_answer())
            .count()
    }

    /// The number of connections in `state`, and when the first of them entered it.
    pub(crate) fn count(&self, state: ClientState) -> StateCount {
        let registered = self.registered.borrow();
        let in_state = registered
            .values()
            .filter(|connection| connection.state == state);
        StateCount {
            count: in_state.clone().count(),
            oldest: in_state.map(|connection| connection.since).min(),
        }
    }
}

impl Registration {
    /// Sets the number of bytes that the connection's requests and responses hold.
    pub(crate) fn set_held_bytes(&self, bytes: usize) {
        if let Some(connection) = self.clients.registered.borrow_mut().get_mut(&self.key) {
            connection.held_bytes = bytes;
        }
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.clients.registered.borrow_mut().remove(&self.key);
    }
}

#[cfg(test)]
mod tests;
