//! Randomized election timeouts from this replica's own generator. raft-rs draws its own from the thread's generator, which
//! a simulation could not repeat.

use nanorand::{Rng, WyRand};
use raft::{Raft, StateRole};

use crate::log_storage::LogStorage;

/// Term, leader and role; when any of them changes, a new election timeout begins.
#[derive(Clone, Copy, PartialEq, Eq)]
struct ElectionState {
    term: u64,
    leader_id: u64,
    role: StateRole,
}

pub(super) struct ElectionTimeout {
    rng: WyRand,
    drawn_for: Option<ElectionState>,
}

impl ElectionTimeout {
    pub(super) fn new(seed: u64) -> ElectionTimeout {
        ElectionTimeout {
            rng: WyRand::new_seed(seed),
            drawn_for: None,
        }
    }

    /// Overrides the timeout of raft-rs if it may have drawn a new one since the last call.
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
