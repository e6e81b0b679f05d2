//! Updates of the running auth filter: keys, revocations, lists of revoked certificates, new settings, and the
//! passage of time.
//!
//! Called by `lifecycle/`: the key sources, the snapshot, TLS and reload. This file fetches nothing itself.

use rustls::pki_types::CertificateDer;
use ternpick::types::Micros;
use ternpick_identity::{ConfigError, Identity, KeyChanges, KeyId, KeySet, Page, Trust};
use ternpick_tenant_limits::Limits;

use crate::lifecycle::settings::IdentitySettings;
use crate::stages::auth_filter::{tenant_limits, AuthFilter};

impl AuthFilter {
    /// Applies a set of keys that the source of keys published at `now` (Unix time).
    pub(crate) fn update_keys(&self, now: Micros, document: &[u8]) -> Result<(), String> {
        let set = KeySet::parse(document).map_err(|fault| fault.to_string())?;
        for reason in &set.skipped {
            tracing::warn!(%reason, "identity: a published key is skipped");
        }
        let mut identity = self.identity.borrow_mut();
        let change = identity
            .update_keys(now, &set)
            .map_err(|fault| fault.to_string())?;
        let published = String::from_utf8_lossy(document).into_owned();
        self.published_keys.replace(Some((now, published)));
        log_key_change(&identity, &change);
        Ok(())
    }

    /// Applies a page of revocations as of `updated_at` (Unix time).
    pub(crate) fn update_revocations(
        &self,
        updated_at: Micros,
        document: &[u8],
    ) -> Result<(), String> {
        let page = Page::parse(document).map_err(|fault| fault.to_string())?;
        let mut identity = self.identity.borrow_mut();
        let new_entries = identity
            .update_revocations(updated_at, page)
            .map_err(|fault| fault.to_string())?;
        if let Some(revocations) = identity.revocations.as_ref().filter(|_| new_entries > 0) {
            tracing::info!(
                new_entries,
                in_force = revocations.count(),
                number = revocations.number(),
                "identity: revocations received"
            );
        }
        Ok(())
    }

    /// Applies a list of revoked certificates signed by one of the authorities; returns the number of its entries.
    pub(crate) fn update_revoked_certificates(
        &self,
        list: &[u8],
        authorities: &[CertificateDer],
    ) -> Result<usize, String> {
        let mut identity = self.identity.borrow_mut();
        let mut error = "no certificate authority of clients is configured".to_owned();
        for authority in authorities {
            match identity.update_revocation_list(list, authority) {
                Ok(count) => return Ok(count),
                Err(fault) => error = fault.to_string(),
            }
        }
        Err(error)
    }

    /// Applies new settings; updates `limits` with the tenants' limits.
    pub(crate) fn update_settings(
        &self,
        new: IdentitySettings,
        limits: &mut Limits,
    ) -> Result<(), ConfigError> {
        let mut identity = self.identity.borrow_mut();
        identity.update_config(new.terms.clone())?;
        limits.update(tenant_limits(&identity, &new), new.shared_limit);
        Ok(())
    }

    /// Advances to `now` (Unix time), and logs the keys, revocations and lists that have expired.
    pub(crate) fn advance_time(&self, now: Micros) {
        let mut identity = self.identity.borrow_mut();
        for key in identity.remove_expired(now) {
            tracing::info!(%key, "identity: a key is no longer in use");
        }
        log_trust_change(&mut identity, now);
        let overdue = identity.revocation_lists.overdue(now);
        let was_overdue = self.certificate_list_overdue.replace(overdue);
        if overdue && !was_overdue {
            tracing::warn!(
                "identity: a list of revoked certificates is past the time of its next update"
            );
        }
    }
}

fn log_key_change(identity: &Identity, change: &KeyChanges) {
    for key in &change.conflicting {
        tracing::warn!(
            %key,
            "identity: a key is published with other coordinates than it has, the known key stays"
        );
    }
    if !change.added.is_empty() || !change.missing.is_empty() {
        tracing::info!(
            keys = identity.ring.ids().count(),
            new = join(&change.added),
            no_longer_published = join(&change.missing),
            "identity: keys changed"
        );
    }
}

fn join(keys: &[KeyId]) -> String {
    let keys: Vec<String> = keys.iter().map(ToString::to_string).collect();
    keys.join(" ")
}

fn log_trust_change(identity: &mut Identity, now: Micros) {
    let change = identity
        .revocations
        .as_mut()
        .and_then(|revocations| revocations.trust_change(now));
    match change {
        Some(Trust::Full) => tracing::info!("identity: revocations are known again"),
        Some(Trust::Reads) => {
            tracing::warn!("identity: revocations are out of date, only reads are admitted");
        }
        Some(Trust::None) => {
            tracing::warn!("identity: revocations are too far out of date, nothing is admitted");
        }
        None => {}
    }
}
