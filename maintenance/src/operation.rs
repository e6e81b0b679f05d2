//! An operation: the maintenance of one machine for one request. Its phases are waiting, out, permitted, returning and
//! in service.

use serde::{Deserialize, Serialize};
use ternpick_fleet_policy::Index;

use crate::ids::{PermitNo, RequestNo};

/// Identifies an operation. It is encoded as the pair (request, machine).
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(RequestNo, String)", into = "(RequestNo, String)")]
pub struct OperationKey {
    /// The request that names the machine.
    pub request: RequestNo,
    /// The machine's name as discovery lists it, or `router:` followed by a router's name.
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

/// The phase of the maintenance of one machine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Phase {
    /// The machine has not been taken out yet.
    Waiting,
    /// The fleet has agreed to take the machine out: routers send it no new shard requests, but some may still have
    /// shard requests in flight to it.
    Out,
    /// No router can have a shard request in flight to the machine; operators may work on it.
    Permitted {
        /// The permit under which operators work on the machine.
        permit: PermitNo,
        /// The operator who took the permit, if one has.
        started_by: Option<String>,
        /// Why an operator gave the machine back as unfit for service, if one did.
        unfit_reason: Option<String>,
    },
    /// The operator gave the machine back, and no router has yet reported that it serves load.
    Returning {
        /// The permit that was given back.
        permit: PermitNo,
    },
    /// The machine did not return to service in time, and stays out until an operator gives it back again.
    KeptOut {
        /// The permit that was given back; the operator may give it back again.
        permit: PermitNo,
    },
    /// The machine serves load again.
    InService,
    /// The request was cancelled before the machine had a permit.
    Cancelled,
}

impl Phase {
    /// Whether the machine is out of service, so that routers send it no new shard requests.
    pub fn is_out(&self) -> bool {
        matches!(
            self,
            Phase::Out | Phase::Permitted { .. } | Phase::KeptOut { .. }
        )
    }

    /// Whether the machine counts as missing: it is out, or is returning to service.
    pub fn is_active(&self) -> bool {
        self.is_out() || matches!(self, Phase::Returning { .. })
    }

    /// Whether the operation is finished.
    pub fn is_finished(&self) -> bool {
        matches!(self, Phase::InService | Phase::Cancelled)
    }

    /// The phase as operators see it in tables. The replicated history contains the text too, so it must not change.
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

    /// The operation's permit, from its grant until the machine is in service again.
    pub fn permit(&self) -> Option<PermitNo> {
        match self {
            Phase::Permitted { permit, .. }
            | Phase::Returning { permit }
            | Phase::KeptOut { permit } => Some(*permit),
            _ => None,
        }
    }
}

/// The state of the maintenance of one machine for one request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Operation {
    /// The current phase.
    pub phase: Phase,
    /// The log index at which the operation entered this phase.
    pub since_index: Index,
    /// The coordinator's wall clock at that moment, in milliseconds since 1970.
    pub since_ms: u64,
}
