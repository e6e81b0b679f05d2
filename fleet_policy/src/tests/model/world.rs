//! The state that the model explores: routers, leaders, the log, and messages in flight.

use std::collections::BTreeMap;

use ternpick::types::Micros;

use crate::*;

/// One step of time, in microseconds.
pub(super) const STEP: u64 = 100_000;
/// When the model begins.
pub(super) const START: u64 = 10 * STEP;
/// Delayed messages at a time.
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

/// Between a router and whoever leads.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Message {
    Request(usize, LeaseRequest),
    Reply(usize, LeaseReply),
}

/// One that may lead: it really does, or still believes so.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Candidate {
    leader: Leader,
    pub(super) state: PolicyState,
    /// A confirmation of its own that the others have given, and that is delayed.
    pub(super) delayed_confirmation: Option<u64>,
}

/// What may still go wrong.
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
    /// The first leads by the others' votes; those behind it only believe so.
    pub(super) leaders: Vec<Candidate>,
    pub(super) routers: Vec<LeaseHolder>,
    /// Messages to and from this router are delayed.
    pub(super) is_delayed: [bool; 2],
    /// Confirmations of the leadership are delayed.
    pub(super) delays_confirmations: bool,
    /// What is delayed; all else comes at once.
    pub(super) in_flight: Vec<Message>,
    pub(super) budget: Budget,
    /// The highest version that anybody has admitted under.
    highest: Version,
    /// A version that was admitted under after a higher one.
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

    /// Time passes; the change is proposed at its step.
    pub(super) fn tick(&mut self, proposed: u64) {
        self.now += STEP;
        if !self.log.is_empty() || self.now < START + proposed * STEP {
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

    /// The state that the log gives.
    pub(super) fn replay(&self) -> PolicyState {
        let mut state = bootstrap();
        for (at, entry) in self.log.iter().enumerate() {
            state.apply(Index(at as u64 + 2), entry.clone());
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
        at: usize,
        call: impl FnOnce(&mut Leader, Micros, &PolicyState) -> Vec<LeaderAction>,
    ) {
        let now = Micros(self.now);
        let candidate = &mut self.leaders[at];
        let mut actions = call(&mut candidate.leader, now, &candidate.state);
        while !actions.is_empty() {
            for action in std::mem::take(&mut actions) {
                actions.extend(self.execute(at, action));
            }
        }
    }

    /// Only the one that really leads gets an entry committed, or a confirmation.
    fn execute(&mut self, at: usize, action: LeaderAction) -> Vec<LeaderAction> {
        let now = Micros(self.now);
        let candidate = &mut self.leaders[at];
        match action {
            LeaderAction::Propose(entry) if at == 0 => {
                self.log.push(entry.clone());
                let index = Index(self.log.len() as u64 + 1);
                candidate.state.apply(index, entry);
                return candidate.leader.tick(now, &candidate.state);
            }
            LeaderAction::ConfirmLeadership(number) if at == 0 && self.delays_confirmations => {
                candidate.delayed_confirmation.get_or_insert(number);
            }
            LeaderAction::ConfirmLeadership(number) if at == 0 => {
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
                // Whoever believes that it leads receives it.
                for at in 0..self.leaders.len() {
                    let request = request.clone();
                    self.with_leader(at, |leader, now, state| {
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

    /// What happens by itself at this moment, until nothing does.
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
            for at in 0..self.leaders.len() {
                self.with_leader(at, |leader, now, state| leader.tick(now, state));
            }
            if !has_request {
                break;
            }
        }
        self.admit();
    }

    /// Notes under which versions routers admit at this moment.
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
