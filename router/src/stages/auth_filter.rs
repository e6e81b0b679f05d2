//! The auth filter of admission: has `ternpick_identity` judge each request before it reaches the routing engine.
//!
//! The filter makes no decision itself. The answers to rejected requests are in `answers.rs`, the audit in
//! `audit.rs`, updates of keys, revocations and settings in `updates.rs`, the wait for the first read of a source in
//! `first_reads.rs`, and the status for operators in `status.rs`.

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
use ternpick_identity::{
    AuthRequest, Authorized, ConfigError, Identity, PollSchedule, Refusal, SourceConfig, WallClock,
};
use ternpick_tenant_limits::{Limits, TenantConfig as LimitTerms};
use ternpick_wire::http::Reader;

pub(crate) use crate::stages::auth_filter::answers::reserve;

use crate::lifecycle::settings::IdentitySettings;
use crate::router::Router;
use crate::stages::admission::text_answer;
use crate::state::clients::Answer;
use crate::state::log_limit::LogLimit;

/// The limits for the number of a tenant that is no longer in the settings.
const ZERO_LIMITS: LimitTerms = LimitTerms {
    weight: 0.0,
    max_in_flight: 0,
    per_second: 0.0,
    burst: 0.0,
    retries_per_query: 0.0,
};

/// A source of keys or revocations, with its polling schedule.
pub(crate) struct PolledSource {
    /// The source as configured in the settings.
    pub(crate) source: SourceConfig,
    /// The address of the source, if it is not a file.
    pub(crate) address: Option<SocketAddr>,
    /// Schedules the polls of the source.
    pub(crate) refresh: RefCell<PollSchedule>,
    /// Notified when the time of the next poll has changed.
    pub(crate) next_poll_changed: Event,
    /// Whether a usable document has been read from the source.
    was_read: Cell<bool>,
}

impl PolledSource {
    fn new(source: &SourceConfig, seed: u64) -> Self {
        let refresh = PollSchedule::new(
            Micros(source.poll_interval),
            Micros(source.min_poll_interval),
            seed,
        );
        PolledSource {
            source: source.clone(),
            address: source.address.as_deref().and_then(|text| text.parse().ok()),
            refresh: RefCell::new(refresh),
            next_poll_changed: Event::new(),
            was_read: Cell::new(false),
        }
    }
}

/// The age of a document in microseconds, and its text.
pub(crate) type AgedDocument = (u64, String);

/// Decides which callers may send which queries.
pub(crate) struct AuthFilter {
    identity: RefCell<Identity>,
    wall_clock: RefCell<WallClock>,
    /// The source of keys, if keys are polled.
    pub(crate) key_source: Option<PolledSource>,
    /// The source of revocations, if one is configured.
    pub(crate) revocation_source: Option<PolledSource>,
    /// The last published set of keys, and when it was received.
    published_keys: RefCell<Option<(Micros, String)>>,
    refusals: LogLimit,
    /// Whether a list of revoked certificates is past the time of its next update.
    certificate_list_overdue: Cell<bool>,
    /// The instant until which requests may wait for sources that have not been read yet.
    first_reads_until: Cell<Micros>,
    /// Notified when a source has been read for the first time, or the router stops, so that waiting requests check
    /// again.
    first_read: Event,
}

/// Returns the tenants' limits in the order of their numbers. Numbers without a tenant get [`ZERO_LIMITS`].
fn tenant_limits(identity: &Identity, settings: &IdentitySettings) -> Vec<LimitTerms> {
    let mut limits = Vec::new();
    for (name, number) in identity.rights.tenants() {
        let position = usize::from(number.0);
        if limits.len() <= position {
            limits.resize(position + 1, ZERO_LIMITS);
        }
        let tenant_terms = settings
            .limits
            .iter()
            .find(|(known, _)| **known == *name.0)
            .map(|(_, terms)| terms.clone());
        if let Some(tenant_terms) = tenant_terms {
            limits[position] = tenant_terms;
        }
    }
    limits
}

impl AuthFilter {
    /// Creates the filter and the tenants' limits from the settings. `seed` varies the times at which sources are
    /// polled.
    pub(crate) fn new(
        settings: &IdentitySettings,
        seed: u64,
    ) -> Result<(AuthFilter, Limits), ConfigError> {
        let identity = Identity::new(settings.terms.clone())?;
        let limits = Limits::new(tenant_limits(&identity, settings), settings.shared_limit);
        let keys = settings.terms.keys.as_ref();
        let feed = settings.terms.revocations.as_ref();
        let filter = AuthFilter {
            identity: RefCell::new(identity),
            wall_clock: RefCell::default(),
            key_source: keys.map(|keys| PolledSource::new(&keys.from, seed)),
            revocation_source: feed.map(|feed| PolledSource::new(&feed.from, seed ^ 1)),
            published_keys: RefCell::default(),
            refusals: LogLimit::default(),
            certificate_list_overdue: Cell::new(false),
            first_reads_until: Cell::default(),
            first_read: Event::new(),
        };
        Ok((filter, limits))
    }

    /// Returns the queries per second of each tenant, for the routing engine's quotas.
    pub(crate) fn quotas(&self, settings: &IdentitySettings) -> Vec<f64> {
        tenant_limits(&self.identity.borrow(), settings)
            .iter()
            .map(|limits| limits.per_second)
            .collect()
    }

    /// Returns the tenants' names, in the order of their quotas.
    pub(crate) fn tenant_names(&self) -> Vec<String> {
        let identity = self.identity.borrow();
        let mut tenants: Vec<(u16, String)> = identity
            .rights
            .tenants()
            .map(|(name, number)| (number.0, name.0.to_string()))
            .collect();
        tenants.sort();
        tenants.into_iter().map(|(_, name)| name).collect()
    }

    /// Returns the time for keys and tokens: Unix time, unaffected by small steps of the machine's clock.
    pub(crate) fn now(&self, router: &Router) -> Micros {
        let machine_time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let machine_time = Micros(u64::try_from(machine_time.as_micros()).unwrap_or(u64::MAX));
        let (now, step) = self
            .wall_clock
            .borrow_mut()
            .now(router.clock.now(), machine_time);
        if let Some(step) = step {
            let step_ms = step / 1000;
            tracing::warn!(step_ms, "identity: the machine's clock has stepped");
        }
        now
    }

    /// Authorises a request. The error is the answer to a request that is rejected.
    pub(crate) fn check(
        &self,
        router: &Router,
        request: &Reader,
        asked: &AuthRequest,
    ) -> Result<Authorized, Answer> {
        let now = self.now(router);
        let judged = self.identity.borrow_mut().authorize(now, asked);
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

    /// Polls the source of keys early, because it may know a key that this router does not know yet.
    fn poll_keys_soon(&self, now: Micros) {
        if let Some(keys) = &self.key_source {
            if keys.refresh.borrow_mut().request_early(now) {
                keys.next_poll_changed.notify(1);
            }
        }
    }

    fn log_refusal(&self, now: Micros, refusal: &Refusal) {
        if let Some(count) = self.refusals.count(now) {
            tracing::info!(reason = refusal.why, count, "identity: a caller is refused");
        }
    }
}

/// Returns the bearer token of a request, if it has an `Authorization` header (RFC 6750, section 2.1). For any scheme
/// other than Bearer, returns an empty token, which is never valid.
pub(crate) fn bearer_token(request: &Reader) -> Result<Option<&str>, Answer> {
    let mut values = request.headers("authorization");
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(text_answer(400, "Authorization stands twice"));
    }
    let token = value
        .split_once(' ')
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"));
    Ok(Some(token.map_or("", |(_, token)| token.trim())))
}
