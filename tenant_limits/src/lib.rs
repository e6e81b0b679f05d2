//! What each tenant may have in flight and per second, and how the shared limit is divided when it is reached. No I/O:
//! time comes in, a verdict comes out. The router's admission asks it for each query of a known tenant.
//!
//! Nothing here sheds load for the nodes; that is the decision module's. It rejects what is beyond a tenant's own
//! limits, and keeps one tenant's flood or retry storm from becoming everyone's.
//!
//! ```
//! use ternpick_tenant_limits::{Limits, TenantConfig, SharedLimitConfig};
//! use ternpick::types::{CustomerNo, Micros};
//! let config = TenantConfig { weight: 1.0, max_in_flight: 1, per_second: 100.0, burst: 10.0, retries_per_query: 0.2 };
//! let mut limits = Limits::new(vec![config], SharedLimitConfig { initial: 8, min: 2, max: 100 });
//! assert!(limits.admit(Micros(0), CustomerNo(0), false).is_ok());
//! assert!(limits.admit(Micros(0), CustomerNo(0), false).is_err()); // It may have one in flight.
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
