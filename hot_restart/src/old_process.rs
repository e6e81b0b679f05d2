//! The old process: it serves until the new one replaces it.
//!
//! It accepts clients until the new process has confirmed that it accepts them, then drains. If the new process fails
//! while the old one drains, the old one serves again.

mod step;

use ternpick::types::Micros;

use crate::injected_bug::InjectedBug;
use crate::lease::Lease;
use crate::message::{Message, VERSION};
use crate::{Effect, Phase, StepTimeouts};
use step::Step;

/// An event that the driver of the old process reports.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum NewProcessEvent {
    /// A message has arrived.
    Received(Message),
    /// The link was closed or carried an invalid frame, and the new process still runs.
    LinkBroken,
    /// The new process has ended.
    ProcessDied,
}

/// The old process of a hot restart.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OldProcess {
    step: Step,
    timeouts: StepTimeouts,
    /// The capacity of the whole router.
    capacity: Lease,
    /// The part of the capacity that this process may use; the new one has the rest.
    lease: Lease,
    /// When the current step times out or the next ping is due.
    deadline: Option<Micros>,
    /// Whether a ping has been sent and not been answered.
    awaiting_pong: bool,
    /// Whether the new process has answered a ping since it began to serve. The old process does not exit before that:
    /// otherwise a new process that hangs just after the commit would remain as the only one.
    has_answered_ping: bool,
    /// The digest of the settings that this process runs on.
    settings: u64,
    /// Until when the router accepts clients; set once a stop was requested.
    accepts_until: Option<Micros>,
    #[cfg(test)]
    pub(crate) injected_bug: Option<InjectedBug>,
}

impl OldProcess {
    /// A process that serves with the whole `capacity` of the router; `settings` is the digest of its settings.
    pub fn new(timeouts: StepTimeouts, capacity: Lease, settings: u64) -> Self {
        OldProcess {
            step: Step::Serving,
            timeouts,
            capacity,
            lease: capacity,
            deadline: None,
            awaiting_pong: false,
            has_answered_ping: false,
            settings,
            accepts_until: None,
            #[cfg(test)]
            injected_bug: None,
        }
    }

    /// Starts a hot restart. `current_lease` is the part of the capacity that this process may use now. It is less
    /// than the whole while this process's own predecessor drains.
    ///
    /// # Errors
    /// Returns the reason as text if a restart is in progress or finished, if a stop was requested, or if the predecessor
    /// still drains: three processes would use more than the capacity.
    pub fn start(
        &mut self,
        now: Micros,
        current_lease: Lease,
    ) -> Result<Vec<Effect>, &'static str> {
        match self.step {
            Step::Serving if self.accepts_until.is_some() => Err("this process stops"),
            Step::Serving if current_lease != self.capacity => {
                Err("the predecessor of this process still has a part of the capacity, ask again when it has exited")
            }
            Step::Serving => {
                self.enter(Step::AwaitingHello, now + self.timeouts.hello);
                Ok(vec![Effect::Spawn])
            }
            Step::Draining | Step::Finishing | Step::HandedOver => {
                Err("this process has handed over, ask the new one")
            }
            _ => Err("an upgrade is under way"),
        }
    }

    /// Notes that a stop of the router was requested; the router accepts clients until `accepts_until`. The new process
    /// then leaves because it was asked to, and this one does not serve in its place.
    pub fn note_stop(&mut self, accepts_until: Micros) {
        self.accepts_until.get_or_insert(accepts_until);
    }

    /// The part of this process in the router.
    pub fn phase(&self) -> Phase {
        match self.step {
            Step::Serving | Step::Finishing => Phase::Alone,
            Step::AwaitingHello
            | Step::CheckingSettings
            | Step::PassingListeners
            | Step::PassingState => Phase::Launching,
            Step::Committing => Phase::Committing,
            Step::Draining | Step::EndingNewProcess => Phase::Yielding,
            Step::HandedOver => Phase::Parent,
        }
    }

    /// When the driver must call [`OldProcess::handle_timeout`]; None if the current step has no deadline.
    pub fn next_timeout(&self) -> Option<Micros> {
        self.deadline
    }

    /// Whether this is the only process and no restart is in progress.
    pub fn is_serving(&self) -> bool {
        self.step == Step::Serving
    }

    /// Whether the new process serves and this one answers the requests that it has accepted.
    pub fn is_draining(&self) -> bool {
        self.step == Step::Draining
    }

    /// The part of the capacity that this process may use now.
    pub fn lease(&self) -> Lease {
        self.lease
    }

    /// The step as text. The control socket returns it, and scripts match on it.
    pub fn step_name(&self) -> &'static str {
        self.step.name()
    }

    /// Handles an event; `in_use` is what this process currently uses.
    pub fn handle_event(
        &mut self,
        now: Micros,
        event: NewProcessEvent,
        in_use: Lease,
    ) -> Vec<Effect> {
        match event {
            NewProcessEvent::Received(message) => self.handle_message(now, message, in_use),
            NewProcessEvent::LinkBroken => self.handle_link_broken(now),
            NewProcessEvent::ProcessDied => self.handle_process_died(now),
        }
    }

    /// Acts on a deadline that has passed: sends the next ping, or abandons the restart.
    pub fn handle_timeout(&mut self, now: Micros) -> Vec<Effect> {
        if self.deadline.is_none_or(|deadline| deadline > now) {
            return Vec::new();
        }
        match self.step {
            Step::Serving | Step::Finishing | Step::HandedOver => {
                self.deadline = None;
                Vec::new()
            }
            // The new process was asked to exit and still runs: the driver kills it the second time.
            Step::EndingNewProcess => {
                self.enter(Step::EndingNewProcess, now + self.timeouts.step);
                vec![Effect::EndPeer]
            }
            Step::Draining if !self.awaiting_pong => {
                self.enter(Step::Draining, now + self.timeouts.silence);
                self.awaiting_pong = true;
                vec![Effect::Send(Message::Ping)]
            }
            _ => self.abandon(now, &self.timeout_reason()),
        }
    }

    /// Handles the end of draining: nothing is in flight in this process, and no client is connected to it.
    pub fn drain_finished(&mut self) -> Vec<Effect> {
        match self.step {
            Step::Draining if self.has_answered_ping => {}
            Step::Finishing => {}
            _ => return Vec::new(),
        }
        self.step = Step::HandedOver;
        self.deadline = None;
        let done = Message::Done { lease: self.lease };
        vec![Effect::Send(done), Effect::Exit]
    }

    fn timeout_reason(&self) -> String {
        format!(
            "the new process did not answer in time while this process {}",
            self.step.name()
        )
    }

    fn handle_message(&mut self, now: Micros, message: Message, in_use: Lease) -> Vec<Effect> {
        match (self.step, message) {
            (Step::AwaitingHello, Message::Hello { version, program }) => {
                self.handle_hello(now, version, &program)
            }
            (Step::CheckingSettings, Message::Checked { same }) => self.pass_listeners(now, same),
            (Step::PassingListeners, Message::Got) => {
                self.enter(Step::PassingState, now + self.timeouts.ready);
                vec![Effect::PassState]
            }
            (Step::PassingState, Message::Ready) => self.commit(now, in_use),
            (Step::Committing, Message::Took) => self.drain(now),
            (Step::Draining, Message::Pong) => {
                self.enter(Step::Draining, now + self.timeouts.silence);
                self.awaiting_pong = false;
                self.has_answered_ping = true;
                Vec::new()
            }
            // Messages that the new process sent before it learned that the restart was abandoned or finished.
            (
                Step::EndingNewProcess
                | Step::Serving
                | Step::HandedOver
                | Step::Draining
                | Step::Finishing,
                _,
            ) => Vec::new(),
            (_, message) => {
                let why = format!(
                    "the new process sent {} while this process {}",
                    message.name(),
                    self.step.name()
                );
                self.abandon(now, &why)
            }
        }
    }

    fn handle_hello(&mut self, now: Micros, version: u16, program: &str) -> Vec<Effect> {
        if version != VERSION {
            let why =
                format!("the new process uses protocol version {version}, expected {VERSION}");
            return self.abandon(now, &why);
        }
        self.enter(Step::CheckingSettings, now + self.timeouts.step);
        vec![
            Effect::Log(format!("upgrade: {program} has started")),
            Effect::Send(Message::Offer {
                version: VERSION,
                settings: self.settings,
            }),
        ]
    }

    fn pass_listeners(&mut self, now: Micros, same_settings: bool) -> Vec<Effect> {
        self.enter(Step::PassingListeners, now + self.timeouts.step);
        let settings = if same_settings {
            "the same settings"
        } else {
            "other settings"
        };
        vec![
            Effect::Log(format!("upgrade: the new process runs on {settings}")),
            Effect::PassListeners,
        ]
    }

    fn commit(&mut self, now: Micros, in_use: Lease) -> Vec<Effect> {
        let split = self.capacity.split(in_use);
        self.lease = split.retained;
        if self.has_bug(InjectedBug::KeepsWholeLease) {
            self.lease = self.capacity;
        }
        self.enter(Step::Committing, now + self.timeouts.step);
        // This process reduces its use before the new one receives its lease.
        let mut effects = vec![
            Effect::ApplyLease(self.lease),
            Effect::Send(Message::Commit {
                lease: split.granted,
            }),
        ];
        if self.has_bug(InjectedBug::StopsAcceptingEarly) {
            effects.push(Effect::Accept(false));
        }
        effects
    }

    fn drain(&mut self, now: Micros) -> Vec<Effect> {
        self.enter(Step::Draining, now + self.timeouts.silence);
        self.awaiting_pong = true;
        self.has_answered_ping = false;
        let line = "upgrade: the new process serves, this process drains";
        vec![
            Effect::Send(Message::Ping),
            Effect::Accept(false),
            Effect::Log(line.into()),
            Effect::PassClients(true),
        ]
    }

    fn handle_link_broken(&mut self, now: Micros) -> Vec<Effect> {
        match self.step {
            Step::Serving | Step::EndingNewProcess | Step::Finishing | Step::HandedOver => {
                Vec::new()
            }
            // The new process already accepts clients and needs no further message from this one.
            Step::Draining => {
                self.deadline = None;
                vec![Effect::PassClients(false)]
            }
            _ => self.abandon(now, "the link to the new process broke"),
        }
    }

    fn handle_process_died(&mut self, now: Micros) -> Vec<Effect> {
        match self.step {
            Step::Serving | Step::Finishing | Step::HandedOver => Vec::new(),
            Step::Draining if !self.may_accept(now) => self.handle_new_process_stopped(),
            _ => self.serve_alone(now, "the new process has ended"),
        }
    }

    /// Handles the end of a new process that has stopped because the router stops. This process answers what it has
    /// accepted, and exits.
    fn handle_new_process_stopped(&mut self) -> Vec<Effect> {
        self.step = Step::Finishing;
        self.deadline = None;
        self.lease = self.capacity;
        vec![
            Effect::Log("upgrade: the new process has stopped, as the router does".into()),
            Effect::PassClients(false),
            Effect::ApplyLease(self.lease),
            Effect::ShutDownListeners,
        ]
    }

    /// Whether this process may accept clients in place of the new one: not once the accept period of a stop is over.
    fn may_accept(&self, now: Micros) -> bool {
        self.accepts_until.is_none_or(|until| now < until)
            || self.has_bug(InjectedBug::ServesBehindStop)
    }

    /// Serves again and ends the new process. This process regains its lease once it has ended.
    fn abandon(&mut self, now: Micros, why: &str) -> Vec<Effect> {
        let mut effects = vec![self.abandoned_line(why)];
        if self.step == Step::Draining {
            effects.extend(self.accept_again(now));
        }
        let why = why.to_owned();
        effects.push(Effect::Send(Message::Abandon { why }));
        effects.push(Effect::EndPeer);
        self.enter(Step::EndingNewProcess, now + self.timeouts.step);
        effects
    }

    /// Serves with the whole capacity after the new process has ended.
    fn serve_alone(&mut self, now: Micros, why: &str) -> Vec<Effect> {
        let mut effects = Vec::new();
        // The line was already logged when the new process was asked to exit.
        if self.step != Step::EndingNewProcess {
            effects.push(self.abandoned_line(why));
        }
        if self.step == Step::Draining && !self.has_bug(InjectedBug::StaysDrained) {
            effects.extend(self.accept_again(now));
        }
        self.step = Step::Serving;
        self.deadline = None;
        self.lease = self.capacity;
        effects.push(Effect::ApplyLease(self.lease));
        effects
    }

    /// The driver parses the reason out of this line: the text after "given up, ".
    fn abandoned_line(&self, why: &str) -> Effect {
        let outcome = match self.accepts_until {
            None => "continues to serve",
            Some(_) => "stops",
        };
        Effect::Log(format!("upgrade: given up, {why}; this process {outcome}"))
    }

    fn accept_again(&self, now: Micros) -> Vec<Effect> {
        let mut effects = vec![Effect::PassClients(false)];
        if self.may_accept(now) {
            effects.push(Effect::Accept(true));
        }
        effects
    }

    fn enter(&mut self, step: Step, deadline: Micros) {
        self.step = step;
        self.deadline = Some(deadline);
    }

    #[cfg(test)]
    fn has_bug(&self, bug: InjectedBug) -> bool {
        self.injected_bug == Some(bug)
    }

    #[cfg(not(test))]
    fn has_bug(&self, _: InjectedBug) -> bool {
        false
    }
}
