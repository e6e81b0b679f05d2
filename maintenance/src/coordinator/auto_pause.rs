//! Automatic pauses. The coordinator pauses maintenance if a machine fails that is not under maintenance, or if too
//! large a share of queries is late, failed or rejected. It resumes once no reason has existed for the stabilization
//! time.

use std::collections::BTreeSet;

use ternpick::types::Micros;

use super::contacts::unhealthy_machines;
use super::Coordinator;
use crate::entry::Entry;

/// The minimum number of finished queries for which the share of late ones is evaluated.
const MIN_ANSWERED: u32 = 10;

/// Whether maintenance is paused, and by whom.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PauseStatus {
    NotPaused,
    PausedByOperator,
    PausedByCoordinator,
}

impl Coordinator {
    pub(super) fn pause_or_resume(&mut self, now: Micros) -> Option<Entry> {
        let fence = self.state.fence;
        let pause_status = match &self.state.pause {
            None => PauseStatus::NotPaused,
            Some(pause) if pause.automatic => PauseStatus::PausedByCoordinator,
            Some(_) => PauseStatus::PausedByOperator,
        };
        if let Some(reason) = self.pause_reason(pause_status) {
            self.healthy_since = None;
            let has_operations = !self.state.operations.is_empty();
            let may_pause = pause_status == PauseStatus::NotPaused && has_operations;
            return may_pause.then_some(Entry::AutoPause { fence, reason });
        }
        let healthy_since = *self.healthy_since.get_or_insert(now);
        let is_stable = now.since(healthy_since).0 >= self.config.stabilization_us;
        let may_resume = pause_status == PauseStatus::PausedByCoordinator && is_stable;
        may_resume.then_some(Entry::AutoResume { fence })
    }

    /// The reason to pause now, if any. A machine's failure is a reason only when it is first seen.
    fn pause_reason(&mut self, pause_status: PauseStatus) -> Option<String> {
        let failing = self.failing_machines();
        let newly_failing: Vec<String> = failing.difference(&self.failing).cloned().collect();
        self.failing = failing;
        if newly_failing.is_empty() {
            return self.late_queries_reason(pause_status);
        }
        Some(format!("{} failing without work", newly_failing.join(", ")))
    }

    /// Machines that are unhealthy, listed by discovery and not under maintenance.
    fn failing_machines(&self) -> BTreeSet<String> {
        let active = self.state.active_machines();
        unhealthy_machines(&self.reports())
            .into_iter()
            .filter(|name| !active.contains(name) && self.view.position(name).is_some())
            .map(str::to_owned)
            .collect()
    }

    /// The reason to pause because of late queries, if any. The limit for resuming is half of the limit for pausing,
    /// so that a share close to the limit does not pause and resume in turn.
    fn late_queries_reason(&self, pause_status: PauseStatus) -> Option<String> {
        let reports = self.reports();
        let answered: u32 = reports.iter().map(|report| report.answered).sum();
        let late: u32 = reports.iter().map(|report| report.late).sum();
        let share = f64::from(late) / f64::from(answered.max(1));
        let max_share = match pause_status {
            PauseStatus::PausedByCoordinator => self.config.max_late_share / 2.0,
            PauseStatus::NotPaused | PauseStatus::PausedByOperator => self.config.max_late_share,
        };
        let is_too_late = answered >= MIN_ANSWERED && share > max_share;
        is_too_late.then(|| {
            format!(
                "{:.1}% of {answered} lookups late, failed or refused",
                share * 100.0
            )
        })
    }
}
