//! Checks whether policy documents of the fleet fit this router's own settings, and applies the policy in force.

use ternpick::types::PlatformConfig;
use ternpick_fleet_policy::{PlatformLimits, PolicyDocument, Record, Verdict};

use super::Fleet;
use crate::router::Router;

/// The platform configuration and names that a policy refines.
pub(super) struct PlatformDefaults {
    pub(super) config: PlatformConfig,
    pub(super) index_names: Vec<String>,
    pub(super) customer_names: Vec<String>,
}

impl PlatformDefaults {
    /// The names that a policy may refer to on this router, and the limits for its values.
    pub(super) fn limits(&self) -> PlatformLimits {
        ternpick_fleet_policy::platform_limits(
            &self.config,
            &self.index_names,
            &self.customer_names,
        )
    }
}

impl Fleet {
    /// Checks whether a proposal fits this router's own settings.
    pub(super) fn check_policy(&self, document: &PolicyDocument) -> Verdict {
        let name = format!("proposal {}", document.number);
        match self.read_policy(&name, document) {
            Ok(_) => Verdict::Fits,
            Err(reason) => Verdict::Refused(reason),
        }
    }

    /// Applies the policy in force to the routing engine. If the policy does not fit this router's settings, the
    /// router stops admitting queries; this happens if the router was down when the proposal was checked.
    pub(super) fn apply_policy(&self, router: &Router, document: &PolicyDocument) {
        let version = document.number;
        let record = match self.read_policy(&format!("version {version}"), document) {
            Ok(record) => record,
            Err(error) => {
                tracing::error!(%version, %error, "policy: version does not fit this router's settings, no query is admitted");
                let mut node = self.node.borrow_mut();
                node.lease_holder.policy_does_not_fit(version);
                return;
            }
        };
        let defaults = &self.platform_defaults;
        ternpick_fleet_policy::apply_policy(
            &record,
            &defaults.config,
            &defaults.index_names,
            &defaults.customer_names,
            &mut router.decisions.borrow_mut().engine.config,
        );
        let drained = record.drained.iter().cloned().collect();
        let changed = self.endpoints.borrow_mut().set_drained(drained);
        self.update_endpoints(router, &changed);
    }

    fn read_policy(&self, name: &str, document: &PolicyDocument) -> Result<Record, String> {
        Record::read_within(name, &document.text, &self.platform_defaults.limits())
            .map_err(|error| error.to_string())
    }
}
