//! Who asks, and what he may do. One [`Identity`] holds all that a router knows of keys, revocations, certificates
//! and rights; it does no I/O and reads no clock. It is told what was heard ([`Identity::update_keys`],
//! [`Identity::update_revocations`], [`Identity::update_revocation_list`], [`Identity::update_config`]) and asked about each
//! request ([`Identity::authorize`]); the answer is a [`Authorized`], or a [`Refusal`] that says why without telling what exists.
//! [`Identity::elapsed`] goes with time.

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
mod wall_clock;

use std::rc::Rc;

use ternpick::types::{CustomerNo, Micros};

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
pub use wall_clock::{ClockStep, WallClock};

/// A request, as far as it matters here.
#[derive(Clone, Copy, Default)]
pub struct AuthRequest<'a> {
    pub token: Option<&'a str>,
    pub certificate: Option<&'a Certificate>,
    /// The tenant on whose account it is asked, where it is not the caller's own.
    pub behalf: Option<&'a str>,
    pub index: &'a str,
    /// Whether repeating it changes nothing; of an index that nobody has, true.
    pub idempotent: bool,
    pub statement: &'a str,
}

/// Leave to ask.
#[derive(Clone, Debug)]
pub struct Authorized {
    pub caller: Rc<Caller>,
    pub tenant: CustomerNo,
    pub acts: Vec<Act>,
    /// The grant.
    pub granted_by: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalKind {
    /// Nothing proves who asks (401, without an error code).
    NoCredentials,
    /// What was shown proves nothing (401, `invalid_token`).
    InvalidCredentials,
    /// Proved, and not allowed (403, `insufficient_scope`).
    Forbidden,
    /// Cannot be judged just now, through no fault of the caller's (503).
    RevocationsOutdated,
}

#[derive(Clone, Debug)]
pub struct Refusal {
    pub kind: RefusalKind,
    pub why: String,
    /// Who asks, where that is proved.
    pub caller: Option<Rc<Caller>>,
    pub acts: Vec<Act>,
    /// The key service may know the key by now.
    pub unknown_key: bool,
}

pub struct Identity {
    config: IdentityConfig,
    token_requirements: TokenRequirements,
    pub ring: KeyRing,
    /// None: nothing is ever revoked before its time, by the terms.
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
        let retention = config.keys.as_ref().map_or(0, |of| of.retention);
        let grace_periods = |of: &FeedConfig| GracePeriods {
            reads: Micros(of.reads_grace),
            changes: Micros(of.changes_grace),
        };
        let revocations = config
            .revocations
            .as_ref()
            .map(|of| Revocations::new(grace_periods(of)));
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

    /// Takes new terms while it serves: rights, names, skew. Where keys and revocations come from stays.
    pub fn update_config(&mut self, config: IdentityConfig) -> Result<(), ConfigError> {
        config.check()?;
        self.rights.update(&config)?;
        self.token_requirements = Self::token_requirements(&config);
        // What was verified was verified by other terms.
        self.token_cache = TokenCache::new(config.token_cache_size);
        self.config = config;
        Ok(())
    }

    pub fn update_keys(&mut self, now: Micros, set: &KeySet) -> Result<KeyChanges, KeySetError> {
        let change = self.ring.update(now, set);
        self.remove_expired(now);
        change
    }

    pub fn update_revocations(
        &mut self,
        updated_at: Micros,
        page: Page,
    ) -> Result<usize, FeedError> {
        self.revocations
            .as_mut()
            .map_or(Ok(0), |revocations| revocations.update(updated_at, page))
    }

    pub fn update_revocation_list(
        &mut self,
        list: &[u8],
        authority: &[u8],
    ) -> Result<usize, RevocationListError> {
        self.revocation_lists.update(list, authority)
    }

    /// Time goes by: keys whose time is over leave, with the tokens they had signed. Tells which keys left.
    pub fn remove_expired(&mut self, now: Micros) -> Vec<KeyId> {
        let removed = self.ring.remove_expired(now);
        if !removed.is_empty() {
            self.token_cache.remove_keys(&removed);
        }
        if let Some(revocations) = &mut self.revocations {
            revocations.remove_expired(now);
        }
        removed
    }

    /// How many verified tokens are remembered.
    pub fn cached_tokens(&self) -> usize {
        self.token_cache.len()
    }

    fn caller_by_token(&mut self, now: Micros, token: &str) -> Result<Rc<Caller>, TokenError> {
        if token.len() > MAX_TOKEN_BYTES {
            return Err(TokenError::TooLong);
        }
        let digest = token_cache::digest(token);
        if let Some(caller) = self.token_cache.get(now, &digest) {
            // A key may have gone by its own end since the last look at the time.
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
            until: certificate.until + self.token_requirements.skew,
        }))
    }

    /// Judges one request. Whoever shows a token is who the token says; a certificate that its connection has shown
    /// must still be good all the same.
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
            // Besides a token, one that nobody is known by is not looked at further.
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
