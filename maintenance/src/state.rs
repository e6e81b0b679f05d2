//! The replicated state of maintenance, derived from the log alone: the same entries in the same order give the same
//! state on every router. An entry that does not fit the state when its turn comes changes nothing.
//!
//! The coordinator applies entries here and reads the result. Which entries to propose is decided in
//! [`crate::coordinator`].

mod coordinator_entries;
mod operator_entries;
mod rejection;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};
use ternpick_fleet_policy::{Index, Member};

use crate::entry::{Entry, Request};
use crate::ids::{Fence, PermitNo, RequestNo};
use crate::operation::{Operation, OperationKey, Phase};
pub use rejection::Rejection;

/// Lines of the history; the oldest go first.
const MAX_HISTORY: usize = 64;
/// The longest name or reason, in bytes.
const MAX_TEXT_BYTES: usize = 256;

/// Why nothing more goes out.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pause {
    /// The operator who paused.
    #[serde(rename = "by")]
    pub paused_by: String,
    /// What for.
    #[serde(rename = "why")]
    pub reason: String,
    /// The coordinator paused, and will resume without an operator.
    #[serde(rename = "own")]
    pub automatic: bool,
}

/// One line of the history that operators read.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The log index of the entry that it comes from.
    pub index: Index,
    /// What happened. Replicated: all versions of the program word it alike.
    pub text: String,
}

/// The coordinator, and the term in which it was elected leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CoordinatorTerm {
    /// The router.
    pub member: Member,
    /// Its Raft term.
    pub term: u64,
}

/// What the fleet has agreed on. It is stored by position: no field may move.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MaintenanceState {
    /// The coordinator's fencing number: the log index at which it took over.
    pub fence: Fence,
    /// Who proposes the next entries; none before the first request.
    pub coordinator: Option<CoordinatorTerm>,
    /// Open requests, at most [`crate::MAX_OPEN_REQUESTS`]; one is removed once all its operations are finished.
    pub requests: BTreeMap<RequestNo, Request>,
    /// The operations of open requests.
    pub operations: BTreeMap<OperationKey, Operation>,
    /// While it is set, no machine goes out.
    pub pause: Option<Pause>,
    /// Shard requests a second of all routers together, as last agreed.
    pub load: u64,
    /// The routers that belong to the fleet.
    pub members: BTreeSet<Member>,
    /// Routers that left, and may still act on what they admitted; removed by [`Entry::ForgetMember`].
    pub departed_members: BTreeSet<Member>,
    /// The last lines of what happened.
    pub history: VecDeque<HistoryEntry>,
}

/// For who proposed the entry: a number (of a request, a permit, a count or a log index), or why nothing changed.
type Applied = Result<u64, Rejection>;

impl MaintenanceState {
    /// Applies the entry at a log index.
    pub fn apply(&mut self, at: Index, entry: Entry) -> Applied {
        if let Some(found) = entry.fence().filter(|found| *found != self.fence) {
            return Err(Rejection::StaleFence {
                found,
                current: self.fence,
            });
        }
        match entry {
            Entry::OpenRequest { request } => self.open_request(at, request),
            Entry::ChangeRequest {
                request,
                deadline_ms,
                priority,
                by,
            } => self.change_request(at, request, deadline_ms, priority, &by),
            Entry::CancelRequest { request, by } => self.cancel_request(at, request, &by),
            Entry::Pause { by, reason } => self.pause_by_operator(at, by, reason),
            Entry::Resume { by } => self.resume(at, &by),
            Entry::StartWork { permit, by } => self.start_work(at, permit, by),
            Entry::FinishWork {
                permit,
                by,
                unfit_reason,
            } => self.finish_work(at, permit, &by, unfit_reason),
            Entry::BecomeCoordinator { member, term } => {
                self.become_coordinator(at, CoordinatorTerm { member, term })
            }
            Entry::TakeOut {
                operations,
                wall_ms,
                ..
            } => self.take_out(at, &operations, wall_ms),
            Entry::GrantPermit {
                operation, wall_ms, ..
            } => self.grant_permit(at, &operation, wall_ms),
            Entry::ReturnToService {
                operation, wall_ms, ..
            } => self.return_to_service(at, &operation, wall_ms),
            Entry::KeepOut {
                operation, wall_ms, ..
            } => self.keep_out(at, &operation, wall_ms),
            Entry::AutoPause { reason, .. } => self.auto_pause(at, reason),
            Entry::AutoResume { .. } => self.auto_resume(at),
            Entry::SetLoad {
                requests_per_second,
                ..
            } => self.set_load(at, requests_per_second),
            Entry::ForgetMember { member, .. } => self.forget_member(at, &member),
        }
    }

    /// The fleet's routers from this log index on.
    pub fn set_members(&mut self, members: BTreeSet<Member>) {
        let departed: Vec<Member> = self.members.difference(&members).cloned().collect();
        self.departed_members.extend(departed);
        self.departed_members
            .retain(|member| !members.contains(member));
        self.members = members;
    }

    /// Machines that get no new shard requests, by name.
    pub fn machines_out(&self) -> Vec<String> {
        self.machines_where(Phase::is_out)
            .into_iter()
            .map(str::to_owned)
            .collect()
    }

    /// Machines that are out, or have not returned to service yet.
    pub fn active_machines(&self) -> BTreeSet<&str> {
        self.machines_where(Phase::is_active)
    }

    /// Machines that have been given back and have not returned to service yet.
    pub fn returning_machines(&self) -> BTreeSet<&str> {
        self.machines_where(|phase| matches!(phase, Phase::Returning { .. }))
    }

    fn machines_where(&self, is_wanted: impl Fn(&Phase) -> bool) -> BTreeSet<&str> {
        self.operations
            .iter()
            .filter(|(_, operation)| is_wanted(&operation.phase))
            .map(|(key, _)| key.machine.as_str())
            .collect()
    }

    /// Whether the operation exists and its machine has not gone out yet.
    pub fn is_waiting(&self, key: &OperationKey) -> bool {
        self.phase(key) == Some(&Phase::Waiting)
    }

    fn phase(&self, key: &OperationKey) -> Option<&Phase> {
        self.operations.get(key).map(|operation| &operation.phase)
    }

    fn operation_with_permit(&self, permit: PermitNo) -> Option<OperationKey> {
        self.operations
            .iter()
            .find(|(_, operation)| operation.phase.permit() == Some(permit))
            .map(|(key, _)| key.clone())
    }

    fn record(&mut self, index: Index, text: String) {
        self.history.push_back(HistoryEntry { index, text });
        while self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    /// Puts an operation into a phase, and closes its request if that was the last one.
    fn set_phase(&mut self, key: &OperationKey, phase: Phase, at: Index, since_ms: u64) {
        let text = format!(
            "{} of request {}: {}",
            key.machine,
            key.request,
            phase.description()
        );
        if let Some(operation) = self.operations.get_mut(key) {
            *operation = Operation {
                phase,
                since_index: at,
                since_ms,
            };
            self.record(at, text);
        }
        self.close_if_finished(key.request, at);
    }

    fn close_if_finished(&mut self, request: RequestNo, at: Index) {
        let is_finished = self
            .operations
            .iter()
            .filter(|(key, _)| key.request == request)
            .all(|(_, operation)| operation.phase.is_finished());
        if is_finished && self.requests.remove(&request).is_some() {
            self.operations.retain(|key, _| key.request != request);
            self.record(at, format!("request {request} is closed"));
        }
    }
}
