//! Randomized election timeouts from this replica's own seeded generator. raft-rs draws timeouts from the thread's
//! generator, which would make a simulation impossible to repeat.

use nanorand::{Rng, WyRand};
use raft::{Raft, StateRole};

use crate::log_storage::LogStorage;

/// Term, leader and role. When any of them changes, raft-rs may have drawn a new election timeout.
#[derive(Clone, Copy, PartialEq, Eq)]
struct ElectionState {
    term: u64,
    leader_id: u64,
    role: StateRole,
}

pub(super) struct ElectionTimeout {
    rng: WyRand,
    /// The state at the last draw.
    drawn_for: Option<ElectionState>,
}

impl ElectionTimeout {
    pub(super) fn new(seed: u64) -> ElectionTimeout {
        ElectionTimeout {
            rng: WyRand::new_seed(seed),
            drawn_for: None,
        }
    }

    /// Replaces the timeout of raft-rs by one from this generator if raft-rs may have drawn a new one since the last
    /// call.
    pub(super) fn redraw_on_change(&mut self, raft: &mut Raft<LogStorage>, election_ticks: usize) {
        let state = ElectionState {
            term: raft.term,
            leader_id: raft.leader_id,
            role: raft.state,
        };
        if self.drawn_for == Some(state) {
            return;
        }
        self.drawn_for = Some(state);
        let ticks = self.rng.generate_range(election_ticks..election_ticks * 2);
        raft.set_randomized_election_timeout(ticks);
    }
}
