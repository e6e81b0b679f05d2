//! The one count of bytes that peers make the router hold: heads, bodies, partial frames, responses not yet read.
//!
//! Each connection reports what it holds through its [`MemoryShare`]. The listener compares the sum with the limit and closes the
//! largest incomplete request above it. A hot restart moves the limit while two processes share a router's memory.

use std::cell::Cell;
use std::rc::Rc;

/// The bytes that all connections hold, and the limit on them.
pub(crate) struct MemoryBudget {
    limit: Cell<usize>,
    used: Cell<usize>,
}

/// The bytes that one connection holds; given back when it is dropped.
pub(crate) struct MemoryShare {
    budget: Rc<MemoryBudget>,
    bytes: usize,
}

impl MemoryBudget {
    /// The budget of a process that may take up `memory` bytes. Peers get half of it: the rest is for the program, its own
    /// tables, and what parsing a message takes beside the message.
    pub(crate) fn new(memory: usize) -> Rc<Self> {
        Rc::new(MemoryBudget {
            limit: Cell::new(memory / 2),
            used: Cell::new(0),
        })
    }

    /// A share for a new connection, which holds nothing yet.
    pub(crate) fn share(self: &Rc<Self>) -> MemoryShare {
        MemoryShare {
            budget: Rc::clone(self),
            bytes: 0,
        }
    }

    /// The bytes that all connections together may hold.
    pub(crate) fn limit(&self) -> usize {
        self.limit.get()
    }

    /// Replaces the limit.
    pub(crate) fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
    }

    /// The bytes that all connections together hold.
    pub(crate) fn used(&self) -> usize {
        self.used.get()
    }

    /// Whether more is held than the limit allows.
    pub(crate) fn is_over(&self) -> bool {
        self.used.get() > self.limit.get()
    }
}

impl MemoryShare {
    /// Replaces what this connection holds by `bytes`.
    pub(crate) fn set(&mut self, bytes: usize) {
        let others = self.budget.used.get().saturating_sub(self.bytes);
        self.budget.used.set(others + bytes);
        self.bytes = bytes;
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.set(0);
    }
}

#[cfg(test)]
mod tests;
