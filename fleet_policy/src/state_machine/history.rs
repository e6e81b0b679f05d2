//! The status of earlier proposals, for operators.

use serde::{Deserialize, Serialize};

use super::{PolicyState, MAX_SHORT_TEXT_BYTES};
use crate::ids::{Index, Member, Version};

/// The number of proposals whose status is remembered; the oldest are dropped first.
const MAX_HISTORY: usize = 32;

/// The status of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ProposalStatus {
    /// The proposal is pending: it is being checked or is in a barrier.
    Open,
    /// The proposal came into force.
    InForce,
    /// The member that refused the proposal, and its reason.
    Refused(Member, String),
    /// The operator who withdrew the proposal, and the reason.
    Withdrawn(String, String),
}

/// One proposal and its status.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// The proposal's number.
    pub number: Version,
    /// The name of the operator who proposed it.
    pub author: String,
    /// The author's reason.
    pub reason: String,
    /// Its current status.
    pub status: ProposalStatus,
    /// The log position of the last change of its status.
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

    /// Returns the status of a proposal if it is still remembered.
    pub(crate) fn status_of(&self, number: Version) -> Option<&ProposalStatus> {
        self.history
            .iter()
            .find(|past| past.number == number)
            .map(|past| &past.status)
    }
}

/// Truncates a text to [`MAX_SHORT_TEXT_BYTES`], at a character boundary.
pub(super) fn truncate(text: &mut String) {
    let mut end = text.len().min(MAX_SHORT_TEXT_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text.truncate(end);
}
