//! Endpoint states that the fleet makes stricter than discovery lists them: a ready endpoint counts as draining while a
//! policy drains it, or while it is out of service for maintenance.

use std::collections::{BTreeMap, BTreeSet};

use ternpick::types::{Endpoint, EndpointState};

use super::Fleet;
use crate::router::Router;
use crate::stages::completion::EffectQueue;

/// The endpoint states from discovery and from the policy, by endpoint name.
#[derive(Default)]
pub(super) struct EndpointOverrides {
    /// Each endpoint as discovery last listed it. Endpoints that discovery removes are removed here too.
    listed: BTreeMap<String, Endpoint>,
    /// Endpoints that the policy in force drains.
    drained: BTreeSet<String>,
}

impl EndpointOverrides {
    /// Endpoints as discovery lists them.
    pub(super) fn listed(&self) -> &BTreeMap<String, Endpoint> {
        &self.listed
    }

    /// Replaces the set of drained endpoints. Returns the names that were added to the set or removed from it.
    pub(super) fn set_drained(&mut self, drained: BTreeSet<String>) -> Vec<String> {
        let before = std::mem::replace(&mut self.drained, drained);
        before
            .symmetric_difference(&self.drained)
            .cloned()
            .collect()
    }
}

impl Fleet {
    /// Records an endpoint that discovery lists, and changes its state to the stricter of discovery's and the fleet's.
    pub(crate) fn endpoint_listed(&self, name: &str, endpoint: &mut Endpoint) {
        let mut endpoints = self.endpoints.borrow_mut();
        if endpoint.state == EndpointState::Gone {
            endpoints.listed.remove(name);
        } else {
            endpoints.listed.insert(name.to_owned(), *endpoint);
        }
        endpoint.state = self.stricter_state(&endpoints, name, endpoint.state);
    }

    /// Removes all endpoints whose names are not in discovery's complete list.
    pub(crate) fn retain_listed_endpoints(&self, names: &BTreeSet<&str>) {
        self.endpoints
            .borrow_mut()
            .listed
            .retain(|name, _| names.contains(name.as_str()));
    }

    /// The state in which discovery itself last listed an endpoint, before the fleet makes it stricter.
    pub(crate) fn discovery_state(&self, name: &str) -> Option<EndpointState> {
        let endpoints = self.endpoints.borrow();
        endpoints.listed.get(name).map(|endpoint| endpoint.state)
    }

    /// Passes the states of the named endpoints to the routing engine, after operators drained them or took them out of
    /// service, or ended that.
    pub(super) fn update_endpoints(&self, router: &Router, names: &[String]) {
        router.apply(|engine, now, effects| {
            let endpoints: Vec<Endpoint> = names
                .iter()
                .filter_map(|name| self.endpoint(name, effects))
                .collect();
            engine.operator_drains_changed(now, &endpoints, effects);
        });
    }

    fn endpoint(&self, name: &str, effects: &EffectQueue) -> Option<Endpoint> {
        let endpoints = self.endpoints.borrow();
        let listed = *endpoints.listed.get(name)?;
        Some(Endpoint {
            node: effects.nodes.id_of(name)?,
            state: self.stricter_state(&endpoints, name, listed.state),
            ..listed
        })
    }

    fn stricter_state(
        &self,
        endpoints: &EndpointOverrides,
        name: &str,
        state: EndpointState,
    ) -> EndpointState {
        let is_out = self
            .maintenance
            .as_ref()
            .is_some_and(|maintenance| maintenance.is_out(name));
        if state == EndpointState::Ready && (is_out || endpoints.drained.contains(name)) {
            return EndpointState::Draining;
        }
        state
    }
}
