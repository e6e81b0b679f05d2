//! Bugs that tests inject to show that the checks find them. Only unit tests and builds with the feature `planted`
//! contain them; no build that serves queries does.

use crate::leader::Leader;
use crate::lease_holder::LeaseHolder;

/// An injected bug of a leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedLeaderBug {
    /// A proposal comes into force without waiting for leases that may still be valid.
    SkipsLeaseWait,
    /// The leader grants leases without confirming that it still leads.
    SkipsConfirmation,
    /// A new leader does not wait until the leases that earlier leaders granted have expired.
    IgnoresEarlierLeases,
    /// The leader relies on the report of a single voter about when earlier leaders can have granted their last leases.
    TrustsOneVoter,
}

/// An injected bug of a lease holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedLeaseHolderBug {
    /// A lease counts from when its grant was received, not from when it was requested.
    LeaseFromGrant,
    /// The lease holder uses a lease after its end.
    UsesExpiredLease,
    /// The router reports that it has stopped admitting for a barrier, but continues to admit.
    AdmitsInBarrier,
}

#[cfg(any(test, feature = "planted"))]
impl Leader {
    pub(crate) fn has_bug(&self, bug: InjectedLeaderBug) -> bool {
        self.injected_bug == Some(bug)
    }
}

#[cfg(any(test, feature = "planted"))]
impl LeaseHolder {
    pub(crate) fn has_bug(&self, bug: InjectedLeaseHolderBug) -> bool {
        self.injected_bug == Some(bug)
    }
}

#[cfg(not(any(test, feature = "planted")))]
impl Leader {
    pub(crate) const fn has_bug(&self, _: InjectedLeaderBug) -> bool {
        false
    }
}

#[cfg(not(any(test, feature = "planted")))]
impl LeaseHolder {
    pub(crate) const fn has_bug(&self, _: InjectedLeaseHolderBug) -> bool {
        false
    }
}
