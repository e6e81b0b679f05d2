//! The life cycle of a proposal: it is proposed, checked by all members and confirmed; after a barrier, during which no
//! router admits queries, it is in force. It ends earlier if a member refuses it or an operator withdraws it, and
//! returns to checking if a member does not stop admitting in time.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::history::truncate;
use super::outcome::{CommandRefused, NotPending};
use super::{
    HistoryEntry, Outcome, PolicyDocument, PolicyState, ProposalStatus, Verdict,
    MAX_POLICY_TEXT_BYTES, MAX_SHORT_TEXT_BYTES,
};
use crate::ids::{Epoch, Member, Round, Version};

/// The pending proposal, which is being checked or is in a barrier.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PendingProposal {
    /// The policy.
    pub document: PolicyDocument,
    /// Members whose verdict is [`Verdict::Fits`]; any other verdict ends the proposal.
    pub accepted_by: BTreeSet<Member>,
    /// Whether a second person still has to confirm it.
    pub unconfirmed: bool,
    /// The number of the latest barrier; 0 before the first.
    pub round: Round,
    /// While a barrier is in progress: the members whose leases had certainly expired when it began. Otherwise `None`.
    pub barrier: Option<BTreeSet<Member>>,
}

impl PolicyState {
    pub(super) fn propose(
        &mut self,
        base: Option<Version>,
        mut document: PolicyDocument,
        confirm: bool,
    ) -> Result<Outcome, CommandRefused> {
        if let Some(pending) = &self.proposal {
            return Err(CommandRefused::OtherProposalPending {
                number: pending.document.number,
                author: pending.document.author.clone(),
            });
        }
        let in_force = self.in_force.number;
        if let Some(base) = base.filter(|base| *base != in_force) {
            return Err(CommandRefused::OutdatedBase { base, in_force });
        }
        if document.text.len() > MAX_POLICY_TEXT_BYTES
            || document.reason.len() + document.author.len() > MAX_SHORT_TEXT_BYTES
        {
            return Err(CommandRefused::DocumentTooLong);
        }
        self.newest_version = Version(self.newest_version.0 + 1);
        document.number = self.newest_version;
        self.push_history(HistoryEntry {
            number: document.number,
            author: document.author.clone(),
            reason: document.reason.clone(),
            status: ProposalStatus::Open,
            changed_at: self.index,
        });
        self.proposal = Some(PendingProposal {
            document,
            accepted_by: BTreeSet::new(),
            unconfirmed: confirm,
            round: Round(0),
            barrier: None,
        });
        Ok(Outcome::Proposed(self.newest_version))
    }

    /// Returns the pending proposal if it has this number.
    fn pending(&mut self, number: Version) -> Option<&mut PendingProposal> {
        self.proposal
            .as_mut()
            .filter(|pending| pending.document.number == number)
    }

    /// Returns the pending proposal if it has this number and its barrier with the number `round` is in progress.
    fn in_round(&mut self, number: Version, round: Round) -> Option<&mut PendingProposal> {
        self.pending(number)
            .filter(|pending| pending.barrier.is_some() && pending.round == round)
    }

    fn advance_epoch(&mut self) {
        self.epoch = Epoch(self.epoch.0 + 1);
    }

    /// Records verdicts. They count only outside a barrier; one refusal ends the proposal.
    pub(super) fn record_verdicts(&mut self, number: Version, verdicts: Vec<(Member, Verdict)>) {
        let members: BTreeSet<Member> = self.members.keys().cloned().collect();
        let Some(pending) = self
            .pending(number)
            .filter(|pending| pending.barrier.is_none())
        else {
            return;
        };
        for (member, verdict) in verdicts {
            if !members.contains(&member) {
                continue;
            }
            match verdict {
                Verdict::Fits => {
                    pending.accepted_by.insert(member);
                }
                Verdict::Refused(mut reason) => {
                    truncate(&mut reason);
                    self.proposal = None;
                    self.set_status(number, ProposalStatus::Refused(member, reason));
                    return;
                }
            }
        }
    }

    pub(super) fn confirm(
        &mut self,
        number: Version,
        by: String,
    ) -> Result<Outcome, CommandRefused> {
        let pending = self
            .pending(number)
            .ok_or(CommandRefused::ProposalNotPending { number })?;
        if pending.document.author == by {
            return Err(CommandRefused::ConfirmedByAuthor { by });
        }
        pending.unconfirmed = false;
        Ok(Outcome::Done)
    }

    pub(super) fn begin_barrier(
        &mut self,
        number: Version,
        round: Round,
        expired_members: BTreeSet<Member>,
    ) {
        let members: Vec<Member> = self.members.keys().cloned().collect();
        let Some(pending) = self
            .pending(number)
            .filter(|pending| pending.barrier.is_none() && !pending.unconfirmed)
        else {
            return;
        };
        let all = members
            .iter()
            .all(|member| pending.accepted_by.contains(member) || expired_members.contains(member));
        if all && round.0 == pending.round.0 + 1 {
            pending.round = round;
            pending.barrier = Some(expired_members);
            self.advance_epoch();
        }
    }

    pub(super) fn put_in_force(&mut self, number: Version, round: Round) {
        if self.in_round(number, round).is_none() {
            return;
        }
        if let Some(pending) = self.proposal.take() {
            self.in_force = pending.document;
            self.advance_epoch();
            self.departed_members.clear();
            self.set_status(number, ProposalStatus::InForce);
        }
    }

    pub(super) fn resume(&mut self, number: Version, round: Round) {
        if let Some(pending) = self.in_round(number, round) {
            pending.barrier = None;
            self.advance_epoch();
        }
    }

    pub(super) fn withdraw(
        &mut self,
        number: Version,
        mut by: String,
        mut reason: String,
    ) -> Result<Outcome, CommandRefused> {
        if self.pending(number).is_none() {
            let status = match self.status_of(number) {
                Some(ProposalStatus::InForce) => NotPending::InForce,
                Some(ProposalStatus::Refused(..)) => NotPending::Refused,
                Some(ProposalStatus::Withdrawn(..)) => NotPending::Withdrawn,
                Some(ProposalStatus::Open) | None => NotPending::Unknown,
            };
            return Err(CommandRefused::CannotWithdraw { number, status });
        }
        // Routers have stopped admitting for the barrier: a new epoch makes them resume.
        if self.in_barrier() {
            self.advance_epoch();
        }
        self.proposal = None;
        truncate(&mut by);
        truncate(&mut reason);
        self.set_status(number, ProposalStatus::Withdrawn(by, reason));
        Ok(Outcome::Done)
    }
}
