//! Client connections without a whole request: when descriptors or memory run out one of them gives way, never a
//! lookup that has been taken. And the place where a lookup's answer waits for the connection that asked.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use event_listener::Event;
use ternpick::types::Micros;

/// An answer to a client: status, header lines, body.
pub type Answer = (u16, String, String);

/// Where a lookup's one answer waits for its client.
#[derive(Default)]
pub struct Reply {
    pub answer: RefCell<Option<Answer>>,
    pub ready: Event,
}

impl Reply {
    pub fn set(&self, status: u16, headers: String, body: String) {
        *self.answer.borrow_mut() = Some((status, headers, body));
        self.ready.notify(1);
    }

    pub async fn wait(&self) -> Answer {
        loop {
            let ready = self.ready.listen();
            if let Some(answer) = self.answer.borrow_mut().take() {
                return answer;
            }
            ready.await;
        }
    }
}

/// What a client's connection without a request in hand stands at.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It rests behind an answer.
    Resting,
    /// It is shut, and read to its end.
    Closing,
    /// It has brought no byte yet.
    New,
    /// Its request is not whole.
    Partial,
}

impl State {
    /// Nothing is owed on it: such give way first.
    pub fn is_idle(self) -> bool {
        matches!(self, State::Resting | State::Closing)
    }
}

/// A connection that may give way: it stands idle, or its request is not whole.
struct Waiting {
    state: State,
    since: Micros,
    bytes: usize,
    told: Rc<Event>,
}

#[derive(Default)]
pub struct Clients {
    next: Cell<u64>,
    connections: Cell<u64>,
    /// An entry goes when its request is whole, or its connection is closed or told to close.
    waiting: RefCell<BTreeMap<u64, Waiting>>,
}

/// A connection's place among those that may give way, given back when dropped.
pub struct Place {
    of: Rc<Clients>,
    key: u64,
    pub told: Rc<Event>,
}

impl Clients {
    pub fn wait(self: &Rc<Self>, now: Micros, state: State) -> Place {
        let key = self.next.replace(self.next.get() + 1);
        let told = Rc::new(Event::new());
        let waiting = Waiting {
            state,
            since: now,
            bytes: 0,
            told: Rc::clone(&told),
        };
        self.waiting.borrow_mut().insert(key, waiting);
        Place {
            of: Rc::clone(self),
            key,
            told,
        }
    }

    /// A number of its own for each connection.
    pub fn number(&self) -> u64 {
        self.connections.replace(self.connections.get() + 1) + 1
    }

    /// Has the one give way that is first by `order`; false if there is none.
    fn give_way<T: Ord>(&self, order: impl Fn(&Waiting) -> Option<T>) -> bool {
        let mut waiting = self.waiting.borrow_mut();
        let ordered = waiting
            .iter()
            .filter_map(|(key, of)| Some((order(of)?, *key)));
        let first = ordered.min().and_then(|(_, key)| waiting.remove(&key));
        first.map(|of| of.told.notify(1)).is_some()
    }

    /// For want of a descriptor: the connection idle longest, else the request that is longest in coming.
    pub fn close_longest(&self) -> bool {
        self.give_way(|of| Some((!of.state.is_idle(), of.since)))
    }

    /// For want of memory: the request not whole that holds the most.
    pub fn close_largest(&self) -> bool {
        self.give_way(|of| (of.bytes > 0).then_some(std::cmp::Reverse(of.bytes)))
    }

    /// Some clients ask once and keep their connection: those idle longest give way until no more than `most` are.
    /// What clients may hold is bounded on their side too, and used up by such connections nobody else gets in.
    pub fn keep_idle(&self, most: usize) {
        let idle = self
            .waiting
            .borrow()
            .values()
            .filter(|of| of.state.is_idle())
            .count();
        for _ in most..idle {
            self.give_way(|of| of.state.is_idle().then_some(of.since));
        }
    }
}

impl Clients {
    /// Tells those at a state to end that have been there since a time for which `wanted` holds.
    pub fn end(&self, state: State, wanted: impl Fn(Micros) -> bool) {
        let ends = |of: &Waiting| of.state == state && wanted(of.since);
        while self.give_way(|of| ends(of).then_some(of.since)) {}
    }

    /// How many connections have no whole request and are owed no answer; a part of one is owed.
    pub fn waiting(&self) -> usize {
        self.waiting
            .borrow()
            .values()
            .filter(|of| of.state != State::Partial)
            .count()
    }

    /// How many connections stand at a state, and since when the first of them does.
    pub fn count(&self, state: State) -> (usize, Option<Micros>) {
        let waiting = self.waiting.borrow();
        let of = waiting.values().filter(|of| of.state == state);
        (of.clone().count(), of.map(|of| of.since).min())
    }
}

impl Place {
    /// Says how much it holds.
    pub fn holds(&self, bytes: usize) {
        if let Some(waiting) = self.of.waiting.borrow_mut().get_mut(&self.key) {
            waiting.bytes = bytes;
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.of.waiting.borrow_mut().remove(&self.key);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_idle_give_way_first_then_what_is_longest_in_coming() {
        let clients = Rc::new(Clients::default());
        let at = |at, state| clients.wait(Micros(at), state);
        let places = [
            at(1, State::Partial),
            at(3, State::Resting),
            at(2, State::Closing),
            at(0, State::New),
        ];
        let mut told: Vec<_> = places.iter().map(|place| place.told.listen()).collect();
        for first in [2, 1, 3, 0] {
            assert!(clients.close_longest());
            let heard = told.iter_mut().position(|told| {
                let waker = futures_lite::future::poll_once(told);
                futures_lite::future::block_on(waker).is_some()
            });
            assert_eq!(heard, Some(first));
            told[first] = Rc::new(Event::new()).listen();
        }
        assert!(!clients.close_longest());
    }

    #[test]
    fn only_so_many_stay_idle() {
        let clients = Rc::new(Clients::default());
        let _places = [5, 3, 4].map(|at| clients.wait(Micros(at), State::Resting));
        let _whole = clients.wait(Micros(0), State::Partial);
        clients.keep_idle(2);
        let left: Vec<u64> = clients
            .waiting
            .borrow()
            .values()
            .map(|of| of.since.0)
            .collect();
        assert_eq!(left, [5, 4, 0]);
    }

    #[test]
    fn the_largest_request_gives_way_and_no_lookup_in_hand() {
        let clients = Rc::new(Clients::default());
        let (small, large) = (
            clients.wait(Micros(0), State::Partial),
            clients.wait(Micros(1), State::Partial),
        );
        small.holds(10);
        large.holds(20);
        assert!(clients.close_largest());
        assert!(
            clients.waiting.borrow().contains_key(&small.key)
                && clients.waiting.borrow().len() == 1
        );
        drop(small);
        assert!(!clients.close_largest());
    }
}
