//! Stops and reloads of a router while a hot restart makes two processes one router.
//!
//! An operator may send a request to either process: by a signal, or by a command to the control socket. [`Requests`]
//! decides what the process that receives it does itself, and what the other process is told. `docs/design/upgrade.md`
//! has the table. The drivers deliver requests and carry out [`RequestEffect`]s.

/// What an operator asks of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Request {
    /// Answer what has been accepted, then exit.
    Stop,
    /// Read the files again.
    Reload,
}

/// Who has sent a request to this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Requester {
    /// An operator or a supervisor: the other process does not know of the request.
    Operator,
    /// The other process of the hot restart, which has acted on the request itself.
    OtherProcess,
}

/// The part of this process in the router. The other process of each phase is the new or the old one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// The only process that serves.
    Alone,
    /// Has started a new process, which owns nothing before the commit.
    Launching,
    /// Has sent the commit: the new process may accept clients, and this one still does.
    Committing,
    /// The new process accepts clients, this one answers what it has accepted.
    Yielding,
    /// Has handed over everything and stays as the parent of the new process.
    Parent,
    /// A new process before the commit: the old one serves.
    TakingOver,
    /// A new process that accepts clients while the old one answers what it has accepted.
    Succeeding,
}

/// What a driver does for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestEffect {
    /// Stop this process gracefully.
    Stop,
    /// Read this process's files again.
    Reload,
    /// Send the request to the other process.
    Forward(Request),
    /// Kill the new process, which owns nothing.
    KillNewProcess,
    /// Exit at once: this process owns nothing.
    Exit,
}

/// The requests that one process has received, and its part in the router.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Requests {
    phase: Phase,
    /// Whether the new process has to be told to reload once it can be.
    reload_owed: bool,
    /// What this process does once it serves.
    deferred: Deferred,
    /// Who has requested a stop first. Its time counts from then, so that later requests change nothing.
    stop_requester: Option<Requester>,
    /// Whether this process has lost the link to the old one, which lives.
    link_lost: bool,
    #[cfg(test)]
    pub(crate) injected_bug: Option<crate::injected_bug::RequestBug>,
}

/// Requests that arrived before this process served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Deferred {
    stop: bool,
    reload: bool,
}

impl Requests {
    /// The requests of a process that begins in `phase`.
    pub fn new(phase: Phase) -> Self {
        Requests {
            phase,
            reload_owed: false,
            deferred: Deferred::default(),
            stop_requester: None,
            link_lost: false,
            #[cfg(test)]
            injected_bug: None,
        }
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether a stop has been requested.
    pub fn is_stop_requested(&self) -> bool {
        self.stop_requester.is_some()
    }

    /// Handles the death of the old process. It may have owed this process a reload.
    pub fn handle_death_of_old_process(&mut self) -> Vec<RequestEffect> {
        match self.phase {
            Phase::TakingOver => {
                self.deferred.reload = true;
                Vec::new()
            }
            Phase::Succeeding => vec![RequestEffect::Reload],
            _ => Vec::new(),
        }
    }

    /// Notes that the link to the old process is lost while that process lives.
    pub fn note_link_lost(&mut self) {
        self.link_lost = true;
    }

    /// Whether this process may shut down the listening sockets, which both processes share, when it stops. A new
    /// process that the old one has ended must not if the reason cannot reach it: the old one may accept again.
    pub fn may_shut_down_listeners(&self) -> bool {
        let ended_by_old_process =
            self.phase == Phase::Succeeding && self.stop_requester == Some(Requester::OtherProcess);
        !(ended_by_old_process && self.link_lost)
    }

    /// Enters a phase, and returns what earlier requests require in it.
    pub fn enter(&mut self, phase: Phase) -> Vec<RequestEffect> {
        if self.phase == phase {
            return Vec::new();
        }
        self.phase = phase;
        match phase {
            Phase::Alone | Phase::Succeeding => self.act_on_deferred(),
            Phase::Yielding => self.tell_owed_reload(),
            Phase::Launching => {
                self.reload_owed = false;
                Vec::new()
            }
            Phase::Committing | Phase::Parent | Phase::TakingOver => Vec::new(),
        }
    }

    /// Handles a request.
    pub fn handle(&mut self, request: Request, requester: Requester) -> Vec<RequestEffect> {
        match request {
            Request::Stop if self.is_stop_requested() => Vec::new(),
            Request::Stop => {
                self.stop_requester = Some(requester);
                self.handle_stop(requester)
            }
            Request::Reload => self.handle_reload(requester),
        }
    }

    fn handle_stop(&mut self, requester: Requester) -> Vec<RequestEffect> {
        match self.phase {
            Phase::Alone => vec![RequestEffect::Stop],
            Phase::Launching => vec![RequestEffect::KillNewProcess, RequestEffect::Stop],
            Phase::Committing | Phase::Yielding | Phase::Succeeding => {
                let mut effects = self.forward(Request::Stop, requester);
                effects.push(RequestEffect::Stop);
                effects
            }
            Phase::Parent => self.forward(Request::Stop, requester),
            // The old process has abandoned the upgrade, or stops itself.
            Phase::TakingOver if requester == Requester::OtherProcess => vec![RequestEffect::Exit],
            Phase::TakingOver => {
                self.deferred.stop = true;
                self.forward(Request::Stop, requester)
            }
        }
    }

    fn handle_reload(&mut self, requester: Requester) -> Vec<RequestEffect> {
        match self.phase {
            Phase::Alone => vec![RequestEffect::Reload],
            // The new process may have no handlers yet. It is told once it has confirmed that it serves.
            Phase::Launching | Phase::Committing => {
                self.reload_owed |= requester == Requester::Operator;
                vec![RequestEffect::Reload]
            }
            Phase::Yielding | Phase::Succeeding => {
                let mut effects = vec![RequestEffect::Reload];
                effects.extend(self.forward(Request::Reload, requester));
                effects
            }
            Phase::Parent => self.forward(Request::Reload, requester),
            Phase::TakingOver => {
                self.deferred.reload = true;
                self.forward(Request::Reload, requester)
            }
        }
    }

    /// Forwards a request unless it has come from the other process: it would come back without end.
    fn forward(&self, request: Request, requester: Requester) -> Vec<RequestEffect> {
        if requester == Requester::OtherProcess || self.has_bug_in_forwarding(request) {
            return Vec::new();
        }
        vec![RequestEffect::Forward(request)]
    }

    fn act_on_deferred(&mut self) -> Vec<RequestEffect> {
        let deferred = std::mem::take(&mut self.deferred);
        if deferred.stop {
            return vec![RequestEffect::Stop];
        }
        if deferred.reload {
            return vec![RequestEffect::Reload];
        }
        Vec::new()
    }

    fn tell_owed_reload(&mut self) -> Vec<RequestEffect> {
        if !std::mem::take(&mut self.reload_owed) {
            return Vec::new();
        }
        vec![RequestEffect::Forward(Request::Reload)]
    }

    #[cfg(test)]
    fn has_bug_in_forwarding(&self, request: Request) -> bool {
        use crate::injected_bug::RequestBug;
        match self.injected_bug {
            Some(RequestBug::KeepsStops) => request == Request::Stop,
            Some(RequestBug::KeepsReloads) => request == Request::Reload,
            None => false,
        }
    }

    #[cfg(not(test))]
    fn has_bug_in_forwarding(&self, _: Request) -> bool {
        false
    }
}
