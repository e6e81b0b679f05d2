//! One machine of one request, and the phases it goes through: waiting, out, permitted, returning, in service.

use serde::{Deserialize, Serialize};
use ternpick_fleet_policy::Index;

use crate::ids::{PermitNo, RequestNo};

/// Names an operation. It is stored and read as the pair (request, machine).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(RequestNo, String)", into = "(RequestNo, String)")]
pub struct OperationKey {
    /// The request that names the machine.
    pub request: RequestNo,
    /// The machine's name, as discovery lists it, or `router:` and a router's name.
    pub machine: String,
}

impl From<(RequestNo, String)> for OperationKey {
    fn from((request, machine): (RequestNo, String)) -> Self {
        OperationKey { request, machine }
    }
}

impl From<OperationKey> for (RequestNo, String) {
    fn from(key: OperationKey) -> Self {
        (key.request, key.machine)
    }
}

/// How far the maintenance of one machine is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// It has not gone out yet.
    Waiting,
    /// Out by agreement: it gets no new shard requests, but is not proven to be idle yet.
    Out,
    /// Proven to be idle, and free for the operators to work on.
    Permitted {
        /// The permit under which they work.
        permit: PermitNo,
        /// The operator who took the permit, if one has.
        started_by: Option<String>,
        /// Why the machine was given back unfit for service, if it was.
        unfit_reason: Option<String>,
    },
    /// Given back; it has yet to show that it serves load.
    Returning {
        /// The permit that was given back.
        permit: PermitNo,
    },
    /// It did not return to service in time, and stays out until it is given back again.
    KeptOut {
        /// The permit that was given back, and may be given back again.
        permit: PermitNo,
    },
    /// It serves load again.
    InService,
    /// Its request was cancelled before it was permitted.
    Cancelled,
}

impl Phase {
    /// Whether routers send nothing new to the machine.
    pub fn is_out(&self) -> bool {
        matches!(
            self,
            Phase::Out | Phase::Permitted { .. } | Phase::KeptOut { .. }
        )
    }

    /// Whether the machine counts as missing: it is out, or has not returned to service yet.
    pub fn is_active(&self) -> bool {
        self.is_out() || matches!(self, Phase::Returning { .. })
    }

    /// Whether nothing is left to do.
    pub fn is_finished(&self) -> bool {
        matches!(self, Phase::InService | Phase::Cancelled)
    }

    /// The phase as operators read it, in tables and in the replicated history.
    pub fn description(&self) -> &'static str {
        match self {
            Phase::Waiting => "waits",
            Phase::Out => "being emptied",
            Phase::Permitted {
                unfit_reason: Some(_),
                ..
            } => "given back unfit",
            Phase::Permitted {
                started_by: Some(_),
                ..
            } => "in work",
            Phase::Permitted { .. } => "permitted",
            Phase::Returning { .. } => "coming back",
            Phase::KeptOut { .. } => "kept out",
            Phase::InService => "back",
            Phase::Cancelled => "cancelled",
        }
    }

    /// The permit that stands, or that was given back and not yet replaced by service.
    pub fn permit(&self) -> Option<PermitNo> {
        match self {
            Phase::Permitted { permit, .. }
            | Phase::Returning { permit }
            | Phase::KeptOut { permit } => Some(*permit),
            _ => None,
        }
    }
}

/// The state of one machine of one request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Operation {
    /// How far it is.
    pub phase: Phase,
    /// The log index at which it entered this phase.
    pub since_index: Index,
    /// The coordinator's wall clock at that moment, in milliseconds since 1970.
    pub since_ms: u64,
}
