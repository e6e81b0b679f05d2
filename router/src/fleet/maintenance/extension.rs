//! The maintenance coordinator as an extension of the fleet's log. The [`FleetNode`](ternpick_fleet_policy::FleetNode)
//! owns the extension, and this router passes the machines that discovery lists to the same coordinator, so both share
//! it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use ternpick::types::Micros;
use ternpick_fleet_policy::{Extension, Index, Member, MemberContact, MemberInfo};
use ternpick_maintenance::{ClusterView, Coordinator};

/// A coordinator shared by two owners on one thread.
#[derive(Clone)]
pub(in crate::fleet) struct SharedCoordinator(Rc<RefCell<Coordinator>>);

impl SharedCoordinator {
    pub(super) fn new(coordinator: Coordinator) -> SharedCoordinator {
        SharedCoordinator(Rc::new(RefCell::new(coordinator)))
    }

    /// Passes the machines of this cluster and the wall clock in milliseconds to the coordinator.
    pub(super) fn observe_cluster(&self, view: ClusterView, wall_clock_ms: u64) {
        self.0.borrow_mut().observe_cluster(view, wall_clock_ms);
    }

    #[cfg(feature = "planted")]
    pub(super) fn set_injected_bug(&self, bug: Option<ternpick_maintenance::InjectedBug>) {
        self.0.borrow_mut().injected_bug = bug;
    }
}

impl Extension for SharedCoordinator {
    fn apply(&mut self, index: Index, entry: &[u8]) -> Result<u64, String> {
        self.0.borrow_mut().apply(index, entry)
    }

    fn members_changed(&mut self, members: &BTreeMap<Member, MemberInfo>) {
        self.0.borrow_mut().members_changed(members);
    }

    fn snapshot(&self) -> Vec<u8> {
        self.0.borrow().snapshot()
    }

    fn restore(&mut self, image: &[u8]) {
        self.0.borrow_mut().restore(image);
    }

    fn machines_out(&self) -> Vec<u8> {
        self.0.borrow().machines_out()
    }

    fn in_flight_grace(&self) -> Micros {
        self.0.borrow().in_flight_grace()
    }

    fn departed_members(&self) -> Vec<Member> {
        self.0.borrow().departed_members()
    }

    fn check_command(&self, now: Micros, entry: &[u8]) -> Result<(), String> {
        self.0.borrow().check_command(now, entry)
    }

    fn next_entries(
        &mut self,
        now: Micros,
        me: &Member,
        term: u64,
        attended: &[MemberContact],
    ) -> (Vec<Vec<u8>>, Vec<String>) {
        self.0.borrow_mut().next_entries(now, me, term, attended)
    }

    fn inspect(&self, now: Micros, question: &str) -> Option<String> {
        self.0.borrow().inspect(now, question)
    }
}
