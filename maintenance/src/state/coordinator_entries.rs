//! Applies the coordinator's entries. The caller has checked their fencing number.

use ternpick_fleet_policy::{Index, Member};

use super::{Applied, CoordinatorTerm, MaintenanceState, Pause, Rejection};
use crate::disruption_budget::MAX_MACHINES_OUT;
use crate::ids::{Fence, PermitNo};
use crate::operation::{OperationKey, Phase};

impl MaintenanceState {
    /// Rejects an entry of the known coordinator's term or an earlier one as outdated: each term has only one leader.
    pub(super) fn become_coordinator(&mut self, index: Index, new: CoordinatorTerm) -> Applied {
        if self
            .coordinator
            .as_ref()
            .is_some_and(|known| known.term >= new.term)
        {
            return Err(Rejection::StaleTerm);
        }
        self.record(index, format!("{} carries the work on", new.member));
        self.fence = Fence(index.0);
        self.coordinator = Some(new);
        Ok(index.0)
    }

    /// Takes the machines of all of the operations out, or none of them.
    pub(super) fn take_out(
        &mut self,
        index: Index,
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
            self.set_phase(key, Phase::Out, index, wall_ms);
        }
        Ok(index.0)
    }

    pub(super) fn grant_permit(
        &mut self,
        index: Index,
        key: &OperationKey,
        wall_ms: u64,
    ) -> Applied {
        if self.phase(key) != Some(&Phase::Out) {
            return Err(Rejection::NotOut);
        }
        let phase = Phase::Permitted {
            permit: PermitNo(index.0),
            started_by: None,
            unfit_reason: None,
        };
        self.set_phase(key, phase, index, wall_ms);
        Ok(index.0)
    }

    pub(super) fn return_to_service(
        &mut self,
        index: Index,
        key: &OperationKey,
        wall_ms: u64,
    ) -> Applied {
        let Some(Phase::Returning { .. }) = self.phase(key) else {
            return Err(Rejection::NotReturning);
        };
        self.set_phase(key, Phase::InService, index, wall_ms);
        Ok(index.0)
    }

    pub(super) fn keep_out(&mut self, index: Index, key: &OperationKey, wall_ms: u64) -> Applied {
        let Some(Phase::Returning { permit }) = self.phase(key) else {
            return Err(Rejection::NotReturning);
        };
        let permit = *permit;
        self.set_phase(key, Phase::KeptOut { permit }, index, wall_ms);
        Ok(index.0)
    }

    /// Pauses maintenance, unless it is paused already.
    pub(super) fn auto_pause(&mut self, index: Index, reason: String) -> Applied {
        if self.pause.is_none() {
            self.record(index, format!("held by itself: {reason}"));
            self.pause = Some(Pause {
                paused_by: "the fleet".into(),
                reason,
                automatic: true,
            });
        }
        Ok(index.0)
    }

    /// Ends a pause by the coordinator; a pause by an operator stays.
    pub(super) fn auto_resume(&mut self, index: Index) -> Applied {
        if self.pause.take_if(|pause| pause.automatic).is_some() {
            self.record(index, "goes on by itself".into());
        }
        Ok(index.0)
    }

    pub(super) fn set_load(&mut self, index: Index, requests_per_second: u64) -> Applied {
        self.load = requests_per_second;
        Ok(index.0)
    }

    pub(super) fn forget_member(&mut self, index: Index, member: &Member) -> Applied {
        self.departed_members.remove(member);
        Ok(index.0)
    }
}
