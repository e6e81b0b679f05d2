//! Measures the share of its queries that each of 1,000 tenants gets admitted while one of them floods the router, in
//! virtual time, with tenant limits and without: `cargo run --release -p ternpick-tenant-limits --example fairness`.

use std::collections::VecDeque;

use ternpick::types::{CustomerNo, Micros};
use ternpick_tenant_limits::{Limits, SharedLimitConfig, TenantConfig};

const TENANTS: u16 = 1000;
/// Queries that may be in flight. Each takes [`QUERY_MS`], so that 10,000 queries end per second.
const CAPACITY: usize = 100;
const QUERY_MS: u64 = 10;
const RUN_MS: u64 = 20_000;

#[derive(Clone, Copy)]
enum Admission {
    /// Each query is admitted while there is capacity, whichever tenant sends it.
    FirstCome,
    /// [`Limits`] decides.
    TenantLimits,
}

struct InFlight {
    ends_ms: u64,
    tenant: u16,
}

struct Fairness {
    worst_share: f64,
    mean_share: f64,
    flooding_per_second: f64,
}

struct Run {
    admission: Admission,
    limits: Limits,
    in_flight: VecDeque<InFlight>,
    /// Queries sent, by tenant.
    sent: Vec<u64>,
    /// Queries admitted, by tenant.
    admitted: Vec<u64>,
}

impl Run {
    fn new(admission: Admission) -> Run {
        let config = TenantConfig {
            weight: 1.0,
            max_in_flight: 100_000,
            per_second: 1e9,
            burst: 1e9,
            retries_per_query: 1.0,
        };
        let shared = SharedLimitConfig {
            initial: CAPACITY,
            min: CAPACITY,
            max: CAPACITY,
        };
        Run {
            admission,
            limits: Limits::new(vec![config; usize::from(TENANTS)], shared),
            in_flight: VecDeque::new(),
            sent: vec![0; usize::from(TENANTS)],
            admitted: vec![0; usize::from(TENANTS)],
        }
    }

    fn end_queries(&mut self, ms: u64) {
        while let Some(query) = self.in_flight.pop_front_if(|query| query.ends_ms <= ms) {
            let now = Micros(ms * 1000);
            let duration = Micros(QUERY_MS * 1000);
            self.limits
                .release(now, CustomerNo(query.tenant), duration, false);
        }
    }

    fn send(&mut self, ms: u64, tenant: u16) {
        self.sent[usize::from(tenant)] += 1;
        let is_admitted = match self.admission {
            Admission::FirstCome => self.in_flight.len() < CAPACITY,
            Admission::TenantLimits => {
                let now = Micros(ms * 1000);
                self.limits.admit(now, CustomerNo(tenant), false).is_ok()
            }
        };
        if is_admitted {
            self.admitted[usize::from(tenant)] += 1;
            self.in_flight.push_back(InFlight {
                ends_ms: ms + QUERY_MS,
                tenant,
            });
        }
    }

    fn fairness(&self) -> Fairness {
        let shares: Vec<f64> = (1..usize::from(TENANTS))
            .map(|tenant| self.admitted[tenant] as f64 / self.sent[tenant].max(1) as f64)
            .collect();
        Fairness {
            worst_share: shares.iter().copied().fold(f64::MAX, f64::min),
            mean_share: shares.iter().sum::<f64>() / shares.len() as f64,
            flooding_per_second: self.admitted[0] as f64 / (RUN_MS as f64 / 1000.0),
        }
    }
}

/// A fair share is 10 queries per second. Tenant 0 sends `flood_factor` times as many, the other tenants send their
/// fair share.
fn run(flood_factor: usize, admission: Admission) -> Fairness {
    let mut run = Run::new(admission);
    let mut due = 0.0;
    for ms in 0..RUN_MS {
        run.end_queries(ms);
        due += flood_factor as f64 * 0.01;
        let flood = due as usize;
        due -= flood as f64;
        for _ in 0..flood {
            run.send(ms, 0);
        }
        for tenant in (1..TENANTS).filter(|tenant| (ms + u64::from(*tenant)).is_multiple_of(100)) {
            run.send(ms, tenant);
        }
    }
    run.fairness()
}

fn main() {
    println!("| floods at, times a fair share | limits | least and mean share of the others | flooding one gets, a second |");
    for flood_factor in [1, 10, 100, 1000] {
        for admission in [Admission::FirstCome, Admission::TenantLimits] {
            let is_limited = matches!(admission, Admission::TenantLimits);
            let Fairness {
                worst_share,
                mean_share,
                flooding_per_second,
            } = run(flood_factor, admission);
            println!(
                "| {flood_factor} | {is_limited} | {worst_share:.3}, {mean_share:.3} | {flooding_per_second:.0} |"
            );
        }
    }
}
