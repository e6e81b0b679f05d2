//! Requests of the first moments: those that come before the first call to a source of keys or revocations has ended.
//!
//! The router listens from its start on, and its sources are read in tasks of their own. Judged at once, a valid caller was
//! refused for what the router was just about to read: 503, as no revocations were known, or 401, as no keys were. Such a
//! request waits until the call has ended. A source whose first call fails is waited for no longer: what is not known then
//! is refused at once, as ever.

use event_listener::EventListener;
use ternpick_identity::{Ask, Refused};

use crate::router::Router;
use crate::stages::auth_filter::{AuthFilter, Watched};

impl AuthFilter {
    /// A call to this source has ended.
    pub(crate) fn call_ended(&self, source: &Watched) {
        if !source.was_called.replace(true) {
            self.look_again();
        }
    }

    /// Has requests that wait for a source look again.
    pub(crate) fn look_again(&self) {
        self.first_call_ended.notify(usize::MAX);
    }

    /// Notified when [`AuthFilter::may_learn_more`] may have changed.
    pub(crate) fn first_call_ended(&self) -> EventListener {
        self.first_call_ended.listen()
    }

    /// Whether a request would be refused now for want of what the first call to a source may bring.
    pub(crate) fn may_learn_more(&self, router: &Router, asked: &Ask) -> bool {
        let keys_awaited = is_awaited(self.keys.as_ref());
        let revocations_awaited = is_awaited(self.feed.as_ref());
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

fn is_awaited(source: Option<&Watched>) -> bool {
    source.is_some_and(|source| !source.was_called.get())
}
