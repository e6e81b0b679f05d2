//! Agreement on the load. The number of machines that may be out depends on it, so it goes through the log.

use ternpick::types::Micros;

use super::Coordinator;
use crate::entry::Entry;

/// The coordinator proposes the reported load if it differs from the agreed load by more than a tenth of the agreed
/// load plus this many shard requests per second.
const MIN_CHANGE_DIVISOR: u64 = 10;
const MIN_CHANGE_PER_SECOND: u64 = 2;
/// The minimum time between two proposals of the load.
const MIN_INTERVAL: Micros = Micros(1_000_000);

impl Coordinator {
    pub(super) fn update_load(&mut self, now: Micros) -> Option<Entry> {
        let reported: u64 = self
            .reports()
            .iter()
            .map(|report| u64::from(report.requests_per_second))
            .sum();
        let agreed = self.state.load;
        let has_moved =
            reported.abs_diff(agreed) > agreed / MIN_CHANGE_DIVISOR + MIN_CHANGE_PER_SECOND;
        let is_due = self
            .load_proposed_at
            .is_none_or(|proposed_at| now.since(proposed_at) >= MIN_INTERVAL);
        if !has_moved || !is_due {
            return None;
        }
        self.load_proposed_at = Some(now);
        Some(Entry::SetLoad {
            fence: self.state.fence,
            requests_per_second: reported,
        })
    }
}
