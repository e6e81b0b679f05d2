//! All interleavings of one machine's going out, at small size, with the real state and coordinator: two routers with
//! leases and queries in flight, reports that come late or not at all, a change of leader, and entries of the earlier
//! coordinator that are committed late. The rule: no shard request is sent to the machine while its permit stands.

use stateright::{Checker, Model, Property};
use ternpick::types::Micros;
use ternpick_fleet_policy::{Extension, Index, MemberContact};
use test_case::test_case;

use crate::disruption_budget::{Limits, Node};
use crate::*;

const LEASE: u8 = 2;
/// A query that was admitted may send shard requests for so long.
const IN_FLIGHT_GRACE: u8 = 2;
const END: u8 = 9;
const RULE: &str = "no shard request is at a machine under its permit";

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Report {
    applied_index: u64,
    is_busy: bool,
}

impl Report {
    fn encode(self) -> Vec<u8> {
        let busy = if self.is_busy {
            vec!["s0".to_owned()]
        } else {
            Vec::new()
        };
        RouterReport {
            applied_index: Index(self.applied_index),
            busy,
            ..RouterReport::default()
        }
        .encode()
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct Router {
    applied_index: u64,
    lease_end: u8,
    /// Until when its query may send shard requests.
    query_end: Option<u8>,
    /// It has a shard request in flight at the machine.
    is_busy: bool,
    /// A report that is on its way.
    report_in_flight: Option<Report>,
}

impl Router {
    fn report(&self) -> Report {
        Report {
            applied_index: self.applied_index,
            is_busy: self.is_busy,
        }
    }
}

/// What the leader knows of one router.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct Contact {
    report: Option<Report>,
    lease_granted_at: Option<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct FleetState {
    now: u8,
    log_index: u64,
    term: u64,
    state: MaintenanceState,
    /// Where the list of machines out last changed.
    machines_out_index: u64,
    routers: [Router; 2],
    leads_since: u8,
    contacts: [Contact; 2],
    /// An entry that was proposed and is committed late.
    delayed: Option<Entry>,
    is_broken: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    TimePasses,
    /// A router reports to the leader, and gets the list of machines out and a lease.
    Renew(usize),
    SendReport(usize),
    DeliverReport(usize),
    AdmitQuery(usize),
    SendShardRequest(usize),
    FinishShardRequest(usize),
    /// The leader proposes what is due, and it is committed.
    Propose,
    /// The leader proposes what is due, and it is committed late.
    ProposeDelayed,
    CommitDelayed,
    ChangeLeader,
    GiveBack,
}

struct PermitModel {
    injected_bug: Option<InjectedBug>,
}

fn coordinator(state: &MaintenanceState, injected_bug: Option<InjectedBug>) -> Coordinator {
    let limits = Limits {
        min_zone_share: 0.0,
        max_out_share: 1.0,
        ..Limits::default()
    };
    let mut coordinator = Coordinator::new(MaintenanceConfig {
        limits,
        stabilization_us: 0,
        ..MaintenanceConfig::default()
    });
    coordinator.state = state.clone();
    coordinator.injected_bug = injected_bug;
    let node = |at: u32| Node {
        name: format!("s{at}"),
        zone: 0,
        shard_sets: vec![0],
        healthy: true,
        out_of_service: false,
    };
    coordinator.observe_cluster(
        ClusterView {
            nodes: (0..3).map(node).collect(),
            load: 0.0,
        },
        0,
    );
    coordinator
}

impl FleetState {
    fn is_out(&self) -> bool {
        !self.state.machines_out().is_empty()
    }

    fn is_permitted(&self) -> bool {
        self.state
            .operations
            .values()
            .any(|operation| matches!(operation.phase, Phase::Permitted { .. }))
    }

    fn commit(&mut self, entry: Entry) {
        self.log_index += 1;
        let before = self.state.machines_out();
        // An entry that no longer fits changes nothing.
        let _ = self.state.apply(Index(self.log_index), entry);
        self.state.history.clear();
        if self.state.machines_out() != before {
            self.machines_out_index = self.log_index;
        }
    }

    fn member_contact(&self, at: usize) -> MemberContact {
        let Contact {
            report,
            lease_granted_at,
        } = &self.contacts[at];
        let span = LEASE + IN_FLIGHT_GRACE;
        let all_leases_expired = self.now > self.leads_since + span
            && lease_granted_at.is_none_or(|granted_at| self.now > granted_at + span);
        MemberContact {
            member: if at == 0 { "a" } else { "b" }.into(),
            is_recent: report.is_some(),
            report: report.map(Report::encode),
            only_one_process: true,
            all_leases_expired,
        }
    }

    fn due_entries(&self, injected_bug: Option<InjectedBug>) -> Vec<Entry> {
        let leader = if self.term.is_multiple_of(2) {
            "a"
        } else {
            "b"
        };
        let now = Micros(u64::from(self.now) * 1_000_000);
        let contacts = [self.member_contact(0), self.member_contact(1)];
        let (entries, _) = coordinator(&self.state, injected_bug).next_entries(
            now,
            &leader.into(),
            self.term,
            &contacts,
        );
        entries
            .iter()
            .filter_map(|bytes| postcard::from_bytes(bytes).ok())
            .collect()
    }

    fn pass_time(&mut self) {
        self.now += 1;
        for router in &mut self.routers {
            if router.query_end.is_some_and(|end| end < self.now) {
                router.query_end = None;
                router.is_busy = false;
            }
            if router.lease_end <= self.now {
                router.lease_end = 0;
            }
        }
    }

    fn renew(&mut self, at: usize) {
        let router = &mut self.routers[at];
        let contact = &mut self.contacts[at];
        contact.report = Some(router.report());
        // A report that is newer makes one on its way needless.
        router.report_in_flight = None;
        if router.applied_index >= self.machines_out_index {
            router.lease_end = self.now + LEASE;
            contact.lease_granted_at = Some(self.now);
        }
        router.applied_index = self.machines_out_index;
    }

    fn send_shard_request(&mut self, at: usize) {
        self.routers[at].is_busy = true;
        // The router does not know that the machine is out, or it would not send.
        self.is_broken |= self.is_out() && self.is_permitted();
    }

    fn change_leader(&mut self) {
        self.term += 1;
        self.leads_since = self.now;
        self.contacts = Default::default();
    }

    fn router_actions(&self, at: usize, actions: &mut Vec<Action>) {
        let router = &self.routers[at];
        actions.push(Action::Renew(at));
        if router.report_in_flight.is_none() {
            actions.push(Action::SendReport(at));
        } else {
            actions.push(Action::DeliverReport(at));
        }
        if self.now < router.lease_end && router.query_end.is_none() {
            actions.push(Action::AdmitQuery(at));
        }
        if router.query_end.is_some()
            && !router.is_busy
            && router.applied_index < self.machines_out_index.max(1)
        {
            actions.push(Action::SendShardRequest(at));
        }
        if router.is_busy {
            actions.push(Action::FinishShardRequest(at));
        }
    }
}

impl Model for PermitModel {
    type State = FleetState;
    type Action = Action;

    fn init_states(&self) -> Vec<FleetState> {
        let router = Router {
            lease_end: LEASE,
            ..Router::default()
        };
        let contact = Contact {
            report: None,
            lease_granted_at: Some(0),
        };
        let mut fleet = FleetState {
            now: 0,
            log_index: 0,
            term: 1,
            state: MaintenanceState::default(),
            machines_out_index: 0,
            routers: [router.clone(), router],
            leads_since: 0,
            contacts: [contact.clone(), contact],
            delayed: None,
            is_broken: false,
        };
        let request = Request {
            machines: vec!["s0".into()],
            requested_by: "ann".into(),
            ..Request::default()
        };
        fleet.commit(Entry::OpenRequest { request });
        fleet.commit(Entry::BecomeCoordinator {
            member: "b".into(),
            term: 1,
        });
        vec![fleet]
    }

    fn actions(&self, fleet: &FleetState, actions: &mut Vec<Action>) {
        if fleet.now < END {
            actions.push(Action::TimePasses);
        }
        for at in 0..fleet.routers.len() {
            fleet.router_actions(at, actions);
        }
        actions.extend([Action::Propose, Action::ProposeDelayed]);
        if fleet.delayed.is_some() {
            actions.push(Action::CommitDelayed);
        }
        if fleet.term < 2 {
            actions.push(Action::ChangeLeader);
        }
        if fleet.is_permitted() {
            actions.push(Action::GiveBack);
        }
    }

    fn next_state(&self, before: &FleetState, action: Action) -> Option<FleetState> {
        let mut fleet = before.clone();
        match action {
            Action::TimePasses => fleet.pass_time(),
            Action::Renew(at) => fleet.renew(at),
            Action::SendReport(at) => {
                let router = &mut fleet.routers[at];
                router.report_in_flight = Some(router.report());
            }
            Action::DeliverReport(at) => {
                fleet.contacts[at].report = fleet.routers[at].report_in_flight.take();
            }
            Action::AdmitQuery(at) => {
                fleet.routers[at].query_end = Some(fleet.now + IN_FLIGHT_GRACE);
            }
            Action::SendShardRequest(at) => fleet.send_shard_request(at),
            Action::FinishShardRequest(at) => fleet.routers[at].is_busy = false,
            Action::Propose => {
                for entry in fleet.due_entries(self.injected_bug) {
                    fleet.commit(entry);
                }
            }
            Action::ProposeDelayed => {
                fleet.delayed = fleet.due_entries(self.injected_bug).into_iter().next();
            }
            Action::CommitDelayed => {
                let entry = fleet.delayed.take()?;
                fleet.commit(entry);
            }
            Action::ChangeLeader => fleet.change_leader(),
            Action::GiveBack => {
                let mut operations = fleet.state.operations.values();
                let permit = operations.find_map(|of| of.phase.permit())?;
                fleet.commit(Entry::FinishWork {
                    permit,
                    by: "ann".into(),
                    unfit_reason: None,
                });
            }
        }
        // A shard request that is at the machine as the permit is granted breaks the rule as well.
        fleet.is_broken |= fleet.is_permitted() && fleet.routers.iter().any(|of| of.is_busy);
        (fleet != *before).then_some(fleet)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(RULE, |_, fleet: &FleetState| !fleet.is_broken),
            Property::sometimes("a permit is granted", |_, fleet: &FleetState| {
                fleet.is_permitted()
            }),
            Property::sometimes(
                "a permit is granted without a report of one router",
                |_, fleet: &FleetState| {
                    let is_silent = |contact: &Contact| contact.report.is_none();
                    fleet.is_permitted() && fleet.contacts.iter().any(is_silent)
                },
            ),
        ]
    }

    /// Exploration ends with a permit that has been given back.
    fn within_boundary(&self, fleet: &FleetState) -> bool {
        fleet.log_index < 9
            && fleet
                .state
                .operations
                .values()
                .all(|operation| !matches!(operation.phase, Phase::Returning { .. }))
    }
}

fn explore(injected_bug: Option<InjectedBug>) -> impl Checker<PermitModel> {
    PermitModel { injected_bug }
        .checker()
        .threads(4)
        .target_state_count(600_000)
        .spawn_bfs()
        .join()
}

#[test]
fn no_shard_request_is_at_a_machine_under_its_permit() {
    let checker = explore(None);
    let states = checker.unique_state_count();
    checker.assert_no_discovery(RULE);
    assert!(
        checker.discovery("a permit is granted").is_some(),
        "{states} states"
    );
    assert!(states > 10_000, "{states} states");
    eprintln!("{states} states");
}

#[test_case(InjectedBug::NoDrainWait)]
#[test_case(InjectedBug::SilentRouterIsDrained)]
#[test_case(InjectedBug::StaleReportCounts)]
fn an_injected_bug_is_found(injected_bug: InjectedBug) {
    assert!(explore(Some(injected_bug)).discovery(RULE).is_some());
}
