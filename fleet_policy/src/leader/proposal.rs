//! Which entry moves the pending proposal on: verdicts of members, the beginning of a barrier, and its end.

use std::collections::BTreeSet;

use ternpick::types::Micros;

use super::{BarrierSeen, Leader, LeaderAction, ProposedEntry};
use crate::ids::{Member, Round};
use crate::messages::BarrierId;
use crate::planted::InLeader;
use crate::state_machine::{Entry, PendingProposal, PolicyState};

/// The patience doubles with each barrier of a proposal, so many times at most.
const MOST_DOUBLINGS: u64 = 5;

/// The latest barrier of a proposal.
fn barrier_of(next: &PendingProposal) -> BarrierId {
    BarrierId {
        number: next.document.number,
        round: next.round,
    }
}

impl Leader {
    /// Proposes one entry at a time.
    pub(super) fn propose_next_step(
        &mut self,
        now: Micros,
        state: &PolicyState,
        actions: &mut Vec<LeaderAction>,
    ) {
        let Some(next) = &state.proposal else {
            return;
        };
        if self.proposed.is_some() {
            return;
        }
        let step = if next.barrier.is_some() {
            self.end_barrier(now, state, next, actions)
        } else {
            self.new_verdicts(next)
                .or_else(|| self.begin_barrier(now, state, next))
        };
        if let Some(entry) = step {
            self.proposed = Some(ProposedEntry {
                state_index: state.index,
                at: now,
                begins_barrier: matches!(entry, Entry::BeginBarrier { .. }),
            });
            actions.push(LeaderAction::Propose(entry));
        }
    }

    /// Notes when the barrier that is in progress was first seen.
    pub(super) fn follow_barrier(&mut self, now: Micros, state: &PolicyState) {
        let Some(next) = &state.proposal else {
            self.barrier_seen = None;
            self.late_members.clear();
            return;
        };
        if next.barrier.is_none() {
            self.barrier_seen = None;
            return;
        }
        let barrier = barrier_of(next);
        if self.barrier_seen.map(|seen| seen.barrier) != Some(barrier) {
            self.barrier_seen = Some(BarrierSeen { barrier, at: now });
        }
    }

    /// Verdicts that members have reported and the state does not contain yet.
    fn new_verdicts(&self, next: &PendingProposal) -> Option<Entry> {
        let number = next.document.number;
        let mut verdicts = Vec::new();
        for (member, report) in &self.reports {
            let Some(checked) = &report.verdict else {
                continue;
            };
            if checked.number == number && !next.accepted_by.contains(member) {
                verdicts.push((member.clone(), checked.verdict.clone()));
            }
        }
        (!verdicts.is_empty()).then_some(Entry::Verdicts { number, verdicts })
    }

    /// The barrier begins once each member accepts the proposal and is reachable, or has certainly no lease; and once
    /// members that were removed have certainly none.
    fn begin_barrier(
        &self,
        now: Micros,
        state: &PolicyState,
        next: &PendingProposal,
    ) -> Option<Entry> {
        let departed_expired = state
            .departed_members
            .iter()
            .all(|member| self.leases_expired(now, member, None));
        if next.unconfirmed || !departed_expired {
            return None;
        }
        let mut without = BTreeSet::new();
        for member in state.members.keys() {
            if next.accepted_by.contains(member) && self.is_reachable(now, member) {
                if !self.speaks_for_whole_member(now, member) {
                    return None;
                }
            } else if self.leases_expired(now, member, None) {
                without.insert(member.clone());
            } else {
                return None;
            }
        }
        (without.len() < state.members.len()).then_some(Entry::BeginBarrier {
            number: next.document.number,
            round: Round(next.round.0 + 1),
            without,
        })
    }

    /// During a hot restart two processes of a member may have leases: a report counts for the member only once the other
    /// process's lease has certainly expired.
    fn speaks_for_whole_member(&self, now: Micros, member: &Member) -> bool {
        self.reports.get(member).is_none_or(|report| {
            report.is_only_process || self.leases_expired(now, member, Some(report.incarnation))
        })
    }

    /// Whether this member certainly admits nothing more during this barrier.
    pub(super) fn has_paused(&self, now: Micros, member: &Member, next: &PendingProposal) -> bool {
        let barrier = Some(barrier_of(next));
        match self.reports.get(member) {
            Some(report) if report.paused_for == barrier => {
                self.speaks_for_whole_member(now, member)
            }
            _ => self.leases_expired(now, member, None),
        }
    }

    /// The proposal comes into force once all have stopped admitting; if somebody has not in time, all resume.
    fn end_barrier(
        &mut self,
        now: Micros,
        state: &PolicyState,
        next: &PendingProposal,
        actions: &mut Vec<LeaderAction>,
    ) -> Option<Entry> {
        let number = next.document.number;
        let round = next.round;
        let without = next.barrier.as_ref()?;
        let missing = self.not_paused(now, state, next, without);
        if missing.is_empty() {
            return Some(Entry::InForce { number, round });
        }
        let waited = now.since(self.barrier_seen?.at);
        if waited < self.patience(round) {
            return None;
        }
        let names: Vec<&str> = missing.iter().map(|member| member.0.as_str()).collect();
        actions.push(LeaderAction::Log(format!(
            "policy: round {round} of proposal {number} ends after {} ms, not stopped: {}",
            waited.0 / 1000,
            names.join(", ")
        )));
        // Where most were late the fleet as a whole is slow: without a lease for anybody no change would ever end.
        if missing.len() * 2 < state.members.len() - without.len() {
            self.late_members.extend(missing);
        }
        Some(Entry::Resume { number, round })
    }

    fn not_paused(
        &self,
        now: Micros,
        state: &PolicyState,
        next: &PendingProposal,
        without: &BTreeSet<Member>,
    ) -> BTreeSet<Member> {
        if self.has_bug(InLeader::NoWait) {
            return BTreeSet::new();
        }
        state
            .members
            .keys()
            .filter(|member| !without.contains(*member))
            .filter(|member| !self.has_paused(now, member, next))
            .cloned()
            .collect()
    }

    /// Each barrier waits longer than the one before: a fleet that is slow as a whole completes the change all the same.
    fn patience(&self, round: Round) -> Micros {
        let doublings = round.0.saturating_sub(1).min(MOST_DOUBLINGS);
        Micros(self.config.patience << doublings)
    }
}
