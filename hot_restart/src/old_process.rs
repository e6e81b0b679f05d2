//! The side of the process that serves. It goes on accepting until it has heard that the new one does, and takes its
//! place again where the new one dies while there is anything left of the old.

use ternpick::types::Micros;

use crate::lease::Lease;
use crate::message::{Message, VERSION};
use crate::{Effect, StepTimeouts};

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// Alone, with the whole share.
    Serves,
    Greets,
    Checks,
    Hands,
    Loads,
    /// The commit is sent; the lease is already reduced to what is kept.
    Commits,
    /// The new one serves; what was taken here is finished here.
    Drains,
    /// The new one is being ended; its lease returns with its end.
    Ends,
    Over,
}

/// What the link brings.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum NewProcessEvent {
    Received(Message),
    /// What came is no message, or the link has ended while the new one lives.
    LinkBroken,
    /// The new one has died.
    ProcessDied,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct OldProcess {
    step: Step,
    patience: StepTimeouts,
    share: Lease,
    /// What is in use here, and what the new one has.
    kept: Lease,
    due: Option<Micros>,
    /// The new one has been asked whether it is there, and has not answered yet.
    pinged: bool,
    /// It has answered once since it serves: one that hangs with the commit is not left alone.
    answered: bool,
    settings: u64,
    #[cfg(test)]
    pub(crate) fault: Option<crate::model::Fault>,
}

impl OldProcess {
    /// `share`: all that the router may use; `settings`: the digest of what it runs on.
    pub fn new(patience: StepTimeouts, share: Lease, settings: u64) -> Self {
        OldProcess {
            step: Step::Serves,
            patience,
            share,
            kept: share,
            due: None,
            pinged: false,
            answered: false,
            settings,
            #[cfg(test)]
            fault: None,
        }
    }

    /// An upgrade is asked for, of one who may use `has` now; a second one during one is refused with a word. So is one
    /// while the process before this one drains: three would use more than the share.
    pub fn start(&mut self, now: Micros, has: Lease) -> Result<Vec<Effect>, &'static str> {
        match self.step {
            Step::Serves if has != self.share => {
                Err("the process before this one still has a part of the share, ask again when it has left")
            }
            Step::Serves => {
                self.go(Step::Greets, now, self.patience.hello);
                Ok(vec![Effect::Spawn])
            }
            Step::Drains | Step::Over => Err("this process has handed over, ask the new one"),
            _ => Err("an upgrade is under way"),
        }
    }

    /// When it is to be told of the time; none: no step is under way.
    pub fn next_timeout(&self) -> Option<Micros> {
        self.due
    }

    pub fn is_serving(&self) -> bool {
        self.step == Step::Serves
    }

    pub fn is_draining(&self) -> bool {
        self.step == Step::Drains
    }

    /// What this process may use now.
    pub fn lease(&self) -> Lease {
        self.kept
    }

    /// The step, in a word.
    pub fn step_name(&self) -> &'static str {
        match self.step {
            Step::Serves => "serves",
            Step::Greets => "waits for hello",
            Step::Checks => "has its settings checked",
            Step::Hands => "passes the listeners",
            Step::Loads => "passes the state",
            Step::Commits => "commits",
            Step::Drains => "drains",
            Step::Ends => "ends the new one",
            Step::Over => "is over",
        }
    }

    fn go(&mut self, step: Step, now: Micros, within: Micros) {
        (self.step, self.due) = (step, Some(now + within));
    }

    /// Back to "the old one serves": the new one is ended, and its lease returns once it has.
    fn abandon(&mut self, now: Micros, why: &str) -> Vec<Effect> {
        let mut effects = vec![Effect::Log(format!(
            "upgrade: given up, {why}; this process goes on"
        ))];
        if self.step == Step::Drains {
            effects.extend([Effect::PassClients(false), Effect::Accept(true)]);
        }
        effects.extend([
            Effect::Send(Message::Abandon {
                why: why.to_owned(),
            }),
            Effect::EndPeer,
        ]);
        self.go(Step::Ends, now, self.patience.step);
        effects
    }

    /// The new one is gone for good.
    fn alone(&mut self, why: &str) -> Vec<Effect> {
        let mut effects = Vec::new();
        if self.step != Step::Ends {
            effects.push(Effect::Log(format!(
                "upgrade: given up, {why}; this process goes on"
            )));
        }
        if self.step == Step::Drains && !self.is(Planted::StaysDrained) {
            effects.extend([Effect::PassClients(false), Effect::Accept(true)]);
        }
        (self.step, self.due, self.kept) = (Step::Serves, None, self.share);
        effects.push(Effect::Use(self.kept));
        effects
    }

    #[cfg(test)]
    fn is(&self, planted: Planted) -> bool {
        self.fault == Some(planted)
    }

    #[cfg(not(test))]
    fn is(&self, _: Planted) -> bool {
        false
    }

    /// The link brings something; `uses` is what this process has in use, and what is left of its further calls.
    pub fn handle_event(&mut self, now: Micros, from: NewProcessEvent, uses: Lease) -> Vec<Effect> {
        let message = match from {
            NewProcessEvent::Received(message) => message,
            NewProcessEvent::ProcessDied => {
                return match self.step {
                    Step::Serves | Step::Over => Vec::new(),
                    _ => self.alone("the new process has ended"),
                }
            }
            NewProcessEvent::LinkBroken => {
                return match self.step {
                    // It accepts, and nothing more is wanted of it.
                    Step::Serves | Step::Ends | Step::Over => Vec::new(),
                    Step::Drains => {
                        self.due = None;
                        vec![Effect::PassClients(false)]
                    }
                    _ => self.abandon(now, "the link broke"),
                };
            }
        };
        match (&self.step, message) {
            (
                Step::Greets,
                Message::Hello {
                    version: VERSION,
                    program,
                },
            ) => {
                self.go(Step::Checks, now, self.patience.step);
                vec![
                    Effect::Log(format!("upgrade: {program} is there")),
                    Effect::Send(Message::Offer {
                        version: VERSION,
                        settings: self.settings,
                    }),
                ]
            }
            (Step::Greets, Message::Hello { version, .. }) => self.abandon(
                now,
                &format!("the new process speaks version {version}, not {VERSION}"),
            ),
            (Step::Checks, Message::Checked { same }) => {
                self.go(Step::Hands, now, self.patience.step);
                let word = if same {
                    "the same settings"
                } else {
                    "other settings"
                };
                vec![
                    Effect::Log(format!("upgrade: it runs on {word}")),
                    Effect::PassListeners,
                ]
            }
            (Step::Hands, Message::Got) => {
                self.go(Step::Loads, now, self.patience.ready);
                vec![Effect::PassState]
            }
            (Step::Loads, Message::Ready) => {
                let (kept, given) = self.share.split(uses);
                self.kept = if self.is(Planted::KeepsAll) {
                    self.share
                } else {
                    kept
                };
                self.go(Step::Commits, now, self.patience.step);
                let mut effects = vec![
                    Effect::Use(self.kept),
                    Effect::Send(Message::Commit { lease: given }),
                ];
                if self.is(Planted::StopsEarly) {
                    effects.push(Effect::Accept(false));
                }
                effects
            }
            (Step::Commits, Message::Took) => {
                self.go(Step::Drains, now, self.patience.silence);
                (self.pinged, self.answered) = (true, false);
                vec![
                    Effect::Send(Message::Ping),
                    Effect::Accept(false),
                    Effect::Log(
                        "upgrade: the new process serves, this one finishes what it has taken"
                            .into(),
                    ),
                    Effect::PassClients(true),
                ]
            }
            (Step::Drains, Message::Pong) => {
                self.go(Step::Drains, now, self.patience.silence);
                (self.pinged, self.answered) = (false, true);
                Vec::new()
            }
            // What was on its way when it was given up.
            (Step::Ends | Step::Serves | Step::Over | Step::Drains, _) => Vec::new(),
            (_, message) => self.abandon(now, &format!("{} was not expected", message.name())),
        }
    }

    /// The time of a step is over.
    pub fn handle_timeout(&mut self, now: Micros) -> Vec<Effect> {
        if self.due.is_none_or(|due| due > now) {
            return Vec::new();
        }
        match self.step {
            Step::Serves | Step::Over => {
                self.due = None;
                Vec::new()
            }
            // Asked to end, it has not: it is ended for good, which the driver tells.
            Step::Ends => {
                self.go(Step::Ends, now, self.patience.step);
                vec![Effect::EndPeer]
            }
            Step::Drains if !self.pinged => {
                self.go(Step::Drains, now, self.patience.silence);
                self.pinged = true;
                vec![Effect::Send(Message::Ping)]
            }
            _ => self.abandon(now, &format!("nothing came while it {}", self.step_name())),
        }
    }

    /// Nothing is left in hand, and no client's connection.
    pub fn drain_finished(&mut self) -> Vec<Effect> {
        if self.step != Step::Drains || !self.answered {
            return Vec::new();
        }
        (self.step, self.due) = (Step::Over, None);
        vec![
            Effect::Send(Message::Done { lease: self.kept }),
            Effect::Exit,
        ]
    }
}

/// Faults that are planted to see that the model finds them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Planted {
    /// Goes on as drained though the new one has died.
    StaysDrained,
    /// Accepts no more with the commit, not with the word that the new one does.
    StopsEarly,
    /// Gives a lease away and keeps all.
    KeepsAll,
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    const SHARE: Lease = Lease {
        held: 8,
        extra: 8,
        sockets: 8,
        memory: 8,
    };

    #[test_case(SHARE, true; "all of the share")]
    #[test_case(Lease { held: 6, ..SHARE }, false; "less, while another drains")]
    fn an_upgrade_begins_with_the_whole_share_alone(has: Lease, begins: bool) {
        let mut old = OldProcess::new(StepTimeouts::default(), SHARE, 1);
        assert_eq!(old.start(Micros(0), has).is_ok(), begins);
        assert_eq!(old.is_serving(), !begins);
    }
}
