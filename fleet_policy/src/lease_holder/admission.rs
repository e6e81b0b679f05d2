//! The decision whether a query may be admitted.

use ternpick::types::Micros;

use super::LeaseHolder;
use crate::ids::Version;
use crate::injected_bug::InjectedLeaseHolderBug;

/// The decision whether a query may be admitted now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The query is admitted under this version, with a lease.
    Leased(Version),
    /// The query is admitted under this version without a lease, because the settings allow it; its answer is marked.
    Unguarded(Version),
    /// The query waits for the next lease: call [`LeaseHolder::admission`] again when the lease holder's state has
    /// changed, or at this time.
    Wait(Micros),
    /// The query is rejected.
    Rejected {
        /// The reason.
        reason: RejectReason,
        /// The time after which the client may retry (Retry-After).
        retry_after: Micros,
    },
}

/// The reason for which a query is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The router has started and does not know the policy in force yet.
    PolicyUnknown,
    /// The router's lease has expired.
    NoLease,
    /// A barrier has been in progress for too long.
    ChangeInProgress,
    /// The router cannot apply the policy in force.
    PolicyDoesNotFit,
    /// The router is not a member of the fleet.
    NotMember,
}

impl RejectReason {
    /// The reason as text, for the client and for operators.
    pub fn description(self) -> &'static str {
        match self {
            RejectReason::PolicyUnknown => "this router has yet to learn the policy in force",
            RejectReason::NoLease => {
                "this router cannot reach the others, and admits nothing without them"
            }
            RejectReason::ChangeInProgress => "a change of policy takes hold",
            RejectReason::PolicyDoesNotFit => "the policy in force does not fit this router",
            RejectReason::NotMember => "this router does not belong to the fleet",
        }
    }
}

impl LeaseHolder {
    /// Decides whether a query may be admitted now. Must be called in the same turn in which the query is admitted, with
    /// the current time: a process that was suspended before the call then finds its lease expired.
    pub fn admission(&self, now: Micros) -> Admission {
        if self.not_a_member {
            return self.reject(RejectReason::NotMember);
        }
        let Some(version) = self.version() else {
            return self
                .wait_while_paused(now)
                .unwrap_or_else(|| self.reject(RejectReason::PolicyUnknown));
        };
        if self.unfit == Some(version) {
            return self.reject(RejectReason::PolicyDoesNotFit);
        }
        if self.has_bug(InjectedLeaseHolderBug::AdmitsInBarrier) {
            if let Some(lease) = self.lease.filter(|lease| now < lease.until) {
                return Admission::Leased(lease.version);
            }
        }
        let is_leased = self.lease.is_some_and(|lease| self.is_valid(&lease, now));
        if is_leased && !self.in_barrier() {
            return Admission::Leased(version);
        }
        if let Some(wait) = self.wait_while_paused(now) {
            return wait;
        }
        if self.config.serve_without_lease {
            return Admission::Unguarded(version);
        }
        if let Some(wait) = self.wait_for_next_lease(now) {
            return wait;
        }
        if self.in_barrier() {
            return self.reject(RejectReason::ChangeInProgress);
        }
        self.reject(RejectReason::NoLease)
    }

    fn reject(&self, reason: RejectReason) -> Admission {
        Admission::Rejected {
            reason,
            retry_after: Micros(self.config.renew_interval_us),
        }
    }

    /// While the router is paused, queries wait as long as their own deadlines allow; the caller enforces the deadlines.
    /// They are rejected once no leader has replied for the duration of a lease: a router that was not paused would have
    /// lost its lease by then, too.
    ///
    /// With a fixed limit of 250 ms instead, callers with seconds left were rejected all at once whenever a barrier
    /// lasted a little longer than that.
    fn wait_while_paused(&self, now: Micros) -> Option<Admission> {
        let paused_since = self.paused_since?;
        let in_contact_at = self.last_reply_at.unwrap_or_default().max(paused_since);
        self.wait(now, in_contact_at, paused_since)
    }

    /// After the lease has expired, queries wait in the same way if a leader has replied within the duration of a lease.
    ///
    /// A leader grants no lease while the entry that begins a barrier is being committed. When the commit took longer
    /// than the remaining time of the leases (on a slow disk), all routers rejected callers with seconds left.
    fn wait_for_next_lease(&self, now: Micros) -> Option<Admission> {
        let lease_until = self.lease.map(|lease| lease.until);
        let expired_at = lease_until
            .filter(|until| *until <= now)
            .or(self.expired_at)?;
        self.wait(now, self.last_reply_at?, expired_at)
    }

    /// Queries wait for a lease for at most the duration of a lease after the last contact with a leader, and within the
    /// configured limit, which counts from `since`.
    fn wait(&self, now: Micros, in_contact_at: Micros, since: Micros) -> Option<Admission> {
        let in_contact_until = in_contact_at + Micros(self.config.lease_us);
        let held_until = Micros(since.0.saturating_add(self.config.max_admission_wait_us));
        let until = in_contact_until.min(held_until);
        (now < until).then_some(Admission::Wait(until))
    }

    fn in_barrier(&self) -> bool {
        self.paused_for().is_some() && !self.has_bug(InjectedLeaseHolderBug::AdmitsInBarrier)
    }
}
