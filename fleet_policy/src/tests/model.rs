//! A model check of one policy change with the real state machines, over all interleavings at a small size: two routers,
//! up to two leaders, and a log whose entries are committed at once. Requests and replies are lost, duplicated and
//! delayed; a router pauses for any time or restarts; the leader changes while replies of the previous one are still in
//! flight. Time advances in steps of a tenth of a second, and may advance at any point.

mod world;

use stateright::{Checker, Model, Property};
use ternpick::types::Micros;
use test_case::test_case;

use crate::injected_bug::{InjectedLeaderBug, InjectedLeaseHolderBug};
use crate::*;
use world::{Budget, World, START, STEP};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum InjectedBug {
    Leader(InjectedLeaderBug),
    LeaseHolder(InjectedLeaseHolderBug),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    /// One step of time passes.
    Tick,
    /// A router's messages are delayed from now on.
    DelayMessages(usize),
    /// A router's messages are no longer delayed; those in flight are delivered in any order.
    EndDelay(usize),
    Deliver(usize),
    Lose(usize),
    Duplicate(usize),
    /// Confirmations of the leadership are delayed from now on.
    DelayConfirmations,
    /// A delayed confirmation is delivered.
    DeliverConfirmation(usize),
    /// Another leader is elected; the previous one does not know it yet.
    ChangeLeader,
    /// An earlier leader learns that it no longer leads.
    Depose(usize),
    Restart(usize),
}

/// One change of the policy, and the failures that may happen during it.
struct Change {
    injected_bug: Option<InjectedBug>,
    /// The step at which the policy is proposed.
    proposal_step: u64,
    /// The last step.
    last_step: u64,
    budget: Budget,
}

impl Change {
    fn lease_holder(&self, router: usize, incarnation: u64, now: u64) -> LeaseHolder {
        let mut holder = world::lease_holder(router, incarnation, now);
        holder.injected_bug = match self.injected_bug {
            Some(InjectedBug::LeaseHolder(bug)) => Some(bug),
            _ => None,
        };
        holder
    }

    fn leader(&self, now: u64, state: &PolicyState) -> Leader {
        let mut leader = Leader::new(world::config(), Micros(now), state);
        leader.injected_bug = match self.injected_bug {
            Some(InjectedBug::Leader(bug)) => Some(bug),
            _ => None,
        };
        leader
    }
}

impl Model for Change {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        let state = world::bootstrap();
        let leader = self.leader(0, &state);
        let routers = vec![
            self.lease_holder(0, 1, START),
            self.lease_holder(1, 2, START),
        ];
        let mut world = World::new(leader, state, routers, self.budget.clone());
        // Both routers have their leases before the policy is proposed.
        world.settle();
        vec![world]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        if world.now < START + self.last_step * STEP {
            actions.push(Action::Tick);
        }
        for router in 0..world.routers.len() {
            if world.is_delayed[router] {
                actions.push(Action::EndDelay(router));
            } else if world.budget.delays > 0 {
                actions.push(Action::DelayMessages(router));
            }
            if world.budget.restarts > 0 {
                actions.push(Action::Restart(router));
            }
        }
        for message in 0..world.in_flight.len() {
            actions.push(Action::Deliver(message));
            actions.push(Action::Lose(message));
            if world.budget.duplicates > 0 {
                actions.push(Action::Duplicate(message));
            }
        }
        if !world.delays_confirmations && world.budget.delays > 0 {
            actions.push(Action::DelayConfirmations);
        }
        for (leader_index, candidate) in world.leaders.iter().enumerate() {
            if candidate.delayed_confirmation.is_some() {
                actions.push(Action::DeliverConfirmation(leader_index));
            }
            if leader_index > 0 {
                actions.push(Action::Depose(leader_index));
            }
        }
        if world.budget.leader_changes > 0 {
            actions.push(Action::ChangeLeader);
        }
    }

    fn next_state(&self, world: &World, action: Action) -> Option<World> {
        let mut world = world.clone();
        match action {
            Action::Tick => world.tick(self.proposal_step),
            Action::DelayMessages(router) => {
                world.budget.delays -= 1;
                world.is_delayed[router] = true;
            }
            Action::EndDelay(router) => world.is_delayed[router] = false,
            Action::Deliver(message) => {
                let message = world.in_flight.remove(message);
                world.deliver(message);
            }
            Action::Lose(message) => {
                world.in_flight.remove(message);
            }
            Action::Duplicate(message) => {
                world.budget.duplicates -= 1;
                let message = world.in_flight[message].clone();
                world.deliver(message);
            }
            Action::DelayConfirmations => {
                world.budget.delays -= 1;
                world.delays_confirmations = true;
            }
            Action::DeliverConfirmation(leader_index) => {
                let number = world.leaders[leader_index].delayed_confirmation.take()?;
                world.with_leader(leader_index, |leader, now, state| {
                    leader.leadership_confirmed(now, state, number)
                });
            }
            Action::ChangeLeader => {
                let state = world.replay();
                let leader = self.leader(world.now, &state);
                world.change_leader(leader, state);
            }
            Action::Depose(leader_index) => {
                world.leaders.remove(leader_index);
            }
            Action::Restart(router) => {
                world.budget.restarts -= 1;
                let incarnation = 10 + u64::from(world.budget.restarts);
                world.routers[router] = self.lease_holder(router, incarnation, world.now);
            }
        }
        world.settle();
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no version after a later one", |_, world: &World| {
                world.violation.is_none()
            }),
            Property::sometimes("the change is in force everywhere", |_, world: &World| {
                let now = Micros(world.now);
                world
                    .routers
                    .iter()
                    .all(|holder| holder.admission(now) == Admission::Leased(Version(1)))
            }),
            Property::sometimes(
                "the change comes into force without a silent router",
                |_, world: &World| {
                    world.leaders[0].state.in_force.number == Version(1)
                        && world
                            .routers
                            .iter()
                            .any(|holder| holder.version() == Some(Version(0)))
                },
            ),
        ]
    }
}

fn change() -> Change {
    Change {
        injected_bug: None,
        proposal_step: 1,
        last_step: 3,
        budget: budget(),
    }
}

fn budget() -> Budget {
    Budget {
        leader_changes: 1,
        restarts: 0,
        duplicates: 0,
        delays: 1,
    }
}

fn assert_rule_holds(change: Change) {
    let checker = change.checker().threads(4).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

/// Checks that the model check finds the injected bug.
fn assert_found(bug: InjectedBug, change: Change) {
    let change = Change {
        injected_bug: Some(bug),
        ..change
    };
    let checker = change.checker().threads(4).spawn_bfs().join();
    let found = checker.discovery("no version after a later one");
    assert!(
        found.is_some(),
        "{bug:?} is not found in {} states",
        checker.unique_state_count()
    );
}

#[test]
fn no_router_admits_under_a_replaced_version() {
    assert_rule_holds(change());
}

#[test_case(Budget { leader_changes: 0, restarts: 1, ..budget() }; "where a router restarts")]
#[test_case(Budget { leader_changes: 0, duplicates: 1, ..budget() }; "where a message is duplicated")]
fn no_router_admits_under_a_replaced_version_after_a_restart_or_a_duplicate(budget: Budget) {
    assert_rule_holds(Change { budget, ..change() });
}

#[test_case(InjectedBug::Leader(InjectedLeaderBug::SkipsLeaseWait); "a change that takes effect without waiting")]
#[test_case(InjectedBug::Leader(InjectedLeaderBug::SkipsConfirmation); "leases granted without confirming the leadership")]
#[test_case(InjectedBug::Leader(InjectedLeaderBug::IgnoresEarlierLeases); "leases of the leader before not waited for")]
#[test_case(InjectedBug::LeaseHolder(InjectedLeaseHolderBug::UsesExpiredLease); "a lease used after its end")]
#[test_case(InjectedBug::LeaseHolder(InjectedLeaseHolderBug::AdmitsInBarrier); "a router that reports a stop and continues to admit")]
fn an_injected_bug_is_found(bug: InjectedBug) {
    assert_found(bug, change());
}

#[test]
fn a_lease_that_counts_from_its_grant_is_found() {
    let bug = InjectedBug::LeaseHolder(InjectedLeaseHolderBug::LeaseFromGrant);
    assert_found(
        bug,
        Change {
            proposal_step: 2,
            last_step: 4,
            budget: Budget {
                leader_changes: 0,
                ..budget()
            },
            ..change()
        },
    );
}
