//! All interleavings of the two sides at small size: a crash of either at any point, links that break with what is on
//! them, steps that take too long, upgrades asked for twice. The machines are the real ones.

use std::collections::VecDeque;

use stateright::{Checker, Model, Property};
use ternpick::types::Micros;

use crate::old_process::Planted;
use crate::{
    Effect, Lease, Message, NewProcess, NewProcessEvent, OldProcess, OldProcessEvent, StepTimeouts,
};

pub(crate) use crate::old_process::Planted as Fault;

const SHARE: Lease = Lease {
    held: 8,
    extra: 8,
    sockets: 8,
    memory: 8,
};
const USES: Lease = Lease {
    held: 2,
    extra: 0,
    sockets: 2,
    memory: 2,
};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Side<M> {
    machine: M,
    accepts: bool,
    has_listener: bool,
    /// Asked to end: it accepts no more and will be gone.
    ending: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    old: Option<Side<OldProcess>>,
    new: Option<Side<NewProcess>>,
    to_new: VecDeque<Message>,
    to_old: VecDeque<Message>,
    /// The link stands; once broken, each side is told when it has read what had arrived.
    link: bool,
    old_told: bool,
    new_told: bool,
    /// The old one has been told of the new one's death.
    death_told: bool,
    crashes: u8,
    breaks: u8,
    lates: u8,
    upgrades: u8,
    /// Lookups in hand at the old one.
    in_hand: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Ask,
    AskAgain,
    ToNew,
    ToOld,
    Loads,
    OldCrashes,
    NewCrashes,
    LinkBreaks,
    OldTold,
    NewTold,
    OldLate,
    NewLate,
    /// One asked to end is gone.
    NewEnds,
    Answers,
    /// Nothing is left in hand at the old one.
    Drained,
}

struct Handover {
    fault: Option<Planted>,
    upgrades: u8,
}

impl World {
    fn of_old(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            let Some(old) = &mut self.old else { return };
            match effect {
                Effect::Spawn => {
                    let (machine, hello) =
                        NewProcess::start(StepTimeouts::default(), 1, "new", Micros(0));
                    self.new = Some(Side {
                        machine,
                        accepts: false,
                        has_listener: false,
                        ending: false,
                    });
                    (self.link, self.old_told, self.new_told, self.death_told) =
                        (true, false, false, false);
                    (self.to_new, self.to_old) = (VecDeque::new(), VecDeque::new());
                    self.of_new(hello);
                }
                Effect::Send(message) if self.link => self.to_new.push_back(message),
                Effect::PassListeners if self.link => {
                    self.to_new.push_back(Message::Descriptors { count: 1 })
                }
                Effect::PassState if self.link => self.to_new.push_back(Message::State {
                    left: 0,
                    piece: vec![],
                }),
                Effect::Accept(accepts) => old.accepts = accepts,
                Effect::EndPeer => {
                    if let Some(new) = &mut self.new {
                        new.ending = true;
                    }
                }
                Effect::Exit => self.end_old(),
                _ => {}
            }
        }
    }

    fn of_new(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            let Some(new) = &mut self.new else { return };
            match effect {
                Effect::Send(message) if self.link => self.to_old.push_back(message),
                Effect::Accept(accepts) => (new.accepts, new.has_listener) = (accepts, true),
                Effect::BindAnew => (new.accepts, new.has_listener) = (true, true),
                Effect::Exit => self.end_new(),
                _ => {}
            }
        }
    }

    /// The new one sees it, whether the link was there to the end or not.
    fn end_old(&mut self) {
        (self.old, self.link, self.to_old) = (None, false, VecDeque::new());
        self.new_told = false;
    }

    fn end_new(&mut self) {
        (self.new, self.link, self.to_new) = (None, false, VecDeque::new());
    }

    /// Nothing is on its way that somebody would still be told.
    fn quiet(&self) -> bool {
        let old_hears = self.old.is_some() && !self.to_old.is_empty();
        let new_hears = self.new.is_some() && !self.to_new.is_empty();
        let untold = !self.link
            && (self.old.is_some() && !self.old_told || self.new.is_some() && !self.new_told);
        let death = self.new.is_none()
            && self.old.is_some()
            && !self.death_told
            && !self
                .old
                .as_ref()
                .is_some_and(|old| old.machine.is_serving());
        let ends = self.new.as_ref().is_some_and(|new| new.ending);
        !old_hears && !new_hears && !untold && !death && !ends
    }
}

impl Model for Handover {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        let mut machine = OldProcess::new(StepTimeouts::default(), SHARE, 1);
        machine.fault = self.fault;
        vec![World {
            old: Some(Side {
                machine,
                accepts: true,
                has_listener: true,
                ending: false,
            }),
            new: None,
            to_new: VecDeque::new(),
            to_old: VecDeque::new(),
            link: false,
            old_told: true,
            new_told: true,
            death_told: true,
            crashes: 2,
            breaks: 1,
            lates: 2,
            upgrades: self.upgrades,
            in_hand: 2,
        }]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        let (old, new) = (world.old.as_ref(), world.new.as_ref());
        if let Some(old) = old {
            if world.upgrades > 0 && old.machine.is_serving() && new.is_none() {
                actions.push(Action::Ask);
            } else if world.upgrades > 0 && !old.machine.is_serving() {
                actions.push(Action::AskAgain);
            }
            if !world.to_old.is_empty() {
                actions.push(Action::ToOld);
            } else if !world.old_told && !world.link || new.is_none() && !world.death_told {
                actions.push(Action::OldTold);
            }
            if world.lates > 0 && old.machine.next_timeout().is_some() {
                actions.push(Action::OldLate);
            }
            if world.in_hand > 0 {
                actions.push(Action::Answers);
            } else if old.machine.is_draining() {
                actions.push(Action::Drained);
            }
            if world.crashes > 0 {
                actions.push(Action::OldCrashes);
            }
        }
        if let Some(new) = new {
            if !world.to_new.is_empty() {
                actions.push(Action::ToNew);
            } else if !world.new_told && !world.link {
                actions.push(Action::NewTold);
            }
            if world.lates > 0 && new.machine.next_timeout().is_some() {
                actions.push(Action::NewLate);
            }
            if new.ending {
                actions.push(Action::NewEnds);
            }
            if world.crashes > 0 {
                actions.push(Action::NewCrashes);
            }
            if old.is_some() && world.link && world.breaks > 0 {
                actions.push(Action::LinkBreaks);
            }
            actions.push(Action::Loads);
        }
    }

    fn next_state(&self, last: &World, action: Action) -> Option<World> {
        let mut world = last.clone();
        let now = Micros(0);
        match action {
            Action::Ask => {
                world.upgrades -= 1;
                let effects = world.old.as_mut()?.machine.start(now, SHARE).ok()?;
                world.of_old(effects);
            }
            Action::AskAgain => {
                world.upgrades -= 1;
                // Refused with a word, whatever the step.
                if world.old.as_mut()?.machine.start(now, SHARE).is_ok() {
                    return None;
                }
            }
            Action::ToOld => {
                let message = world.to_old.pop_front()?;
                let effects = world.old.as_mut()?.machine.handle_event(
                    now,
                    NewProcessEvent::Received(message),
                    USES,
                );
                world.of_old(effects);
            }
            Action::ToNew => {
                let message = world.to_new.pop_front()?;
                let loads = matches!(message, Message::State { left: 0, .. });
                let new = world.new.as_mut()?;
                new.has_listener |= matches!(message, Message::Descriptors { .. });
                let mut effects =
                    new.machine
                        .handle_event(now, OldProcessEvent::Received(message), SHARE);
                if loads {
                    effects.extend(new.machine.handle_event(
                        now,
                        OldProcessEvent::SnapshotLoaded(true),
                        SHARE,
                    ));
                }
                world.of_new(effects);
            }
            // The snapshot turns out to be of no use.
            Action::Loads => {
                let effects = world.new.as_mut()?.machine.handle_event(
                    now,
                    OldProcessEvent::SnapshotLoaded(false),
                    SHARE,
                );
                world.of_new(effects);
            }
            Action::OldCrashes => {
                world.crashes -= 1;
                world.end_old();
            }
            Action::NewCrashes => {
                world.crashes -= 1;
                world.end_new();
            }
            Action::LinkBreaks => {
                world.breaks -= 1;
                (world.link, world.to_new, world.to_old) =
                    (false, VecDeque::new(), VecDeque::new());
            }
            Action::OldTold => {
                let died = world.new.is_none();
                (world.old_told, world.death_told) = (true, world.death_told || died);
                let from = if died {
                    NewProcessEvent::ProcessDied
                } else {
                    NewProcessEvent::LinkBroken
                };
                let effects = world.old.as_mut()?.machine.handle_event(now, from, USES);
                world.of_old(effects);
            }
            Action::NewTold => {
                world.new_told = true;
                let old_lives = world.old.is_some();
                let effects = world.new.as_mut()?.machine.handle_event(
                    now,
                    OldProcessEvent::LinkLost { old_lives },
                    SHARE,
                );
                world.of_new(effects);
            }
            Action::OldLate => {
                world.lates -= 1;
                let effects = world
                    .old
                    .as_mut()?
                    .machine
                    .handle_timeout(Micros(u64::MAX / 2));
                world.of_old(effects);
            }
            Action::NewLate => {
                world.lates -= 1;
                let effects = world
                    .new
                    .as_mut()?
                    .machine
                    .handle_timeout(Micros(u64::MAX / 2));
                world.of_new(effects);
            }
            Action::NewEnds => world.end_new(),
            Action::Answers => {
                world.in_hand -= 1;
            }
            Action::Drained => {
                let effects = world.old.as_mut()?.machine.drain_finished();
                world.of_old(effects);
            }
        }
        (world != *last).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("somebody accepts while one lives", |_, world: &World| {
                let accepts = world.old.as_ref().is_some_and(|old| old.accepts)
                    || world.new.as_ref().is_some_and(|new| new.accepts);
                let lives = world.old.is_some() || world.new.is_some();
                !lives || accepts || !world.quiet()
            }),
            Property::always(
                "the listener stays open while the old one or its heir lives",
                |_, world: &World| {
                    let open = world.old.as_ref().is_some_and(|old| old.has_listener)
                        || world
                            .new
                            .as_ref()
                            .is_none_or(|new| new.has_listener || !new.machine.is_serving());
                    open
                },
            ),
            Property::always(
                "both accept only while a commit is under way",
                |_, world: &World| {
                    let (Some(old), Some(new)) = (&world.old, &world.new) else {
                        return true;
                    };
                    !(old.accepts && new.accepts && world.quiet())
                        || old.machine.step_name() == "commits"
                },
            ),
            Property::always("the leases never exceed the share", |_, world: &World| {
                let old = world
                    .old
                    .as_ref()
                    .map(|old| old.machine.lease())
                    .unwrap_or_default();
                let new = world
                    .new
                    .as_ref()
                    .map(|new| new.machine.lease())
                    .unwrap_or_default();
                old.with(new).fits(SHARE)
            }),
            Property::always(
                "one that serves alone has the whole share",
                |_, world: &World| {
                    let alone = world
                        .new
                        .as_ref()
                        .filter(|new| world.old.is_none() && new.machine.is_serving());
                    alone.is_none_or(|new| new.machine.lease() == SHARE || !world.quiet())
                },
            ),
            Property::always(
                "no lookup is left behind by a process that leaves",
                |_, world: &World| world.old.is_some() || world.in_hand == 0 || world.crashes < 2,
            ),
            Property::sometimes("an upgrade succeeds", |_, world: &World| {
                world.old.is_none()
                    && world.crashes == 2
                    && world
                        .new
                        .as_ref()
                        .is_some_and(|new| new.accepts && new.machine.lease() == SHARE)
            }),
            Property::sometimes(
                "a failed one leaves the old as it was",
                |_, world: &World| {
                    world.upgrades == 0
                        && world.new.is_none()
                        && world.quiet()
                        && world.old.as_ref().is_some_and(|old| {
                            old.machine.is_serving() && old.machine.lease() == SHARE
                        })
                },
            ),
        ]
    }
}

fn explored(fault: Option<Planted>, upgrades: u8) -> impl Checker<Handover> {
    Handover { fault, upgrades }
        .checker()
        .threads(4)
        .spawn_bfs()
        .join()
}

#[test]
fn no_interleaving_breaks_a_rule() {
    let began = std::time::Instant::now();
    let checked = explored(None, 2);
    println!(
        "{} states, {} of them apart, in {:?}",
        checked.state_count(),
        checked.unique_state_count(),
        began.elapsed()
    );
    checked.assert_properties();
    assert!(
        checked.unique_state_count() > 1_000,
        "{}",
        checked.unique_state_count()
    );
}

#[test_case::test_case(Planted::StaysDrained, "somebody accepts while one lives"; "stays drained")]
#[test_case::test_case(Planted::StopsEarly, "somebody accepts while one lives"; "stops early")]
#[test_case::test_case(Planted::KeepsAll, "the leases never exceed the share"; "keeps all")]
fn a_planted_fault_is_found(fault: Planted, breaks: &'static str) {
    let checked = explored(Some(fault), 1);
    assert!(
        checked.discovery(breaks).is_some(),
        "{breaks} holds with {fault:?}"
    );
}
