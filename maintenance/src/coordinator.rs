//! The coordinator runs on every router and applies the maintenance log. While its router is the fleet's leader, it
//! also proposes the next entries: it takes machines out if the disruption budget allows it, grants a permit after
//! every router has drained the machine, and returns machines to service.
//!
//! Only the replicated state outlives a leader: the next leader starts from that state and from new reports.

mod auto_pause;
mod command;
mod config;
mod contacts;
mod inspection;
mod load;
mod log_lines;
mod operations;
mod planning;
mod take_out;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

use ternpick::types::Micros;
use ternpick_fleet_policy::{Extension, Index, Member, MemberContact, MemberInfo};

pub use config::MaintenanceConfig;

use crate::disruption_budget::ClusterView;
use crate::entry::{Entry, Request};
use crate::operation::OperationKey;
use crate::state::{CoordinatorTerm, MaintenanceState, Rejection};
use contacts::RouterContact;
use log_lines::log_line;

/// Injected bugs, which the tests and checkers must detect.
#[cfg(any(test, feature = "planted"))]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedBug {
    /// The coordinator grants a permit as soon as the machine is out.
    NoDrainWait,
    /// A router that has not reported counts as drained.
    SilentRouterIsDrained,
    /// A report from before the machine went out counts as proof that the router is drained.
    StaleReportCounts,
}

/// Applies the maintenance log, and proposes entries while its router is the fleet's leader.
pub struct Coordinator {
    /// The operators' settings.
    pub config: MaintenanceConfig,
    /// The replicated state.
    pub state: MaintenanceState,
    /// The cluster as this router last saw it. Health is not taken from here but from the reports of all routers.
    view: ClusterView,
    /// This router's wall clock when it last saw the cluster, in milliseconds since 1970.
    wall_ms: u64,
    /// The routers of the fleet.
    members: BTreeMap<Member, MemberInfo>,
    /// What the leader knew about each router at the last call of [`Extension::next_entries`].
    contacts: Vec<RouterContact>,
    /// The Raft term to which the fields below belong.
    term: u64,
    /// Machines that are unhealthy and not under maintenance.
    failing: BTreeSet<String>,
    /// The time since which no reason to pause maintenance has existed.
    healthy_since: Option<Micros>,
    /// When the coordinator last proposed the load.
    load_proposed_at: Option<Micros>,
    /// When this coordinator first saw each operation in the phase returning; other operations are removed.
    returning_since: BTreeMap<OperationKey, Micros>,
    /// The injected bug that is active, for tests of the checkers.
    #[cfg(any(test, feature = "planted"))]
    pub injected_bug: Option<InjectedBug>,
}

impl Coordinator {
    /// Creates the coordinator of a new fleet; [`Extension::restore`] loads a stored state.
    pub fn new(config: MaintenanceConfig) -> Coordinator {
        Coordinator {
            config,
            state: MaintenanceState::default(),
            view: ClusterView::default(),
            wall_ms: 0,
            members: BTreeMap::new(),
            contacts: Vec::new(),
            term: 0,
            failing: BTreeSet::new(),
            healthy_since: None,
            load_proposed_at: None,
            returning_since: BTreeMap::new(),
            #[cfg(any(test, feature = "planted"))]
            injected_bug: None,
        }
    }

    /// Stores the cluster as this router sees it now, and the router's wall clock in milliseconds since 1970.
    pub fn observe_cluster(&mut self, view: ClusterView, wall_ms: u64) {
        self.view = view;
        self.wall_ms = wall_ms;
    }

    /// Decodes the output of [`Extension::machines_out`]: the machines that are out, and those that are returning.
    pub fn decode_machines_out(bytes: &[u8]) -> (Vec<String>, Vec<String>) {
        postcard::from_bytes(bytes).unwrap_or_default()
    }

    fn apply_bytes(&mut self, index: Index, entry: &[u8]) -> Result<u64, Rejection> {
        let entry = postcard::from_bytes(entry)?;
        self.state.apply(index, entry)
    }

    /// Discards what was collected in an earlier term: it no longer describes the fleet.
    fn start_term(&mut self, term: u64) {
        self.term = term;
        self.failing.clear();
        self.healthy_since = None;
        self.load_proposed_at = None;
        self.returning_since.clear();
    }

    fn due_entries(&mut self, now: Micros, me: &Member, term: u64) -> Vec<Entry> {
        if self.has_nothing_to_do() {
            self.healthy_since.get_or_insert(now);
            return Vec::new();
        }
        let leader = CoordinatorTerm {
            member: me.clone(),
            term,
        };
        if self.state.coordinator.as_ref() != Some(&leader) {
            return vec![Entry::BecomeCoordinator {
                member: leader.member,
                term,
            }];
        }
        let mut entries: Vec<Entry> = self.forget_departed_member().into_iter().collect();
        entries.extend(self.follow_operations(now));
        entries.extend(self.pause_or_resume(now));
        entries.extend(self.update_load(now));
        if entries.is_empty() {
            entries.extend(self.take_out_machines(now));
        }
        if entries.is_empty() {
            entries.extend(self.take_out_router());
        }
        entries
    }

    fn has_nothing_to_do(&self) -> bool {
        self.state.requests.is_empty()
            && self.state.operations.is_empty()
            && self.state.departed_members.is_empty()
    }

    /// Proposes to forget one departed member that can no longer act on any query that it admitted.
    fn forget_departed_member(&self) -> Option<Entry> {
        let can_no_longer_act = |member: &&Member| {
            self.contacts
                .iter()
                .any(|contact| contact.member == **member && contact.all_leases_expired)
        };
        let member = self.state.departed_members.iter().find(can_no_longer_act)?;
        Some(Entry::ForgetMember {
            fence: self.state.fence,
            member: member.clone(),
        })
    }
}

impl Extension for Coordinator {
    fn apply(&mut self, index: Index, entry: &[u8]) -> Result<u64, String> {
        self.apply_bytes(index, entry)
            .map_err(|rejection| rejection.to_string())
    }

    fn members_changed(&mut self, members: &BTreeMap<Member, MemberInfo>) {
        self.state.set_members(members.keys().cloned().collect());
        self.members.clone_from(members);
    }

    fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(&self.state).unwrap_or_default()
    }

    fn restore(&mut self, image: &[u8]) {
        self.state = postcard::from_bytes(image).unwrap_or_default();
    }

    /// Includes the returning machines, because routers report whether these serve load.
    fn machines_out(&self) -> Vec<u8> {
        let machines = (self.state.machines_out(), self.state.returning_machines());
        postcard::to_stdvec(&machines).unwrap_or_default()
    }

    fn in_flight_grace(&self) -> Micros {
        Micros(self.config.in_flight_grace_us)
    }

    fn departed_members(&self) -> Vec<Member> {
        self.state.departed_members.iter().cloned().collect()
    }

    fn check_command(&self, _: Micros, entry: &[u8]) -> Result<(), String> {
        self.check_operator_command(entry)
            .map_err(|error| error.to_string())
    }

    fn next_entries(
        &mut self,
        now: Micros,
        me: &Member,
        term: u64,
        contacts: &[MemberContact],
    ) -> (Vec<Vec<u8>>, Vec<String>) {
        if self.term != term {
            self.start_term(term);
        }
        self.contacts = contacts.iter().map(RouterContact::from).collect();
        let entries = self.due_entries(now, me, term);
        let lines = entries.iter().filter_map(log_line).collect();
        (entries.iter().map(Entry::encode).collect(), lines)
    }

    fn inspect(&self, _: Micros, question: &str) -> Option<String> {
        if let Some(text) = question.strip_prefix("works-plan ") {
            let request: Request = serde_json::from_str(text).unwrap_or_default();
            return Some(self.plan_json(Some(&request)).to_string());
        }
        (question == "works").then(|| self.status_json().to_string())
    }
}
