//! One router's lease and its view of the policy. [`LeaseHolder`] alone decides whether a query may be admitted and under
//! which version ([`LeaseHolder::admission`]); it requests leases and applies the leader's replies ([`reply`]). It stores
//! nothing on disk: a process that starts has to learn the policy before it admits queries.
//!
//! [`crate::FleetNode`] drives it. It sends nothing itself and reads no clock.

mod admission;
mod reply;

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};

use ternpick::types::Micros;

pub use admission::{Admission, RejectReason};

use crate::ids::{Epoch, Incarnation, Index, Member, Seq, Version};
use crate::injected_bug::InjectedLeaseHolderBug;
use crate::lease_config::LeaseConfig;
use crate::messages::{BarrierId, LeaseRequest, ProposalVerdict, View};
use crate::state_machine::{MemberInfo, PolicyDocument, Verdict};

/// The number of sent requests whose replies are still accepted; the oldest are dropped first.
const MAX_PENDING_REQUESTS: usize = 16;
/// The time without a reply after which the next request is sent: the leader may have failed.
const RETRY_AFTER: Micros = Micros(100_000);

/// An action for the driver; actions are carried out in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseEffect {
    /// Check whether this router can apply the proposal, then call [`LeaseHolder::policy_checked`].
    CheckPolicy(PolicyDocument),
    /// Apply this policy to queries that are admitted from now on; queries in flight keep the policy under which they
    /// were admitted.
    ApplyPolicy(PolicyDocument),
    /// Replace the known members by these.
    Members(BTreeMap<Member, MemberInfo>),
    /// Apply the part of the extension's state that every router must know, as of this log position, at once; then
    /// acknowledge it with [`LeaseHolder::set_extension_report`].
    MachinesOut(Index, Vec<u8>),
    /// Write a line to the log.
    Log(String),
}

/// A lease: it is valid in its epoch until its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Lease {
    epoch: Epoch,
    version: Version,
    until: Micros,
}

/// A sent request, whether or not it was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SentRequest {
    seq: Seq,
    sent_at: Micros,
}

/// The log position up to which this router has applied the extension's state, and its report to the extension.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct ExtensionReport {
    machines_out_at: Index,
    content: Vec<u8>,
}

/// One router's lease and its view of the policy.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    config: LeaseConfig,
    me: Member,
    incarnation: Incarnation,
    /// The time from which no other process of this member can have a lease.
    only_process_from: Micros,
    view: Option<View>,
    lease: Option<Lease>,
    /// The end of the last lease if it has expired and no further one was granted.
    expired_at: Option<Micros>,
    /// When the router paused admission because it started or its lease became void with a new epoch. `None` after a
    /// lease is granted.
    paused_since: Option<Micros>,
    /// When this router last received a reply of a leader: up to then a majority of the voters was working.
    last_reply_at: Option<Micros>,
    /// The latest requests; bounded by [`MAX_PENDING_REQUESTS`].
    sent_requests: VecDeque<SentRequest>,
    last_seq: Seq,
    verdict: Option<ProposalVerdict>,
    /// A version that this router cannot apply.
    unfit: Option<Version>,
    not_a_member: bool,
    /// Whether the next request is due at once.
    request_now: bool,
    /// Whether the last request was answered.
    is_answered: bool,
    extension_report: ExtensionReport,
    /// A bug that tests inject and must find.
    #[cfg(any(test, feature = "planted"))]
    pub injected_bug: Option<InjectedLeaseHolderBug>,
}

impl LeaseHolder {
    /// The lease holder of a process that starts at `now`. With `has_predecessor`, the process replaces one that may
    /// still admit queries for a while.
    pub fn new(
        config: LeaseConfig,
        me: Member,
        incarnation: Incarnation,
        has_predecessor: bool,
        now: Micros,
    ) -> LeaseHolder {
        let only_process_from = if has_predecessor {
            now + config.certainly_expired_after()
        } else {
            now
        };
        LeaseHolder {
            config,
            me,
            incarnation,
            only_process_from,
            view: None,
            lease: None,
            expired_at: None,
            paused_since: Some(now),
            last_reply_at: None,
            sent_requests: VecDeque::new(),
            last_seq: Seq(0),
            verdict: None,
            unfit: None,
            not_a_member: false,
            request_now: true,
            is_answered: true,
            extension_report: ExtensionReport::default(),
            #[cfg(any(test, feature = "planted"))]
            injected_bug: None,
        }
    }

    /// The name of this router.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// The latest known view of the policy state.
    pub fn view(&self) -> Option<&View> {
        self.view.as_ref()
    }

    /// The version in force in the latest known view.
    pub fn version(&self) -> Option<Version> {
        self.view.as_ref().map(|view| view.in_force.number)
    }

    /// The remaining time of the lease; `None` if there is no valid lease.
    pub fn lease_left(&self, now: Micros) -> Option<Micros> {
        let valid = self.lease.filter(|lease| self.is_valid(lease, now))?;
        Some(valid.until.since(now))
    }

    /// Whether this router cannot apply the policy in force.
    pub fn is_unfit(&self) -> bool {
        self.view.is_some() && self.unfit == self.version()
    }

    fn is_valid(&self, lease: &Lease, now: Micros) -> bool {
        let in_time = now < lease.until || self.has_bug(InjectedLeaseHolderBug::UsesExpiredLease);
        let same_epoch = self
            .view
            .as_ref()
            .is_some_and(|view| view.epoch == lease.epoch);
        in_time && same_epoch
    }

    /// The barrier that is in progress in the latest known view.
    fn paused_for(&self) -> Option<BarrierId> {
        self.view.as_ref()?.barrier()
    }

    /// Returns the next request if one is due. It counts as sent at `now`.
    pub fn next_request(&mut self, now: Micros) -> Option<LeaseRequest> {
        if now < self.next_request_at(now) {
            return None;
        }
        self.request_now = false;
        self.is_answered = false;
        self.last_seq = Seq(self.last_seq.0 + 1);
        self.sent_requests.push_back(SentRequest {
            seq: self.last_seq,
            sent_at: now,
        });
        while self.sent_requests.len() > MAX_PENDING_REQUESTS {
            self.sent_requests.pop_front();
        }
        let view = self.view.as_ref();
        Some(LeaseRequest {
            member: self.me.clone(),
            incarnation: self.incarnation,
            seq: self.last_seq,
            index: view.map_or(Index(0), |view| view.index),
            members_at: view.map_or(Index(0), |view| view.members_at),
            verdict: self.verdict.clone(),
            paused_for: self.paused_for(),
            is_only_process: now >= self.only_process_from,
            unfit: self.unfit.filter(|unfit| Some(*unfit) == self.version()),
            last_leader_contact: None,
            machines_out_at: self.extension_report.machines_out_at,
            extension_report: self.extension_report.content.clone(),
        })
    }

    /// When the next request is due.
    pub fn next_request_at(&self, now: Micros) -> Micros {
        let Some(last) = self.sent_requests.back() else {
            return now;
        };
        let wait = if self.request_now {
            Micros(0)
        } else if !self.is_answered || self.lease_left(now).is_none() {
            // Without a lease the router sends requests more often, so that it can serve again soon.
            RETRY_AFTER
        } else {
            Micros(self.config.renew_interval_us)
        };
        last.sent_at + wait
    }

    /// Whether the last request has been unanswered for so long that its recipient may not be the leader.
    pub fn is_awaiting_reply(&self, now: Micros) -> bool {
        let overdue = self
            .sent_requests
            .back()
            .is_some_and(|last| now >= last.sent_at + RETRY_AFTER);
        overdue && !self.is_answered
    }

    /// Makes the next request due at once, because it has to go to another router than the last one.
    pub fn request_at_once(&mut self) {
        self.request_now = true;
    }

    /// Records that another process of this member may have a lease: either from now on, or until now.
    pub fn note_other_process(&mut self, now: Micros) {
        self.only_process_from = now + self.config.certainly_expired_after();
    }

    /// Records that this router has applied the extension's state up to this log position, and its report. With
    /// `send_now`, the report is sent at once.
    pub fn set_extension_report(
        &mut self,
        machines_out_at: Index,
        report: Vec<u8>,
        send_now: bool,
    ) {
        self.request_now |= send_now;
        self.extension_report = ExtensionReport {
            machines_out_at,
            content: report,
        };
    }

    /// Records the result of [`LeaseEffect::CheckPolicy`].
    pub fn policy_checked(&mut self, number: Version, verdict: Verdict) {
        self.verdict = Some(ProposalVerdict { number, verdict });
        self.request_now = true;
    }

    /// Records that this router cannot apply the policy in force, and so must admit no queries under it.
    pub fn policy_does_not_fit(&mut self, number: Version) {
        self.unfit = Some(number);
    }

    /// Drops the lease if it has expired, and returns a log line on that once.
    pub fn expire_lease(&mut self, now: Micros) -> Option<LeaseEffect> {
        if self.has_bug(InjectedLeaseHolderBug::UsesExpiredLease) {
            return None;
        }
        let expired = self.lease.filter(|lease| now >= lease.until)?;
        self.lease = None;
        self.expired_at = Some(expired.until);
        let late = now.since(expired.until).0 / 1000;
        Some(LeaseEffect::Log(format!(
            "lease: expired {late} ms ago, no further admission under version {}",
            expired.version
        )))
    }

    /// When the lease holder must be called next even if it receives nothing: at the end of the lease or when the next
    /// request is due, whichever is earlier.
    pub fn next_deadline(&self, now: Micros) -> Micros {
        let next_request = self.next_request_at(now);
        match self.lease {
            Some(lease)
                if lease.until > now || !self.has_bug(InjectedLeaseHolderBug::UsesExpiredLease) =>
            {
                lease.until.min(next_request)
            }
            _ => next_request,
        }
    }
}
