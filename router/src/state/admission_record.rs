//! The terms on which a query was admitted.

use ternpick::types::{CustomerNo, Micros};

use crate::fleet::PolicyMark;

/// When a query was admitted, for which tenant, and on which terms.
pub(crate) struct AdmissionRecord {
    /// The tenant whose limits it counts against; `None` if the router does not distinguish tenants.
    pub(crate) tenant: Option<CustomerNo>,
    /// When it was admitted.
    pub(crate) admitted_at: Micros,
    /// Its latency objective.
    pub(crate) latency_objective: Micros,
    /// Whether it must not run twice.
    pub(crate) runs_once: bool,
    /// The policy that applies to it; `None` if the router follows no fleet policy.
    pub(crate) mark: Option<PolicyMark>,
    /// The tracing span in which all stages log the query.
    pub(crate) span: tracing::Span,
}

impl Default for AdmissionRecord {
    /// The record of a query without a tenant, admitted at time zero, without a latency objective.
    fn default() -> Self {
        AdmissionRecord {
            tenant: None,
            admitted_at: Micros(0),
            latency_objective: Micros(u64::MAX),
            runs_once: false,
            mark: None,
            span: tracing::Span::none(),
        }
    }
}
