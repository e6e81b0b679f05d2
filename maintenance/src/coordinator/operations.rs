//! Proposes entries for machines that are out or returning: a permit once every router is drained, and the return to
//! service.

use std::collections::BTreeSet;

use ternpick::types::Micros;

use super::contacts::unhealthy_machines;
use super::Coordinator;
use crate::entry::Entry;
use crate::operation::{Operation, OperationKey, Phase};
use crate::router_removal::router_of;
use crate::router_report::RouterReport;

/// The progress of a returning machine.
enum ReturnProgress {
    Serving,
    TimedOut,
    Pending,
}

impl Coordinator {
    /// All entries that are due for operations, in the order of the operations' keys.
    pub(super) fn follow_operations(&mut self, now: Micros) -> Vec<Entry> {
        self.forget_finished_returns();
        let reports = self.reports();
        let unhealthy = unhealthy_machines(&reports);
        let mut entries = Vec::new();
        let mut pending = Vec::new();
        for (key, operation) in &self.state.operations {
            match operation.phase {
                Phase::Out => entries.extend(self.permit_entry(key, operation)),
                Phase::Returning { .. } => {
                    match self.return_progress(key, &reports, &unhealthy, now) {
                        ReturnProgress::Serving => entries.push(Entry::ReturnToService {
                            fence: self.state.fence,
                            operation: key.clone(),
                            wall_ms: self.wall_ms,
                        }),
                        ReturnProgress::TimedOut => entries.push(Entry::KeepOut {
                            fence: self.state.fence,
                            operation: key.clone(),
                            wall_ms: self.wall_ms,
                        }),
                        ReturnProgress::Pending => pending.push(key.clone()),
                    }
                }
                _ => {}
            }
        }
        for key in pending {
            self.returning_since.entry(key).or_insert(now);
        }
        entries
    }

    fn forget_finished_returns(&mut self) {
        let operations = &self.state.operations;
        self.returning_since.retain(|key, _| {
            operations
                .get(key)
                .is_some_and(|operation| matches!(operation.phase, Phase::Returning { .. }))
        });
    }

    /// The permit for a machine that is out, if it is due. A router under maintenance gets its permit at once: its
    /// operator drains it, and the permit allows the operator to begin.
    fn permit_entry(&self, key: &OperationKey, operation: &Operation) -> Option<Entry> {
        let is_drained = router_of(&key.machine).is_some()
            || self
                .undrained_routers(&key.machine, operation.since_index)
                .is_empty();
        is_drained.then(|| Entry::GrantPermit {
            fence: self.state.fence,
            operation: key.clone(),
            wall_ms: self.wall_ms,
        })
    }

    fn return_progress(
        &self,
        key: &OperationKey,
        reports: &[&RouterReport],
        unhealthy: &BTreeSet<&str>,
        now: Micros,
    ) -> ReturnProgress {
        let waited_us = self
            .returning_since
            .get(key)
            .map(|since| now.since(*since).0);
        if self.serves_load(&key.machine, reports, waited_us)
            && !unhealthy.contains(key.machine.as_str())
        {
            ReturnProgress::Serving
        } else if waited_us.is_some_and(|waited| waited > self.config.return_timeout_us) {
            ReturnProgress::TimedOut
        } else {
            ReturnProgress::Pending
        }
    }

    /// Whether a machine serves load: one router reports it as serving. A machine that all routers report as idle
    /// counts as serving after the stabilization time, as only discovery shows its state. A router under maintenance
    /// serves load if it is reachable.
    fn serves_load(
        &self,
        machine: &String,
        reports: &[&RouterReport],
        waited_us: Option<u64>,
    ) -> bool {
        let answers = reports
            .iter()
            .any(|report| report.serving.contains(machine));
        let is_idle =
            !reports.is_empty() && reports.iter().all(|report| report.idle.contains(machine));
        let is_stable = waited_us.is_some_and(|waited| waited >= self.config.stabilization_us);
        let router = router_of(machine);
        let is_router_present = self
            .contacts
            .iter()
            .any(|contact| contact.is_recent && Some(&contact.member) == router.as_ref());
        answers || is_idle && is_stable || is_router_present
    }
}
