//! Names and numbers of the fleet's agreement, each a type of its own.

use std::fmt;

use serde::{Deserialize, Serialize};

pub use ternpick_consensus::ReplicaId;

/// Numbers, each a type of its own: whoever uses it has `serde`.
#[macro_export]
macro_rules! numbers {
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

numbers! {
    /// A proposal's number and, once in force, the policy's version. Some are never in force; none is used twice.
    Version,
    /// A try to have one proposal take hold; counted anew for each proposal.
    Round,
    /// Counts every step after which leases given before are void.
    Epoch,
    /// A place in the agreed log.
    Index,
    /// One process of a member, by chance; a restart is another.
    Incarnation,
    /// A request for a lease, counted by its process.
    Seq,
    /// An operator's command, by chance: said again, it is still one.
    OperationId,
}

/// A router of the fleet, by its name.
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
