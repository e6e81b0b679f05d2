//! The limits of all tenants: admits queries, and releases their capacity when they end.

use serde::{Deserialize, Serialize};
use ternpick::types::{CustomerNo, Micros};

use crate::adaptive_limit::AdaptiveLimit;
use crate::config::{SharedLimitConfig, TenantConfig};
use crate::rejection::Rejection;
use crate::tenant::Tenant;

/// The state of the limits, which the old process of a hot restart hands to the new process. Without it, the new
/// process starts with full token buckets and retry budgets.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LimitsSnapshot {
    /// By tenant number.
    pub tenants: Vec<TenantCounts>,
    /// The shared limit.
    pub limit: f64,
    /// Queries that the process which made the snapshot has in flight, by tenant number.
    #[serde(rename = "in_hand")]
    pub in_flight: Vec<usize>,
}

/// The token bucket and the retry budget of one tenant. It is stored as the pair (tokens, retries).
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct TenantCounts {
    /// Tokens in the bucket: queries that the tenant may start at once.
    pub tokens: f64,
    /// Retries left in the retry budget of the tenant's clients.
    pub retries: f64,
}

impl From<(f64, f64)> for TenantCounts {
    fn from((tokens, retries): (f64, f64)) -> Self {
        TenantCounts { tokens, retries }
    }
}

impl From<TenantCounts> for (f64, f64) {
    fn from(counts: TenantCounts) -> Self {
        (counts.tokens, counts.retries)
    }
}

/// The limits of all tenants, by tenant number. The memory that they use depends on the number of tenants in the
/// settings, and not on the number of queries.
pub struct Limits {
    tenants: Vec<Tenant>,
    shared: AdaptiveLimit,
    in_flight: usize,
    /// The sum of the weights of all tenants that have queries in flight.
    active_weight: f64,
}

impl Limits {
    /// `tenants` holds the limits of each tenant, by tenant number from 0.
    pub fn new(tenants: Vec<TenantConfig>, shared: SharedLimitConfig) -> Self {
        Limits {
            tenants: tenants.into_iter().map(Tenant::new).collect(),
            shared: AdaptiveLimit::new(shared),
            in_flight: 0,
            active_weight: 0.0,
        }
    }

    /// Applies another configuration while queries are in flight; counts are kept. A tenant that the new configuration
    /// leaves out keeps its queries in flight, and may start no more.
    pub fn update(&mut self, tenants: Vec<TenantConfig>, shared: SharedLimitConfig) {
        let count = tenants.len().max(self.tenants.len());
        let mut configs = tenants.into_iter();
        for number in 0..count {
            let config = configs.next().unwrap_or(TenantConfig::NO_QUERIES);
            match self.tenants.get_mut(number) {
                Some(tenant) => tenant.reconfigure(config),
                None => self.tenants.push(Tenant::new(config)),
            }
        }
        self.shared.reconfigure(shared);
        self.active_weight = self
            .tenants
            .iter()
            .filter(|tenant| tenant.in_flight > 0)
            .map(|tenant| tenant.config.weight)
            .sum();
    }

    /// The state for the process that replaces this one.
    pub fn snapshot(&mut self, now: Micros) -> LimitsSnapshot {
        for tenant in &mut self.tenants {
            tenant.fill_tokens(now);
        }
        let counts = |tenant: &Tenant| TenantCounts {
            tokens: tenant.tokens,
            retries: tenant.retries,
        };
        LimitsSnapshot {
            tenants: self.tenants.iter().map(counts).collect(),
            limit: self.shared.limit(),
            in_flight: self.tenants.iter().map(|tenant| tenant.in_flight).collect(),
        }
    }

    /// Continues from the snapshot of another process with the same tenants. The queries that the other process has in
    /// flight count here too, until [`Limits::other_process_drained`] is called.
    pub fn restore(&mut self, now: Micros, snapshot: &LimitsSnapshot) {
        let counts = snapshot.tenants.iter().zip(&snapshot.in_flight);
        for (tenant, (counts, in_flight)) in self.tenants.iter_mut().zip(counts) {
            tenant.restore(now, *counts, *in_flight);
        }
        self.shared.restore(snapshot.limit);
    }

    /// Stops counting the queries of the other process, which has none left in flight.
    pub fn other_process_drained(&mut self) {
        for tenant in &mut self.tenants {
            tenant.in_flight_elsewhere = 0;
        }
    }

    /// Queries of all tenants that are in flight in this process.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// The shared limit. Once as many queries are in flight, a tenant is admitted only within its share.
    pub fn limit(&self) -> usize {
        self.shared.limit() as usize
    }

    /// Queries of one tenant that are in flight in this process; `None` for an unknown tenant number.
    pub fn tenant_in_flight(&self, tenant: CustomerNo) -> Option<usize> {
        self.tenants
            .get(usize::from(tenant.0))
            .map(|tenant| tenant.in_flight)
    }

    /// Admits a query, or returns why it is rejected. A rejected query uses no token and no retry.
    pub fn admit(
        &mut self,
        now: Micros,
        tenant: CustomerNo,
        is_retry: bool,
    ) -> Result<(), Rejection> {
        let number = usize::from(tenant.0);
        let Some(tenant) = self.tenants.get_mut(number) else {
            return Err(Rejection::InFlight {
                retry_after: Micros(0),
            });
        };
        tenant.fill_tokens(now);
        tenant.check_own_limits(is_retry, self.shared.typical_duration())?;
        self.check_share(number)?;
        let tenant = &mut self.tenants[number];
        if tenant.in_flight == 0 {
            self.active_weight += tenant.config.weight;
        }
        tenant.start_query(is_retry);
        self.in_flight += 1;
        Ok(())
    }

    /// Rejects a query if the shared limit is reached and the tenant has its share of it. A tenant below its share is
    /// admitted even then, while tenants above theirs are rejected until enough of their queries have ended. The
    /// shares add up to the limit, so the queries in flight of all tenants together stay below twice the limit.
    fn check_share(&mut self, number: usize) -> Result<(), Rejection> {
        let limit = self.shared.limit();
        let in_flight = self.in_flight as f64;
        if in_flight < limit {
            return Ok(());
        }
        self.shared.note_reached();
        let tenant = &self.tenants[number];
        let share = self.share(tenant).max(1.0);
        if tenant.in_flight as f64 + 1.0 > share || in_flight >= 2.0 * limit {
            return Err(Rejection::Share {
                retry_after: self.shared.typical_duration(),
            });
        }
        Ok(())
    }

    /// A tenant's share of the shared limit, by its weight among the tenants that have queries in flight.
    fn share(&self, tenant: &Tenant) -> f64 {
        let own_weight = tenant.config.weight;
        let counted_weight = if tenant.in_flight > 0 {
            own_weight
        } else {
            0.0
        };
        let other_weight = self.active_weight - counted_weight;
        self.shared.limit() * own_weight / (other_weight + own_weight).max(f64::MIN_POSITIVE)
    }

    /// Releases the capacity of a query that has ended. `late`: its answer came after the latency objective.
    pub fn release(&mut self, now: Micros, tenant: CustomerNo, duration: Micros, late: bool) {
        let Some(tenant) = self
            .tenants
            .get_mut(usize::from(tenant.0))
            .filter(|tenant| tenant.in_flight > 0)
        else {
            return;
        };
        tenant.in_flight -= 1;
        self.in_flight -= 1;
        if tenant.in_flight == 0 {
            self.active_weight = (self.active_weight - tenant.config.weight).max(0.0);
        }
        if self.in_flight == 0 {
            // Removes what rounding errors have left.
            self.active_weight = 0.0;
        }
        self.shared.query_ended(now, duration, late);
    }
}
