//! Authentication and authorization of callers.
//!
//! One [`Identity`] holds what a router knows about keys, revocations, certificates and rights. It performs no I/O and
//! reads no clock. The router passes in new documents ([`Identity::update_keys`], [`Identity::update_revocations`],
//! [`Identity::update_revocation_list`], [`Identity::update_config`]), calls [`Identity::remove_expired`] regularly, and
//! has each request checked by [`Identity::authorize`]. The result is an [`Authorized`], or a [`Refusal`] that gives the
//! reason without revealing which indexes exist.

mod certificate;
mod config;
pub mod key_manager;
mod keys;
mod names;
mod poll_schedule;
mod revocation;
mod rights;
mod token;
mod token_cache;
mod validity;
mod wall_clock;

use std::rc::Rc;

use ternpick::types::{CustomerNo, Micros};

use validity::accepted_until;

pub use certificate::{
    Certificate, CertificateError, RevocationListError, RevocationLists, MAX_CERTIFICATE_BYTES,
    MAX_REVOCATION_LIST_BYTES,
};
pub use config::{ConfigError, FeedConfig, IdentityConfig, KeyConfig, SourceConfig, DEFINITIONS};
pub use keys::{
    Algorithm, KeyChanges, KeyError, KeyRing, KeySet, KeySetError, MAX_KEYS, MAX_KEY_SET_BYTES,
};
pub use names::{Act, Caller, KeyId, Proof, Role, Subject, Tenant, TokenId};
pub use poll_schedule::PollSchedule;
pub use revocation::{
    Entry, FeedError, GracePeriods, Page, Revocations, RevokedItem, Trust, MAX_PAGE_BYTES,
    MAX_REVOCATIONS,
};
pub use rights::{Allowed, Denied, ExplainedRight, Rights};
pub use token::{TokenError, TokenRequirements, MAX_TOKEN_BYTES};
pub use token_cache::TokenCache;
pub use validity::{revocation_kept_until, MAX_SKEW};
pub use wall_clock::{ClockStep, WallClock};

/// The parts of a request on which its authorization depends.
#[derive(Clone, Copy, Default)]
pub struct AuthRequest<'a> {
    pub token: Option<&'a str>,
    pub certificate: Option<&'a Certificate>,
    /// The tenant on whose behalf the request is made, if it is not the caller's own.
    pub behalf: Option<&'a str>,
    pub index: &'a str,
    /// Whether the index's queries are idempotent; true for an index that does not exist.
    pub idempotent: bool,
    pub statement: &'a str,
}

/// The result for a request that is allowed.
#[derive(Clone, Debug)]
pub struct Authorized {
    pub caller: Rc<Caller>,
    pub tenant: CustomerNo,
    pub acts: Vec<Act>,
    /// The role that grants the last of the acts, and the tenant that delegated it, if any; for the audit log.
    pub granted_by: String,
}

/// Why a request is refused, by the status of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalKind {
    /// The request has neither a token nor a certificate (401, without an error code).
    NoCredentials,
    /// The token or certificate is not valid (401, `invalid_token`).
    InvalidCredentials,
    /// The caller is authenticated, but not allowed to do this (403, `insufficient_scope`).
    Forbidden,
    /// The known revocations are too old to rely on, through no fault of the caller (503).
    RevocationsOutdated,
}

/// The result for a request that is refused.
#[derive(Clone, Debug)]
pub struct Refusal {
    pub kind: RefusalKind,
    pub why: String,
    /// The caller, if it is authenticated.
    pub caller: Option<Rc<Caller>>,
    pub acts: Vec<Act>,
    /// Whether the token names an unknown key, which the key service may know by now.
    pub unknown_key: bool,
}

/// The state of authentication and authorization.
pub struct Identity {
    config: IdentityConfig,
    token_requirements: TokenRequirements,
    pub ring: KeyRing,
    /// None if no revocation feed is configured: nothing is revoked before it expires.
    pub revocations: Option<Revocations>,
    pub revocation_lists: RevocationLists,
    pub rights: Rights,
    token_cache: TokenCache,
}

impl Identity {
    pub fn new(config: IdentityConfig) -> Result<Identity, ConfigError> {
        config.check()?;
        let mut rights = Rights::default();
        rights.update(&config)?;
        let retention = config.keys.as_ref().map_or(0, |keys| keys.retention);
        let grace_periods = |feed: &FeedConfig| GracePeriods {
            reads: Micros(feed.reads_grace),
            changes: Micros(feed.changes_grace),
        };
        let revocations = config
            .revocations
            .as_ref()
            .map(|feed| Revocations::new(grace_periods(feed)));
        let token_cache = TokenCache::new(config.token_cache_size);
        let (ring, revocation_lists, token_requirements) = (
            KeyRing::new(Micros(retention)),
            RevocationLists::default(),
            Self::token_requirements(&config),
        );
        Ok(Identity {
            token_requirements,
            ring,
            revocations,
            revocation_lists,
            rights,
            token_cache,
            config,
        })
    }

    fn token_requirements(config: &IdentityConfig) -> TokenRequirements {
        let (issuer, audience) = (config.issuer.clone(), config.audience.clone());
        TokenRequirements {
            issuer,
            audience,
            skew: Micros(config.skew),
            max_lifetime: Micros(config.max_token_lifetime),
        }
    }

    /// Applies new settings for rights, token requirements, certificates and the token cache. The sources of keys and
    /// revocations, and their retention and grace periods, stay as at the start.
    pub fn update_config(&mut self, config: IdentityConfig) -> Result<(), ConfigError> {
        config.check()?;
        self.rights.update(&config)?;
        self.token_requirements = Self::token_requirements(&config);
        // The cached tokens were verified against the previous settings.
        self.token_cache = TokenCache::new(config.token_cache_size);
        self.config = config;
        Ok(())
    }

    /// Applies a key set received at `now`, and removes expired keys.
    pub fn update_keys(&mut self, now: Micros, set: &KeySet) -> Result<KeyChanges, KeySetError> {
        let change = self.ring.update(now, set);
        self.remove_expired(now);
        change
    }

    /// Applies a page of the revocation feed as of `updated_at`; returns the number of entries that were new.
    pub fn update_revocations(
        &mut self,
        updated_at: Micros,
        page: Page,
    ) -> Result<usize, FeedError> {
        let skew = self.token_requirements.skew;
        self.revocations.as_mut().map_or(Ok(0), |revocations| {
            revocations.update(updated_at, page, skew)
        })
    }

    /// Applies a list of revoked certificates; see [`RevocationLists::update`].
    pub fn update_revocation_list(
        &mut self,
        list: &[u8],
        authority: &[u8],
    ) -> Result<usize, RevocationListError> {
        self.revocation_lists.update(list, authority)
    }

    /// Removes expired keys with the cached tokens that they signed, and expired revocations. Returns the removed keys.
    pub fn remove_expired(&mut self, now: Micros) -> Vec<KeyId> {
        let removed = self.ring.remove_expired(now);
        if !removed.is_empty() {
            self.token_cache.remove_keys(&removed);
        }
        if let Some(revocations) = &mut self.revocations {
            revocations.remove_expired(now, self.token_requirements.skew);
        }
        removed
    }

    /// Returns the number of cached tokens.
    pub fn cached_tokens(&self) -> usize {
        self.token_cache.count()
    }

    fn caller_by_token(&mut self, now: Micros, token: &str) -> Result<Rc<Caller>, TokenError> {
        if token.len() > MAX_TOKEN_BYTES {
            return Err(TokenError::TooLong);
        }
        let digest = token_cache::digest(token);
        if let Some(caller) = self.token_cache.get(now, &digest) {
            // The key may have expired since the last call of `remove_expired`.
            if let Proof::Token { key, .. } = &caller.proof {
                if self.ring.find(now, key).is_ok() {
                    return Ok(caller);
                }
            }
            self.token_cache.remove(&digest);
        }
        let caller = Rc::new(token::verify(
            token,
            &self.ring,
            &self.token_requirements,
            now,
        )?);
        self.token_cache.insert(digest, &caller);
        Ok(caller)
    }

    fn caller_by_certificate(
        &self,
        now: Micros,
        certificate: &Certificate,
    ) -> Result<Rc<Caller>, CertificateError> {
        self.revocation_lists
            .check(certificate, now, self.token_requirements.skew)?;
        let mapping = self
            .config
            .certificates
            .iter()
            .find(|mapping| certificate.names.contains(&mapping.name));
        let mapping = mapping.ok_or(CertificateError::Unnamed)?;
        Ok(Rc::new(Caller {
            subject: mapping.subject.clone(),
            tenant: mapping.tenant.clone(),
            roles: mapping.roles.clone(),
            proof: Proof::Certificate(Rc::clone(&certificate.fingerprint)),
            until: accepted_until(certificate.until, self.token_requirements.skew),
        }))
    }

    /// Authorizes one request. With a token, the caller is the token's subject; a certificate that the connection
    /// presented must be valid nevertheless.
    pub fn authorize(&mut self, now: Micros, request: &AuthRequest) -> Result<Authorized, Refusal> {
        let refusal = |kind, why: String| Refusal {
            kind,
            why,
            caller: None,
            acts: self
                .rights
                .acts(request.index, request.idempotent, request.statement),
            unknown_key: false,
        };
        let invalid = refusal(RefusalKind::InvalidCredentials, String::new());
        let invalid = |why: String, unknown_key| Refusal {
            why,
            unknown_key,
            ..invalid.clone()
        };
        let certificate_caller = match request.certificate {
            // Next to a token, a certificate that the settings do not name is ignored.
            Some(certificate) => match self.caller_by_certificate(now, certificate) {
                Ok(caller) => Some(caller),
                Err(CertificateError::Unnamed) if request.token.is_some() => None,
                Err(fault) => return Err(invalid(fault.to_string(), false)),
            },
            None => None,
        };
        let revocation_of =
            |identity: &Self, caller: &Caller| identity.revocations.as_ref()?.revocation_of(caller);
        let caller = match (request.token, certificate_caller) {
            (Some(token), certificate_caller) => {
                if let Some(why) = certificate_caller
                    .as_ref()
                    .and_then(|certificate_caller| revocation_of(self, certificate_caller))
                {
                    return Err(invalid(why.into(), false));
                }
                self.caller_by_token(now, token)
                    .map_err(|fault| invalid(fault.to_string(), fault == TokenError::UnknownKey))?
            }
            (None, Some(caller)) => caller,
            (None, None) => {
                return Err(refusal(
                    RefusalKind::NoCredentials,
                    "no token and no certificate".into(),
                ))
            }
        };
        if let Some(why) = revocation_of(self, &caller) {
            return Err(invalid(why.into(), false));
        }
        let acts = self
            .rights
            .acts(request.index, request.idempotent, request.statement);
        let refusal = |kind, why: String, acts: &[Act]| Refusal {
            kind,
            why,
            caller: Some(Rc::clone(&caller)),
            acts: acts.to_vec(),
            unknown_key: false,
        };
        let allowed = self
            .rights
            .decide(&caller, request.behalf, request.index, &acts, now);
        let allowed =
            allowed.map_err(|denied| refusal(RefusalKind::Forbidden, denied.to_string(), &acts))?;
        let outdated_for = |act: &&Act| {
            self.revocations
                .as_ref()
                .is_some_and(|revocations| !revocations.permits(now, **act))
        };
        if let Some(act) = acts.iter().find(outdated_for) {
            let why = format!(
                "what is revoked is not known well enough to {} here",
                act.name()
            );
            return Err(refusal(RefusalKind::RevocationsOutdated, why, &acts));
        }
        Ok(Authorized {
            caller,
            tenant: allowed.tenant,
            acts,
            granted_by: allowed.granted_by,
        })
    }
}
