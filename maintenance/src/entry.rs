//! Log entries of the maintenance state machine. Operators' commands come as JSON over the control socket, by name; the
//! log holds postcard, by position. Hence the `rename` attributes keep earlier names, and no variant or field may move.

use serde::{Deserialize, Serialize};
use ternpick_fleet_policy::Member;

use crate::ids::{Fence, PermitNo, RequestNo};
use crate::operation::OperationKey;
use crate::schedule::Urgency;

/// The most requests that are open at a time.
pub const MAX_OPEN_REQUESTS: usize = 64;
/// The most machines that one request names.
pub const MAX_MACHINES_PER_REQUEST: usize = 200;

/// An operator's request for maintenance of some machines.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Request {
    /// Names of the machines; `router:` and a name stands for a router.
    pub machines: Vec<String>,
    /// What the maintenance is for.
    #[serde(rename = "why")]
    pub reason: String,
    /// The operator who asks.
    #[serde(rename = "by")]
    pub requested_by: String,
    /// How long the work on one machine takes, in microseconds.
    #[serde(rename = "lasts")]
    pub duration_us: u64,
    /// No machine goes out earlier; wall clock in milliseconds since 1970.
    #[serde(rename = "not_before")]
    pub not_before_ms: Option<u64>,
    /// When all of it has to be done; wall clock in milliseconds since 1970.
    #[serde(rename = "by_when")]
    pub deadline_ms: Option<u64>,
    /// Among requests of the same deadline, the higher goes first.
    pub priority: u8,
    /// All machines go out at once, or none does.
    #[serde(rename = "together")]
    pub all_at_once: bool,
}

impl Request {
    /// Its place among other requests: by deadline, then by priority.
    pub fn urgency(&self) -> Urgency {
        Urgency {
            deadline_ms: self.deadline_ms.unwrap_or(u64::MAX),
            inverse_priority: u8::MAX - self.priority,
        }
    }
}

/// One entry of the log. The first seven are operators' commands; the others come from the coordinator, and all of them
/// but [`Entry::BecomeCoordinator`] carry its fencing number. `wall_ms`: the proposer's wall clock, since 1970.
#[expect(missing_docs, reason = "the fields of variants say what they are")]
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// Opens a request.
    #[serde(rename = "ask")]
    OpenRequest { request: Request },
    /// Gives an open request another deadline and priority.
    #[serde(rename = "change")]
    ChangeRequest {
        request: RequestNo,
        #[serde(rename = "by_when")]
        deadline_ms: Option<u64>,
        priority: u8,
        by: String,
    },
    /// Cancels what has no permit yet.
    #[serde(rename = "cancel")]
    CancelRequest { request: RequestNo, by: String },
    /// Nothing more goes out until an operator resumes.
    #[serde(rename = "hold")]
    Pause {
        by: String,
        #[serde(rename = "why")]
        reason: String,
    },
    /// Ends any pause.
    Resume { by: String },
    /// An operator takes a permit, and works on the machine.
    #[serde(rename = "begin")]
    StartWork { permit: PermitNo, by: String },
    /// The permit is given back. With `unfit_reason`, the machine is not fit for service and stays out.
    #[serde(rename = "done")]
    FinishWork {
        permit: PermitNo,
        by: String,
        #[serde(rename = "failed")]
        unfit_reason: Option<String>,
    },
    /// The leader of this term is the coordinator from here on; the entry's index is its fencing number.
    #[serde(rename = "carry")]
    BecomeCoordinator { member: Member, term: u64 },
    /// Machines go out.
    TakeOut {
        fence: Fence,
        #[serde(rename = "jobs")]
        operations: Vec<OperationKey>,
        #[serde(rename = "now")]
        wall_ms: u64,
    },
    /// A machine is proven to be idle; the entry's index is the permit's number.
    #[serde(rename = "permit")]
    GrantPermit {
        fence: Fence,
        #[serde(rename = "job")]
        operation: OperationKey,
        #[serde(rename = "now")]
        wall_ms: u64,
    },
    /// A machine serves load again.
    #[serde(rename = "back")]
    ReturnToService {
        fence: Fence,
        #[serde(rename = "job")]
        operation: OperationKey,
        #[serde(rename = "now")]
        wall_ms: u64,
    },
    /// A machine did not return to service in time.
    #[serde(rename = "keep")]
    KeepOut {
        fence: Fence,
        #[serde(rename = "job")]
        operation: OperationKey,
        #[serde(rename = "now")]
        wall_ms: u64,
    },
    /// The coordinator pauses, as something is wrong.
    #[serde(rename = "own_hold")]
    AutoPause {
        fence: Fence,
        #[serde(rename = "why")]
        reason: String,
    },
    /// The coordinator ends its own pause.
    #[serde(rename = "go_on")]
    AutoResume { fence: Fence },
    /// Shard requests a second of all routers together.
    #[serde(rename = "load")]
    SetLoad {
        fence: Fence,
        #[serde(rename = "calls")]
        requests_per_second: u64,
    },
    /// A member that left the fleet can no longer act on anything it admitted.
    #[serde(rename = "forget")]
    ForgetMember { fence: Fence, member: Member },
}

impl Entry {
    /// The coordinator's fencing number, on entries that carry one.
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

    /// Whether an operator may propose it; the others come from the coordinator alone.
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

    /// The bytes that go into the log.
    pub(crate) fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }
}
