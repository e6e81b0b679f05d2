//! The steps of a hot restart in the old process, in order.

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Step {
    /// The only process, with the whole capacity.
    Serving,
    AwaitingHello,
    CheckingSettings,
    PassingListeners,
    PassingState,
    /// The commit has been sent; this process has already reduced its lease to what it retains.
    Committing,
    /// The new process serves; this one answers the requests that it has accepted.
    Draining,
    /// The new process has been asked to exit; this one regains its lease when it has ended.
    EndingNewProcess,
    /// The new process has stopped because the router stops; this one answers the requests that it has accepted.
    Finishing,
    HandedOver,
}

impl Step {
    /// The control socket returns this text, and scripts match on it.
    pub(super) fn name(self) -> &'static str {
        match self {
            Step::Serving => "serves",
            Step::AwaitingHello => "waits for hello",
            Step::CheckingSettings => "has its settings checked",
            Step::PassingListeners => "passes the listeners",
            Step::PassingState => "passes the state",
            Step::Committing => "commits",
            Step::Draining | Step::Finishing => "drains",
            Step::EndingNewProcess => "ends the new one",
            Step::HandedOver => "is over",
        }
    }
}
