//! Numbers of the works; each is a place in the agreed log, so that none is ever given twice.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! number {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

number! {
    /// A request for machines.
    RequestNo,
    /// A permit to work on one machine.
    PermitNo,
    /// Who carries the work on, from which place of the log: steps with an earlier one count for nothing.
    Fence,
}
