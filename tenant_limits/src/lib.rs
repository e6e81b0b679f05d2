//! Limits the queries that each tenant has in flight and starts per second, and divides the shared limit among the
//! tenants while it is reached. The crate does no I/O: the caller passes the time, and gets the decision to admit or
//! reject. The router's admission calls it for each query of a known tenant.
//!
//! This crate does not shed load to protect the nodes; the routing engine does. This crate rejects queries beyond a
//! tenant's own limits, and prevents one tenant's flood or retry storm from affecting the other tenants.
//!
//! ```
//! use ternpick_tenant_limits::{Limits, TenantConfig, SharedLimitConfig};
//! use ternpick::types::{CustomerNo, Micros};
//! let config = TenantConfig { weight: 1.0, max_in_flight: 1, per_second: 100.0, burst: 10.0, retries_per_query: 0.2 };
//! let mut limits = Limits::new(vec![config], SharedLimitConfig { initial: 8, min: 2, max: 100 });
//! assert!(limits.admit(Micros(0), CustomerNo(0), false).is_ok());
//! assert!(limits.admit(Micros(0), CustomerNo(0), false).is_err()); // One query may be in flight.
//! limits.release(Micros(9000), CustomerNo(0), Micros(9000), false);
//! assert!(limits.admit(Micros(9000), CustomerNo(0), false).is_ok());
//! ```

mod adaptive_limit;
mod config;
mod limits;
mod rejection;
mod tenant;

pub use config::{SharedLimitConfig, TenantConfig};
pub use limits::{Limits, LimitsSnapshot, TenantCounts};
pub use rejection::Rejection;
