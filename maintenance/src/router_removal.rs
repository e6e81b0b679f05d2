//! Routers as machines: never too many of a zone, never the quorum, and the one that carries the work on last.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use ternpick_fleet_policy::{Member, MemberInfo};

/// A router is asked for by this and its name.
const PREFIX: &str = "router:";

/// The router that a machine's name means, if it means one.
pub fn router_of(machine: &str) -> Option<Member> {
    machine.strip_prefix(PREFIX).map(Member::from)
}

/// Why a router stays.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RouterViolation {
    Unknown,
    /// One at a time: this one is out, or not there.
    Another(Member),
    Zone {
        zone: String,
        there: usize,
        floor: usize,
    },
    Quorum {
        there: usize,
        floor: usize,
    },
    /// It carries the work on, and others are to go before.
    CarriesOn,
}

impl fmt::Display for RouterViolation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            RouterViolation::Unknown => f.write_str("no such router belongs to the fleet"),
            RouterViolation::Another(other) => {
                write!(f, "{other} is out or not there: one router goes at a time")
            }
            RouterViolation::Zone { zone, there, floor } => {
                write!(
                    f,
                    "zone '{zone}' has {there} routers there and keeps {floor}"
                )
            }
            RouterViolation::Quorum { there, floor } => {
                write!(
                    f,
                    "{there} routers that vote are there, the fleet needs {floor}"
                )
            }
            RouterViolation::CarriesOn => f.write_str("it carries the work on, and goes last"),
        }
    }
}

/// The routers as the one that carries the work on sees them.
pub struct Routers<'a> {
    pub members: &'a BTreeMap<Member, MemberInfo>,
    /// Heard of late, and not out.
    pub present: BTreeSet<Member>,
    pub coordinator: &'a Member,
    /// The share of a zone's routers that stays.
    pub zone_share: f64,
}

impl Routers<'_> {
    /// Whether a router may go now. `others`: more wait to go.
    pub fn check(&self, whom: &Member, others: bool) -> Result<(), RouterViolation> {
        let Some(own) = self.members.get(whom) else {
            return Err(RouterViolation::Unknown);
        };
        if let Some(other) = self
            .members
            .keys()
            .find(|member| *member != whom && !self.present.contains(*member))
        {
            return Err(RouterViolation::Another(other.clone()));
        }
        let left = |of: &dyn Fn(&MemberInfo) -> bool| {
            let all = self.members.iter().filter(|(_, seated)| of(seated));
            let (mut total, mut there) = (0, 0);
            for (member, _) in all {
                total += 1;
                there += usize::from(member != whom && self.present.contains(member));
            }
            (total, there)
        };
        let (total, there) = left(&|of| of.zone == own.zone);
        // A zone's only router may go: there is nothing of it to keep.
        let floor = if total > 1 {
            ((self.zone_share * total as f64).ceil() as usize).clamp(1, total - 1)
        } else {
            0
        };
        if there < floor {
            return Err(RouterViolation::Zone {
                zone: own.zone.clone(),
                there: there + 1,
                floor,
            });
        }
        let (voters, there) = left(&|of| of.replica.is_some() && !of.is_learner);
        let floor = voters / 2 + 1;
        if own.replica.is_some() && there < floor {
            return Err(RouterViolation::Quorum {
                there: there + 1,
                floor,
            });
        }
        if whom == self.coordinator && others {
            return Err(RouterViolation::CarriesOn);
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use ternpick_fleet_policy::ReplicaId;
    use test_case::test_case;

    /// n0 to n4; the first `voters` vote, two zones by turns.
    fn fleet(voters: usize) -> BTreeMap<Member, MemberInfo> {
        let seated = |at: usize| MemberInfo {
            address: String::new(),
            zone: format!("z{}", at % 2),
            replica: (at < voters).then_some(ReplicaId(at as u64 + 1)),
            is_learner: false,
        };
        (0..5)
            .map(|at| (format!("n{at}").as_str().into(), seated(at)))
            .collect()
    }

    #[test_case(3, &[], "n4", false, Ok(()); "one without a vote")]
    #[test_case(3, &[], "n1", false, Ok(()); "one of three that vote")]
    #[test_case(2, &[], "n1", false, Err(RouterViolation::Quorum { there: 2, floor: 2 }); "one of two that vote")]
    #[test_case(3, &["n3"], "n1", false, Err(RouterViolation::Another("n3".into())); "another is not there")]
    #[test_case(3, &["n1"], "n1", false, Ok(()); "it is not there itself")]
    #[test_case(3, &[], "n0", true, Err(RouterViolation::CarriesOn); "the carrier, and others wait")]
    #[test_case(3, &[], "n0", false, Ok(()); "the carrier last")]
    #[test_case(3, &[], "n9", false, Err(RouterViolation::Unknown); "a stranger")]
    fn a_router_may_go(
        voters: usize,
        missing: &[&str],
        whom: &str,
        others: bool,
        said: Result<(), RouterViolation>,
    ) {
        let members = fleet(voters);
        let there = members
            .keys()
            .filter(|member| !missing.contains(&member.0.as_str()))
            .cloned()
            .collect();
        let carrier: Member = "n0".into();
        let routers = Routers {
            members: &members,
            present: there,
            coordinator: &carrier,
            zone_share: 0.5,
        };
        assert_eq!(routers.check(&whom.into(), others), said);
    }

    #[test]
    fn a_zone_keeps_its_share() {
        let members = fleet(3);
        let there = members.keys().cloned().collect();
        let carrier: Member = "n0".into();
        let routers = Routers {
            members: &members,
            present: there,
            coordinator: &carrier,
            zone_share: 1.0,
        };
        // Never the last of a zone, and of two one may go whatever the share.
        assert_eq!(routers.check(&"n1".into(), false), Ok(()));
        assert_eq!(
            routers.check(&"n4".into(), false),
            Ok(()),
            "two of three stay"
        );
    }
}
