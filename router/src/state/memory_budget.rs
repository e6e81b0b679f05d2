//! Accounts for the memory that peers make the router hold: request heads, bodies, partial frames, and responses that
//! the peer has not read yet.
//!
//! Each connection reports the bytes that it holds through its [`MemoryShare`]. When the sum exceeds the limit, the
//! request reader closes the largest incomplete request. A hot restart changes the limit while two processes share a
//! router's memory.

use std::cell::Cell;
use std::rc::Rc;

/// The total bytes that all connections hold, and the limit on that total.
pub(crate) struct MemoryBudget {
    limit: Cell<usize>,
    used: Cell<usize>,
}

/// The bytes that one connection holds. Dropping the share releases them.
pub(crate) struct MemoryShare {
    budget: Rc<MemoryBudget>,
    bytes: usize,
}

impl MemoryBudget {
    /// Creates the budget of a process that may use `process_bytes` of memory. Connections get half of it. The other
    /// half is for the program, its tables, and the memory that parsing a message needs in addition to the message
    /// itself.
    pub(crate) fn new(process_bytes: usize) -> Rc<Self> {
        Rc::new(MemoryBudget {
            limit: Cell::new(process_bytes / 2),
            used: Cell::new(0),
        })
    }

    /// Creates the share of a new connection, which holds no bytes yet.
    pub(crate) fn share(self: &Rc<Self>) -> MemoryShare {
        MemoryShare {
            budget: Rc::clone(self),
            bytes: 0,
        }
    }

    /// The number of bytes that all connections together may hold.
    pub(crate) fn limit(&self) -> usize {
        self.limit.get()
    }

    pub(crate) fn set_limit(&self, limit: usize) {
        self.limit.set(limit);
    }

    /// The number of bytes that all connections together hold.
    pub(crate) fn used(&self) -> usize {
        self.used.get()
    }

    /// Whether the connections hold more bytes than the limit allows.
    pub(crate) fn is_over(&self) -> bool {
        self.used.get() > self.limit.get()
    }
}

impl MemoryShare {
    /// Sets the number of bytes that this connection holds.
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
