//! The longest pause that a node has recently made within a frame.

use ternpick::types::Micros;

/// How long a pause is remembered. Nodes and routes whose bytes come in pieces show it again within this time.
const REMEMBERED_FOR: Micros = Micros(5_000_000);

/// The longest pause within a frame in the last [`REMEMBERED_FOR`].
#[derive(Clone, Copy, Default)]
pub(crate) struct RecentPause {
    longest: Micros,
    /// When a frame with it was complete; `None` if there was none yet.
    at: Option<Micros>,
}

impl RecentPause {
    /// Records the longest pause of a frame that was complete at `now`.
    pub(crate) fn record(&mut self, now: Micros, pause: Micros) {
        if self.longest(now).is_none_or(|longest| pause >= longest) {
            self.longest = pause;
            self.at = Some(now);
        }
    }

    /// Returns the longest pause, or `None` if all frames came without pauses.
    pub(crate) fn longest(&self, now: Micros) -> Option<Micros> {
        let at = self.at?;
        (now.since(at) <= REMEMBERED_FOR).then_some(self.longest)
    }
}

#[cfg(test)]
mod tests;
