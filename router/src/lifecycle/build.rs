//! Builds a [`Router`] from its configuration and settings. The components are built in the order of their
//! dependencies. This module opens no socket and starts no task.

use std::cell::RefCell;
use std::rc::Rc;

use async_executor::LocalExecutor;
use event_listener::Event;
use ternpick::routing::RoutingEngine;
use ternpick::types::{Micros, PlatformConfig};
use ternpick_platform_config::Bounds;
use ternpick_tenant_limits::Limits;

use crate::fleet::Fleet;
use crate::lifecycle::clock::Clock;
use crate::lifecycle::config::RouterConfig;
use crate::lifecycle::settings::{FleetConfig, IdentitySettings};
use crate::router::{Decisions, Router};
use crate::stages::auth_filter::AuthFilter;
use crate::stages::completion::EffectQueue;
use crate::state::client_transfer::ClientTransfer;
use crate::state::descriptors::Descriptors;
use crate::state::discovery::DiscoveryState;
use crate::state::forwarded_ids::ForwardedIds;
use crate::state::listener::ListenerState;
use crate::state::log_limit::LogLimit;
use crate::state::memory_budget::MemoryBudget;
use crate::state::predecessor_ids::PredecessorIds;
use crate::state::requests::RequestState;
use crate::state::shutdown::ShutdownState;
use crate::state::turns::Turns;

/// Why a router cannot be built from its configuration and settings.
#[derive(Debug, thiserror::Error)]
pub(crate) enum BuildError {
    /// The identity module rejects its settings.
    #[error("identity: {0}")]
    Identity(String),
    /// `fleet.works.lingers` is shorter than the longest deadline: a router that has lost its lease could still send
    /// shard requests to a machine that is under a maintenance permit.
    #[error(
        "fleet.works.lingers is {} ms, the longest deadline here is {} ms: a router without a lease could still act \
         on a machine under a permit",
        lingers.0 / 1000,
        longest_deadline.0 / 1000
    )]
    LingersTooShort {
        lingers: Micros,
        longest_deadline: Micros,
    },
}

/// The inputs from which a router is built.
pub(crate) struct RouterBuilder {
    /// The configuration file.
    pub(crate) config: RouterConfig,
    /// The identity settings; without them every caller may send queries.
    pub(crate) identity: Option<IdentitySettings>,
    /// The fleet settings; without them the router belongs to no fleet.
    pub(crate) fleet: Option<FleetConfig>,
    /// The number of file descriptors that the process may hold.
    pub(crate) descriptor_limit: usize,
    /// The version of the endpoint list in the configuration.
    pub(crate) list_version: u64,
    /// Whether this process replaces another one in a hot restart.
    pub(crate) replaces_process: bool,
}

/// The auth filter and the limits of tenants.
struct Auth {
    filter: AuthFilter,
    limits: Limits,
}

impl RouterBuilder {
    /// Builds the router.
    pub(crate) fn build(mut self) -> Result<Router, BuildError> {
        let auth = self.auth()?;
        let clock = Clock::start();
        self.check_lingers()?;
        let fleet = self.fleet(auth.as_ref(), clock.now());
        let (filter, limits) = match auth {
            Some(auth) => (Some(auth.filter), Some(auth.limits)),
            None => (None, None),
        };
        let RouterConfig {
            platform,
            bounds,
            seed,
            discovery,
            memory_bytes,
            ..
        } = self.config;
        let bounds = Rc::new(bounds);
        Ok(Router {
            clock,
            descriptors: Descriptors::new(self.descriptor_limit),
            budget: MemoryBudget::new(memory_bytes),
            clients: Rc::default(),
            client_turns: Rc::default(),
            executor: Rc::new(LocalExecutor::new()),
            decisions: RefCell::new(decisions(platform, seed, &bounds, limits)),
            bounds,
            auth: filter,
            fleet,
            input_applied: Event::new(),
            discovery: DiscoveryState::new(discovery, self.list_version),
            shutdown: ShutdownState::default(),
            requests: RequestState::default(),
            listener: ListenerState::default(),
            rejections: LogLimit::default(),
            predecessor_ids: PredecessorIds::default(),
            turns: Rc::new(Turns::new(clock)),
            client_transfer: ClientTransfer::default(),
        })
    }

    /// Builds the auth filter and the limits of tenants if the settings have identity. The quotas of identity's tenants
    /// replace the quotas of the configuration.
    fn auth(&mut self) -> Result<Option<Auth>, BuildError> {
        let Some(identity) = &self.identity else {
            return Ok(None);
        };
        let (filter, limits) = AuthFilter::new(identity, self.config.seed)
            .map_err(|error| BuildError::Identity(error.to_string()))?;
        self.config.platform.quotas = filter.quotas(identity);
        Ok(Some(Auth { filter, limits }))
    }

    /// Checks that `fleet.works.lingers` is at least the longest deadline. A router that has lost its lease still
    /// answers the queries that it has admitted, and a maintenance permit must not take effect before they have ended.
    fn check_lingers(&self) -> Result<(), BuildError> {
        let maintenance = self
            .fleet
            .as_ref()
            .and_then(|fleet| fleet.maintenance.as_ref());
        let (Some(maintenance), Some(longest_deadline)) =
            (maintenance, self.config.bounds.longest_deadline)
        else {
            return Ok(());
        };
        let lingers = Micros(maintenance.in_flight_grace_us);
        if lingers < longest_deadline {
            return Err(BuildError::LingersTooShort {
                lingers,
                longest_deadline,
            });
        }
        Ok(())
    }

    fn fleet(&mut self, auth: Option<&Auth>, now: Micros) -> Option<Rc<Fleet>> {
        let settings = self.fleet.take()?;
        let RouterConfig {
            name,
            platform,
            bounds,
            ..
        } = &self.config;
        let tenants = match auth {
            Some(auth) => auth.filter.tenant_names(),
            None => bounds.customer_names.clone(),
        };
        Some(Fleet::new(
            settings,
            name,
            platform,
            &bounds.index_names,
            tenants,
            self.replaces_process,
            now,
        ))
    }
}

fn decisions(
    platform: PlatformConfig,
    seed: u64,
    bounds: &Rc<Bounds>,
    limits: Option<Limits>,
) -> Decisions {
    Decisions {
        engine: RoutingEngine::new(platform, seed),
        effects: EffectQueue {
            bounds: Rc::clone(bounds),
            forwarded_ids: ForwardedIds::new(bounds.longest_deadline),
            limits,
            ..EffectQueue::default()
        },
    }
}
