//! Client connections that stand idle, so that the one idle longest can be closed when descriptors run out;
//! and the place where a lookup's answer waits for the connection that asked.

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

#[derive(Default)]
pub struct Clients {
    next: Cell<u64>,
    /// An entry goes when its connection is used, closed, or told to close.
    idle: RefCell<BTreeMap<(Micros, u64), Rc<Event>>>,
}

/// A connection's place among the idle ones, given back when dropped.
pub struct Idle {
    of: Rc<Clients>,
    key: (Micros, u64),
    pub told: Rc<Event>,
}

impl Clients {
    pub fn idle(self: &Rc<Self>, now: Micros) -> Idle {
        let key = (now, self.next.replace(self.next.get() + 1));
        let told = Rc::new(Event::new());
        self.idle.borrow_mut().insert(key, Rc::clone(&told));
        Idle { of: Rc::clone(self), key, told }
    }

    /// Tells the connection idle longest to close; false if none is idle.
    pub fn close_longest_idle(&self) -> bool {
        let first = self.idle.borrow_mut().pop_first();
        first.map(|(_, told)| told.notify(1)).is_some()
    }

    pub fn close_idle(&self) {
        while self.close_longest_idle() {}
    }
}

impl Drop for Idle {
    fn drop(&mut self) {
        self.of.idle.borrow_mut().remove(&self.key);
    }
}
