//! Identifiers and counters of the fleet's log. Each has its own type, so that the compiler rejects a mix-up.

use std::fmt;

use serde::{Deserialize, Serialize};

pub use ternpick_consensus::ReplicaId;

/// Defines counters and identifiers, each as its own type around a `u64`. The package that uses the macro must depend on
/// `serde`.
#[macro_export]
macro_rules! id_types {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, ::serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl ::std::fmt::Display for $name {
            fn fmt(&self, f: &mut ::std::fmt::Formatter) -> ::std::fmt::Result {
                ::std::fmt::Display::fmt(&self.0, f)
            }
        }
    )*};
}

id_types! {
    /// The number of a proposal and, once it is in force, the version of the policy. Some proposals never come into
    /// force; no number is used twice.
    Version,
    /// The number of a barrier within one proposal, counted from 1.
    Round,
    /// The number of steps so far that voided every lease granted before them.
    Epoch,
    /// A position in the log.
    Index,
    /// A random identifier of one process of a member; a restarted router has a new one.
    Incarnation,
    /// The number of a lease request, counted by the process that sends it.
    Seq,
    /// A random identifier of an operator's command or question: the idempotency key of its retries.
    OperationId,
}

/// The name of a router of the fleet.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Member(pub String);

impl From<&str> for Member {
    fn from(name: &str) -> Self {
        Member(name.to_owned())
    }
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(f)
    }
}
