//! Requests of the first moments: those that come before a source of keys or revocations has been read.
//!
//! The router listens from its start on, and its sources are read in tasks of their own. Judged at once, a valid caller was
//! refused for what the router was just about to read: 503, as no revocations were known, or 401, as no keys were. Such a
//! request waits until the source has been read. A source that brings nothing for some time after the start is waited for no
//! longer: what is not known then is refused at once, as ever.

use event_listener::EventListener;
use ternpick::types::Micros;
use ternpick_identity::{Ask, Refused};

use crate::router::Router;
use crate::stages::auth_filter::{AuthFilter, PolledSource};

/// From the start on requests wait for so long for a source: for several calls to it, so that one that fails, or is slow once,
/// refuses nobody.
const FIRST_READS_TIME: Micros = Micros(2_000_000);

impl AuthFilter {
    /// The sources are read from `now` on.
    pub(crate) fn sources_started(&self, now: Micros) {
        self.first_reads_until.set(now + FIRST_READS_TIME);
    }

    /// Until when requests may wait for sources.
    pub(crate) fn first_reads_until(&self) -> Micros {
        self.first_reads_until.get()
    }

    /// This source has been read.
    pub(crate) fn source_read(&self, source: &PolledSource) {
        if !source.was_read.replace(true) {
            self.recheck_waiting_requests();
        }
    }

    /// Has requests that wait for a source look again.
    pub(crate) fn recheck_waiting_requests(&self) {
        self.first_read.notify(usize::MAX);
    }

    /// Notified when [`AuthFilter::may_pass_after_first_read`] may have changed.
    pub(crate) fn first_read(&self) -> EventListener {
        self.first_read.listen()
    }

    /// Whether a request would be refused now for want of what a source that was never read may bring.
    pub(crate) fn may_pass_after_first_read(&self, router: &Router, asked: &Ask) -> bool {
        let keys_awaited = is_awaited(self.key_source.as_ref());
        let revocations_awaited = is_awaited(self.revocation_source.as_ref());
        if !keys_awaited && !revocations_awaited {
            return false;
        }
        let judged = self.identity.borrow_mut().judge(self.now(router), asked);
        judged.is_err_and(|refusal| match refusal.refused {
            Refused::Unproved => keys_awaited && refusal.unknown_key,
            Refused::Unsure => revocations_awaited,
            Refused::NoProof | Refused::Forbidden => false,
        })
    }
}

fn is_awaited(source: Option<&PolledSource>) -> bool {
    source.is_some_and(|source| !source.was_read.get())
}
