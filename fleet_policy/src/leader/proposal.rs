//! The entries that advance the pending proposal: verdicts of members, the beginning of a barrier, and its end.

use std::collections::BTreeSet;

use ternpick::types::Micros;

use super::barrier::barrier_of;
use super::{Leader, LeaderAction, ProposedBarrier, ProposedEntries, RETRY_AFTER};
use crate::ids::{Member, Round};
use crate::messages::BarrierId;
use crate::state_machine::{Entry, PendingProposal, PolicyState, Verdict};

/// The timeout doubles with each barrier of a proposal, at most this many times.
const MAX_TIMEOUT_DOUBLINGS: u64 = 5;

/// The longest time for which the leader delays verdicts, so that the verdicts of all members go into one entry.
const MAX_VERDICT_WAIT: Micros = Micros(100_000);

impl Leader {
    /// Proposes the next entries once the previously proposed ones are applied.
    pub(super) fn propose_next_step(
        &mut self,
        now: Micros,
        state: &PolicyState,
        actions: &mut Vec<LeaderAction>,
    ) {
        let Some(pending) = &state.proposal else {
            return;
        };
        if self.proposed.is_some() {
            return;
        }
        let entries = if pending.barrier.is_some() {
            self.end_barrier(now, state, pending, actions)
                .into_iter()
                .collect()
        } else {
            self.next_entries(now, state, pending)
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

    /// The entries to propose while a proposal is checked: the members' verdicts and, if no further verdicts are
    /// missing, the beginning of the barrier. Both are committed together: committing one after the other delayed a
    /// change by up to 0.3 s on a busy machine.
    fn next_entries(
        &mut self,
        now: Micros,
        state: &PolicyState,
        pending: &PendingProposal,
    ) -> Vec<Entry> {
        let verdicts = self.new_verdicts(pending);
        if self.awaits_more_verdicts(now, pending, &verdicts) {
            return Vec::new();
        }
        let all_fit = verdicts
            .iter()
            .all(|(_, verdict)| *verdict == Verdict::Fits);
        let mut accepted_by = pending.accepted_by.clone();
        accepted_by.extend(verdicts.iter().map(|(member, _)| member.clone()));
        let mut entries = Vec::new();
        if !verdicts.is_empty() {
            let number = pending.document.number;
            entries.push(Entry::Verdicts { number, verdicts });
        }
        if all_fit {
            entries.extend(self.begin_barrier(now, state, pending, &accepted_by));
        }
        entries
    }

    /// Whether to delay proposing the verdicts because reachable members have not reported theirs yet.
    fn awaits_more_verdicts(
        &mut self,
        now: Micros,
        pending: &PendingProposal,
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
        // A member gets no lease while its verdict is not in the log: the delay must be well below the renewal interval.
        let longest = MAX_VERDICT_WAIT.min(Micros(self.config.renew_interval_us / 2));
        if is_refused || now.since(since) >= longest {
            return false;
        }
        let has_reported = |member: &Member| {
            pending.accepted_by.contains(member)
                || verdicts.iter().any(|(known, _)| known == member)
        };
        self.reports
            .keys()
            .any(|member| self.is_reachable(now, member) && !has_reported(member))
    }

    /// The verdicts that members have reported and that the state does not contain yet.
    fn new_verdicts(&self, pending: &PendingProposal) -> Vec<(Member, Verdict)> {
        let mut verdicts = Vec::new();
        for (member, report) in &self.reports {
            let Some(checked) = &report.verdict else {
                continue;
            };
            if checked.number == pending.document.number && !pending.accepted_by.contains(member) {
                verdicts.push((member.clone(), checked.verdict.clone()));
            }
        }
        verdicts
    }

    /// The entry that begins a barrier, if it may begin: each member accepts the proposal and is reachable, or certainly
    /// has no lease; and members that were removed certainly have no lease. At least one member must be reachable.
    fn begin_barrier(
        &mut self,
        now: Micros,
        state: &PolicyState,
        pending: &PendingProposal,
        accepted_by: &BTreeSet<Member>,
    ) -> Option<Entry> {
        let on_its_way = self
            .proposed_barrier
            .is_some_and(|proposed| now.since(proposed.proposed_at) <= RETRY_AFTER);
        let departed_expired = state
            .departed_members
            .iter()
            .all(|member| self.leases_expired(now, member, None));
        if on_its_way || pending.unconfirmed || !departed_expired {
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
        let number = pending.document.number;
        let round = Round(pending.round.0 + 1);
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

    /// The entry that ends the barrier: the proposal comes into force once all members have stopped admitting; if a
    /// member has not done so in time, all resume.
    fn end_barrier(
        &mut self,
        now: Micros,
        state: &PolicyState,
        pending: &PendingProposal,
        actions: &mut Vec<LeaderAction>,
    ) -> Option<Entry> {
        let number = pending.document.number;
        let round = pending.round;
        let expired_members = pending.barrier.as_ref()?;
        let missing = self.not_paused(now, state, pending, expired_members);
        if missing.is_empty() {
            self.record_proposed_end(barrier_of(pending));
            return Some(Entry::InForce { number, round });
        }
        let waited = now.since(self.observed_barrier.as_ref()?.first_seen_at);
        if waited < self.barrier_timeout(round) {
            return None;
        }
        let names: Vec<&str> = missing.iter().map(|member| member.0.as_str()).collect();
        actions.push(LeaderAction::Log(format!(
            "policy: barrier {round} of proposal {number} ends after {} ms, members not stopped: {}",
            waited.0 / 1000,
            names.join(", ")
        )));
        // If most members are late, the fleet as a whole is slow: members would get no lease, and the change would never
        // complete. So late members are excluded only while they are a minority.
        if missing.len() * 2 < state.members.len() - expired_members.len() {
            self.late_members.extend(missing);
        }
        self.record_proposed_end(barrier_of(pending));
        Some(Entry::Resume { number, round })
    }

    /// How long a barrier waits for members. Each barrier of a proposal waits longer than the one before, so that a
    /// fleet that is slow as a whole still completes the change.
    fn barrier_timeout(&self, round: Round) -> Micros {
        let doublings = round.0.saturating_sub(1).min(MAX_TIMEOUT_DOUBLINGS);
        Micros(self.config.barrier_timeout_us << doublings)
    }
}
