//! One tenant: its queries in flight, its token bucket and its retry budget.

use ternpick::types::Micros;

use crate::config::TenantConfig;
use crate::limits::TenantCounts;
use crate::rejection::Rejection;

/// The retry budget saves up to so many times what one query adds to it.
const MAX_SAVED_RETRIES: f64 = 20.0;

pub(crate) struct Tenant {
    pub(crate) config: TenantConfig,
    pub(crate) in_flight: usize,
    /// In flight at the process that this one replaces, while that drains.
    pub(crate) in_flight_elsewhere: usize,
    /// Queries that it may start at once.
    pub(crate) tokens: f64,
    /// When the tokens were last filled up.
    filled_at: Micros,
    /// Retries that it may still make.
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

    /// Adds the tokens of the time that has passed.
    pub(crate) fn fill_tokens(&mut self, now: Micros) {
        let earned = now.since(self.filled_at).0 as f64 / 1e6 * self.config.per_second;
        self.tokens = (self.tokens + earned).min(self.config.burst);
        self.filled_at = now.max(self.filled_at);
    }

    /// Takes another configuration; what is counted stays counted.
    pub(crate) fn reconfigure(&mut self, config: TenantConfig) {
        self.tokens = self.tokens.min(config.burst);
        self.config = config;
    }

    /// Continues from what another process counted. What is no number counts as none.
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

    /// Whether the tenant's own limits allow one more query. `typical_duration`: how long a query takes, which is the
    /// best guess at when one of its own ends or adds to the retry budget.
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

    /// Counts a query that is admitted. A retry spends the retry budget, any other query adds to it.
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
