//! When the coordinator pauses by itself, and when it resumes. It pauses if a machine fails that is not under
//! maintenance, or if too large a share of queries is late.

use std::collections::BTreeSet;

use ternpick::types::Micros;

use super::contacts::unhealthy_machines;
use super::Coordinator;
use crate::entry::Entry;

/// Queries answered lately, at the least, before the share of late ones says something.
const MIN_ANSWERED: u32 = 10;

/// Who paused, if anyone did.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PausedBy {
    Nobody,
    Operator,
    Coordinator,
}

impl Coordinator {
    pub(super) fn pause_or_resume(&mut self, now: Micros) -> Option<Entry> {
        let fence = self.state.fence;
        let paused_by = match &self.state.pause {
            None => PausedBy::Nobody,
            Some(pause) if pause.automatic => PausedBy::Coordinator,
            Some(_) => PausedBy::Operator,
        };
        if let Some(reason) = self.pause_reason(paused_by) {
            self.healthy_since = None;
            let has_operations = !self.state.operations.is_empty();
            let may_pause = paused_by == PausedBy::Nobody && has_operations;
            return may_pause.then_some(Entry::AutoPause { fence, reason });
        }
        let healthy_since = *self.healthy_since.get_or_insert(now);
        let is_stable = now.since(healthy_since).0 >= self.config.stabilization_us;
        let may_resume = paused_by == PausedBy::Coordinator && is_stable;
        may_resume.then_some(Entry::AutoResume { fence })
    }

    /// What is wrong now. A machine's failure counts once, when it is new.
    fn pause_reason(&mut self, paused_by: PausedBy) -> Option<String> {
        let failing = self.failing_machines();
        let newly_failing: Vec<String> = failing.difference(&self.failing).cloned().collect();
        self.failing = failing;
        if newly_failing.is_empty() {
            return self.late_answers(paused_by);
        }
        Some(format!("{} failing without work", newly_failing.join(", ")))
    }

    /// Listed machines that are unhealthy and not under maintenance.
    fn failing_machines(&self) -> BTreeSet<String> {
        let active = self.state.active_machines();
        unhealthy_machines(&self.reports())
            .into_iter()
            .filter(|name| !active.contains(name) && self.view.position(name).is_some())
            .map(str::to_owned)
            .collect()
    }

    /// Resuming takes half of the share that pauses, so that a share close to it does not pause and resume by turns.
    fn late_answers(&self, paused_by: PausedBy) -> Option<String> {
        let reports = self.reports();
        let answered: u32 = reports.iter().map(|report| report.answered).sum();
        let late: u32 = reports.iter().map(|report| report.late).sum();
        let share = f64::from(late) / f64::from(answered.max(1));
        let max_share = match paused_by {
            PausedBy::Coordinator => self.config.max_late_share / 2.0,
            PausedBy::Nobody | PausedBy::Operator => self.config.max_late_share,
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
