//! The signals of the model: operators send stops and reloads to either process, and the processes tell each other.

use std::collections::VecDeque;

use ternpick::types::Micros;

use super::world::World;
use crate::injected_bug::RequestBug;
use crate::{Phase, Request, RequestEffect, Requester, Requests};

/// The end of the accept period of a stop.
const ACCEPTS_UNTIL: Micros = Micros(1);

/// One of the two processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Target {
    Old,
    New,
}

/// The signals of one process, and what it does because of them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct SignalState {
    requests: Requests,
    pending: VecDeque<(Request, Requester)>,
    /// Whether the process stops.
    pub(super) is_stopping: bool,
    /// Whether the process has read its files since the reload.
    pub(super) has_reloaded: bool,
}

impl SignalState {
    pub(super) fn new(phase: Phase, bug: Option<RequestBug>) -> SignalState {
        let mut requests = Requests::new(phase);
        requests.injected_bug = bug;
        SignalState {
            requests,
            pending: VecDeque::new(),
            is_stopping: false,
            has_reloaded: false,
        }
    }

    pub(super) fn is_pending(&self) -> bool {
        !self.pending.is_empty()
    }
}

impl World {
    /// The time of events: after the accept period or before its end.
    pub(super) fn now(&self) -> Micros {
        if self.asked.accept_period_over {
            ACCEPTS_UNTIL
        } else {
            Micros(0)
        }
    }

    pub(super) fn has_pending_signals(&self) -> bool {
        let is_pending = |target| self.signals_of(target).is_some_and(SignalState::is_pending);
        is_pending(Target::Old) || is_pending(Target::New)
    }

    fn signals_of(&self, target: Target) -> Option<&SignalState> {
        match target {
            Target::Old => self.old.as_ref().map(|old| &old.signals),
            Target::New => self.new.as_ref().map(|new| &new.signals),
        }
    }

    fn signals_of_mut(&mut self, target: Target) -> Option<&mut SignalState> {
        match target {
            Target::Old => self.old.as_mut().map(|old| &mut old.signals),
            Target::New => self.new.as_mut().map(|new| &mut new.signals),
        }
    }

    pub(super) fn can_deliver_signal(&self, target: Target) -> bool {
        self.signals_of(target).is_some_and(SignalState::is_pending)
    }

    /// An operator sends a signal.
    pub(super) fn send_signal(&mut self, target: Target, request: Request) -> Option<()> {
        self.asked.signals_left -= 1;
        let signals = self.signals_of_mut(target)?;
        signals.pending.push_back((request, Requester::Operator));
        Some(())
    }

    /// A process handles its next signal.
    pub(super) fn deliver_signal(&mut self, target: Target) -> Option<()> {
        let signals = self.signals_of_mut(target)?;
        let (request, requester) = signals.pending.pop_front()?;
        let effects = signals.requests.handle(request, requester);
        match request {
            Request::Stop => self.asked.stop = true,
            Request::Reload => self.note_reload(requester),
        }
        self.carry_out_requests(target, effects);
        Some(())
    }

    /// Notes that every process has to read its files again.
    fn note_reload(&mut self, requester: Requester) {
        if requester == Requester::OtherProcess {
            return;
        }
        self.asked.reload = true;
        for target in [Target::Old, Target::New] {
            if let Some(signals) = self.signals_of_mut(target) {
                signals.has_reloaded = false;
            }
        }
    }

    fn carry_out_requests(&mut self, target: Target, effects: Vec<RequestEffect>) {
        for effect in effects {
            match (effect, target) {
                (RequestEffect::Stop, _) => self.stop(target),
                (RequestEffect::Reload, _) => {
                    if let Some(signals) = self.signals_of_mut(target) {
                        signals.has_reloaded = true;
                    }
                }
                (RequestEffect::Forward(request), Target::Old) => {
                    self.forward(Target::New, request);
                }
                (RequestEffect::Forward(request), Target::New) => {
                    self.forward(Target::Old, request);
                }
                (RequestEffect::KillNewProcess, _) | (RequestEffect::Exit, Target::New) => {
                    self.end_new();
                }
                (RequestEffect::Exit, Target::Old) => {}
            }
        }
    }

    fn stop(&mut self, target: Target) {
        if let Some(signals) = self.signals_of_mut(target) {
            signals.is_stopping = true;
        }
        if let (Target::Old, Some(old)) = (target, &mut self.old) {
            old.machine.note_stop(ACCEPTS_UNTIL);
        }
    }

    fn forward(&mut self, to: Target, request: Request) {
        if let Some(signals) = self.signals_of_mut(to) {
            signals
                .pending
                .push_back((request, Requester::OtherProcess));
        }
    }

    pub(super) fn enter_phase_of_old(&mut self) {
        let Some(old) = &mut self.old else { return };
        let effects = old.signals.requests.enter(old.machine.phase());
        self.carry_out_requests(Target::Old, effects);
    }

    pub(super) fn enter_phase_of_new(&mut self) {
        let Some(new) = &mut self.new else { return };
        if !new.machine.is_serving() {
            return;
        }
        let effects = new.signals.requests.enter(new.machine.phase());
        self.carry_out_requests(Target::New, effects);
    }

    pub(super) fn tell_new_of_death_of_old(&mut self) {
        if let Some(new) = &mut self.new {
            let effects = new.signals.requests.handle_death_of_old_process();
            self.carry_out_requests(Target::New, effects);
        }
    }

    /// The accept period of the stop ends: processes that stop close their listeners. All processes have been told by
    /// then.
    pub(super) fn end_accept_period(&mut self) {
        self.asked.accept_period_over = true;
        if let Some(old) = self.old.as_mut().filter(|old| old.signals.is_stopping) {
            old.accepts = false;
        }
        if let Some(new) = self.new.as_mut().filter(|new| new.signals.is_stopping) {
            new.accepts = false;
        }
    }
}
