//! The life of a proposal: proposed, checked by all members, confirmed, a barrier during which no router admits, in force.
//! Or refused, withdrawn, or back to checking where a member did not stop admitting in time.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::history::truncate;
use super::outcome::{CommandRefused, NotPending};
use super::{
    HistoryEntry, Outcome, PolicyDocument, PolicyState, ProposalStatus, Verdict,
    MAX_POLICY_TEXT_BYTES, MAX_SHORT_TEXT_BYTES,
};
use crate::ids::{Epoch, Member, Round, Version};

/// The proposal that is checked or takes effect.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PendingProposal {
    /// The policy.
    pub document: PolicyDocument,
    /// Members whose verdict is [`Verdict::Fits`]; another verdict ends the proposal.
    pub accepted_by: BTreeSet<Member>,
    /// A second person has yet to confirm it.
    pub unconfirmed: bool,
    /// The latest barrier; 0 before the first.
    pub round: Round,
    /// During a barrier: members whose leases had certainly expired when it began.
    pub barrier: Option<BTreeSet<Member>>,
}

impl PolicyState {
    pub(super) fn propose(
        &mut self,
        base: Option<Version>,
        mut document: PolicyDocument,
        confirm: bool,
    ) -> Result<Outcome, CommandRefused> {
        if let Some(next) = &self.proposal {
            return Err(CommandRefused::OtherProposalPending {
                number: next.document.number,
                author: next.document.author.clone(),
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

    /// The pending proposal, if it has this number.
    fn pending(&mut self, number: Version) -> Option<&mut PendingProposal> {
        self.proposal
            .as_mut()
            .filter(|next| next.document.number == number)
    }

    /// The pending proposal, if it has this number and this barrier of its is in progress.
    fn in_round(&mut self, number: Version, round: Round) -> Option<&mut PendingProposal> {
        self.pending(number)
            .filter(|next| next.barrier.is_some() && next.round == round)
    }

    fn advance_epoch(&mut self) {
        self.epoch = Epoch(self.epoch.0 + 1);
    }

    /// Verdicts count only outside a barrier; one refusal ends the proposal.
    pub(super) fn record_verdicts(&mut self, number: Version, verdicts: Vec<(Member, Verdict)>) {
        let members: BTreeSet<Member> = self.members.keys().cloned().collect();
        let Some(next) = self.pending(number).filter(|next| next.barrier.is_none()) else {
            return;
        };
        for (member, verdict) in verdicts {
            if !members.contains(&member) {
                continue;
            }
            match verdict {
                Verdict::Fits => {
                    next.accepted_by.insert(member);
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
        let next = self
            .pending(number)
            .ok_or(CommandRefused::ProposalNotPending { number })?;
        if next.document.author == by {
            return Err(CommandRefused::ConfirmedByAuthor { by });
        }
        next.unconfirmed = false;
        Ok(Outcome::Done)
    }

    pub(super) fn begin_barrier(
        &mut self,
        number: Version,
        round: Round,
        expired_members: BTreeSet<Member>,
    ) {
        let members: Vec<Member> = self.members.keys().cloned().collect();
        let Some(next) = self
            .pending(number)
            .filter(|next| next.barrier.is_none() && !next.unconfirmed)
        else {
            return;
        };
        let all = members
            .iter()
            .all(|member| next.accepted_by.contains(member) || expired_members.contains(member));
        if all && round.0 == next.round.0 + 1 {
            next.round = round;
            next.barrier = Some(expired_members);
            self.advance_epoch();
        }
    }

    pub(super) fn put_in_force(&mut self, number: Version, round: Round) {
        if self.in_round(number, round).is_none() {
            return;
        }
        if let Some(next) = self.proposal.take() {
            self.in_force = next.document;
            self.advance_epoch();
            self.departed_members.clear();
            self.set_status(number, ProposalStatus::InForce);
        }
    }

    pub(super) fn resume(&mut self, number: Version, round: Round) {
        if let Some(next) = self.in_round(number, round) {
            next.barrier = None;
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
        // Routers have stopped for a barrier: a new epoch has them resume.
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
