//! The side of the process that is to take over. It accepts once it is told to, and never gives way afterwards but
//! to be ended; where the old one dies before that, it serves from what it has.

use ternpick::types::Micros;

use crate::lease::Lease;
use crate::message::{Message, VERSION};
use crate::{Effect, StepTimeouts};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Greets,
    Checked,
    /// Has the listeners.
    Loads,
    Ready,
    Serves,
    Over,
}

/// What the link brings, or what was done here.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum OldProcessEvent {
    Received(Message),
    /// The link has ended, or what came is no message; does the old process live?
    LinkLost {
        old_lives: bool,
    },
    /// The whole snapshot is read in, or cannot be.
    SnapshotLoaded(bool),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct NewProcess {
    step: Step,
    patience: StepTimeouts,
    settings: u64,
    lease: Lease,
    due: Option<Micros>,
}

impl NewProcess {
    /// A new process says hello at once.
    pub fn start(
        patience: StepTimeouts,
        settings: u64,
        program: &str,
        now: Micros,
    ) -> (Self, Vec<Effect>) {
        let due = Some(now + patience.step);
        let hello = Message::Hello {
            version: VERSION,
            program: program.to_owned(),
        };
        let new = NewProcess {
            step: Step::Greets,
            patience,
            settings,
            lease: Lease::default(),
            due,
        };
        (new, vec![Effect::Send(hello)])
    }

    pub fn next_timeout(&self) -> Option<Micros> {
        self.due
    }

    pub fn is_serving(&self) -> bool {
        self.step == Step::Serves
    }

    pub fn is_over(&self) -> bool {
        self.step == Step::Over
    }

    /// What this process may use now; before the commit, nothing.
    pub fn lease(&self) -> Lease {
        self.lease
    }

    fn go(&mut self, step: Step, now: Micros, within: Micros) {
        (self.step, self.due) = (step, Some(now + within));
    }

    fn leave(&mut self, why: &str) -> Vec<Effect> {
        (self.step, self.due, self.lease) = (Step::Over, None, Lease::default());
        vec![
            Effect::Log(format!("upgrade: not taken over, {why}")),
            Effect::Exit,
        ]
    }

    /// The old one has died: serves from what there is. All of the share is this process's; `share` tells how much.
    fn alone(&mut self, share: Lease) -> Vec<Effect> {
        let has_listeners = matches!(self.step, Step::Loads | Step::Ready);
        (self.step, self.due, self.lease) = (Step::Serves, None, share);
        let serve = if has_listeners {
            Effect::Accept(true)
        } else {
            Effect::BindAnew
        };
        vec![
            Effect::Log("upgrade: the old process has died, this one serves".into()),
            Effect::Use(share),
            serve,
        ]
    }

    /// The link brings something; `share` is all that the router may use.
    pub fn handle_event(
        &mut self,
        now: Micros,
        from: OldProcessEvent,
        share: Lease,
    ) -> Vec<Effect> {
        let message = match from {
            OldProcessEvent::Received(message) => message,
            OldProcessEvent::SnapshotLoaded(true) if self.step == Step::Loads => {
                self.go(Step::Ready, now, self.patience.step);
                return vec![Effect::Send(Message::Ready)];
            }
            OldProcessEvent::SnapshotLoaded(false) if self.step == Step::Loads => {
                return self.leave("the state cannot be used")
            }
            OldProcessEvent::SnapshotLoaded(_) => return Vec::new(),
            OldProcessEvent::LinkLost { old_lives } => {
                return match (&self.step, old_lives) {
                    (Step::Over, _) => Vec::new(),
                    // With the old one's end what it kept returns.
                    (Step::Serves, false) if self.lease != share => {
                        self.lease = share;
                        vec![Effect::Use(share)]
                    }
                    (Step::Serves, _) => Vec::new(),
                    (_, true) => self.leave("the link broke"),
                    (_, false) => self.alone(share),
                };
            }
        };
        match (&self.step, message) {
            (Step::Over, _) => Vec::new(),
            (Step::Serves, Message::Ping) => vec![Effect::Send(Message::Pong)],
            (Step::Serves, Message::Done { lease }) => {
                self.lease = self.lease.with(lease);
                vec![Effect::Use(self.lease)]
            }
            // The old one takes its place again and ends this process, which answers what it has taken.
            (Step::Serves, Message::Abandon { why }) => {
                let mut effects = vec![Effect::Accept(false)];
                effects.extend(self.leave(&why));
                effects
            }
            (Step::Serves, _) => Vec::new(),
            (_, Message::Abandon { why }) => self.leave(&why),
            (
                Step::Greets,
                Message::Offer {
                    version: VERSION,
                    settings,
                },
            ) => {
                self.go(Step::Checked, now, self.patience.step);
                vec![Effect::Send(Message::Checked {
                    same: settings == self.settings,
                })]
            }
            (Step::Greets, Message::Offer { version, .. }) => self.leave(&format!(
                "the old process speaks version {version}, not {VERSION}"
            )),
            (Step::Checked, Message::Descriptors { count: 1.. }) => {
                self.go(Step::Loads, now, self.patience.ready);
                vec![Effect::Send(Message::Got)]
            }
            (Step::Loads, Message::State { .. }) => Vec::new(),
            (Step::Ready, Message::Commit { lease }) => {
                (self.step, self.due, self.lease) = (Step::Serves, None, lease);
                vec![
                    Effect::Use(lease),
                    Effect::Accept(true),
                    Effect::Send(Message::Took),
                ]
            }
            (_, message) => {
                let what = format!("{} was not expected", message.name());
                self.leave(&what)
            }
        }
    }

    /// The time of a step is over.
    pub fn handle_timeout(&mut self, now: Micros) -> Vec<Effect> {
        match self.due {
            Some(due) if due <= now => self.leave("nothing came from the old process in time"),
            _ => Vec::new(),
        }
    }
}
