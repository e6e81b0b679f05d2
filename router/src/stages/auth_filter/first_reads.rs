//! Requests that arrive after the start, before the sources of keys and revocations have been read.
//!
//! The router listens from its start on, and separate tasks read its sources. When such requests were judged at once,
//! valid callers were refused: with 503 because no revocations were known yet, or with 401 because no keys were. A
//! request now waits until the source has been read, but only for a limited time after the start. After that time,
//! requests that need an unread source are refused at once.

use event_listener::EventListener;
use ternpick::types::Micros;
use ternpick_identity::{AuthRequest, RefusalKind};

use crate::router::Router;
use crate::stages::auth_filter::{AuthFilter, PolledSource};

/// How long after the start requests may wait for a source. It allows several polls, so that one failed or slow poll
/// does not cause refusals.
const FIRST_READS_TIMEOUT: Micros = Micros(2_000_000);

impl AuthFilter {
    /// Starts the time limit for the first reads; the sources are polled from `now` on.
    pub(crate) fn sources_started(&self, now: Micros) {
        self.first_reads_until.set(now + FIRST_READS_TIMEOUT);
    }

    /// Returns the instant until which requests may wait for sources.
    pub(crate) fn first_reads_until(&self) -> Micros {
        self.first_reads_until.get()
    }

    /// Records that `source` has been read, and wakes waiting requests if this was the first time.
    pub(crate) fn source_read(&self, source: &PolledSource) {
        if !source.was_read.replace(true) {
            self.recheck_waiting_requests();
        }
    }

    /// Wakes the requests that wait for a source, so that they check again.
    pub(crate) fn recheck_waiting_requests(&self) {
        self.first_read.notify(usize::MAX);
    }

    /// Returns a listener that resolves when the result of [`AuthFilter::may_pass_after_first_read`] may have changed.
    pub(crate) fn first_read(&self) -> EventListener {
        self.first_read.listen()
    }

    /// Whether the request would be refused now only because a source that was never read may hold the missing keys or
    /// revocations.
    pub(crate) fn may_pass_after_first_read(&self, router: &Router, asked: &AuthRequest) -> bool {
        let keys_unread = is_unread(self.key_source.as_ref());
        let revocations_unread = is_unread(self.revocation_source.as_ref());
        if !keys_unread && !revocations_unread {
            return false;
        }
        let judged = self
            .identity
            .borrow_mut()
            .authorize(self.now(router), asked);
        judged.is_err_and(|refusal| match refusal.kind {
            RefusalKind::InvalidCredentials => keys_unread && refusal.unknown_key,
            RefusalKind::RevocationsOutdated => revocations_unread,
            RefusalKind::NoCredentials | RefusalKind::Forbidden => false,
        })
    }
}

fn is_unread(source: Option<&PolledSource>) -> bool {
    source.is_some_and(|source| !source.was_read.get())
}
