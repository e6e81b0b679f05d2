//! The new process: it takes over from the old one.
//!
//! It accepts clients once the old process commits, and stops if the old process abandons the restart after that. If
//! the old process ends before the commit, the new one serves with what it has received.

use ternpick::types::Micros;

use crate::lease::Lease;
use crate::message::{Message, VERSION};
use crate::{Effect, Phase, StepTimeouts};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// This process has sent its hello.
    AwaitingOffer,
    /// This process has reported whether its settings are the same.
    AwaitingListeners,
    /// This process has the listeners and loads the state.
    LoadingState,
    /// This process has reported that it is ready.
    AwaitingCommit,
    Serving,
    /// The driver has been asked to end this process.
    Exiting,
}

/// An event that the driver of the new process reports.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OldProcessEvent {
    /// A message has arrived.
    Received(Message),
    /// The link was closed or carried an invalid frame.
    LinkLost {
        /// Whether the old process still runs.
        old_process_runs: bool,
    },
    /// The last piece of the snapshot has arrived; the value is whether the snapshot could be loaded.
    SnapshotLoaded(bool),
}

/// The new process of a hot restart.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NewProcess {
    step: Step,
    timeouts: StepTimeouts,
    /// The digest of the settings that this process was started with.
    settings: u64,
    lease: Lease,
    /// When the current step times out.
    deadline: Option<Micros>,
}

impl NewProcess {
    /// A new process and its first effects. `settings` is the digest of its settings; `program` names it in the old
    /// process's log.
    pub fn start(
        timeouts: StepTimeouts,
        settings: u64,
        program: &str,
        now: Micros,
    ) -> (Self, Vec<Effect>) {
        let hello = Message::Hello {
            version: VERSION,
            program: program.to_owned(),
        };
        let new = NewProcess {
            step: Step::AwaitingOffer,
            timeouts,
            settings,
            lease: Lease::default(),
            deadline: Some(now + timeouts.step),
        };
        (new, vec![Effect::Send(hello)])
    }

    /// When the driver must call [`NewProcess::handle_timeout`]; None if the current step has no deadline.
    pub fn next_timeout(&self) -> Option<Micros> {
        self.deadline
    }

    /// Whether this process accepts clients.
    pub fn is_serving(&self) -> bool {
        self.step == Step::Serving
    }

    /// The part of this process in the router, as long as the old one lives.
    pub fn phase(&self) -> Phase {
        match self.step {
            Step::AwaitingOffer
            | Step::AwaitingListeners
            | Step::LoadingState
            | Step::AwaitingCommit => Phase::TakingOver,
            Step::Serving | Step::Exiting => Phase::Succeeding,
        }
    }

    /// Whether the driver has been asked to end this process.
    pub fn is_exiting(&self) -> bool {
        self.step == Step::Exiting
    }

    /// The part of the capacity that this process may use now; nothing before the commit.
    pub fn lease(&self) -> Lease {
        self.lease
    }

    /// Handles an event; `capacity` is the capacity of the whole router.
    pub fn handle_event(
        &mut self,
        now: Micros,
        event: OldProcessEvent,
        capacity: Lease,
    ) -> Vec<Effect> {
        match event {
            OldProcessEvent::Received(message) => self.handle_message(now, message),
            OldProcessEvent::LinkLost {
                old_process_runs: true,
            } => self.handle_link_broken(),
            OldProcessEvent::LinkLost {
                old_process_runs: false,
            } => self.handle_old_ended(capacity),
            OldProcessEvent::SnapshotLoaded(loaded) => self.handle_snapshot_loaded(now, loaded),
        }
    }

    /// Abandons the takeover if the current step has reached its deadline.
    pub fn handle_timeout(&mut self, now: Micros) -> Vec<Effect> {
        if self.deadline.is_some_and(|deadline| deadline <= now) {
            return self.abandon("the old process did not answer in time");
        }
        Vec::new()
    }

    fn handle_message(&mut self, now: Micros, message: Message) -> Vec<Effect> {
        match (self.step, message) {
            (Step::Exiting, _) => Vec::new(),
            (Step::Serving, message) => self.handle_message_while_serving(message),
            (_, Message::Abandon { why }) => self.abandon(&why),
            (Step::AwaitingOffer, Message::Offer { version, settings }) => {
                self.handle_offer(now, version, settings)
            }
            (Step::AwaitingListeners, Message::Descriptors { count: 1.. }) => {
                self.enter(Step::LoadingState, now + self.timeouts.ready);
                vec![Effect::Send(Message::Got)]
            }
            // The driver collects the pieces and reports when the snapshot is loaded.
            (Step::LoadingState, Message::State { .. }) => Vec::new(),
            (Step::AwaitingCommit, Message::Commit { lease }) => self.handle_commit(lease),
            (_, message) => self.abandon(&format!(
                "the old process sent {} unexpectedly",
                message.name()
            )),
        }
    }

    fn handle_message_while_serving(&mut self, message: Message) -> Vec<Effect> {
        match message {
            Message::Ping => vec![Effect::Send(Message::Pong)],
            Message::Done { lease } => {
                self.lease = self.lease.combine(lease);
                vec![Effect::ApplyLease(self.lease)]
            }
            // The old process serves again and ends this one, which still answers the requests that it has accepted.
            Message::Abandon { why } => {
                let mut effects = vec![Effect::Accept(false)];
                effects.extend(self.abandon(&why));
                effects
            }
            _ => Vec::new(),
        }
    }

    fn handle_offer(&mut self, now: Micros, version: u16, settings: u64) -> Vec<Effect> {
        if version != VERSION {
            return self.abandon(&format!(
                "the old process uses protocol version {version}, expected {VERSION}"
            ));
        }
        self.enter(Step::AwaitingListeners, now + self.timeouts.step);
        let same = settings == self.settings;
        vec![Effect::Send(Message::Checked { same })]
    }

    fn handle_commit(&mut self, lease: Lease) -> Vec<Effect> {
        self.serve(lease);
        vec![
            Effect::ApplyLease(lease),
            Effect::Accept(true),
            Effect::Send(Message::Took),
        ]
    }

    fn handle_snapshot_loaded(&mut self, now: Micros, loaded: bool) -> Vec<Effect> {
        if self.step != Step::LoadingState {
            return Vec::new();
        }
        if !loaded {
            return self.abandon("the snapshot could not be loaded");
        }
        self.enter(Step::AwaitingCommit, now + self.timeouts.step);
        vec![Effect::Send(Message::Ready)]
    }

    /// Handles the loss of the link while the old process still runs: the old process serves, unless this one serves
    /// already.
    fn handle_link_broken(&mut self) -> Vec<Effect> {
        match self.step {
            Step::Exiting | Step::Serving => Vec::new(),
            _ => self.abandon("the link to the old process broke"),
        }
    }

    /// Handles the end of the old process: this one may use the whole capacity.
    fn handle_old_ended(&mut self, capacity: Lease) -> Vec<Effect> {
        match self.step {
            Step::Exiting => Vec::new(),
            Step::Serving if self.lease == capacity => Vec::new(),
            Step::Serving => {
                self.lease = capacity;
                vec![Effect::ApplyLease(capacity)]
            }
            _ => self.serve_without_commit(capacity),
        }
    }

    /// Serves with what has arrived: on the old process's listeners if it has received them, else on its own.
    fn serve_without_commit(&mut self, capacity: Lease) -> Vec<Effect> {
        let has_listeners = matches!(self.step, Step::LoadingState | Step::AwaitingCommit);
        self.serve(capacity);
        let start_accepting = if has_listeners {
            Effect::Accept(true)
        } else {
            Effect::BindListeners
        };
        vec![
            Effect::Log(
                "upgrade: the old process ended before the commit, this process serves".into(),
            ),
            Effect::ApplyLease(capacity),
            start_accepting,
        ]
    }

    fn enter(&mut self, step: Step, deadline: Micros) {
        self.step = step;
        self.deadline = Some(deadline);
    }

    fn serve(&mut self, lease: Lease) {
        self.step = Step::Serving;
        self.deadline = None;
        self.lease = lease;
    }

    fn abandon(&mut self, why: &str) -> Vec<Effect> {
        self.step = Step::Exiting;
        self.deadline = None;
        self.lease = Lease::default();
        vec![
            Effect::Log(format!("upgrade: takeover abandoned, {why}")),
            Effect::Exit,
        ]
    }
}
