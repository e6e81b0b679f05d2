//! How much of the router's capacity this process may use while another process has a part of it, during a hot restart.
//!
//! The split is [`ternpick_hot_restart::Lease`]'s; both sides of an upgrade apply theirs here.

use std::cell::Cell;

use ternpick_hot_restart::{retained_places, Lease};

use crate::router::Router;
use crate::state::clients::ClientState;
use crate::state::descriptors::RESERVED_DESCRIPTORS;

/// Connections to nodes that a draining process may still open for what it has in flight.
const SPARE_NODE_CONNECTIONS: usize = 8;
/// Queries and shard requests that a request which is not admitted yet may bring to a draining process.
const LOAD_PER_UNADMITTED_REQUEST: usize = 4;

/// Whether a process that has a part of the capacity admits new queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// It does.
    Serving,
    /// It answers what it has admitted.
    Draining,
}

/// What a router may use in all, and how much of it this process may.
pub(crate) struct CapacityShare {
    all: Lease,
    /// What this process may use now.
    current: Cell<Lease>,
    descriptors: usize,
    memory: usize,
}

impl CapacityShare {
    /// The share of a process that has all of the router's capacity.
    pub(crate) fn of(router: &Router) -> CapacityShare {
        let decisions = router.decisions.borrow();
        let descriptors = router.descriptors.total();
        let memory = router.budget.limit();
        let max_in_flight = decisions.effects.bounds.max_in_flight;
        let all = Lease {
            in_flight: max_in_flight.map_or(u32::MAX, saturating_u32),
            retries: decisions.engine.config.retry_budget_min.clamp(0.0, 1e9) as u32,
            // The new process has descriptors of its own beside its peers', out of the same number.
            descriptors: saturating_u32(descriptors.saturating_sub(RESERVED_DESCRIPTORS)),
            memory_bytes: memory as u64,
        };
        CapacityShare {
            all,
            current: Cell::new(all),
            descriptors,
            memory,
        }
    }

    /// All of the router's capacity.
    pub(crate) fn all(&self) -> Lease {
        self.all
    }

    /// What this process may use now.
    pub(crate) fn current(&self) -> Lease {
        self.current.get()
    }

    /// What this process uses now.
    pub(crate) fn in_use(&self, router: &Router) -> Lease {
        let decisions = router.decisions.borrow();
        let in_flight = &decisions.effects.in_flight;
        // Requests that wait for their admission are admitted here. So are those that are half read, as they become complete;
        // and connections that rest may bring one until the new process has taken over and they go over.
        let clients = router.descriptors.clients();
        let half_read = router.clients.count(ClientState::Partial).count;
        let may_bring = router.clients.count_without_request() + half_read;
        let unadmitted = clients.saturating_sub(may_bring + in_flight.query_count());
        let in_use = saturating_u32(in_flight.load() + LOAD_PER_UNADMITTED_REQUEST * unadmitted);
        let may_come = saturating_u32(LOAD_PER_UNADMITTED_REQUEST * may_bring);
        Lease {
            in_flight: retained_places(self.all.in_flight, in_use, may_come),
            retries: 0,
            descriptors: saturating_u32(router.descriptors.held() + SPARE_NODE_CONNECTIONS),
            memory_bytes: router.budget.used() as u64,
        }
    }

    /// Applies what this process may use from now on.
    pub(crate) fn apply(&self, router: &Router, lease: Lease, role: Role) {
        self.current.set(lease);
        if lease == self.all {
            self.apply_all(router);
        } else {
            apply_part(router, lease, role);
        }
    }

    fn apply_all(&self, router: &Router) {
        let mut decisions = router.decisions.borrow_mut();
        decisions.effects.shared_limit = None;
        decisions.engine.serve_whole();
        if let Some(limits) = &mut decisions.effects.limits {
            limits.other_process_drained();
        }
        router.descriptors.set_total(self.descriptors);
        router.budget.set_limit(self.memory);
    }
}

fn apply_part(router: &Router, lease: Lease, role: Role) {
    let mut decisions = router.decisions.borrow_mut();
    decisions.effects.shared_limit =
        (lease.in_flight < u32::MAX).then_some(lease.in_flight as usize);
    decisions
        .engine
        .serve_share(f64::from(lease.retries), role == Role::Serving);
    router.descriptors.set_total(lease.descriptors as usize);
    router
        .budget
        .set_limit(usize::try_from(lease.memory_bytes).unwrap_or(usize::MAX));
}

fn saturating_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}
