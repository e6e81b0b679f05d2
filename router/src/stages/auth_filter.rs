//! The authorisation filter of admission: asks `ternpick_identity` about each request before the decision module sees it.
//!
//! It decides nothing itself. What a refused client is told is in `answers.rs`, the audit in `audit.rs`, what is taken in while
//! the router runs in `updates.rs`, what requests of the first moments wait for in `first_reads.rs`, and what is told of its
//! state in `status.rs`.

mod answers;
mod audit;
mod first_reads;
mod status;
mod updates;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use event_listener::Event;
use ternpick::types::Micros;
use ternpick_identity::{Ask, Calendar, Identity, Pass, Refresh, Refusal, Source, TermsFault};
use ternpick_tenant_limits::{Limits, TenantConfig as LimitTerms};
use ternpick_wire::http::Reader;

pub(crate) use crate::stages::auth_filter::answers::reserve;

use crate::lifecycle::settings::IdentityTerms;
use crate::router::Router;
use crate::stages::admission::line;
use crate::state::clients::Answer;
use crate::state::log_limit::LogLimit;

/// The limits of a tenant that nobody is any more.
const NOTHING: LimitTerms = LimitTerms {
    weight: 0.0,
    max_in_flight: 0,
    per_second: 0.0,
    burst: 0.0,
    retries_per_query: 0.0,
};

/// A source that is polled, and when.
pub(crate) struct Watched {
    /// The source as the settings name it.
    pub(crate) source: Source,
    /// Where it is, if it is an address.
    pub(crate) address: Option<SocketAddr>,
    /// When it is polled next.
    pub(crate) refresh: RefCell<Refresh>,
    /// The time of the next poll has changed.
    pub(crate) stirred: Event,
    /// It has brought a document that could be used.
    was_read: Cell<bool>,
}

impl Watched {
    fn new(source: &Source, seed: u64) -> Self {
        let refresh = Refresh::new(Micros(source.every), Micros(source.apart), seed);
        Watched {
            source: source.clone(),
            address: source.address.as_deref().and_then(|text| text.parse().ok()),
            refresh: RefCell::new(refresh),
            stirred: Event::new(),
            was_read: Cell::new(false),
        }
    }
}

/// A text and its age in microseconds.
pub(crate) type Aged = (u64, String);

/// Who may send queries, and what.
pub(crate) struct AuthFilter {
    identity: RefCell<Identity>,
    calendar: RefCell<Calendar>,
    /// The key service, if keys are fetched.
    pub(crate) keys: Option<Watched>,
    /// The revocation feed, if there is one.
    pub(crate) feed: Option<Watched>,
    /// The last set of keys as it was published, and when.
    published_keys: RefCell<Option<(Micros, String)>>,
    refusals: LogLimit,
    /// A list of revoked certificates is past the time of its next update.
    certificate_list_overdue: Cell<bool>,
    /// Until when requests may wait for sources that were never read.
    first_reads_until: Cell<Micros>,
    /// Notified when a source has been read for the first time, or the router stops: requests that wait look again.
    first_read: Event,
}

/// The tenants' limits in the order of their numbers; a number that no tenant has any more may have nothing.
fn tenant_limits(identity: &Identity, settings: &IdentityTerms) -> Vec<LimitTerms> {
    let mut limits = Vec::new();
    for (name, number) in identity.rights.tenants() {
        let at = usize::from(number.0);
        if limits.len() <= at {
            limits.resize(at + 1, NOTHING);
        }
        let of_tenant = settings
            .limits
            .iter()
            .find(|(known, _)| **known == *name.0)
            .map(|(_, terms)| terms.clone());
        if let Some(of_tenant) = of_tenant {
            limits[at] = of_tenant;
        }
    }
    limits
}

impl AuthFilter {
    /// The filter of these settings, and the limits of their tenants. `seed` spreads the times at which sources are polled.
    pub(crate) fn new(
        settings: &IdentityTerms,
        seed: u64,
    ) -> Result<(AuthFilter, Limits), TermsFault> {
        let identity = Identity::new(settings.terms.clone())?;
        let limits = Limits::new(tenant_limits(&identity, settings), settings.whole);
        let keys = settings.terms.keys.as_ref();
        let feed = settings.terms.revocations.as_ref();
        let filter = AuthFilter {
            identity: RefCell::new(identity),
            calendar: RefCell::default(),
            keys: keys.map(|keys| Watched::new(&keys.from, seed)),
            feed: feed.map(|feed| Watched::new(&feed.from, seed ^ 1)),
            published_keys: RefCell::default(),
            refusals: LogLimit::default(),
            certificate_list_overdue: Cell::new(false),
            first_reads_until: Cell::default(),
            first_read: Event::new(),
        };
        Ok((filter, limits))
    }

    /// Queries a second of each tenant, for the decision module's quotas.
    pub(crate) fn quotas(&self, settings: &IdentityTerms) -> Vec<f64> {
        tenant_limits(&self.identity.borrow(), settings)
            .iter()
            .map(|limits| limits.per_second)
            .collect()
    }

    /// The tenants' names, in the order of their quotas.
    pub(crate) fn customers(&self) -> Vec<String> {
        let identity = self.identity.borrow();
        let mut tenants: Vec<(u16, String)> = identity
            .rights
            .tenants()
            .map(|(name, number)| (number.0, name.0.to_string()))
            .collect();
        tenants.sort();
        tenants.into_iter().map(|(_, name)| name).collect()
    }

    /// The time for keys and tokens: Unix time, steady across small steps of the machine's clock.
    pub(crate) fn now(&self, router: &Router) -> Micros {
        let machine = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let machine = Micros(u64::try_from(machine.as_micros()).unwrap_or(u64::MAX));
        let (now, stepped) = self.calendar.borrow_mut().now(router.clock.now(), machine);
        if let Some(step) = stepped {
            let step_ms = step / 1000;
            tracing::warn!(step_ms, "identity: the machine's clock has stepped");
        }
        now
    }

    /// Judges a request; a refusal comes back as its answer.
    pub(crate) fn check(
        &self,
        router: &Router,
        request: &Reader,
        asked: &Ask,
    ) -> Result<Pass, Answer> {
        let now = self.now(router);
        let judged = self.identity.borrow_mut().judge(now, asked);
        match judged {
            Ok(pass) => {
                audit::record_allowed(&pass, request, asked);
                Ok(pass)
            }
            Err(refusal) => {
                audit::record_denied(&refusal, request, asked);
                if refusal.unknown_key {
                    self.poll_keys_soon(now);
                }
                self.log_refusal(router.clock.now(), &refusal);
                Err(answers::refusal(&refusal))
            }
        }
    }

    /// The key service may know a key that is not known here.
    fn poll_keys_soon(&self, now: Micros) {
        if let Some(keys) = &self.keys {
            if keys.refresh.borrow_mut().wanted(now) {
                keys.stirred.notify(1);
            }
        }
    }

    fn log_refusal(&self, now: Micros, refusal: &Refusal) {
        if let Some(count) = self.refusals.count(now) {
            tracing::info!(reason = refusal.why, count, "identity: a caller is refused");
        }
    }
}

/// The bearer token of a request, if it shows one (RFC 6750, section 2.1). Another scheme than Bearer is an empty token, which
/// proves nothing.
pub(crate) fn bearer_token(request: &Reader) -> Result<Option<&str>, Answer> {
    let mut values = request.headers("authorization");
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(line(400, "Authorization stands twice"));
    }
    let token = value
        .split_once(' ')
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"));
    Ok(Some(token.map_or("", |(_, token)| token.trim())))
}
