//! The gate in the admit stage: asks identity and the limits about each request before the module sees it, words what
//! they say for HTTP, and writes the audit. It decides nothing.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use event_listener::Event;
use rustls::pki_types::CertificateDer;
use ternpick::types::{CustomerNo, Micros};
use ternpick_identity::{
    Ask, Calendar, Certificate, Identity, KeySet, Page, Pass, Refresh, Refusal, Refused, Source,
    TermsFault, Trust,
};
use ternpick_tenant_limits::{Limits, Terms as LimitTerms};

use crate::lifecycle::settings::IdentityTerms;
use crate::router::Router;
use crate::stages::admission::line;
use crate::stages::completion::retry_after;
use crate::state::clients::Answer;
use ternpick_wire::http::Reader;

/// Lines on callers who are refused come no closer than this; they say the count.
const SAY_AGAIN: Micros = Micros(1_000_000);
/// When to come back where what is revoked is not known well enough: the feed may be back by then.
const UNSURE: Micros = Micros(1_000_000);

/// Something that is asked for again and again, and where it is to be had.
pub struct Watched {
    pub source: Source,
    pub address: Option<SocketAddr>,
    pub refresh: RefCell<Refresh>,
    /// The time of the next look has changed.
    pub stirred: Event,
}

impl Watched {
    fn new(of: &Source, seed: u64) -> Self {
        let refresh = RefCell::new(Refresh::new(Micros(of.every), Micros(of.apart), seed));
        let address = of.address.as_deref().and_then(|text| text.parse().ok());
        Watched {
            source: of.clone(),
            address,
            refresh,
            stirred: Event::new(),
        }
    }
}

/// A text and its age in microseconds.
pub type Aged = (u64, String);

#[derive(Default)]
struct Counts {
    refused: u64,
    said: Micros,
}

pub struct AuthFilter {
    identity: RefCell<Identity>,
    calendar: RefCell<Calendar>,
    pub keys: Option<Watched>,
    pub feed: Option<Watched>,
    /// The last set of keys as it was served, and when.
    served: RefCell<Option<(Micros, String)>>,
    counts: RefCell<Counts>,
    overdue: Cell<bool>,
}

/// The tenants' terms in the order of their numbers; a number that nobody has any more may have nothing.
fn limits(identity: &Identity, of: &IdentityTerms) -> Vec<LimitTerms> {
    let mut all = Vec::new();
    for (name, number) in identity.rights.tenants() {
        let at = usize::from(number.0);
        let terms = of
            .limits
            .iter()
            .find(|(known, _)| **known == *name.0)
            .map(|(_, terms)| terms.clone());
        if all.len() <= at {
            let none = LimitTerms {
                weight: 0.0,
                in_hand: 0,
                per_second: 0.0,
                burst: 0.0,
                repeats: 0.0,
            };
            all.resize(at + 1, none);
        }
        if let Some(terms) = terms {
            all[at] = terms;
        }
    }
    all
}

impl AuthFilter {
    pub fn new(of: &IdentityTerms, seed: u64) -> Result<(AuthFilter, Limits), TermsFault> {
        let identity = Identity::new(of.terms.clone())?;
        let limits = Limits::new(limits(&identity, of), of.whole);
        let keys = of
            .terms
            .keys
            .as_ref()
            .map(|keys| Watched::new(&keys.from, seed));
        let feed = of
            .terms
            .revocations
            .as_ref()
            .map(|feed| Watched::new(&feed.from, seed ^ 1));
        let (identity, calendar) = (RefCell::new(identity), RefCell::default());
        let (counts, overdue, served) = (RefCell::default(), Cell::new(false), RefCell::default());
        Ok((
            AuthFilter {
                identity,
                calendar,
                keys,
                feed,
                served,
                counts,
                overdue,
            },
            limits,
        ))
    }

    /// Lookups a second of each tenant, for the module's quotas.
    pub fn quotas(&self, of: &IdentityTerms) -> Vec<f64> {
        limits(&self.identity.borrow(), of)
            .iter()
            .map(|terms| terms.per_second)
            .collect()
    }

    /// The tenants' names, in the order of their quotas.
    pub fn customers(&self) -> Vec<String> {
        let identity = self.identity.borrow();
        let mut all: Vec<(u16, String)> = identity
            .rights
            .tenants()
            .map(|(name, number)| (number.0, name.0.to_string()))
            .collect();
        all.sort();
        all.into_iter().map(|(_, name)| name).collect()
    }

    /// What time it is, for keys and tokens.
    pub fn now(&self, router: &Router) -> Micros {
        let machine = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let machine = Micros(u64::try_from(machine.as_micros()).unwrap_or(u64::MAX));
        let (now, stepped) = self.calendar.borrow_mut().now(router.clock.now(), machine);
        if let Some(step) = stepped {
            tracing::warn!(
                "identity: the machine's clock has stepped by {} ms, and is followed",
                step / 1000
            );
        }
        now
    }

    pub fn told_of_keys(&self, now: Micros, text: &[u8]) -> Result<(), String> {
        let set = KeySet::parse(text).map_err(|fault| fault.to_string())?;
        set.skipped
            .iter()
            .for_each(|what| tracing::warn!("identity: {what}"));
        let mut identity = self.identity.borrow_mut();
        let change = identity
            .told_of_keys(now, &set)
            .map_err(|fault| fault.to_string())?;
        for id in &change.clashed {
            tracing::warn!(
                "identity: key {id} is served with other coordinates than it has, and stays as it is"
            );
        }
        self.served
            .replace(Some((now, String::from_utf8_lossy(text).into_owned())));
        if !change.came.is_empty() || !change.missed.is_empty() {
            let words = |ids: &[ternpick_identity::KeyId]| {
                ids.iter()
                    .map(ToString::to_string)
                    .collect::<Vec<_>>()
                    .join(" ")
            };
            let (came, missed) = (words(&change.came), words(&change.missed));
            let count = identity.ring.ids().count();
            tracing::info!("identity: {count} keys, new: {came}; no longer served: {missed}");
        }
        Ok(())
    }

    /// Keys and revocations for another process, each with its age.
    pub fn kept(&self, router: &Router) -> [Option<Aged>; 2] {
        let now = self.now(router);
        let keys = self
            .served
            .borrow()
            .as_ref()
            .map(|(at, text)| (now.since(*at).0, text.clone()));
        let identity = self.identity.borrow();
        let revocations = identity.revocations.as_ref().map(|of| of.page());
        let revocations = revocations.and_then(|(told, page)| Some((now.since(told?).0, page)));
        [keys, revocations]
    }

    /// For people: keys, the number of revocations known, how far they are trusted.
    pub fn status(&self, router: &Router) -> serde_json::Value {
        let now = self.now(router);
        let identity = self.identity.borrow();
        let keys: Vec<String> = identity.ring.ids().map(ToString::to_string).collect();
        let trust = identity
            .revocations
            .as_ref()
            .map(|of| format!("{:?}", of.trust(now)).to_lowercase());
        let number = identity.revocations.as_ref().map(|of| of.number());
        serde_json::json!({"keys": keys, "revocations": number, "trust": trust, "remembered": identity.known()})
    }

    /// The number up to which revocations are known.
    pub fn revocations_known(&self) -> u64 {
        self.identity
            .borrow()
            .revocations
            .as_ref()
            .map_or(0, |of| of.number())
    }

    /// Takes a page of revocations as it was at `then`.
    pub fn told_of_revocations(&self, then: Micros, text: &[u8]) -> Result<(), String> {
        let page = Page::parse(text).map_err(|fault| fault.to_string())?;
        let mut identity = self.identity.borrow_mut();
        let news = identity
            .told_of_revocations(then, page)
            .map_err(|fault| fault.to_string())?;
        if let Some(of) = identity.revocations.as_ref().filter(|_| news > 0) {
            tracing::info!(
                "identity: {news} words on revocations, {} hold, up to number {}",
                of.count(),
                of.number()
            );
        }
        Ok(())
    }

    pub fn told_of_list(
        &self,
        list: &[u8],
        authorities: &[CertificateDer],
    ) -> Result<usize, String> {
        let mut identity = self.identity.borrow_mut();
        let mut said = "no authority of clients is known".to_owned();
        for authority in authorities {
            match identity.told_of_list(list, authority) {
                Ok(count) => return Ok(count),
                Err(fault) => said = fault.to_string(),
            }
        }
        Err(said)
    }

    /// Takes new terms; limits of tenants go to `limits`.
    pub fn told_of_terms(&self, of: IdentityTerms, told: &mut Limits) -> Result<(), TermsFault> {
        let mut identity = self.identity.borrow_mut();
        identity.told_of_terms(of.terms.clone())?;
        told.update(limits(&identity, &of), of.whole);
        Ok(())
    }

    /// Time goes by: what has changed with it is said.
    pub fn elapsed(&self, now: Micros) {
        let mut identity = self.identity.borrow_mut();
        for key in identity.elapsed(now) {
            tracing::info!("identity: key {key} is no longer in use");
        }
        match identity.revocations.as_mut().and_then(|of| of.changed(now)) {
            Some(Trust::Full) => tracing::info!("identity: revocations are known again"),
            Some(Trust::Reads) => {
                tracing::warn!(
                    "identity: revocations were not heard for long, only reading goes on"
                )
            }
            Some(Trust::None) => {
                tracing::warn!("identity: revocations were not heard for too long, nothing goes on")
            }
            None => {}
        }
        let overdue = identity.lists.overdue(now);
        if overdue && !self.overdue.replace(overdue) {
            tracing::warn!(
                "identity: a list of revoked certificates is past the time of its next one"
            );
        }
        self.overdue.set(overdue);
    }

    /// Judges a request; a refusal comes back as its answer.
    pub fn check(&self, router: &Router, request: &Reader, ask: &Ask) -> Result<Pass, Answer> {
        let now = self.now(router);
        let judged = self.identity.borrow_mut().judge(now, ask);
        let id = request.header("req-id").unwrap_or_default();
        let id: String = id
            .chars()
            .filter(char::is_ascii_graphic)
            .take(128)
            .collect();
        match judged {
            Ok(pass) => {
                if pass.acts.iter().any(|act| act.changes()) {
                    audit(
                        Some(&pass.caller),
                        true,
                        ask.index,
                        &words(&pass.acts),
                        &pass.by,
                        &id,
                    );
                }
                Ok(pass)
            }
            Err(refusal) => {
                if refusal.acts.iter().any(|act| act.changes()) {
                    let acts = words(&refusal.acts);
                    audit(
                        refusal.caller.as_deref(),
                        false,
                        ask.index,
                        &acts,
                        &refusal.why,
                        &id,
                    );
                }
                if let Some(keys) = self.keys.as_ref().filter(|_| refusal.unknown_key) {
                    if keys.refresh.borrow_mut().wanted(now) {
                        keys.stirred.notify(1);
                    }
                }
                self.say(router.clock.now(), &refusal);
                Err(answer(&refusal))
            }
        }
    }

    fn say(&self, now: Micros, refusal: &Refusal) {
        let mut counts = self.counts.borrow_mut();
        counts.refused += 1;
        if now.since(counts.said) >= SAY_AGAIN {
            counts.said = now;
            tracing::info!(
                "identity: a caller is refused, {}; {} such so far",
                refusal.why,
                counts.refused
            );
        }
    }
}

fn words(acts: &[ternpick_identity::Act]) -> String {
    acts.iter()
        .map(|act| act.word())
        .collect::<Vec<_>>()
        .join("+")
}

/// One record of an act on something that is guarded, allowed or not. It goes out whatever the log's level.
fn audit(
    caller: Option<&ternpick_identity::Caller>,
    allowed: bool,
    index: &str,
    acts: &str,
    why: &str,
    request: &str,
) {
    let who = caller.map_or("nobody proved".into(), |of| {
        format!("{} of {}", of.subject, of.tenant)
    });
    let proof = caller.map_or("no proof".into(), |of| of.proof.to_string());
    let word = if allowed { "allowed" } else { "denied" };
    tracing::info!(
        target: "audit", who, proof, index, acts, allowed, why, request,
        "audit: {acts} on {index} {word}"
    );
}

/// What a caller is told: why, and nothing of what exists.
fn answer(refusal: &Refusal) -> Answer {
    let (status, error) = match refusal.refused {
        Refused::NoProof => (401, String::new()),
        Refused::Unproved => (
            401,
            format!(
                ", error=\"invalid_token\", error_description=\"{}\"",
                refusal.why
            ),
        ),
        Refused::Forbidden => (
            403,
            format!(
                ", error=\"insufficient_scope\", error_description=\"{}\"",
                refusal.why
            ),
        ),
        Refused::Unsure => {
            let (_, _, body) = line(503, &refusal.why);
            return (503, retry_after(UNSURE), body);
        }
    };
    let (_, _, body) = line(status, &refusal.why);
    (
        status,
        format!("WWW-Authenticate: Bearer realm=\"ternpick\"{error}\r\n"),
        body,
    )
}

/// The token of a request, if it shows one. Two, or another scheme than Bearer, are no proof of anything.
pub fn token(request: &Reader) -> Result<Option<&str>, Answer> {
    match request
        .headers("authorization")
        .collect::<Vec<_>>()
        .as_slice()
    {
        [] => Ok(None),
        [one] => {
            let token = one
                .split_once(' ')
                .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"));
            Ok(Some(token.map_or("", |(_, token)| token.trim())))
        }
        _ => Err(line(400, "Authorization stands twice")),
    }
}

/// Takes a place among the tenant's lookups, or words why there is none.
pub fn place(
    limits: &mut Limits,
    now: Micros,
    tenant: CustomerNo,
    repeat: bool,
) -> Result<(), Answer> {
    limits.admit(now, tenant, repeat).map_err(|refused| {
        let (_, _, body) = line(429, &refused.to_string());
        (429, retry_after(refused.retry_after()), body)
    })
}

/// What a request is about, for the gate.
pub fn ask<'a>(
    token: Option<&'a str>,
    certificate: Option<&'a Rc<Certificate>>,
    request: &'a Reader,
    index: &'a str,
    idempotent: bool,
    statement: &'a str,
) -> Ask<'a> {
    let behalf = request.header("on-behalf-of");
    Ask {
        token,
        certificate: certificate.map(Rc::as_ref),
        behalf,
        index,
        idempotent,
        statement,
    }
}
