//! Who asks, and what he may do. One [`Identity`] holds all that a router knows of keys, revocations, certificates
//! and rights; it does no I/O and reads no clock. It is told what was heard ([`Identity::told_of_keys`],
//! [`Identity::told_of_revocations`], [`Identity::told_of_list`], [`Identity::told_of_terms`]) and asked about each
//! request ([`Identity::judge`]); the answer is a [`Pass`], or a [`Refusal`] that says why without telling what exists.
//! [`Identity::elapsed`] goes with time.

mod calendar;
mod certificate;
pub mod key_manager;
mod keys;
mod known;
mod names;
mod refresh;
mod revocation;
mod rights;
mod terms;
mod token;

use std::rc::Rc;

use ternpick::types::{CustomerNo, Micros};

pub use calendar::{Calendar, Stepped};
pub use certificate::{
    Certificate, CertificateFault, ListFault, Lists, CERTIFICATE_BOUND, LIST_BOUND,
};
pub use keys::{Algorithm, Change, KeyFault, KeyRing, KeySet, SetFault, MOST_KEYS, SET_BOUND};
pub use known::Known;
pub use names::{Act, Caller, KeyId, Proof, Role, Subject, Tenant, TokenId};
pub use refresh::Refresh;
pub use revocation::{
    Entry, FeedFault, Grace, Page, Revocations, Trust, What, MOST_REVOKED, PAGE_BOUND,
};
pub use rights::{Allowed, Denied, Explained, Rights};
pub use terms::{FeedTerms, KeyTerms, Source, Terms, TermsFault, DEFINITIONS};
pub use token::{TokenFault, Wanted, TOKEN_BOUND};

/// A request, as far as it matters here.
#[derive(Clone, Copy, Default)]
pub struct Ask<'a> {
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
pub struct Pass {
    pub caller: Rc<Caller>,
    pub tenant: CustomerNo,
    pub acts: Vec<Act>,
    /// The grant.
    pub by: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// Nothing proves who asks (401, without an error code).
    NoProof,
    /// What was shown proves nothing (401, `invalid_token`).
    Unproved,
    /// Proved, and not allowed (403, `insufficient_scope`).
    Forbidden,
    /// Cannot be judged just now, through no fault of the caller's (503).
    Unsure,
}

#[derive(Clone, Debug)]
pub struct Refusal {
    pub refused: Refused,
    pub why: String,
    /// Who asks, where that is proved.
    pub caller: Option<Rc<Caller>>,
    pub acts: Vec<Act>,
    /// The key service may know the key by now.
    pub unknown_key: bool,
}

pub struct Identity {
    terms: Terms,
    wanted: Wanted,
    pub ring: KeyRing,
    /// None: nothing is ever revoked before its time, by the terms.
    pub revocations: Option<Revocations>,
    pub lists: Lists,
    pub rights: Rights,
    known: Known,
}

impl Identity {
    pub fn new(terms: Terms) -> Result<Identity, TermsFault> {
        terms.check()?;
        let mut rights = Rights::default();
        rights.told_of(&terms)?;
        let lingers = terms.keys.as_ref().map_or(0, |of| of.lingers);
        let grace = |of: &FeedTerms| Grace {
            reads: Micros(of.reads_go_on),
            changes: Micros(of.changes_go_on),
        };
        let revocations = terms
            .revocations
            .as_ref()
            .map(|of| Revocations::new(grace(of)));
        let known = Known::new(terms.known);
        let (ring, lists, wanted) = (
            KeyRing::new(Micros(lingers)),
            Lists::default(),
            Self::wanted(&terms),
        );
        Ok(Identity {
            wanted,
            ring,
            revocations,
            lists,
            rights,
            known,
            terms,
        })
    }

    fn wanted(terms: &Terms) -> Wanted {
        let (issuer, audience) = (terms.issuer.clone(), terms.audience.clone());
        Wanted {
            issuer,
            audience,
            skew: Micros(terms.skew),
            longest: Micros(terms.longest),
        }
    }

    /// Takes new terms while it serves: rights, names, skew. Where keys and revocations come from stays.
    pub fn told_of_terms(&mut self, terms: Terms) -> Result<(), TermsFault> {
        terms.check()?;
        self.rights.told_of(&terms)?;
        self.wanted = Self::wanted(&terms);
        // What was verified was verified by other terms.
        self.known = Known::new(terms.known);
        self.terms = terms;
        Ok(())
    }

    pub fn told_of_keys(&mut self, now: Micros, set: &KeySet) -> Result<Change, SetFault> {
        let change = self.ring.told_of(now, set);
        self.elapsed(now);
        change
    }

    pub fn told_of_revocations(&mut self, then: Micros, page: Page) -> Result<usize, FeedFault> {
        self.revocations
            .as_mut()
            .map_or(Ok(0), |of| of.told_of(then, page))
    }

    pub fn told_of_list(&mut self, list: &[u8], authority: &[u8]) -> Result<usize, ListFault> {
        self.lists.told_of(list, authority)
    }

    /// Time goes by: keys whose time is over leave, with the tokens they had signed. Tells which keys left.
    pub fn elapsed(&mut self, now: Micros) -> Vec<KeyId> {
        let gone = self.ring.elapsed(now);
        if !gone.is_empty() {
            self.known.forget_keys(&gone);
        }
        if let Some(revocations) = &mut self.revocations {
            revocations.elapsed(now);
        }
        gone
    }

    /// How many verified tokens are remembered.
    pub fn known(&self) -> usize {
        self.known.count()
    }

    fn by_token(&mut self, now: Micros, token: &str) -> Result<Rc<Caller>, TokenFault> {
        if token.len() > TOKEN_BOUND {
            return Err(TokenFault::TooLong);
        }
        let digest = known::digest(token);
        if let Some(caller) = self.known.get(now, &digest) {
            // A key may have gone by its own end since the last look at the time.
            if let Proof::Token { key, .. } = &caller.proof {
                if self.ring.find(now, key).is_ok() {
                    return Ok(caller);
                }
            }
            self.known.forget(&digest);
        }
        let caller = Rc::new(token::open(token, &self.ring, &self.wanted, now)?);
        self.known.learn(digest, &caller);
        Ok(caller)
    }

    fn by_certificate(
        &self,
        now: Micros,
        of: &Certificate,
    ) -> Result<Rc<Caller>, CertificateFault> {
        self.lists.judge(of, now, self.wanted.skew)?;
        let named = self
            .terms
            .certificates
            .iter()
            .find(|terms| of.names.contains(&terms.name));
        let terms = named.ok_or(CertificateFault::Unnamed)?;
        Ok(Rc::new(Caller {
            subject: terms.subject.clone(),
            tenant: terms.tenant.clone(),
            roles: terms.roles.clone(),
            proof: Proof::Certificate(Rc::clone(&of.print)),
            until: of.until + self.wanted.skew,
        }))
    }

    /// Judges one request. Whoever shows a token is who the token says; a certificate that its connection has shown
    /// must still be good all the same.
    pub fn judge(&mut self, now: Micros, ask: &Ask) -> Result<Pass, Refusal> {
        let refusal = |refused, why: String| Refusal {
            refused,
            why,
            caller: None,
            acts: self.rights.acts(ask.index, ask.idempotent, ask.statement),
            unknown_key: false,
        };
        let unproved = refusal(Refused::Unproved, String::new());
        let unproved = |why: String, unknown_key| Refusal {
            why,
            unknown_key,
            ..unproved.clone()
        };
        let shown = match ask.certificate {
            // Besides a token, one that nobody is known by is not looked at further.
            Some(of) => match self.by_certificate(now, of) {
                Ok(caller) => Some(caller),
                Err(CertificateFault::Unnamed) if ask.token.is_some() => None,
                Err(fault) => return Err(unproved(fault.to_string(), false)),
            },
            None => None,
        };
        let revoked_of =
            |identity: &Self, caller: &Caller| identity.revocations.as_ref()?.of(caller);
        let caller = match (ask.token, shown) {
            (Some(token), shown) => {
                if let Some(why) = shown.as_ref().and_then(|shown| revoked_of(self, shown)) {
                    return Err(unproved(why.into(), false));
                }
                self.by_token(now, token)
                    .map_err(|fault| unproved(fault.to_string(), fault == TokenFault::UnknownKey))?
            }
            (None, Some(caller)) => caller,
            (None, None) => {
                return Err(refusal(
                    Refused::NoProof,
                    "no token and no certificate".into(),
                ))
            }
        };
        if let Some(why) = revoked_of(self, &caller) {
            return Err(unproved(why.into(), false));
        }
        let acts = self.rights.acts(ask.index, ask.idempotent, ask.statement);
        let known = |refused, why: String, acts: &[Act]| Refusal {
            refused,
            why,
            caller: Some(Rc::clone(&caller)),
            acts: acts.to_vec(),
            unknown_key: false,
        };
        let allowed = self
            .rights
            .decide(&caller, ask.behalf, ask.index, &acts, now);
        let allowed =
            allowed.map_err(|denied| known(Refused::Forbidden, denied.to_string(), &acts))?;
        let unsure = |act: &&Act| {
            self.revocations
                .as_ref()
                .is_some_and(|of| !of.bears(now, **act))
        };
        if let Some(act) = acts.iter().find(unsure) {
            let why = format!(
                "what is revoked is not known well enough to {} here",
                act.word()
            );
            return Err(known(Refused::Unsure, why, &acts));
        }
        Ok(Pass {
            caller,
            tenant: allowed.tenant,
            acts,
            by: allowed.by,
        })
    }
}
