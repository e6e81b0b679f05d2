//! Applies the leader's replies: a newer view of the policy state, and a lease.

use ternpick::types::Micros;

use super::{Lease, LeaseEffect, LeaseHolder};
use crate::ids::Version;
use crate::injected_bug::InjectedLeaseHolderBug;
use crate::messages::{LeaseGrant, LeaseReply, View};

impl LeaseHolder {
    /// Applies a reply of the leader.
    pub fn handle_reply(&mut self, now: Micros, reply: LeaseReply) -> Vec<LeaseEffect> {
        let mut effects = Vec::new();
        self.is_answered = true;
        self.last_reply_at = Some(now);
        self.not_a_member = reply.not_a_member;
        if let Some(members) = reply.members {
            effects.push(LeaseEffect::Members(members));
        }
        if let Some(view) = reply.view {
            self.accept_view(now, view, &mut effects);
        }
        if let Some(grant) = reply.grant {
            self.accept_grant(now, grant, &mut effects);
        }
        effects
    }

    /// Accepts a grant if it answers a recent request of this process and has the epoch and the version of the current
    /// view.
    fn accept_grant(&mut self, now: Micros, grant: LeaseGrant, effects: &mut Vec<LeaseEffect>) {
        if grant.incarnation != self.incarnation {
            return;
        }
        let Some(request) = self
            .sent_requests
            .iter()
            .find(|request| request.seq == grant.seq)
        else {
            return;
        };
        let from = if self.has_bug(InjectedLeaseHolderBug::LeaseFromGrant) {
            now
        } else {
            request.sent_at
        };
        let until = from + Micros(self.config.lease_us);
        let is_current = self
            .view
            .as_ref()
            .is_some_and(|view| view.epoch == grant.epoch && view.in_force.number == grant.version);
        let lasts_longer = self
            .lease
            .is_none_or(|lease| lease.epoch != grant.epoch || lease.until < until);
        if !is_current || !lasts_longer || now >= until {
            return;
        }
        if let Some(expired_at) = self.expired_at.take() {
            let ms = now.since(expired_at).0 / 1000;
            effects.push(LeaseEffect::Log(format!(
                "lease: granted again under version {}, after {ms} ms without a lease",
                grant.version
            )));
        }
        self.lease = Some(Lease {
            epoch: grant.epoch,
            version: grant.version,
            until,
        });
        if let Some(paused_since) = self.paused_since.take() {
            let ms = now.since(paused_since).0 / 1000;
            effects.push(LeaseEffect::Log(format!(
                "policy: admission resumed under version {}, after a pause of {ms} ms",
                grant.version
            )));
        }
    }

    /// Accepts a view that is newer than the known one. An older one or a duplicate changes nothing, so the version
    /// never goes back.
    fn accept_view(&mut self, now: Micros, view: View, effects: &mut Vec<LeaseEffect>) {
        if self
            .view
            .as_ref()
            .is_some_and(|known| known.index >= view.index)
        {
            return;
        }
        let before = self.view.replace(view.clone());
        if before.as_ref().map(|before| before.epoch) != Some(view.epoch) {
            let is_first_view = before.is_none();
            self.enter_epoch(now, is_first_view);
        }
        let barrier_before = before.as_ref().and_then(View::barrier);
        if let Some(barrier) = view
            .barrier()
            .filter(|barrier| Some(*barrier) != barrier_before)
        {
            effects.push(LeaseEffect::Log(format!(
                "policy: stopped admitting for barrier {} of proposal {}, in epoch {}",
                barrier.round, barrier.number, view.epoch
            )));
        }
        let version_before = before.as_ref().map(|before| before.in_force.number);
        self.apply_version(version_before, &view, effects);
        if before.map(|before| before.machines_out_at) != Some(view.machines_out_at) {
            effects.push(LeaseEffect::MachinesOut(
                view.machines_out_at,
                view.machines_out.clone(),
            ));
        }
        self.check_proposal(&view, effects);
    }

    /// Begins a new epoch, which voids the lease. Queries wait for the next lease only if this router was admitting
    /// until now or this is its first view.
    fn enter_epoch(&mut self, now: Micros, is_first_view: bool) {
        let was_admitting = self.lease.is_some_and(|lease| now < lease.until);
        if was_admitting || is_first_view {
            self.paused_since = Some(now);
        }
        if !self.has_bug(InjectedLeaseHolderBug::AdmitsInBarrier) {
            self.lease = None;
        }
        self.request_now = true;
    }

    /// Has the policy in force applied if its version is new to this router.
    fn apply_version(
        &mut self,
        before: Option<Version>,
        view: &View,
        effects: &mut Vec<LeaseEffect>,
    ) {
        let policy = &view.in_force;
        if before == Some(policy.number) {
            return;
        }
        effects.push(LeaseEffect::Log(format!(
            "policy: version {} is in force, by '{}'",
            policy.number, policy.author
        )));
        effects.push(LeaseEffect::ApplyPolicy(policy.clone()));
        self.unfit = None;
    }

    /// Has a new proposal checked, once and before its barrier.
    fn check_proposal(&mut self, view: &View, effects: &mut Vec<LeaseEffect>) {
        let Some(pending) = &view.proposal else {
            self.verdict = None;
            return;
        };
        if pending.barrier {
            return;
        }
        let checked = self.verdict.as_ref().map(|checked| checked.number);
        if checked != Some(pending.document.number) {
            effects.push(LeaseEffect::CheckPolicy(pending.document.clone()));
        }
    }
}
