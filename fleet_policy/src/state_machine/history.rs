//! What became of earlier proposals, for operators.

use serde::{Deserialize, Serialize};

use super::{PolicyState, MAX_SHORT_TEXT_BYTES};
use crate::ids::{Index, Member, Version};

/// Proposals that are remembered with their status; the oldest are forgotten first.
const MAX_HISTORY: usize = 32;

/// The status of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ProposalStatus {
    /// It is checked, or takes effect.
    Open,
    /// It came into force.
    InForce,
    /// The member that refused it, and why.
    Refused(Member, String),
    /// Who withdrew it, and why.
    Withdrawn(String, String),
}

/// One proposal and its status.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The proposal's number.
    pub number: Version,
    /// Who proposed it.
    pub author: String,
    /// Why, in the author's words.
    pub reason: String,
    /// What became of it.
    pub status: ProposalStatus,
    /// Where in the log its status last changed.
    #[serde(rename = "at")]
    pub changed_at: Index,
}

impl PolicyState {
    pub(super) fn push_history(&mut self, entry: HistoryEntry) {
        self.history.push_back(entry);
        while self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    pub(super) fn set_status(&mut self, number: Version, status: ProposalStatus) {
        let index = self.index;
        if let Some(past) = self.history.iter_mut().find(|past| past.number == number) {
            past.status = status;
            past.changed_at = index;
        }
    }

    /// The status of a proposal, if it is still remembered.
    pub(crate) fn status_of(&self, number: Version) -> Option<&ProposalStatus> {
        self.history
            .iter()
            .find(|past| past.number == number)
            .map(|past| &past.status)
    }
}

/// Shortens words to the most that is stored, at a character boundary.
pub(super) fn truncate(words: &mut String) {
    let mut end = words.len().min(MAX_SHORT_TEXT_BYTES);
    while !words.is_char_boundary(end) {
        end -= 1;
    }
    words.truncate(end);
}
