//! Two processes of one router serve one share. What each may use is split so that the sum never exceeds the one's.

use serde::{Deserialize, Serialize};

/// What one process may use of the router's share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Lookups and parts in hand.
    pub held: u32,
    /// Further part calls (repeats and copies) within the budget.
    pub extra: u32,
    /// Descriptors.
    pub sockets: u32,
    /// Bytes that peers may make it hold.
    pub memory: u64,
}

impl Lease {
    /// What the old one keeps for what it has in hand, and what is left for the new one: nothing is given twice. The old
    /// one takes in nothing new, so it keeps what it uses, and a quarter of the further calls that are left.
    pub fn split(self, uses: Lease) -> (Lease, Lease) {
        let kept = Lease {
            held: uses.held.min(self.held),
            extra: (self.extra / 4).min(self.extra),
            sockets: uses.sockets.min(self.sockets),
            memory: uses.memory.min(self.memory),
        };
        let given = Lease {
            held: self.held - kept.held,
            extra: self.extra - kept.extra,
            sockets: self.sockets - kept.sockets,
            memory: self.memory - kept.memory,
        };
        (kept, given)
    }

    /// Two leases together, as they return to a survivor.
    pub fn with(self, other: Lease) -> Lease {
        Lease {
            held: self.held.saturating_add(other.held),
            extra: self.extra.saturating_add(other.extra),
            sockets: self.sockets.saturating_add(other.sockets),
            memory: self.memory.saturating_add(other.memory),
        }
    }

    pub fn fits(self, share: Lease) -> bool {
        self.held <= share.held
            && self.extra <= share.extra
            && self.sockets <= share.sockets
            && self.memory <= share.memory
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]
        #[test]
        fn a_split_gives_nothing_twice_and_loses_nothing(
            a in any::<(u32, u32, u32, u64)>(), b in any::<(u32, u32, u32, u64)>()
        ) {
            let of = |(held, extra, sockets, memory)| Lease { held, extra, sockets, memory };
            let (share, uses) = (of(a), of(b));
            let (kept, given) = share.split(uses);
            prop_assert_eq!(kept.with(given), share);
            prop_assert!(kept.fits(share) && given.fits(share));
        }
    }
}
