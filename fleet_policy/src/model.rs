//! All interleavings of one change at small size, with the real machines: two routers, two that may lead, a log that is
//! agreed at once. Requests and answers are lost, doubled and come late; a router stops for as long as it likes, or starts
//! anew; who leads changes while answers of the one before are still on their way. Time goes in steps of a tenth of a
//! second, and may pass at any point.

use std::collections::BTreeMap;

use stateright::{Checker, Model, Property};
use ternpick::types::Micros;
use test_case::test_case;

use crate::leader::InjectedBug as InLeader;
use crate::lease_holder::InjectedBug as InLeaseHolder;
use crate::*;

const STEP: u64 = 100_000;
/// Requests and answers on their way at a time.
const MOST_ON_WAY: usize = 2;

fn terms() -> LeaseConfig {
    LeaseConfig {
        lease: 2 * STEP,
        renew: STEP,
        drift_ppm: 0,
        hold: 0,
        patience: STEP,
        serve_without: false,
        confirm: false,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Fault {
    Leader(InLeader),
    LeaseHolder(InLeaseHolder),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Letter {
    Ask(usize, LeaseRequest),
    Tell(usize, LeaseReply),
}

/// One that may lead: it leads really, or believes so still.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Lead {
    chair: Leader,
    register: PolicyState,
    /// A question of its own that the others have said yes to, and whose answer is late.
    asked: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    log: Vec<Entry>,
    /// The first leads by the others' votes; those behind it only believe so.
    leads: Vec<Lead>,
    routers: Vec<LeaseHolder>,
    /// Letters to and from this router are late.
    slow: [bool; 2],
    /// Answers to the questions of the one that leads are late.
    holds: bool,
    /// What is late; all else comes at once.
    letters: Vec<Letter>,
    /// What may still go wrong.
    changes: u8,
    restarts: u8,
    doubles: u8,
    slows: u8,
    /// The highest version that anybody has admitted under, and one that was admitted under after a higher one.
    highest: Version,
    broken: Option<Version>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    /// Time passes: one step.
    Passes,
    /// A router's letters are late from now on; or no more, and what is late comes in any order.
    Slows(usize),
    Mends(usize),
    Comes(usize),
    Lost(usize),
    Doubled(usize),
    /// Answers to questions are late from now on.
    Holds,
    /// Such an answer comes.
    Hears(usize),
    /// Another one leads from now on; the one before does not know.
    Changes,
    /// The one that led before hears of it.
    Leaves(usize),
    Restarts(usize),
}

struct Change {
    fault: Option<Fault>,
    /// The step with which the proposal comes, and the last one.
    proposed: u64,
    until: u64,
    changes: u8,
    restarts: u8,
    doubles: u8,
    slows: u8,
}

fn fleet() -> PolicyState {
    let seated = |address: &str| MemberInfo {
        address: address.into(),
        zone: String::new(),
        replica: None,
        is_learner: false,
    };
    let members = BTreeMap::from([("a".into(), seated("1")), ("b".into(), seated("2"))]);
    PolicyState::bootstrap(members)
}

fn member(at: usize) -> Member {
    if at == 0 { "a" } else { "b" }.into()
}

impl Change {
    fn keeper(&self, at: usize, incarnation: u64, now: u64) -> LeaseHolder {
        let mut keeper = LeaseHolder::new(
            terms(),
            member(at),
            Incarnation(incarnation),
            false,
            Micros(now),
        );
        keeper.injected_bug = match self.fault {
            Some(Fault::LeaseHolder(fault)) => Some(fault),
            _ => None,
        };
        keeper
    }

    fn chair(&self, now: u64, register: &PolicyState) -> Leader {
        let mut chair = Leader::new(terms(), Micros(now), register);
        chair.injected_bug = match self.fault {
            Some(Fault::Leader(fault)) => Some(fault),
            _ => None,
        };
        chair
    }
}

impl World {
    fn lead(
        &mut self,
        at: usize,
        then: impl FnOnce(&mut Leader, Micros, &PolicyState) -> Vec<LeaderAction>,
    ) {
        let now = Micros(self.now);
        let lead = &mut self.leads[at];
        let mut orders = then(&mut lead.chair, now, &lead.register);
        while !orders.is_empty() {
            for order in std::mem::take(&mut orders) {
                match order {
                    // Only the one that leads gets an entry agreed, and an answer.
                    LeaderAction::Propose(entry) if at == 0 => {
                        self.log.push(entry.clone());
                        let lead = &mut self.leads[at];
                        lead.register.apply(Index(self.log.len() as u64 + 1), entry);
                        orders.extend(lead.chair.tick(now, &lead.register));
                    }
                    LeaderAction::ConfirmLeadership(number) if at == 0 && self.holds => {
                        self.leads[at].asked.get_or_insert(number);
                    }
                    LeaderAction::ConfirmLeadership(number) if at == 0 => {
                        let lead = &mut self.leads[at];
                        orders.extend(lead.chair.leadership_confirmed(now, &lead.register, number));
                    }
                    LeaderAction::Reply(to, told) => {
                        self.post(Letter::Tell(usize::from(to != member(0)), *told))
                    }
                    _ => {}
                }
            }
        }
    }

    fn post(&mut self, letter: Letter) {
        let (Letter::Ask(at, _) | Letter::Tell(at, _)) = &letter;
        if !self.slow[*at] {
            self.come(letter);
        } else if self.letters.len() < MOST_ON_WAY && !self.letters.contains(&letter) {
            self.letters.push(letter);
        }
    }

    fn come(&mut self, letter: Letter) {
        match letter {
            Letter::Ask(_, renew) => {
                // Whoever believes that it leads is asked.
                for at in 0..self.leads.len() {
                    let renew = renew.clone();
                    self.lead(at, |chair, now, register| {
                        chair.handle_request(now, register, renew)
                    });
                }
            }
            Letter::Tell(to, told) => {
                let now = Micros(self.now);
                for effect in self.routers[to].handle_reply(now, told) {
                    if let LeaseEffect::CheckPolicy(paper) = effect {
                        self.routers[to].policy_checked(paper.number, Verdict::Fits);
                    }
                }
                self.admit();
            }
        }
    }

    /// What happens by itself at this moment, until nothing does.
    fn settle(&mut self) {
        let now = Micros(self.now);
        for _ in 0..20 {
            let mut any = false;
            for at in 0..self.routers.len() {
                if let Some(renew) = self.routers[at].next_request(now) {
                    any = true;
                    self.post(Letter::Ask(at, renew));
                }
            }
            for at in 0..self.leads.len() {
                self.lead(at, |chair, now, register| chair.tick(now, register));
            }
            if !any {
                break;
            }
        }
        self.admit();
    }

    fn admit(&mut self) {
        let now = Micros(self.now);
        let under: Vec<Version> = self
            .routers
            .iter()
            .filter_map(|keeper| match keeper.admission(now) {
                Admission::Leased(version) => Some(version),
                _ => None,
            })
            .collect();
        let highest = under
            .iter()
            .copied()
            .max()
            .unwrap_or_default()
            .max(self.highest);
        self.broken = under
            .into_iter()
            .find(|version| *version < highest)
            .or(self.broken);
        self.highest = highest;
    }
}

impl Model for Change {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        let register = fleet();
        let chair = self.chair(0, &register);
        let mut world = World {
            now: 10 * STEP,
            log: vec![],
            leads: vec![Lead {
                chair,
                register,
                asked: None,
            }],
            routers: vec![self.keeper(0, 1, 10 * STEP), self.keeper(1, 2, 10 * STEP)],
            slow: [false; 2],
            holds: false,
            letters: vec![],
            changes: self.changes,
            restarts: self.restarts,
            doubles: self.doubles,
            slows: self.slows,
            highest: Version(0),
            broken: None,
        };
        // Both have their leases when the proposal comes.
        world.settle();
        vec![world]
    }

    fn actions(&self, of: &World, actions: &mut Vec<Action>) {
        if of.now < (10 + self.until) * STEP {
            actions.push(Action::Passes);
        }
        for at in 0..of.routers.len() {
            if of.slow[at] {
                actions.push(Action::Mends(at));
            } else if of.slows > 0 {
                actions.push(Action::Slows(at));
            }
            if of.restarts > 0 {
                actions.push(Action::Restarts(at));
            }
        }
        for at in 0..of.letters.len() {
            actions.push(Action::Comes(at));
            actions.push(Action::Lost(at));
            if of.doubles > 0 {
                actions.push(Action::Doubled(at));
            }
        }
        if !of.holds && of.slows > 0 {
            actions.push(Action::Holds);
        }
        for (at, lead) in of.leads.iter().enumerate() {
            if lead.asked.is_some() {
                actions.push(Action::Hears(at));
            }
            if at > 0 {
                actions.push(Action::Leaves(at));
            }
        }
        if of.changes > 0 {
            actions.push(Action::Changes);
        }
    }

    fn next_state(&self, of: &World, action: Action) -> Option<World> {
        let mut world = of.clone();
        match action {
            Action::Passes => {
                world.now += STEP;
                if world.log.is_empty() && world.now >= (10 + self.proposed) * STEP {
                    let paper = PolicyDocument {
                        author: "ann".into(),
                        ..PolicyDocument::default()
                    };
                    let entry = Entry::Propose {
                        op: OperationId(1),
                        base: None,
                        paper,
                        confirm: false,
                    };
                    world.log.push(entry.clone());
                    world.leads[0].register.apply(Index(2), entry);
                }
            }
            Action::Slows(at) => {
                world.slows -= 1;
                world.slow[at] = true;
            }
            Action::Mends(at) => world.slow[at] = false,
            Action::Comes(at) => {
                let letter = world.letters.remove(at);
                world.come(letter);
            }
            Action::Lost(at) => {
                world.letters.remove(at);
            }
            Action::Doubled(at) => {
                world.doubles -= 1;
                let letter = world.letters[at].clone();
                world.come(letter);
            }
            Action::Holds => {
                world.slows -= 1;
                world.holds = true;
            }
            Action::Hears(at) => {
                let number = world.leads[at].asked.take()?;
                world.lead(at, |chair, now, register| {
                    chair.leadership_confirmed(now, register, number)
                });
            }
            Action::Changes => {
                world.changes -= 1;
                world.holds = false;
                let mut register = fleet();
                for (at, entry) in world.log.iter().enumerate() {
                    register.apply(Index(at as u64 + 2), entry.clone());
                }
                let chair = self.chair(world.now, &register);
                world.leads.insert(
                    0,
                    Lead {
                        chair,
                        register,
                        asked: None,
                    },
                );
            }
            Action::Leaves(at) => {
                world.leads.remove(at);
            }
            Action::Restarts(at) => {
                world.restarts -= 1;
                world.routers[at] = self.keeper(at, 10 + u64::from(world.restarts), world.now);
            }
        }
        world.settle();
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no version after a later one", |_, world: &World| {
                world.broken.is_none()
            }),
            Property::sometimes("the change is in force everywhere", |_, world: &World| {
                let now = Micros(world.now);
                world
                    .routers
                    .iter()
                    .all(|keeper| keeper.admission(now) == Admission::Leased(Version(1)))
            }),
            Property::sometimes(
                "it comes in force without one that is silent",
                |_, world: &World| {
                    world.leads[0].register.in_force.number == Version(1)
                        && world
                            .routers
                            .iter()
                            .any(|keeper| keeper.version() == Some(Version(0)))
                },
            ),
        ]
    }
}

fn world() -> Change {
    Change {
        fault: None,
        proposed: 1,
        until: 3,
        changes: 1,
        restarts: 0,
        doubles: 0,
        slows: 1,
    }
}

/// A planted fault is found, in a world where without it all is well.
fn finds(fault: Fault, world: Change) {
    let checker = Change {
        fault: Some(fault),
        ..world
    }
    .checker()
    .threads(4)
    .spawn_bfs()
    .join();
    let found = checker.discovery("no version after a later one");
    assert!(
        found.is_some(),
        "{fault:?} is not found in {} states",
        checker.unique_state_count()
    );
}

#[test]
fn no_router_admits_under_a_version_that_another_has_left() {
    let checker = world().checker().threads(4).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test_case(Change { changes: 0, restarts: 1, ..world() }; "where a router starts anew")]
#[test_case(Change { changes: 0, doubles: 1, ..world() }; "where a letter comes twice")]
fn nor(world: Change) {
    let checker = world.checker().threads(4).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test_case(Fault::Leader(InLeader::NoWait); "activation without waiting")]
#[test_case(Fault::Leader(InLeader::NoAsking); "leases given without asking whether one leads still")]
#[test_case(Fault::Leader(InLeader::ForgetsOthers); "leases of the one before not waited out")]
#[test_case(Fault::LeaseHolder(InLeaseHolder::UsedBeyondEnd); "a lease used beyond its end")]
#[test_case(Fault::LeaseHolder(InLeaseHolder::GoesOnInBarrier); "one that says it has stopped and goes on")]
fn a_planted_fault_is_found(fault: Fault) {
    finds(fault, world());
}

#[test]
fn a_lease_that_counts_from_its_coming_is_found() {
    finds(
        Fault::LeaseHolder(InLeaseHolder::CountsFromGrant),
        Change {
            proposed: 2,
            until: 4,
            changes: 0,
            ..world()
        },
    );
}
