//! The replicated state of maintenance, derived from the log alone: the same entries in the same order give the same
//! state on every router. An entry that is not valid in the state to which it is applied changes nothing.
//!
//! The coordinator applies entries here and reads the resulting state. [`crate::coordinator`] decides which entries to
//! propose.

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

/// The maximum number of history entries; the oldest ones are dropped first.
const MAX_HISTORY_ENTRIES: usize = 64;
/// The maximum length of a name or a reason, in bytes.
const MAX_TEXT_BYTES: usize = 256;

/// A pause of maintenance: no further machine is taken out.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Pause {
    /// The operator who paused maintenance.
    #[serde(rename = "by")]
    pub paused_by: String,
    /// The reason for the pause.
    #[serde(rename = "why")]
    pub reason: String,
    /// Whether the coordinator paused maintenance; it then also resumes without an operator.
    #[serde(rename = "own")]
    pub automatic: bool,
}

/// One line of the history that operators see.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The log index of the entry that this line describes.
    pub index: Index,
    /// The event. The text is replicated state, so all versions of the program must word it alike.
    pub text: String,
}

/// The coordinator, and the term in which it was elected leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CoordinatorTerm {
    /// The coordinating router.
    pub member: Member,
    /// The Raft term in which it is the leader.
    pub term: u64,
}

/// The state that the fleet has agreed on. The encoding identifies fields by position: never reorder them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MaintenanceState {
    /// The coordinator's fencing number: the log index at which it took over.
    pub fence: Fence,
    /// The router that proposes the next entries; `None` before the first request.
    pub coordinator: Option<CoordinatorTerm>,
    /// Open requests, at most [`crate::MAX_OPEN_REQUESTS`]; a request is removed once all its operations are finished.
    pub requests: BTreeMap<RequestNo, Request>,
    /// The operations of open requests.
    pub operations: BTreeMap<OperationKey, Operation>,
    /// The pause, if maintenance is paused; no machine is taken out during a pause.
    pub pause: Option<Pause>,
    /// The load as last agreed: shard requests per second of all routers together.
    pub load: u64,
    /// The routers that belong to the fleet.
    pub members: BTreeSet<Member>,
    /// Routers that left the fleet and may still act on queries that they admitted. [`Entry::ForgetMember`] removes
    /// them.
    pub departed_members: BTreeSet<Member>,
    /// The latest events, the oldest first.
    pub history: VecDeque<HistoryEntry>,
}

/// The result for the entry's proposer: a number (of a request or a permit, a count or a log index), or why the entry
/// changed nothing.
type Applied = Result<u64, Rejection>;

impl MaintenanceState {
    /// Applies the entry that the log has at `index`.
    pub fn apply(&mut self, index: Index, entry: Entry) -> Applied {
        if let Some(found) = entry.fence().filter(|found| *found != self.fence) {
            return Err(Rejection::StaleFence {
                found,
                current: self.fence,
            });
        }
        match entry {
            Entry::OpenRequest { request } => self.open_request(index, request),
            Entry::ChangeRequest {
                request,
                deadline_ms,
                priority,
                by,
            } => self.change_request(index, request, deadline_ms, priority, &by),
            Entry::CancelRequest { request, by } => self.cancel_request(index, request, &by),
            Entry::Pause { by, reason } => self.pause_by_operator(index, by, reason),
            Entry::Resume { by } => self.resume(index, &by),
            Entry::StartWork { permit, by } => self.start_work(index, permit, by),
            Entry::FinishWork {
                permit,
                by,
                unfit_reason,
            } => self.finish_work(index, permit, &by, unfit_reason),
            Entry::BecomeCoordinator { member, term } => {
                self.become_coordinator(index, CoordinatorTerm { member, term })
            }
            Entry::TakeOut {
                operations,
                wall_ms,
                ..
            } => self.take_out(index, &operations, wall_ms),
            Entry::GrantPermit {
                operation, wall_ms, ..
            } => self.grant_permit(index, &operation, wall_ms),
            Entry::ReturnToService {
                operation, wall_ms, ..
            } => self.return_to_service(index, &operation, wall_ms),
            Entry::KeepOut {
                operation, wall_ms, ..
            } => self.keep_out(index, &operation, wall_ms),
            Entry::AutoPause { reason, .. } => self.auto_pause(index, reason),
            Entry::AutoResume { .. } => self.auto_resume(index),
            Entry::SetLoad {
                requests_per_second,
                ..
            } => self.set_load(index, requests_per_second),
            Entry::ForgetMember { member, .. } => self.forget_member(index, &member),
        }
    }

    /// Sets the routers that belong to the fleet. Those that are no longer listed become departed members.
    pub fn set_members(&mut self, members: BTreeSet<Member>) {
        let departed: Vec<Member> = self.members.difference(&members).cloned().collect();
        self.departed_members.extend(departed);
        self.departed_members
            .retain(|member| !members.contains(member));
        self.members = members;
    }

    /// The names of the machines that get no new shard requests.
    pub fn machines_out(&self) -> Vec<String> {
        self.machines_where(Phase::is_out)
            .into_iter()
            .map(str::to_owned)
            .collect()
    }

    /// The names of the machines that are out or returning to service.
    pub fn active_machines(&self) -> BTreeSet<&str> {
        self.machines_where(Phase::is_active)
    }

    /// The names of the machines that were given back and do not serve load yet.
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

    /// Whether the operation exists and its machine has not been taken out yet.
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
        while self.history.len() > MAX_HISTORY_ENTRIES {
            self.history.pop_front();
        }
    }

    /// Sets an operation's phase, and closes its request if all of its operations are finished.
    fn set_phase(&mut self, key: &OperationKey, phase: Phase, index: Index, since_ms: u64) {
        let text = format!(
            "{} of request {}: {}",
            key.machine,
            key.request,
            phase.description()
        );
        if let Some(operation) = self.operations.get_mut(key) {
            *operation = Operation {
                phase,
                since_index: index,
                since_ms,
            };
            self.record(index, text);
        }
        self.close_if_finished(key.request, index);
    }

    fn close_if_finished(&mut self, request: RequestNo, index: Index) {
        let is_finished = self
            .operations
            .iter()
            .filter(|(key, _)| key.request == request)
            .all(|(_, operation)| operation.phase.is_finished());
        if is_finished && self.requests.remove(&request).is_some() {
            self.operations.retain(|key, _| key.request != request);
            self.record(index, format!("request {request} is closed"));
        }
    }
}
