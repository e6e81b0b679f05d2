//! Log entries of the maintenance state machine. Operators' commands arrive as JSON over the control socket, which
//! identifies variants and fields by name: the `rename` attributes keep the names of earlier releases. The log contains
//! postcard, which identifies them by position: never reorder variants or fields.

use serde::{Deserialize, Serialize};
use ternpick_fleet_policy::Member;

use crate::ids::{Fence, PermitNo, RequestNo};
use crate::operation::OperationKey;
use crate::schedule::Urgency;

/// The largest number of requests that may be open at a time.
pub const MAX_OPEN_REQUESTS: usize = 64;
/// The largest number of machines that one request may name.
pub const MAX_MACHINES_PER_REQUEST: usize = 200;

/// An operator's request for maintenance of some machines.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Request {
    /// Names of the machines; a router is named by `router:` followed by its name.
    pub machines: Vec<String>,
    /// The reason for the maintenance.
    #[serde(rename = "why")]
    pub reason: String,
    /// The operator who made the request.
    #[serde(rename = "by")]
    pub requested_by: String,
    /// The expected duration of the work on one machine, in microseconds.
    #[serde(rename = "lasts")]
    pub duration_us: u64,
    /// The earliest time at which a machine may be taken out; wall clock in milliseconds since 1970.
    #[serde(rename = "not_before")]
    pub not_before_ms: Option<u64>,
    /// The time by which the work on all machines has to be finished; wall clock in milliseconds since 1970.
    #[serde(rename = "by_when")]
    pub deadline_ms: Option<u64>,
    /// Among requests with the same deadline, those with a higher priority go first.
    pub priority: u8,
    /// Take all machines out at the same time, or none of them.
    #[serde(rename = "together")]
    pub all_at_once: bool,
}

impl Request {
    /// The request's rank among other requests: by deadline, then by priority.
    pub fn urgency(&self) -> Urgency {
        Urgency {
            deadline_ms: self.deadline_ms.unwrap_or(u64::MAX),
            inverse_priority: u8::MAX - self.priority,
        }
    }
}

/// One entry of the log. The first seven variants are operators' commands. The coordinator proposes the others, which
/// carry its fencing number, except for [`Entry::BecomeCoordinator`]. `wall_ms` is the proposer's wall clock in
/// milliseconds since 1970.
#[expect(missing_docs, reason = "the names of the fields describe them")]
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// Opens a request.
    #[serde(rename = "ask")]
    OpenRequest { request: Request },
    /// Replaces the deadline and the priority of an open request.
    #[serde(rename = "change")]
    ChangeRequest {
        request: RequestNo,
        #[serde(rename = "by_when")]
        deadline_ms: Option<u64>,
        priority: u8,
        by: String,
    },
    /// Cancels those operations of a request that have no permit yet.
    #[serde(rename = "cancel")]
    CancelRequest { request: RequestNo, by: String },
    /// Takes no more machines out until an operator resumes maintenance.
    #[serde(rename = "hold")]
    Pause {
        by: String,
        #[serde(rename = "why")]
        reason: String,
    },
    /// Ends the pause, whether an operator or the coordinator paused.
    Resume { by: String },
    /// An operator takes a permit and starts to work on the machine.
    #[serde(rename = "begin")]
    StartWork { permit: PermitNo, by: String },
    /// An operator gives the permit back. With an `unfit_reason` the machine is unfit for service and stays out.
    #[serde(rename = "done")]
    FinishWork {
        permit: PermitNo,
        by: String,
        #[serde(rename = "failed")]
        unfit_reason: Option<String>,
    },
    /// Makes the leader of this term the coordinator; the entry's log index becomes its fencing number.
    #[serde(rename = "carry")]
    BecomeCoordinator { member: Member, term: u64 },
    /// Takes machines out of service.
    TakeOut {
        fence: Fence,
        #[serde(rename = "jobs")]
        operations: Vec<OperationKey>,
        #[serde(rename = "now")]
        wall_ms: u64,
    },
    /// Permits work on a machine to which no router can send; the entry's log index becomes the permit's number.
    #[serde(rename = "permit")]
    GrantPermit {
        fence: Fence,
        #[serde(rename = "job")]
        operation: OperationKey,
        #[serde(rename = "now")]
        wall_ms: u64,
    },
    /// Records that a machine serves load again.
    #[serde(rename = "back")]
    ReturnToService {
        fence: Fence,
        #[serde(rename = "job")]
        operation: OperationKey,
        #[serde(rename = "now")]
        wall_ms: u64,
    },
    /// Keeps a machine out of service that did not return to service in time.
    #[serde(rename = "keep")]
    KeepOut {
        fence: Fence,
        #[serde(rename = "job")]
        operation: OperationKey,
        #[serde(rename = "now")]
        wall_ms: u64,
    },
    /// The coordinator pauses maintenance because machines fail or too many queries are late, failed or rejected.
    #[serde(rename = "own_hold")]
    AutoPause {
        fence: Fence,
        #[serde(rename = "why")]
        reason: String,
    },
    /// The coordinator ends its own pause.
    #[serde(rename = "go_on")]
    AutoResume { fence: Fence },
    /// Records the load: shard requests per second of all routers together.
    #[serde(rename = "load")]
    SetLoad {
        fence: Fence,
        #[serde(rename = "calls")]
        requests_per_second: u64,
    },
    /// Removes a departed member that can no longer act on any query that it admitted.
    #[serde(rename = "forget")]
    ForgetMember { fence: Fence, member: Member },
}

impl Entry {
    /// The fencing number that the entry carries, if any.
    pub fn fence(&self) -> Option<Fence> {
        match self {
            Entry::TakeOut { fence, .. }
            | Entry::GrantPermit { fence, .. }
            | Entry::ReturnToService { fence, .. }
            | Entry::KeepOut { fence, .. }
            | Entry::AutoPause { fence, .. }
            | Entry::AutoResume { fence }
            | Entry::SetLoad { fence, .. }
            | Entry::ForgetMember { fence, .. } => Some(*fence),
            _ => None,
        }
    }

    /// Whether an operator may propose the entry; only the coordinator proposes the others.
    pub fn is_operator_command(&self) -> bool {
        matches!(
            self,
            Entry::OpenRequest { .. }
                | Entry::ChangeRequest { .. }
                | Entry::CancelRequest { .. }
                | Entry::Pause { .. }
                | Entry::Resume { .. }
                | Entry::StartWork { .. }
                | Entry::FinishWork { .. }
        )
    }

    /// Encodes the entry as the log stores it.
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }
}
