//! Routers as machines under maintenance: one at a time, never too many of a zone, never the quorum, and the
//! coordinator last. The coordinator asks before a router goes out.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

use ternpick_fleet_policy::{Member, MemberInfo};

/// A machine's name that begins so means a router.
const PREFIX: &str = "router:";

/// The router that a machine's name means, if it means one.
pub fn router_of(machine: &str) -> Option<Member> {
    machine.strip_prefix(PREFIX).map(Member::from)
}

/// Why a router stays in service. The sentences reach operators.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouterViolation {
    /// No member has that name.
    #[error("no such router belongs to the fleet")]
    Unknown,
    /// Another router is out or not reachable.
    #[error("{0} is out or not there: one router goes at a time")]
    AnotherMissing(Member),
    /// Too few routers of a zone would stay.
    #[error("zone '{zone}' has {present} routers there and keeps {required}")]
    Zone {
        /// The zone.
        zone: String,
        /// Its routers that are in service now.
        present: usize,
        /// Those that have to stay.
        required: usize,
    },
    /// Too few voters would stay for the quorum.
    #[error("{present} routers that vote are there, the fleet needs {required}")]
    Quorum {
        /// Voters in service now.
        present: usize,
        /// The majority.
        required: usize,
    },
    /// The coordinator goes last.
    #[error("it carries the work on, and goes last")]
    IsCoordinator,
}

/// Whether more routers wait to go out than the one that is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OtherRouters {
    /// At least one more does.
    Wait,
    /// None does.
    NoneWait,
}

/// The routers as the coordinator sees them.
pub struct RouterFleet<'a> {
    /// All members of the fleet.
    pub members: &'a BTreeMap<Member, MemberInfo>,
    /// Those that were heard lately, and are not out.
    pub present: BTreeSet<Member>,
    /// Who coordinates maintenance.
    pub coordinator: &'a Member,
    /// The share of a zone's routers that stays, from 0 to 1.
    pub min_zone_share: f64,
}

/// Routers of one kind: all, and those that are present without the one that is to go.
struct Remaining {
    total: usize,
    present: usize,
}

impl RouterFleet<'_> {
    /// Whether a router may go out now.
    pub fn check(&self, member: &Member, others: OtherRouters) -> Result<(), RouterViolation> {
        let Some(info) = self.members.get(member) else {
            return Err(RouterViolation::Unknown);
        };
        self.check_all_others_present(member)?;
        self.check_zone(member, info)?;
        self.check_quorum(member, info)?;
        if member == self.coordinator && others == OtherRouters::Wait {
            return Err(RouterViolation::IsCoordinator);
        }
        Ok(())
    }

    fn check_all_others_present(&self, member: &Member) -> Result<(), RouterViolation> {
        let missing = self
            .members
            .keys()
            .find(|other| *other != member && !self.present.contains(*other));
        match missing {
            Some(other) => Err(RouterViolation::AnotherMissing(other.clone())),
            None => Ok(()),
        }
    }

    fn check_zone(&self, member: &Member, info: &MemberInfo) -> Result<(), RouterViolation> {
        let zone = self.remaining(member, |other| other.zone == info.zone);
        // A zone's only router may go: nothing of the zone would be left to keep.
        let required = if zone.total > 1 {
            let share = (self.min_zone_share * zone.total as f64).ceil() as usize;
            share.clamp(1, zone.total - 1)
        } else {
            0
        };
        if zone.present < required {
            return Err(RouterViolation::Zone {
                zone: info.zone.clone(),
                present: zone.present + 1,
                required,
            });
        }
        Ok(())
    }

    fn check_quorum(&self, member: &Member, info: &MemberInfo) -> Result<(), RouterViolation> {
        let voters = self.remaining(member, |other| other.replica.is_some() && !other.is_learner);
        let required = voters.total / 2 + 1;
        if info.replica.is_some() && voters.present < required {
            return Err(RouterViolation::Quorum {
                present: voters.present + 1,
                required,
            });
        }
        Ok(())
    }

    fn remaining(&self, leaving: &Member, is_counted: impl Fn(&MemberInfo) -> bool) -> Remaining {
        let counted = || self.members.iter().filter(|(_, info)| is_counted(info));
        let stays = |member: &Member| member != leaving && self.present.contains(member);
        Remaining {
            total: counted().count(),
            present: counted().filter(|(member, _)| stays(member)).count(),
        }
    }
}
