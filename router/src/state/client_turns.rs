//! Lets client connections that have sent requests ahead, or are in a TLS handshake, take turns.
//!
//! A request that is in the input buffer when its predecessor has been answered needs no wait for bytes, so that the
//! task of its connection would go on without yielding. It waits here instead. One connection at a time is let on, in
//! the order in which they began to wait, and all other tasks that are ready run in between. Connections with one
//! request at a time never wait here, however many wait. Each step of a TLS handshake waits too: it takes as long as many
//! requests, and many clients may begin one at the same time.

use std::cell::Cell;

use event_listener::Event;
use futures_lite::future;

/// The connections that wait for a turn.
#[derive(Default)]
pub(crate) struct ClientTurns {
    waiting: Cell<usize>,
    /// Notifies the connection that has waited longest.
    granted: Event,
    /// Notified when a connection begins to wait.
    joined: Event,
}

/// Counts a connection as waiting until it is dropped.
struct Waiting<'a>(&'a Cell<usize>);

impl<'a> Waiting<'a> {
    fn new(count: &'a Cell<usize>) -> Waiting<'a> {
        count.set(count.get() + 1);
        Waiting(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl ClientTurns {
    /// Waits until the calling connection may handle one more request.
    pub(crate) async fn wait(&self) {
        let _waiting = Waiting::new(&self.waiting);
        let granted = self.granted.listen();
        self.joined.notify(1);
        granted.await;
    }

    /// Grants turns one after another; never returns. All ready tasks run between two turns.
    pub(crate) async fn grant(&self) {
        loop {
            let joined = self.joined.listen();
            if self.waiting.get() == 0 {
                joined.await;
            } else {
                self.granted.notify_additional(1);
                future::yield_now().await;
            }
        }
    }
}

#[cfg(test)]
mod tests;
