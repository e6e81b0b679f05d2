//! Identifiers and counters of the fleet's log, each a type of its own so that none is taken for another.

use std::fmt;

use serde::{Deserialize, Serialize};

pub use ternpick_consensus::ReplicaId;

/// Defines counters and identifiers, each a type of its own around a `u64`. The package that uses it depends on `serde`.
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
    /// A proposal's number and, once in force, the policy's version. Some never come into force; none is used twice.
    Version,
    /// Counts the barriers of one proposal, from 1.
    Round,
    /// Counts the steps after which every lease granted before is void.
    Epoch,
    /// A place in the log.
    Index,
    /// One process of a member, drawn at random; a restart is another.
    Incarnation,
    /// A lease request, counted by its process.
    Seq,
    /// An operator's command, drawn at random: the idempotency key of its retries.
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
