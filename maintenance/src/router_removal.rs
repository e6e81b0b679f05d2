//! The rules for routers under maintenance: only one is out at a time, each zone keeps its share, the quorum stays, and
//! the coordinator goes last. The coordinator checks them before it takes a router out.

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

use ternpick_fleet_policy::{Member, MemberInfo};

/// The prefix of a machine name that stands for a router.
const ROUTER_PREFIX: &str = "router:";

/// The router that a machine name stands for, if it stands for one.
pub fn router_of(machine: &str) -> Option<Member> {
    machine.strip_prefix(ROUTER_PREFIX).map(Member::from)
}

/// Why a router may not be taken out of service. Operators read the texts.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RouterViolation {
    /// No member of the fleet has this name.
    #[error("no such router belongs to the fleet")]
    Unknown,
    /// Another router is out, or not reachable.
    #[error("{0} is out or not there: one router goes at a time")]
    AnotherMissing(Member),
    /// Too few routers of a zone would stay.
    #[error("zone '{zone}' has {present} routers there and keeps {required}")]
    Zone {
        /// The zone's name.
        zone: String,
        /// The number of its routers that are in service now.
        present: usize,
        /// The number that has to stay.
        required: usize,
    },
    /// Fewer voters than the quorum would stay.
    #[error("{present} routers that vote are there, the fleet needs {required}")]
    Quorum {
        /// The number of voters that are in service now.
        present: usize,
        /// The majority of all voters.
        required: usize,
    },
    /// The router is the coordinator, which goes last.
    #[error("it carries the work on, and goes last")]
    IsCoordinator,
}

/// Whether routers other than the checked one wait to be taken out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OtherRouters {
    /// At least one other router waits.
    Wait,
    /// No other router waits.
    NoneWait,
}

/// The routers as the coordinator sees them.
pub struct RouterFleet<'a> {
    /// All members of the fleet.
    pub members: &'a BTreeMap<Member, MemberInfo>,
    /// The routers that are reachable and not under maintenance.
    pub present: BTreeSet<Member>,
    /// The router that coordinates maintenance.
    pub coordinator: &'a Member,
    /// The minimum share of a zone's routers that stays in service, from 0 to 1.
    pub min_zone_share: f64,
}

/// Counts of a group of routers: all of them, and those that are present, without the router to be taken out.
struct Remaining {
    total: usize,
    present: usize,
}

impl RouterFleet<'_> {
    /// Checks whether a router may be taken out now.
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
        // The only router of a zone may be taken out: the zone has no other router that could stay.
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
