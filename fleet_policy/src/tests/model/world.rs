//! The state that the model explores: routers, leaders, the log, and messages in flight.

use std::collections::BTreeMap;

use ternpick::types::Micros;

use crate::*;

/// One step of time, in microseconds.
pub(super) const STEP: u64 = 100_000;
/// The time at which the model begins, in microseconds.
pub(super) const START: u64 = 10 * STEP;
/// The maximum number of delayed messages at a time.
const MAX_IN_FLIGHT: usize = 2;

pub(super) fn config() -> LeaseConfig {
    LeaseConfig {
        lease_us: 2 * STEP,
        renew_interval_us: STEP,
        drift_ppm: 0,
        max_admission_wait_us: 0,
        barrier_timeout_us: STEP,
        serve_without_lease: false,
        confirmation_required: false,
    }
}

pub(super) fn bootstrap() -> PolicyState {
    let info = |address: &str| MemberInfo {
        address: address.into(),
        zone: String::new(),
        replica: None,
        is_learner: false,
    };
    let members = BTreeMap::from([("a".into(), info("1")), ("b".into(), info("2"))]);
    PolicyState::bootstrap(members)
}

fn member(router: usize) -> Member {
    if router == 0 { "a" } else { "b" }.into()
}

pub(super) fn lease_holder(router: usize, incarnation: u64, now: u64) -> LeaseHolder {
    LeaseHolder::new(
        config(),
        member(router),
        Incarnation(incarnation),
        false,
        Micros(now),
    )
}

/// A message between a router and the leaders.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Message {
    Request(usize, LeaseRequest),
    Reply(usize, LeaseReply),
}

/// A leader: the current one, or an earlier one that does not know yet that it no longer leads.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Candidate {
    leader: Leader,
    pub(super) state: PolicyState,
    /// The number of a delayed confirmation of its leadership.
    pub(super) delayed_confirmation: Option<u64>,
}

/// The number of failures of each kind that may still happen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Budget {
    pub(super) leader_changes: u8,
    pub(super) restarts: u8,
    pub(super) duplicates: u8,
    pub(super) delays: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct World {
    pub(super) now: u64,
    log: Vec<Entry>,
    /// The first is the current leader; the others are earlier ones that do not know yet that they no longer lead.
    pub(super) leaders: Vec<Candidate>,
    pub(super) routers: Vec<LeaseHolder>,
    /// By router: whether messages to and from it are delayed.
    pub(super) is_delayed: [bool; 2],
    /// Whether confirmations of the leadership are delayed.
    pub(super) delays_confirmations: bool,
    /// Delayed messages; all others are delivered at once.
    pub(super) in_flight: Vec<Message>,
    pub(super) budget: Budget,
    /// The highest version under which a router has admitted.
    highest: Version,
    /// A version under which a router admitted after one had admitted under a higher version.
    pub(super) violation: Option<Version>,
}

impl World {
    pub(super) fn new(
        leader: Leader,
        state: PolicyState,
        routers: Vec<LeaseHolder>,
        budget: Budget,
    ) -> World {
        World {
            now: START,
            log: Vec::new(),
            leaders: vec![Candidate {
                leader,
                state,
                delayed_confirmation: None,
            }],
            routers,
            is_delayed: [false; 2],
            delays_confirmations: false,
            in_flight: Vec::new(),
            budget,
            highest: Version(0),
            violation: None,
        }
    }

    /// Advances time by a step, and proposes the change at `proposal_step`.
    pub(super) fn tick(&mut self, proposal_step: u64) {
        self.now += STEP;
        if !self.log.is_empty() || self.now < START + proposal_step * STEP {
            return;
        }
        let entry = Entry::Propose {
            op: OperationId(1),
            base: None,
            document: PolicyDocument {
                author: "ann".into(),
                ..PolicyDocument::default()
            },
            confirm: false,
        };
        self.log.push(entry.clone());
        self.leaders[0].state.apply(Index(2), entry);
    }

    /// The state that results from the log.
    pub(super) fn replay(&self) -> PolicyState {
        let mut state = bootstrap();
        for (position, entry) in self.log.iter().enumerate() {
            state.apply(Index(position as u64 + 2), entry.clone());
        }
        state
    }

    pub(super) fn change_leader(&mut self, leader: Leader, state: PolicyState) {
        self.budget.leader_changes -= 1;
        self.delays_confirmations = false;
        let candidate = Candidate {
            leader,
            state,
            delayed_confirmation: None,
        };
        self.leaders.insert(0, candidate);
    }

    /// Calls a leader, and carries out its actions.
    pub(super) fn with_leader(
        &mut self,
        leader_index: usize,
        call: impl FnOnce(&mut Leader, Micros, &PolicyState) -> Vec<LeaderAction>,
    ) {
        let now = Micros(self.now);
        let candidate = &mut self.leaders[leader_index];
        let mut actions = call(&mut candidate.leader, now, &candidate.state);
        while !actions.is_empty() {
            for action in std::mem::take(&mut actions) {
                actions.extend(self.execute(leader_index, action));
            }
        }
    }

    /// Carries out an action of a leader. Only the current leader's entries are committed, and only its leadership is
    /// confirmed.
    fn execute(&mut self, leader_index: usize, action: LeaderAction) -> Vec<LeaderAction> {
        let now = Micros(self.now);
        let candidate = &mut self.leaders[leader_index];
        match action {
            LeaderAction::Propose(entry) if leader_index == 0 => {
                self.log.push(entry.clone());
                let index = Index(self.log.len() as u64 + 1);
                candidate.state.apply(index, entry);
                return candidate.leader.tick(now, &candidate.state);
            }
            LeaderAction::ConfirmLeadership(number)
                if leader_index == 0 && self.delays_confirmations =>
            {
                candidate.delayed_confirmation.get_or_insert(number);
            }
            LeaderAction::ConfirmLeadership(number) if leader_index == 0 => {
                return candidate
                    .leader
                    .leadership_confirmed(now, &candidate.state, number);
            }
            LeaderAction::Reply(to, reply) => {
                let router = usize::from(to != member(0));
                self.send(Message::Reply(router, *reply));
            }
            _ => {}
        }
        Vec::new()
    }

    fn send(&mut self, message: Message) {
        let (Message::Request(router, _) | Message::Reply(router, _)) = &message;
        if !self.is_delayed[*router] {
            self.deliver(message);
        } else if self.in_flight.len() < MAX_IN_FLIGHT && !self.in_flight.contains(&message) {
            self.in_flight.push(message);
        }
    }

    pub(super) fn deliver(&mut self, message: Message) {
        match message {
            Message::Request(_, request) => {
                // Each leader receives the request, including those that no longer lead.
                for leader_index in 0..self.leaders.len() {
                    let request = request.clone();
                    self.with_leader(leader_index, |leader, now, state| {
                        leader.handle_request(now, state, request)
                    });
                }
            }
            Message::Reply(router, reply) => {
                let holder = &mut self.routers[router];
                for effect in holder.handle_reply(Micros(self.now), reply) {
                    if let LeaseEffect::CheckPolicy(document) = effect {
                        holder.policy_checked(document.number, Verdict::Fits);
                    }
                }
                self.admit();
            }
        }
    }

    /// Lets routers send requests that are due and leaders act, until no further request is due.
    pub(super) fn settle(&mut self) {
        let now = Micros(self.now);
        for _ in 0..20 {
            let mut has_request = false;
            for router in 0..self.routers.len() {
                if let Some(request) = self.routers[router].next_request(now) {
                    has_request = true;
                    self.send(Message::Request(router, request));
                }
            }
            for leader_index in 0..self.leaders.len() {
                self.with_leader(leader_index, |leader, now, state| leader.tick(now, state));
            }
            if !has_request {
                break;
            }
        }
        self.admit();
    }

    /// Records under which versions routers admit at this moment.
    fn admit(&mut self) {
        let now = Micros(self.now);
        let admitted: Vec<Version> = self
            .routers
            .iter()
            .filter_map(|holder| match holder.admission(now) {
                Admission::Leased(version) => Some(version),
                _ => None,
            })
            .collect();
        let highest = admitted
            .iter()
            .copied()
            .max()
            .unwrap_or_default()
            .max(self.highest);
        self.violation = admitted
            .into_iter()
            .find(|version| *version < highest)
            .or(self.violation);
        self.highest = highest;
    }
}
