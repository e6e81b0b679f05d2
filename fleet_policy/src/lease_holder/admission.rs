//! Whether a query may be admitted.

use ternpick::types::Micros;

use super::LeaseHolder;
use crate::ids::Version;
use crate::injected_bug::InjectedLeaseHolderBug;

/// Whether a query may be admitted at this moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Under this version, with a lease.
    Leased(Version),
    /// Under this version without a lease, because the settings allow it: answers are marked.
    Unguarded(Version),
    /// A change is taking effect; ask again when something has changed, or at this time.
    Wait(Micros),
    /// Not now.
    Rejected {
        /// The reason.
        reason: RejectReason,
        /// How long a client waits before it retries (Retry-After).
        retry_after: Micros,
    },
}

/// Why a query is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// The router has just started and knows no policy.
    PolicyUnknown,
    /// Its lease has expired.
    NoLease,
    /// A barrier has been in progress for too long.
    ChangeInProgress,
    /// The policy in force cannot be used on this router.
    PolicyDoesNotFit,
    /// The router does not belong to the fleet.
    NotMember,
}

impl RejectReason {
    /// For the client and for operators.
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
    /// To be called in the same turn in which the query is admitted, with the clock as it stands then: a process that was
    /// stopped in between finds its lease expired.
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

    fn reject(&self, why: RejectReason) -> Admission {
        Admission::Rejected {
            reason: why,
            retry_after: Micros(self.config.renew_interval_us),
        }
    }

    /// While a router is paused, queries wait: for as long as their own deadlines allow, which is for who admits them to
    /// see to. They are rejected once no leader has answered for a lease: a router that was not paused would have lost its
    /// lease by then, too.
    ///
    /// A fixed time in place of this (250 ms) had callers rejected with seconds left, all in one instant, wherever a
    /// barrier lasted a little longer.
    fn wait_while_paused(&self, now: Micros) -> Option<Admission> {
        let paused_since = self.paused_since?;
        let in_contact_at = self.last_reply_at.unwrap_or_default().max(paused_since);
        self.wait(now, in_contact_at, paused_since)
    }

    /// Where a lease has run out, queries wait in the same way if a leader has answered for it within the time of a lease.
    ///
    /// A leader grants none while the entry that begins a barrier is on its way, and where that took longer than what the
    /// leases still lasted (a slow disk), all routers rejected callers with seconds left.
    fn wait_for_next_lease(&self, now: Micros) -> Option<Admission> {
        let lease_until = self.lease.map(|lease| lease.until);
        let expired_at = lease_until
            .filter(|until| *until <= now)
            .or(self.expired_at)?;
        self.wait(now, self.last_reply_at?, expired_at)
    }

    /// Queries wait for a lease from the last contact to a leader on, within the limit that the settings state.
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
