//! Reasons to reject a query because of its tenant's limits.

use ternpick::types::Micros;

/// Why a query is rejected. `retry_after` is how long the client should wait before it retries; zero gives no advice.
#[expect(missing_docs, reason = "the field is the same in all variants")]
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The tenant is at its limit of queries in flight, or unknown.
    #[error("the tenant has as many lookups in hand as it may")]
    InFlight { retry_after: Micros },
    /// The tenant is over its rate.
    #[error("the tenant asks more often than it may")]
    Rate { retry_after: Micros },
    /// The tenant's retry budget is exhausted.
    #[error("the tenant repeats more than it may")]
    RetryBudget { retry_after: Micros },
    /// The shared limit is reached, and the tenant already has its share of it in flight.
    #[error("all is in use, and the tenant has its part of it")]
    Share { retry_after: Micros },
}

impl Rejection {
    /// How long the client should wait before it retries; zero gives no advice.
    pub fn retry_after(self) -> Micros {
        match self {
            Rejection::InFlight { retry_after }
            | Rejection::Rate { retry_after }
            | Rejection::RetryBudget { retry_after }
            | Rejection::Share { retry_after } => retry_after,
        }
    }
}
