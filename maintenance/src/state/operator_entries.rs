//! Applies operators' commands: they open, change and cancel requests, pause and resume, and take permits and give them
//! back.

use std::collections::BTreeSet;

use ternpick_fleet_policy::Index;

use super::{Applied, MaintenanceState, Pause, Rejection, MAX_TEXT_BYTES};
use crate::entry::{Request, MAX_MACHINES_PER_REQUEST, MAX_OPEN_REQUESTS};
use crate::ids::{PermitNo, RequestNo};
use crate::operation::{Operation, OperationKey, Phase};

/// Checks what does not depend on the state: the number of machines, duplicates, and the lengths of names and texts.
fn check_form(request: &Request) -> Result<(), Rejection> {
    if request.machines.is_empty() || request.machines.len() > MAX_MACHINES_PER_REQUEST {
        return Err(Rejection::MachineCount);
    }
    let names: BTreeSet<&String> = request.machines.iter().collect();
    if names.len() != request.machines.len() {
        return Err(Rejection::DuplicateMachine);
    }
    let is_name = |name: &String| (1..=MAX_TEXT_BYTES).contains(&name.len());
    let free_text_bytes = request.reason.len() + request.requested_by.len();
    if !request.machines.iter().all(is_name) || free_text_bytes > MAX_TEXT_BYTES * 2 {
        return Err(Rejection::TextLength);
    }
    Ok(())
}

impl MaintenanceState {
    pub(super) fn open_request(&mut self, index: Index, request: Request) -> Applied {
        check_form(&request)?;
        if self.requests.len() >= MAX_OPEN_REQUESTS {
            return Err(Rejection::TooManyRequests);
        }
        let number = RequestNo(index.0);
        for machine in &request.machines {
            let key = OperationKey {
                request: number,
                machine: machine.clone(),
            };
            let operation = Operation {
                phase: Phase::Waiting,
                since_index: index,
                since_ms: 0,
            };
            self.operations.insert(key, operation);
        }
        self.record(
            index,
            format!(
                "request {number} by {}: {} machines, {}",
                request.requested_by,
                request.machines.len(),
                request.reason
            ),
        );
        self.requests.insert(number, request);
        Ok(number.0)
    }

    pub(super) fn change_request(
        &mut self,
        index: Index,
        number: RequestNo,
        deadline_ms: Option<u64>,
        priority: u8,
        by: &str,
    ) -> Applied {
        let Some(request) = self.requests.get_mut(&number) else {
            return Err(Rejection::UnknownRequest(number));
        };
        request.deadline_ms = deadline_ms;
        request.priority = priority;
        self.record(index, format!("request {number} is changed by {by}"));
        Ok(number.0)
    }

    /// Cancels the operations without a permit. Machines with a permit stay out until an operator gives them back.
    /// Returns the number of cancelled operations.
    pub(super) fn cancel_request(&mut self, index: Index, number: RequestNo, by: &str) -> Applied {
        if !self.requests.contains_key(&number) {
            return Err(Rejection::UnknownRequest(number));
        }
        let cancellable: Vec<(OperationKey, u64)> = self
            .operations
            .iter()
            .filter(|(key, _)| key.request == number)
            .filter(|(_, operation)| matches!(operation.phase, Phase::Waiting | Phase::Out))
            .map(|(key, operation)| (key.clone(), operation.since_ms))
            .collect();
        let count = cancellable.len();
        self.record(
            index,
            format!("request {number} is cancelled by {by}, {count} machines"),
        );
        for (key, since_ms) in cancellable {
            self.set_phase(&key, Phase::Cancelled, index, since_ms);
        }
        Ok(count as u64)
    }

    pub(super) fn pause_by_operator(
        &mut self,
        index: Index,
        by: String,
        reason: String,
    ) -> Applied {
        self.record(index, format!("held by {by}: {reason}"));
        self.pause = Some(Pause {
            paused_by: by,
            reason,
            automatic: false,
        });
        Ok(index.0)
    }

    pub(super) fn resume(&mut self, index: Index, by: &str) -> Applied {
        if self.pause.take().is_none() {
            return Err(Rejection::NotPaused);
        }
        self.record(index, format!("resumed by {by}"));
        Ok(index.0)
    }

    pub(super) fn start_work(&mut self, index: Index, permit: PermitNo, by: String) -> Applied {
        let Some(key) = self.operation_with_permit(permit) else {
            return Err(Rejection::UnknownPermit(permit));
        };
        let phase = self.operations.get_mut(&key).map(|found| &mut found.phase);
        let Some(Phase::Permitted {
            started_by,
            unfit_reason,
            ..
        }) = phase
        else {
            return Err(Rejection::UnknownPermit(permit));
        };
        if let Some(operator) = started_by.as_ref().filter(|operator| **operator != by) {
            return Err(Rejection::PermitTaken {
                permit,
                operator: operator.clone(),
            });
        }
        *started_by = Some(by.clone());
        *unfit_reason = None;
        let machine = key.machine;
        self.record(
            index,
            format!("{by} works on {machine} under permit {permit}"),
        );
        Ok(permit.0)
    }

    pub(super) fn finish_work(
        &mut self,
        index: Index,
        permit: PermitNo,
        by: &str,
        unfit: Option<String>,
    ) -> Applied {
        let Some(key) = self.operation_with_permit(permit) else {
            return Err(Rejection::UnknownPermit(permit));
        };
        let Some(operation) = self.operations.get_mut(&key) else {
            return Err(Rejection::UnknownPermit(permit));
        };
        let since_ms = operation.since_ms;
        match (&mut operation.phase, unfit) {
            (Phase::Returning { .. }, _) => Err(Rejection::AlreadyReturned(permit)),
            (Phase::Permitted { unfit_reason, .. }, Some(reason)) => {
                *unfit_reason = Some(reason.chars().take(MAX_TEXT_BYTES).collect());
                let machine = key.machine;
                self.record(
                    index,
                    format!("{machine} is given back unfit by {by}, and stays out"),
                );
                Ok(permit.0)
            }
            (Phase::Permitted { .. } | Phase::KeptOut { .. }, None) => {
                self.set_phase(&key, Phase::Returning { permit }, index, since_ms);
                Ok(permit.0)
            }
            _ => Err(Rejection::NotReturnable(permit)),
        }
    }
}
