//! What a router makes of the leader's replies: a newer view of the policy state, and a lease.

use ternpick::types::Micros;

use super::{Lease, LeaseEffect, LeaseHolder};
use crate::ids::Version;
use crate::injected_bug::InjectedLeaseHolderBug;
use crate::messages::{LeaseGrant, LeaseReply, View};

impl LeaseHolder {
    /// A reply of the leader has come.
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

    /// A grant counts if it answers a request of this process and is of the epoch and the version that are known here.
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
                "lease: back under version {}, {ms} ms without",
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
                "policy: admits under version {}, {ms} ms after it paused",
                grant.version
            )));
        }
    }

    /// A view that is older than the known one, or a duplicate, changes nothing: a version never goes back.
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
        if let Some(barrier) = view.barrier().filter(|of| Some(*of) != barrier_before) {
            effects.push(LeaseEffect::Log(format!(
                "policy: stopped for round {}, in epoch {}",
                barrier.round, view.epoch
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

    /// The lease is void with its epoch. Queries wait for the next one, but only where this router was admitting until now
    /// or is at its first view.
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

    /// A proposal is checked once, before its barrier; during the barrier nothing is admitted.
    fn check_proposal(&mut self, view: &View, effects: &mut Vec<LeaseEffect>) {
        let Some(next) = &view.proposal else {
            self.verdict = None;
            return;
        };
        if next.barrier {
            return;
        }
        let checked = self.verdict.as_ref().map(|checked| checked.number);
        if checked != Some(next.document.number) {
            effects.push(LeaseEffect::CheckPolicy(next.document.clone()));
        }
    }
}
