//! Model check of taking out one machine, with the real state and coordinator. It explores the interleavings of two
//! routers with leases and queries in flight, delayed or missing reports, a change of leader, and delayed entries of
//! the previous coordinator. It guards against a permit that is granted while a router can still send shard requests
//! to the machine.

use stateright::{Checker, Model, Property};
use ternpick::types::Micros;
use ternpick_fleet_policy::{Extension, Index, MemberContact};
use test_case::test_case;

use crate::disruption_budget::{Limits, Node};
use crate::*;

const LEASE_TICKS: u8 = 2;
/// How long an admitted query may send shard requests.
const IN_FLIGHT_GRACE_TICKS: u8 = 2;
const END_TICK: u8 = 9;
const RULE: &str = "no shard request is in flight to a machine under its permit";

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
    /// The time until which the router's query may send shard requests, if it has a query.
    query_end: Option<u8>,
    /// Whether the router has a shard request in flight to the machine.
    is_busy: bool,
    /// A report that the leader has not received yet.
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

/// What the leader knows about one router.
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
    /// The log index at which the list of machines out last changed.
    machines_out_index: u64,
    routers: [Router; 2],
    leader_since: u8,
    contacts: [Contact; 2],
    /// A proposed entry whose commit is delayed.
    delayed: Option<Entry>,
    rule_is_broken: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    AdvanceTime,
    /// A router reports to the leader, and receives the list of machines out and a lease.
    Renew(usize),
    SendReport(usize),
    DeliverReport(usize),
    AdmitQuery(usize),
    SendShardRequest(usize),
    FinishShardRequest(usize),
    /// The leader proposes the due entries, which are committed at once.
    Propose,
    /// The leader proposes the due entries, and the commit of the first one is delayed.
    ProposeDelayed,
    CommitDelayed,
    ChangeLeader,
    FinishWork,
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
    let node = |number: u32| Node {
        name: format!("s{number}"),
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
        // An entry that is no longer valid changes nothing.
        let _ = self.state.apply(Index(self.log_index), entry);
        self.state.history.clear();
        if self.state.machines_out() != before {
            self.machines_out_index = self.log_index;
        }
    }

    fn member_contact(&self, router_index: usize) -> MemberContact {
        let Contact {
            report,
            lease_granted_at,
        } = &self.contacts[router_index];
        let span = LEASE_TICKS + IN_FLIGHT_GRACE_TICKS;
        let all_leases_expired = self.now > self.leader_since + span
            && lease_granted_at.is_none_or(|granted_at| self.now > granted_at + span);
        MemberContact {
            member: if router_index == 0 { "a" } else { "b" }.into(),
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

    fn advance_time(&mut self) {
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

    fn renew(&mut self, router_index: usize) {
        let router = &mut self.routers[router_index];
        let contact = &mut self.contacts[router_index];
        contact.report = Some(router.report());
        // The newer report replaces the one that is in flight.
        router.report_in_flight = None;
        if router.applied_index >= self.machines_out_index {
            router.lease_end = self.now + LEASE_TICKS;
            contact.lease_granted_at = Some(self.now);
        }
        router.applied_index = self.machines_out_index;
    }

    fn send_shard_request(&mut self, router_index: usize) {
        self.routers[router_index].is_busy = true;
        // The router has not applied the latest list, otherwise this action would not be possible.
        self.rule_is_broken |= self.is_out() && self.is_permitted();
    }

    fn change_leader(&mut self) {
        self.term += 1;
        self.leader_since = self.now;
        self.contacts = Default::default();
    }

    fn router_actions(&self, router_index: usize, actions: &mut Vec<Action>) {
        let router = &self.routers[router_index];
        actions.push(Action::Renew(router_index));
        if router.report_in_flight.is_none() {
            actions.push(Action::SendReport(router_index));
        } else {
            actions.push(Action::DeliverReport(router_index));
        }
        if self.now < router.lease_end && router.query_end.is_none() {
            actions.push(Action::AdmitQuery(router_index));
        }
        if router.query_end.is_some()
            && !router.is_busy
            && router.applied_index < self.machines_out_index.max(1)
        {
            actions.push(Action::SendShardRequest(router_index));
        }
        if router.is_busy {
            actions.push(Action::FinishShardRequest(router_index));
        }
    }
}

impl Model for PermitModel {
    type State = FleetState;
    type Action = Action;

    fn init_states(&self) -> Vec<FleetState> {
        let router = Router {
            lease_end: LEASE_TICKS,
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
            leader_since: 0,
            contacts: [contact.clone(), contact],
            delayed: None,
            rule_is_broken: false,
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
        if fleet.now < END_TICK {
            actions.push(Action::AdvanceTime);
        }
        for router_index in 0..fleet.routers.len() {
            fleet.router_actions(router_index, actions);
        }
        actions.extend([Action::Propose, Action::ProposeDelayed]);
        if fleet.delayed.is_some() {
            actions.push(Action::CommitDelayed);
        }
        if fleet.term < 2 {
            actions.push(Action::ChangeLeader);
        }
        if fleet.is_permitted() {
            actions.push(Action::FinishWork);
        }
    }

    fn next_state(&self, before: &FleetState, action: Action) -> Option<FleetState> {
        let mut fleet = before.clone();
        match action {
            Action::AdvanceTime => fleet.advance_time(),
            Action::Renew(router_index) => fleet.renew(router_index),
            Action::SendReport(router_index) => {
                let router = &mut fleet.routers[router_index];
                router.report_in_flight = Some(router.report());
            }
            Action::DeliverReport(router_index) => {
                fleet.contacts[router_index].report =
                    fleet.routers[router_index].report_in_flight.take();
            }
            Action::AdmitQuery(router_index) => {
                fleet.routers[router_index].query_end = Some(fleet.now + IN_FLIGHT_GRACE_TICKS);
            }
            Action::SendShardRequest(router_index) => fleet.send_shard_request(router_index),
            Action::FinishShardRequest(router_index) => fleet.routers[router_index].is_busy = false,
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
            Action::FinishWork => {
                let mut operations = fleet.state.operations.values();
                let permit = operations.find_map(|operation| operation.phase.permit())?;
                fleet.commit(Entry::FinishWork {
                    permit,
                    by: "ann".into(),
                    unfit_reason: None,
                });
            }
        }
        // A shard request in flight when the permit is granted breaks the rule too.
        fleet.rule_is_broken |=
            fleet.is_permitted() && fleet.routers.iter().any(|router| router.is_busy);
        (fleet != *before).then_some(fleet)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(RULE, |_, fleet: &FleetState| !fleet.rule_is_broken),
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

    /// The exploration ends when a permit has been given back.
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
fn no_shard_request_reaches_a_machine_under_its_permit() {
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
fn finds_an_injected_bug(injected_bug: InjectedBug) {
    assert!(explore(Some(injected_bug)).discovery(RULE).is_some());
}
