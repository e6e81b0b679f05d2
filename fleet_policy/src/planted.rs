//! Faults that tests inject and must find. Only unit tests and builds with the feature `planted` can have one: nothing that
//! serves does.

use crate::leader::Leader;
use crate::lease_holder::LeaseHolder;

/// A fault of a leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InLeader {
    /// A change takes effect without waiting for leases that may still be valid.
    NoWait,
    /// Leases are granted without confirming that this router still leads.
    NoAsking,
    /// A new leader does not wait until the leases that earlier leaders granted have expired.
    ForgetsOthers,
    /// It believes one voter alone about when earlier leaders can have granted their last leases.
    OneVotersWord,
}

/// A fault of a lease holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InLeaseHolder {
    /// A lease counts from when the grant came, not from when it was requested.
    CountsFromGrant,
    /// A lease is used after its end.
    UsedBeyondEnd,
    /// The router reports that it has stopped for a barrier, and goes on admitting.
    GoesOnInBarrier,
}

#[cfg(any(test, feature = "planted"))]
impl Leader {
    pub(crate) fn has_bug(&self, bug: InLeader) -> bool {
        self.injected_bug == Some(bug)
    }
}

#[cfg(any(test, feature = "planted"))]
impl LeaseHolder {
    pub(crate) fn has_bug(&self, bug: InLeaseHolder) -> bool {
        self.injected_bug == Some(bug)
    }
}

#[cfg(not(any(test, feature = "planted")))]
impl Leader {
    pub(crate) const fn has_bug(&self, _: InLeader) -> bool {
        false
    }
}

#[cfg(not(any(test, feature = "planted")))]
impl LeaseHolder {
    pub(crate) const fn has_bug(&self, _: InLeaseHolder) -> bool {
        false
    }
}
