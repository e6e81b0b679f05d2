//! The one count of bytes that peers make the router hold: heads, bodies, half frames, answers not yet read. A
//! [`Share`] stands for one connection's and is given back when it is dropped.

use std::cell::Cell;
use std::rc::Rc;

pub struct Budget {
    limit: Cell<usize>,
    used: Cell<usize>,
}

pub struct Share {
    of: Rc<Budget>,
    bytes: usize,
}

impl Budget {
    /// Peers get half of the memory that there is: the rest is for the program, its books, and what reading a
    /// message takes beside the message.
    pub fn new(memory: usize) -> Rc<Self> {
        Rc::new(Budget {
            limit: Cell::new(memory / 2),
            used: Cell::new(0),
        })
    }

    pub fn share(self: &Rc<Self>) -> Share {
        Share {
            of: Rc::clone(self),
            bytes: 0,
        }
    }

    pub fn limit(&self) -> usize {
        self.limit.get()
    }

    pub fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
    }

    pub fn used(&self) -> usize {
        self.used.get()
    }

    pub fn is_over(&self) -> bool {
        self.used.get() > self.limit.get()
    }
}

impl Share {
    /// Says how much is held now.
    pub fn set(&mut self, bytes: usize) {
        let others = self.of.used.get().saturating_sub(self.bytes);
        self.of.used.set(others + bytes);
        self.bytes = bytes;
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.set(0);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_held_counts_until_it_is_given_back() {
        let budget = Budget::new(200);
        let (mut first, mut second) = (budget.share(), budget.share());
        first.set(60);
        second.set(40);
        assert!(!budget.is_over());
        second.set(41);
        assert!(budget.is_over());
        first.set(10);
        assert!(!budget.is_over());
        drop((first, second));
        assert_eq!(budget.used.get(), 0);
    }
}
