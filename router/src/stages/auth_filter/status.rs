//! The auth filter's state as read by the control socket, the snapshot and the polls of its sources.

use crate::router::Router;
use crate::stages::auth_filter::{AgedDocument, AuthFilter};

impl AuthFilter {
    /// Returns the known keys and revocations with their ages, for another process or the next start.
    pub(crate) fn known_documents(&self, router: &Router) -> [Option<AgedDocument>; 2] {
        let now = self.now(router);
        let keys = self
            .published_keys
            .borrow()
            .as_ref()
            .map(|(at, text)| (now.since(*at).0, text.clone()));
        let identity = self.identity.borrow();
        let revocations = identity.revocations.as_ref().and_then(|revocations| {
            let (updated_at, page) = revocations.page();
            Some((now.since(updated_at?).0, page))
        });
        [keys, revocations]
    }

    /// Returns the status for operators: key ids, the number up to which revocations are known, the trust in
    /// them, and the count of cached tokens.
    pub(crate) fn status(&self, router: &Router) -> serde_json::Value {
        let now = self.now(router);
        let identity = self.identity.borrow();
        let keys: Vec<String> = identity.ring.ids().map(ToString::to_string).collect();
        let revocations = identity.revocations.as_ref();
        let trust =
            revocations.map(|revocations| format!("{:?}", revocations.trust(now)).to_lowercase());
        let number = revocations.map(|revocations| revocations.number());
        serde_json::json!({
            "keys": keys, "revocations": number, "trust": trust, "remembered": identity.cached_tokens()
        })
    }

    /// Returns the number up to which revocations are known.
    pub(crate) fn revocations_known(&self) -> u64 {
        let identity = self.identity.borrow();
        identity
            .revocations
            .as_ref()
            .map_or(0, |revocations| revocations.number())
    }
}
