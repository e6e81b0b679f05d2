//! Agreement on the load: how many machines may be out rests on it, so it goes through the log.

use ternpick::types::Micros;

use super::Coordinator;
use crate::entry::Entry;

/// The load is agreed anew when it has moved by more than a tenth of it and by so many shard requests a second.
const MIN_CHANGE_DIVISOR: u64 = 10;
const MIN_CHANGE: u64 = 2;
/// It is not agreed anew more often than this.
const MIN_INTERVAL: Micros = Micros(1_000_000);

impl Coordinator {
    pub(super) fn update_load(&mut self, now: Micros) -> Option<Entry> {
        let reported: u64 = self
            .reports()
            .iter()
            .map(|report| u64::from(report.requests_per_second))
            .sum();
        let agreed = self.state.load;
        let has_moved = reported.abs_diff(agreed) > agreed / MIN_CHANGE_DIVISOR + MIN_CHANGE;
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
