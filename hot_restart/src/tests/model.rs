//! The model: all interleavings of the two processes with a small number of faults. Either process crashes at any
//! point, the link breaks and loses its messages, steps time out, and a restart is requested during another. The
//! state machines are the real ones.

use stateright::{Model, Property};
use ternpick::types::Micros;

use super::properties;
use super::signals::Target;
use super::world::{InjectedBugs, World, CAPACITY};
use crate::{Lease, Message, NewProcessEvent, OldProcessEvent, Request};

/// The part of the capacity that the old process uses when it commits.
const IN_USE: Lease = Lease {
    in_flight: 2,
    retries: 0,
    descriptors: 2,
    memory_bytes: 2,
};
/// A time after every deadline.
const AFTER_EVERY_DEADLINE: Micros = Micros(u64::MAX / 2);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Action {
    RequestRestart,
    /// A restart is requested while one is in progress.
    RequestAnotherRestart,
    DeliverToNew,
    DeliverToOld,
    /// The new process cannot load the snapshot.
    FailToLoadSnapshot,
    CrashOld,
    CrashNew,
    BreakLink,
    ReportLossToOld,
    ReportLossToNew,
    TimeOutOld,
    TimeOutNew,
    /// The new process was asked to exit and does so.
    EndNew,
    AnswerQuery,
    /// Nothing is in flight in the old process.
    FinishDrain,
    /// An operator sends a signal to a process.
    Signal(Target, Request),
    DeliverSignal(Target),
    EndAcceptPeriod,
    /// The new process has answered all that it had accepted, and ends as the router stops.
    FinishStopOfNew,
}

pub(super) struct HotRestart {
    pub(super) injected: InjectedBugs,
    pub(super) restarts: u8,
    /// The signals that operators send.
    pub(super) signals: u8,
}

impl Model for HotRestart {
    type State = World;
    type Action = Action;

    fn init_states(&self) -> Vec<World> {
        vec![World::new(self.injected, self.restarts, self.signals)]
    }

    fn actions(&self, world: &World, actions: &mut Vec<Action>) {
        push_actions_of_old(world, actions);
        push_actions_of_new(world, actions);
        push_signals(world, actions);
    }

    fn next_state(&self, last: &World, action: Action) -> Option<World> {
        let mut world = last.clone();
        world.perform(action)?;
        (world != *last).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        properties::all()
    }
}

fn push_actions_of_old(world: &World, actions: &mut Vec<Action>) {
    let Some(old) = &world.old else { return };
    let is_serving = old.machine.is_serving();
    if world.restarts_left > 0 && is_serving && world.new.is_none() {
        actions.push(Action::RequestRestart);
    } else if world.restarts_left > 0 && !is_serving {
        actions.push(Action::RequestAnotherRestart);
    }
    let has_unreported_loss = !world.old_knows_link_lost && !world.is_linked
        || world.new.is_none() && !world.old_knows_new_died;
    if !world.to_old.is_empty() {
        actions.push(Action::DeliverToOld);
    } else if has_unreported_loss {
        actions.push(Action::ReportLossToOld);
    }
    if world.timeouts_left > 0 && old.machine.next_timeout().is_some() {
        actions.push(Action::TimeOutOld);
    }
    if world.in_flight > 0 {
        actions.push(Action::AnswerQuery);
    } else if old.machine.is_draining() {
        actions.push(Action::FinishDrain);
    }
    if world.crashes_left > 0 {
        actions.push(Action::CrashOld);
    }
}

fn push_actions_of_new(world: &World, actions: &mut Vec<Action>) {
    let Some(new) = &world.new else { return };
    if !world.to_new.is_empty() {
        actions.push(Action::DeliverToNew);
    } else if !world.new_knows_link_lost && !world.is_linked {
        actions.push(Action::ReportLossToNew);
    }
    if world.timeouts_left > 0 && new.machine.next_timeout().is_some() {
        actions.push(Action::TimeOutNew);
    }
    if new.is_ending {
        actions.push(Action::EndNew);
    }
    if world.crashes_left > 0 {
        actions.push(Action::CrashNew);
    }
    if world.old.is_some() && world.is_linked && world.link_breaks_left > 0 {
        actions.push(Action::BreakLink);
    }
    actions.push(Action::FailToLoadSnapshot);
}

fn push_signals(world: &World, actions: &mut Vec<Action>) {
    for target in [Target::Old, Target::New] {
        let lives = match target {
            Target::Old => world.old.is_some(),
            Target::New => world.new.is_some(),
        };
        if world.asked.signals_left > 0 && lives {
            actions.push(Action::Signal(target, Request::Stop));
            actions.push(Action::Signal(target, Request::Reload));
        }
        if world.can_deliver_signal(target) {
            actions.push(Action::DeliverSignal(target));
        }
    }
    if world.asked.stop && !world.asked.accept_period_over && world.is_settled() {
        actions.push(Action::EndAcceptPeriod);
    }
    let new_has_closed = world
        .new
        .as_ref()
        .is_some_and(|new| new.signals.is_stopping && world.asked.accept_period_over);
    if new_has_closed {
        actions.push(Action::FinishStopOfNew);
    }
}

/// Performs the actions. A method returns None if its action is impossible in this state.
impl World {
    fn perform(&mut self, action: Action) -> Option<()> {
        match action {
            Action::RequestRestart => self.request_restart()?,
            Action::RequestAnotherRestart => self.request_another_restart()?,
            Action::DeliverToOld => self.deliver_to_old()?,
            Action::DeliverToNew => self.deliver_to_new()?,
            Action::FailToLoadSnapshot => {
                self.handle_event_of_new(OldProcessEvent::SnapshotLoaded(false))?;
            }
            Action::CrashOld => {
                self.crashes_left -= 1;
                self.end_old();
            }
            Action::CrashNew => {
                self.crashes_left -= 1;
                self.end_new();
            }
            Action::BreakLink => {
                self.link_breaks_left -= 1;
                self.break_link();
            }
            Action::ReportLossToOld => self.report_loss_to_old()?,
            Action::ReportLossToNew => {
                self.new_knows_link_lost = true;
                let old_process_runs = self.old.is_some();
                if !old_process_runs {
                    self.tell_new_of_death_of_old();
                }
                self.handle_event_of_new(OldProcessEvent::LinkLost { old_process_runs })?;
            }
            Action::TimeOutOld => {
                self.timeouts_left -= 1;
                let effects = self
                    .old
                    .as_mut()?
                    .machine
                    .handle_timeout(AFTER_EVERY_DEADLINE);
                self.carry_out_for_old(effects);
            }
            Action::TimeOutNew => {
                self.timeouts_left -= 1;
                let effects = self
                    .new
                    .as_mut()?
                    .machine
                    .handle_timeout(AFTER_EVERY_DEADLINE);
                self.carry_out_for_new(effects);
            }
            Action::EndNew => self.end_new(),
            Action::AnswerQuery => self.in_flight -= 1,
            Action::FinishDrain => {
                let effects = self.old.as_mut()?.machine.drain_finished();
                self.carry_out_for_old(effects);
            }
            Action::Signal(target, request) => self.send_signal(target, request)?,
            Action::DeliverSignal(target) => self.deliver_signal(target)?,
            Action::EndAcceptPeriod => self.end_accept_period(),
            Action::FinishStopOfNew => self.end_new(),
        }
        Some(())
    }

    fn request_restart(&mut self) -> Option<()> {
        self.restarts_left -= 1;
        let effects = self.old.as_mut()?.machine.start(Micros(0), CAPACITY).ok()?;
        self.carry_out_for_old(effects);
        Some(())
    }

    /// The old process rejects the request in every step.
    fn request_another_restart(&mut self) -> Option<()> {
        self.restarts_left -= 1;
        let started = self.old.as_mut()?.machine.start(Micros(0), CAPACITY);
        started.is_err().then_some(())
    }

    fn deliver_to_old(&mut self) -> Option<()> {
        let message = self.to_old.pop_front()?;
        self.handle_event_of_old(NewProcessEvent::Received(message))
    }

    fn deliver_to_new(&mut self) -> Option<()> {
        let message = self.to_new.pop_front()?;
        let is_last_piece = matches!(message, Message::State { left: 0, .. });
        let now = self.now();
        let new = self.new.as_mut()?;
        new.has_listener |= matches!(message, Message::Descriptors { .. });
        let received = OldProcessEvent::Received(message);
        let mut effects = new.machine.handle_event(now, received, CAPACITY);
        if is_last_piece {
            let loaded = OldProcessEvent::SnapshotLoaded(true);
            effects.extend(new.machine.handle_event(now, loaded, CAPACITY));
        }
        self.carry_out_for_new(effects);
        Some(())
    }

    fn report_loss_to_old(&mut self) -> Option<()> {
        self.old_knows_link_lost = true;
        if self.new.is_some() {
            return self.handle_event_of_old(NewProcessEvent::LinkBroken);
        }
        self.old_knows_new_died = true;
        self.handle_event_of_old(NewProcessEvent::ProcessDied)
    }

    fn handle_event_of_old(&mut self, event: NewProcessEvent) -> Option<()> {
        let now = self.now();
        let old = self.old.as_mut()?;
        let effects = old.machine.handle_event(now, event, IN_USE);
        self.carry_out_for_old(effects);
        Some(())
    }

    fn handle_event_of_new(&mut self, event: OldProcessEvent) -> Option<()> {
        let now = self.now();
        let new = self.new.as_mut()?;
        let effects = new.machine.handle_event(now, event, CAPACITY);
        self.carry_out_for_new(effects);
        Some(())
    }
}
