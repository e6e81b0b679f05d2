//! What the coordinator's entries change. Their fencing number has been checked by the time they come here.

use ternpick_fleet_policy::{Index, Member};

use super::{Applied, CoordinatorTerm, MaintenanceState, Pause, Rejection};
use crate::disruption_budget::MAX_MACHINES_OUT;
use crate::ids::{Fence, PermitNo};
use crate::operation::{OperationKey, Phase};

impl MaintenanceState {
    /// A term has one leader, so an entry of a term that is known or older comes too late.
    pub(super) fn become_coordinator(&mut self, at: Index, new: CoordinatorTerm) -> Applied {
        if self
            .coordinator
            .as_ref()
            .is_some_and(|known| known.term >= new.term)
        {
            return Err(Rejection::StaleTerm);
        }
        self.record(at, format!("{} carries the work on", new.member));
        self.fence = Fence(at.0);
        self.coordinator = Some(new);
        Ok(at.0)
    }

    /// All of the operations go out, or none does.
    pub(super) fn take_out(
        &mut self,
        at: Index,
        operations: &[OperationKey],
        wall_ms: u64,
    ) -> Applied {
        let active = self.active_machines();
        let may_go_out =
            |key: &OperationKey| self.is_waiting(key) && !active.contains(key.machine.as_str());
        if self.pause.is_some()
            || !operations.iter().all(may_go_out)
            || active.len() + operations.len() > MAX_MACHINES_OUT
        {
            return Err(Rejection::NotWaiting);
        }
        for key in operations {
            self.set_phase(key, Phase::Out, at, wall_ms);
        }
        Ok(at.0)
    }

    pub(super) fn grant_permit(&mut self, at: Index, key: &OperationKey, wall_ms: u64) -> Applied {
        if self.phase(key) != Some(&Phase::Out) {
            return Err(Rejection::NotOut);
        }
        let phase = Phase::Permitted {
            permit: PermitNo(at.0),
            started_by: None,
            unfit_reason: None,
        };
        self.set_phase(key, phase, at, wall_ms);
        Ok(at.0)
    }

    pub(super) fn return_to_service(
        &mut self,
        at: Index,
        key: &OperationKey,
        wall_ms: u64,
    ) -> Applied {
        let Some(Phase::Returning { .. }) = self.phase(key) else {
            return Err(Rejection::NotReturning);
        };
        self.set_phase(key, Phase::InService, at, wall_ms);
        Ok(at.0)
    }

    pub(super) fn keep_out(&mut self, at: Index, key: &OperationKey, wall_ms: u64) -> Applied {
        let Some(Phase::Returning { permit }) = self.phase(key) else {
            return Err(Rejection::NotReturning);
        };
        let permit = *permit;
        self.set_phase(key, Phase::KeptOut { permit }, at, wall_ms);
        Ok(at.0)
    }

    /// An operator's pause stays as it is.
    pub(super) fn auto_pause(&mut self, at: Index, reason: String) -> Applied {
        if self.pause.is_none() {
            self.record(at, format!("held by itself: {reason}"));
            self.pause = Some(Pause {
                paused_by: "the fleet".into(),
                reason,
                automatic: true,
            });
        }
        Ok(at.0)
    }

    /// An operator's pause stays as it is.
    pub(super) fn auto_resume(&mut self, at: Index) -> Applied {
        if self.pause.take_if(|pause| pause.automatic).is_some() {
            self.record(at, "goes on by itself".into());
        }
        Ok(at.0)
    }

    pub(super) fn set_load(&mut self, at: Index, requests_per_second: u64) -> Applied {
        self.load = requests_per_second;
        Ok(at.0)
    }

    pub(super) fn forget_member(&mut self, at: Index, member: &Member) -> Applied {
        self.departed_members.remove(member);
        Ok(at.0)
    }
}
