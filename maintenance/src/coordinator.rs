//! One router's part in maintenance. Every router applies the log here. While a router is the fleet's leader, its
//! coordinator also proposes the next entries: it takes machines out where the disruption budget allows it, grants a
//! permit once a machine is proven to be idle, and sees machines return to service.
//!
//! What it holds beside the replicated state may be lost: the next leader starts from the state and from new reports.

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

/// Faults that tests must catch.
#[cfg(any(test, feature = "planted"))]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedBug {
    /// A permit is granted as soon as the machine is out.
    NoDrainWait,
    /// A router that has not reported counts as drained.
    SilentRouterIsDrained,
    /// A report from before the machine went out counts.
    StaleReportCounts,
}

/// Applies the maintenance log, and proposes entries while its router is the leader.
pub struct Coordinator {
    /// The operators' settings.
    pub config: MaintenanceConfig,
    /// The replicated state.
    pub state: MaintenanceState,
    /// The cluster as this router last saw it. Health in it comes from all routers' reports, not from here.
    view: ClusterView,
    /// This router's wall clock at that moment, in milliseconds since 1970.
    wall_ms: u64,
    /// The routers of the fleet.
    members: BTreeMap<Member, MemberInfo>,
    /// The routers as the leader knew them at the last step.
    contacts: Vec<RouterContact>,
    /// The term in which the fields below were collected.
    term: u64,
    /// Machines that fail and are not under maintenance.
    failing: BTreeSet<String>,
    /// Since when nothing has been wrong that pauses maintenance.
    healthy_since: Option<Micros>,
    /// When the load was last proposed.
    load_proposed_at: Option<Micros>,
    /// When this coordinator first saw a machine returning; emptied as operations leave that phase.
    returning_since: BTreeMap<OperationKey, Micros>,
    /// A fault to play, for tests of the checkers.
    #[cfg(any(test, feature = "planted"))]
    pub injected_bug: Option<InjectedBug>,
}

impl Coordinator {
    /// The coordinator of a new fleet; [`Extension::restore`] loads a stored state.
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

    /// The cluster as this router sees it now, and its wall clock in milliseconds since 1970.
    pub fn observe_cluster(&mut self, view: ClusterView, wall_ms: u64) {
        self.view = view;
        self.wall_ms = wall_ms;
    }

    /// Reads what [`Extension::machines_out`] wrote: the machines that are out, and those that are returning.
    pub fn decode_machines_out(bytes: &[u8]) -> (Vec<String>, Vec<String>) {
        postcard::from_bytes(bytes).unwrap_or_default()
    }

    fn apply_bytes(&mut self, index: Index, entry: &[u8]) -> Result<u64, Rejection> {
        let entry = postcard::from_bytes(entry)?;
        self.state.apply(index, entry)
    }

    /// What an earlier time as leader has seen says nothing.
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

    /// One member that left the fleet and can no longer act on anything.
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

    /// Returning machines go with those that are out: routers watch how they serve load.
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
