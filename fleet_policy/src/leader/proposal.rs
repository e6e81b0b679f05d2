//! Which entry moves the pending proposal on: verdicts of members, the beginning of a barrier, and its end.

use std::collections::BTreeSet;

use ternpick::types::Micros;

use super::barrier::barrier_of;
use super::{Leader, LeaderAction, ProposedBarrier, ProposedEntries, RETRY_AFTER};
use crate::ids::{Member, Round};
use crate::messages::BarrierId;
use crate::state_machine::{Entry, PendingProposal, PolicyState, Verdict};

/// The patience doubles with each barrier of a proposal, so many times at most.
const MAX_TIMEOUT_DOUBLINGS: u64 = 5;

/// Verdicts are held back for so long at most, so that those of all members go into one entry.
const MAX_VERDICT_WAIT: Micros = Micros(100_000);

impl Leader {
    /// Proposes the next entries, once those before them are applied.
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
        let entries = if next.barrier.is_some() {
            self.end_barrier(now, state, next, actions)
                .into_iter()
                .collect()
        } else {
            self.next_entries(now, state, next)
        };
        if entries.is_empty() {
            return;
        }
        self.proposed = Some(ProposedEntries {
            state_index: state.index,
            proposed_at: now,
        });
        actions.extend(entries.into_iter().map(LeaderAction::Propose));
    }

    /// While a proposal is checked: the members' verdicts, and the beginning of the barrier where they are the last that it
    /// waits for. Both are committed together; one after the other cost a change on a busy machine up to 0.3 s.
    fn next_entries(
        &mut self,
        now: Micros,
        state: &PolicyState,
        next: &PendingProposal,
    ) -> Vec<Entry> {
        let verdicts = self.new_verdicts(next);
        if self.awaits_more_verdicts(now, next, &verdicts) {
            return Vec::new();
        }
        let all_fit = verdicts
            .iter()
            .all(|(_, verdict)| *verdict == Verdict::Fits);
        let mut accepted_by = next.accepted_by.clone();
        accepted_by.extend(verdicts.iter().map(|(member, _)| member.clone()));
        let mut entries = Vec::new();
        if !verdicts.is_empty() {
            let number = next.document.number;
            entries.push(Entry::Verdicts { number, verdicts });
        }
        if all_fit {
            entries.extend(self.begin_barrier(now, state, next, &accepted_by));
        }
        entries
    }

    /// Whether verdicts are held back for a moment, because further members are about to report theirs.
    fn awaits_more_verdicts(
        &mut self,
        now: Micros,
        next: &PendingProposal,
        verdicts: &[(Member, Verdict)],
    ) -> bool {
        if verdicts.is_empty() {
            self.verdicts_since = None;
            return false;
        }
        let since = *self.verdicts_since.get_or_insert(now);
        let is_refused = verdicts
            .iter()
            .any(|(_, verdict)| *verdict != Verdict::Fits);
        // Without its verdict in the log a member gets no lease: well within the time between two requests for one.
        let longest = MAX_VERDICT_WAIT.min(Micros(self.config.renew_interval_us / 2));
        if is_refused || now.since(since) >= longest {
            return false;
        }
        let has_reported = |member: &Member| {
            next.accepted_by.contains(member) || verdicts.iter().any(|(known, _)| known == member)
        };
        self.reports
            .keys()
            .any(|member| self.is_reachable(now, member) && !has_reported(member))
    }

    /// Verdicts that members have reported and the state does not contain yet.
    fn new_verdicts(&self, next: &PendingProposal) -> Vec<(Member, Verdict)> {
        let mut verdicts = Vec::new();
        for (member, report) in &self.reports {
            let Some(checked) = &report.verdict else {
                continue;
            };
            if checked.number == next.document.number && !next.accepted_by.contains(member) {
                verdicts.push((member.clone(), checked.verdict.clone()));
            }
        }
        verdicts
    }

    /// The barrier begins once each member accepts the proposal and is reachable, or has certainly no lease; and once
    /// members that were removed have certainly none.
    fn begin_barrier(
        &mut self,
        now: Micros,
        state: &PolicyState,
        next: &PendingProposal,
        accepted_by: &BTreeSet<Member>,
    ) -> Option<Entry> {
        let on_its_way = self
            .proposed_barrier
            .is_some_and(|proposed| now.since(proposed.proposed_at) <= RETRY_AFTER);
        let departed_expired = state
            .departed_members
            .iter()
            .all(|member| self.leases_expired(now, member, None));
        if on_its_way || next.unconfirmed || !departed_expired {
            return None;
        }
        let mut expired_members = BTreeSet::new();
        for member in state.members.keys() {
            if accepted_by.contains(member) && self.is_reachable(now, member) {
                if !self.report_covers_all_processes(now, member) {
                    return None;
                }
            } else if self.leases_expired(now, member, None) {
                expired_members.insert(member.clone());
            } else {
                return None;
            }
        }
        if expired_members.len() == state.members.len() {
            return None;
        }
        let number = next.document.number;
        let round = Round(next.round.0 + 1);
        self.proposed_barrier = Some(ProposedBarrier {
            barrier: BarrierId { number, round },
            proposed_at: now,
        });
        Some(Entry::BeginBarrier {
            number,
            round,
            expired_members,
        })
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
        let expired_members = next.barrier.as_ref()?;
        let missing = self.not_paused(now, state, next, expired_members);
        if missing.is_empty() {
            self.record_proposed_end(barrier_of(next));
            return Some(Entry::InForce { number, round });
        }
        let waited = now.since(self.observed_barrier.as_ref()?.first_seen_at);
        if waited < self.barrier_timeout(round) {
            return None;
        }
        let names: Vec<&str> = missing.iter().map(|member| member.0.as_str()).collect();
        actions.push(LeaderAction::Log(format!(
            "policy: round {round} of proposal {number} ends after {} ms, not stopped: {}",
            waited.0 / 1000,
            names.join(", ")
        )));
        // Where most were late the fleet as a whole is slow: without a lease for anybody no change would ever end.
        if missing.len() * 2 < state.members.len() - expired_members.len() {
            self.late_members.extend(missing);
        }
        self.record_proposed_end(barrier_of(next));
        Some(Entry::Resume { number, round })
    }

    /// Each barrier waits longer than the one before: a fleet that is slow as a whole completes the change all the same.
    fn barrier_timeout(&self, round: Round) -> Micros {
        let doublings = round.0.saturating_sub(1).min(MAX_TIMEOUT_DOUBLINGS);
        Micros(self.config.barrier_timeout_us << doublings)
    }
}
