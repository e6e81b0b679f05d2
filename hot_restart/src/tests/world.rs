//! The state of the model: two processes, the link between them, and the faults that may still happen.

use std::collections::VecDeque;

use ternpick::types::Micros;

use super::signals::SignalState;
use crate::injected_bug::{InjectedBug, RequestBug};
use crate::{Effect, Lease, Message, NewProcess, OldProcess, Phase, StepTimeouts};

pub(super) const CAPACITY: Lease = Lease {
    in_flight: 8,
    retries: 8,
    descriptors: 8,
    memory_bytes: 8,
};

/// A process and the state that its driver keeps for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Process<M> {
    pub(super) machine: M,
    pub(super) accepts: bool,
    pub(super) has_listener: bool,
    /// Whether the process has been asked to exit and still runs.
    pub(super) is_ending: bool,
    /// The signals that it has received.
    pub(super) signals: SignalState,
}

/// The bugs that a model is explored with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct InjectedBugs {
    pub(super) of_old_process: Option<InjectedBug>,
    pub(super) of_requests: Option<RequestBug>,
}

/// What operators have asked of the router, and what of it a process has handled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct Asked {
    /// Signals that an operator may still send.
    pub(super) signals_left: u8,
    /// Whether a process has handled a stop.
    pub(super) stop: bool,
    /// Whether a process has handled a reload.
    pub(super) reload: bool,
    /// Whether the accept period of the stop is over.
    pub(super) accept_period_over: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct World {
    pub(super) old: Option<Process<OldProcess>>,
    pub(super) new: Option<Process<NewProcess>>,
    /// Messages on the link, in order.
    pub(super) to_new: VecDeque<Message>,
    pub(super) to_old: VecDeque<Message>,
    /// Whether the link works. After it breaks, each process learns so once it has read the messages that had arrived.
    pub(super) is_linked: bool,
    pub(super) old_knows_link_lost: bool,
    pub(super) new_knows_link_lost: bool,
    pub(super) old_knows_new_died: bool,
    /// Faults and requests that may still happen.
    pub(super) crashes_left: u8,
    pub(super) link_breaks_left: u8,
    pub(super) timeouts_left: u8,
    pub(super) restarts_left: u8,
    /// Queries in flight in the old process.
    pub(super) in_flight: u8,
    pub(super) asked: Asked,
    request_bug: Option<RequestBug>,
}

impl World {
    pub(super) fn new(injected: InjectedBugs, restarts: u8, signals: u8) -> World {
        let mut machine = OldProcess::new(StepTimeouts::default(), CAPACITY, 1);
        machine.injected_bug = injected.of_old_process;
        World {
            old: Some(Process {
                machine,
                accepts: true,
                has_listener: true,
                is_ending: false,
                signals: SignalState::new(Phase::Alone, injected.of_requests),
            }),
            new: None,
            to_new: VecDeque::new(),
            to_old: VecDeque::new(),
            is_linked: false,
            old_knows_link_lost: true,
            new_knows_link_lost: true,
            old_knows_new_died: true,
            crashes_left: 2,
            link_breaks_left: 1,
            timeouts_left: 2,
            restarts_left: restarts,
            in_flight: 2,
            asked: Asked {
                signals_left: signals,
                ..Asked::default()
            },
            request_bug: injected.of_requests,
        }
    }

    pub(super) fn carry_out_for_old(&mut self, effects: Vec<Effect>) {
        self.enter_phase_of_old();
        for effect in effects {
            let Some(old) = &mut self.old else { return };
            match effect {
                Effect::Spawn => self.spawn_new(),
                Effect::Send(message) => self.send_to_new(message),
                Effect::PassListeners => self.send_to_new(Message::Descriptors { count: 1 }),
                Effect::PassState => self.send_to_new(Message::State {
                    left: 0,
                    piece: vec![],
                }),
                Effect::Accept(accepts) => old.accepts = accepts,
                Effect::EndPeer => {
                    if let Some(new) = &mut self.new {
                        new.is_ending = true;
                    }
                }
                Effect::Exit => self.end_old(),
                _ => {}
            }
        }
    }

    pub(super) fn carry_out_for_new(&mut self, effects: Vec<Effect>) {
        self.enter_phase_of_new();
        for effect in effects {
            let Some(new) = &mut self.new else { return };
            match effect {
                Effect::Send(message) if self.is_linked => self.to_old.push_back(message),
                Effect::Accept(accepts) => {
                    new.accepts = accepts;
                    new.has_listener = true;
                }
                Effect::BindListeners => {
                    new.accepts = true;
                    new.has_listener = true;
                }
                Effect::Exit => self.end_new(),
                _ => {}
            }
        }
    }

    fn spawn_new(&mut self) {
        let (machine, effects) = NewProcess::start(StepTimeouts::default(), 1, "new", Micros(0));
        self.new = Some(Process {
            machine,
            accepts: false,
            has_listener: false,
            is_ending: false,
            signals: SignalState::new(Phase::TakingOver, self.request_bug),
        });
        // It has read its files just now.
        if let Some(new) = &mut self.new {
            new.signals.has_reloaded = true;
        }
        self.is_linked = true;
        self.old_knows_link_lost = false;
        self.new_knows_link_lost = false;
        self.old_knows_new_died = false;
        self.to_new.clear();
        self.to_old.clear();
        self.carry_out_for_new(effects);
    }

    fn send_to_new(&mut self, message: Message) {
        if self.is_linked {
            self.to_new.push_back(message);
        }
    }

    /// Ends the old process. The new one learns of it, whether or not the link worked until then.
    pub(super) fn end_old(&mut self) {
        self.old = None;
        self.is_linked = false;
        self.to_old.clear();
        self.new_knows_link_lost = false;
    }

    pub(super) fn end_new(&mut self) {
        self.new = None;
        self.is_linked = false;
        self.to_new.clear();
    }

    pub(super) fn break_link(&mut self) {
        self.is_linked = false;
        self.to_new.clear();
        self.to_old.clear();
    }

    /// Whether the processes have learned of everything that has happened, and none of them is about to exit.
    pub(super) fn is_settled(&self) -> bool {
        let old_has_messages = self.old.is_some() && !self.to_old.is_empty();
        let new_has_messages = self.new.is_some() && !self.to_new.is_empty();
        let new_is_ending = self.new.as_ref().is_some_and(|new| new.is_ending);
        !old_has_messages
            && !new_has_messages
            && !self.has_unreported_link_loss()
            && !self.has_unreported_end_of_new()
            && !new_is_ending
            && !self.has_pending_signals()
    }

    fn has_unreported_link_loss(&self) -> bool {
        let unreported_to_old = self.old.is_some() && !self.old_knows_link_lost;
        let unreported_to_new = self.new.is_some() && !self.new_knows_link_lost;
        !self.is_linked && (unreported_to_old || unreported_to_new)
    }

    fn has_unreported_end_of_new(&self) -> bool {
        let old_is_restarting = self
            .old
            .as_ref()
            .is_some_and(|old| !old.machine.is_serving());
        self.new.is_none() && old_is_restarting && !self.old_knows_new_died
    }
}
