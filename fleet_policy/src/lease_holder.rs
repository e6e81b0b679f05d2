//! One router's lease and its view of the policy. It alone says whether a query may be admitted and under which version
//! ([`LeaseHolder::admission`]); it requests leases, and applies the leader's replies ([`reply`]). Nothing here is stored: a
//! process that starts learns the policy first and admits afterwards.
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

/// Requests whose replies still count; the oldest are forgotten first.
const MAX_PENDING_REQUESTS: usize = 16;
/// How long a reply is awaited before the next request: the leader may be gone.
const RETRY_AFTER: Micros = Micros(100_000);

/// What the driver is to do, in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseEffect {
    /// Check whether this proposal can be used here, then call [`LeaseHolder::policy_checked`].
    CheckPolicy(PolicyDocument),
    /// Queries admitted from now on are decided under this policy; those in flight stay under theirs.
    ApplyPolicy(PolicyDocument),
    /// The members as they are now.
    Members(BTreeMap<Member, MemberInfo>),
    /// What has to be known of the extension's state, from this place in the log on; to be acted on at once and
    /// acknowledged with [`LeaseHolder::goes_by`].
    MachinesOut(Index, Vec<u8>),
    /// Write a line to the log.
    Log(String),
}

/// A lease: it is valid in its epoch, up to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Lease {
    epoch: Epoch,
    version: Version,
    until: Micros,
}

/// A request that is in flight, or was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SentRequest {
    seq: Seq,
    sent_at: Micros,
}

/// What this router acknowledges and reports to the extension.
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
    /// From when on no earlier process of this member can have a lease.
    only_process_from: Micros,
    view: Option<View>,
    lease: Option<Lease>,
    /// When the lease that has expired ended; for the log.
    expired_at: Option<Micros>,
    /// Since when it does not admit: it has just started, or its lease became void with an epoch.
    paused_since: Option<Micros>,
    /// When a leader last answered or sent its view: until then a majority was at work.
    last_reply_at: Option<Micros>,
    /// Bounded by [`MAX_PENDING_REQUESTS`].
    sent_requests: VecDeque<SentRequest>,
    last_seq: Seq,
    verdict: Option<ProposalVerdict>,
    /// A version that cannot be used here.
    unfit: Option<Version>,
    not_a_member: bool,
    /// The next request is due at once.
    request_now: bool,
    /// The last request was answered.
    is_answered: bool,
    extension_report: ExtensionReport,
    /// A fault that tests must catch.
    #[cfg(any(test, feature = "planted"))]
    pub injected_bug: Option<InjectedLeaseHolderBug>,
}

impl LeaseHolder {
    /// A process that starts at `now`. `has_predecessor`: it takes over from a process that may still admit for a while.
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

    /// This router.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// The policy state as far as it is known here.
    pub fn view(&self) -> Option<&View> {
        self.view.as_ref()
    }

    /// The version that is in force as far as is known here.
    pub fn version(&self) -> Option<Version> {
        self.view.as_ref().map(|view| view.in_force.number)
    }

    /// How long the lease still lasts; none if there is no valid one.
    pub fn lease_left(&self, now: Micros) -> Option<Micros> {
        let valid = self.lease.filter(|lease| self.is_valid(lease, now))?;
        Some(valid.until.since(now))
    }

    /// Whether the policy in force cannot be used here.
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

    /// The barrier that is in progress as far as is known here.
    fn paused_for(&self) -> Option<BarrierId> {
        self.view.as_ref()?.barrier()
    }

    /// The next request, if one is due; it counts as sent at `now`.
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
            // Without a lease it asks more often, so that it serves again soon.
            RETRY_AFTER
        } else {
            Micros(self.config.renew_interval_us)
        };
        last.sent_at + wait
    }

    /// Whether the last request has been unanswered for so long that whoever received it may not lead.
    pub fn is_awaiting_reply(&self, now: Micros) -> bool {
        let overdue = self
            .sent_requests
            .back()
            .is_some_and(|last| now >= last.sent_at + RETRY_AFTER);
        overdue && !self.is_answered
    }

    /// The next request is due at once: to another router.
    pub fn request_at_once(&mut self) {
        self.request_now = true;
    }

    /// Another process of this member may have a lease from now on, or have had one until now.
    pub fn note_other_process(&mut self, now: Micros) {
        self.only_process_from = now + self.config.certainly_expired_after();
    }

    /// This router acts on the extension's state up to this place, and this is its report. With `send_now` the report is sent
    /// at once.
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

    /// The answer to [`LeaseEffect::CheckPolicy`].
    pub fn policy_checked(&mut self, number: Version, verdict: Verdict) {
        self.verdict = Some(ProposalVerdict { number, verdict });
        self.request_now = true;
    }

    /// The policy in force cannot be used here: under it this router admits nothing.
    pub fn policy_does_not_fit(&mut self, number: Version) {
        self.unfit = Some(number);
    }

    /// Time has passed; that a lease has expired is logged once.
    pub fn expire_lease(&mut self, now: Micros) -> Option<LeaseEffect> {
        if self.has_bug(InjectedLeaseHolderBug::UsesExpiredLease) {
            return None;
        }
        let expired = self.lease.filter(|lease| now >= lease.until)?;
        self.lease = None;
        self.expired_at = Some(expired.until);
        let late = now.since(expired.until).0 / 1000;
        Some(LeaseEffect::Log(format!(
            "lease: over since {late} ms, version {} no longer admits",
            expired.version
        )))
    }

    /// When time alone changes something: the lease's end or the next request, whichever is earlier.
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
