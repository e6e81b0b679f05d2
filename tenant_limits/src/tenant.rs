//! One tenant: its queries in flight, its token bucket and its retry budget.

use ternpick::types::Micros;

use crate::config::TenantConfig;
use crate::limits::TenantCounts;
use crate::rejection::Rejection;

/// The retry budget holds at most this many times what one query adds to it.
const MAX_SAVED_RETRIES: f64 = 20.0;

pub(crate) struct Tenant {
    pub(crate) config: TenantConfig,
    pub(crate) in_flight: usize,
    /// Queries in flight in the old process of a hot restart, while that process drains.
    pub(crate) in_flight_elsewhere: usize,
    /// Tokens in the bucket: queries that the tenant may start at once.
    pub(crate) tokens: f64,
    /// When the tokens were last brought up to date.
    filled_at: Micros,
    /// Retries left in the retry budget of the tenant's clients.
    pub(crate) retries: f64,
}

impl Tenant {
    pub(crate) fn new(config: TenantConfig) -> Self {
        Tenant {
            in_flight: 0,
            in_flight_elsewhere: 0,
            tokens: config.burst,
            filled_at: Micros(0),
            retries: MAX_SAVED_RETRIES * config.retries_per_query,
            config,
        }
    }

    /// Adds the tokens earned since the last call.
    pub(crate) fn fill_tokens(&mut self, now: Micros) {
        let earned = now.since(self.filled_at).0 as f64 / 1e6 * self.config.per_second;
        self.tokens = (self.tokens + earned).min(self.config.burst);
        self.filled_at = now.max(self.filled_at);
    }

    /// Applies another configuration; counts are kept, except that tokens beyond the new burst are dropped.
    pub(crate) fn reconfigure(&mut self, config: TenantConfig) {
        self.tokens = self.tokens.min(config.burst);
        self.config = config;
    }

    /// Continues from the counts of another process. A count that is not finite is taken as 0.
    pub(crate) fn restore(&mut self, now: Micros, counts: TenantCounts, in_flight: usize) {
        self.tokens = if counts.tokens.is_finite() {
            counts.tokens.clamp(0.0, self.config.burst)
        } else {
            0.0
        };
        self.retries = if counts.retries.is_finite() {
            counts.retries.max(0.0)
        } else {
            0.0
        };
        self.filled_at = now;
        self.in_flight_elsewhere = in_flight;
    }

    /// Rejects a query beyond the tenant's own limits. `typical_duration` is the average duration of a query: the best
    /// estimate of when one of the tenant's queries ends or adds to the retry budget.
    pub(crate) fn check_own_limits(
        &self,
        is_retry: bool,
        typical_duration: Micros,
    ) -> Result<(), Rejection> {
        if self.in_flight + self.in_flight_elsewhere >= self.config.max_in_flight {
            return Err(Rejection::InFlight {
                retry_after: typical_duration,
            });
        }
        if self.tokens < 1.0 {
            let wait = (1.0 - self.tokens) / self.config.per_second.max(1e-6) * 1e6;
            return Err(Rejection::Rate {
                retry_after: Micros(wait.ceil() as u64),
            });
        }
        if is_retry && self.retries < 1.0 {
            return Err(Rejection::RetryBudget {
                retry_after: typical_duration,
            });
        }
        Ok(())
    }

    /// Counts an admitted query. A retry takes one from the retry budget, any other query adds to it.
    pub(crate) fn start_query(&mut self, is_retry: bool) {
        self.tokens -= 1.0;
        if is_retry {
            self.retries -= 1.0;
        } else {
            let max = MAX_SAVED_RETRIES * self.config.retries_per_query.max(0.05);
            self.retries = (self.retries + self.config.retries_per_query).min(max);
        }
        self.in_flight += 1;
    }
}
