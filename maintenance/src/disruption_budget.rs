//! What is never given up while machines are out: sound holders of each set of shards, of each zone, room for the load with
//! a reserve. Every limit is a count of sound machines that may be missing at a time.

use std::collections::HashMap;
use std::fmt;

use serde::{Deserialize, Serialize};

/// Machines that are out at a time, whatever is stated: every router has to know them.
pub const MOST_OUT: usize = 128;

/// What operators state.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Sound holders of each set at the least; never fewer than two where there are more, and never none.
    pub keep: usize,
    /// The share of each zone's machines that stays sound.
    pub zone_share: f64,
    /// The share of all machines that may be out at a time; one always may.
    pub most_out: f64,
    /// What one machine bears, in part calls a second; none: not known, and lateness alone tells.
    pub per_node: Option<f64>,
    /// How much more load than the measured is expected: 0.25 is a quarter more.
    pub growth: f64,
    /// Unplanned failures that there stays room for.
    pub reserve: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            keep: 2,
            zone_share: 0.5,
            most_out: 0.2,
            per_node: None,
            growth: 0.25,
            reserve: 1,
        }
    }
}

impl Limits {
    /// How many machines of a fleet may be out at a time.
    pub fn most_out(&self, machines: usize) -> usize {
        ((self.most_out * machines as f64) as usize).clamp(1, MOST_OUT)
    }
}

/// One machine that answers parts.
#[derive(Clone, Debug, PartialEq)]
pub struct Node {
    pub name: String,
    pub zone: u16,
    /// The sets of shards that it holds.
    pub shard_sets: Vec<u32>,
    pub healthy: bool,
    /// In work: out, or not back yet.
    pub out_of_service: bool,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClusterView {
    pub nodes: Vec<Node>,
    /// Part calls a second of all routers together.
    pub load: f64,
}

impl ClusterView {
    pub fn position(&self, name: &str) -> Option<usize> {
        self.nodes.iter().position(|node| node.name == name)
    }
}

/// What keeps a machine from going out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Violation {
    Unknown(String),
    /// Nobody else holds this set of shards.
    LastHolder(u32),
    Holders {
        set: u32,
        sound: usize,
        floor: usize,
    },
    Zone {
        zone: u16,
        sound: usize,
        floor: usize,
    },
    Load {
        sound: usize,
        floor: usize,
    },
    MostOut(usize),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Violation::Unknown(name) => write!(f, "discovery lists no {name}"),
            Violation::LastHolder(set) => {
                write!(
                    f,
                    "it is the only sound holder of set {set}: give that another first"
                )
            }
            Violation::Holders { set, sound, floor } => {
                write!(f, "set {set} has {sound} sound holders and keeps {floor}")
            }
            Violation::Zone { zone, sound, floor } => {
                write!(
                    f,
                    "zone {zone} has {sound} sound machines and keeps {floor}"
                )
            }
            Violation::Load { sound, floor } => {
                write!(
                    f,
                    "{sound} machines are sound, the load with its reserve needs {floor}"
                )
            }
            Violation::MostOut(most) => {
                write!(f, "{most} machines are out, no more may be at a time")
            }
        }
    }
}

/// A limit: so many of its sound machines may be missing.
#[derive(Clone, Debug)]
struct Limit {
    sound: usize,
    floor: usize,
}

impl Limit {
    fn free(&self) -> usize {
        self.sound.saturating_sub(self.floor)
    }
}

/// What is free of every limit. Its size is the fleet's.
#[derive(Clone, Debug)]
pub struct DisruptionBudget {
    /// Sets first, then zones, then the load, then how many may be out at all.
    limits: Vec<Limit>,
    names: Vec<Name>,
    /// By machine: the limits of which it takes one, while it is sound.
    of: Vec<Vec<usize>>,
    most_out: usize,
}

#[derive(Clone, Copy, Debug)]
enum Name {
    Set(u32),
    Zone(u16),
    Load,
    MostOut,
}

impl DisruptionBudget {
    /// `out`: machines that are out now, which count against how many may be at a time.
    pub fn new(world: &ClusterView, limits: &Limits, out: usize) -> DisruptionBudget {
        let (mut all, mut names, mut at) = (Vec::<Limit>::new(), Vec::new(), HashMap::new());
        let mut of = vec![Vec::new(); world.nodes.len()];
        let mut totals = Vec::<usize>::new();
        for (number, node) in world.nodes.iter().enumerate() {
            let sets = node.shard_sets.iter().map(|set| (0, *set));
            // Each limit twice: of those that are sound, and of those that are not in work. One that fails just now
            // takes nothing of the first, and all the same must not go where a neighbour is out: it may be sound in a
            // moment, and under a permit it could not. Seen: two permits in a set of three, one for a doubted machine.
            for (key, in_work) in sets
                .chain([(1, u32::from(node.zone))])
                .flat_map(|key| [(key, false), (key, true)])
            {
                let limit = *at.entry((key, in_work)).or_insert_with(|| {
                    all.push(Limit { sound: 0, floor: 0 });
                    totals.push(0);
                    names.push(if key.0 == 0 {
                        Name::Set(key.1)
                    } else {
                        Name::Zone(node.zone)
                    });
                    all.len() - 1
                });
                totals[limit] += 1;
                all[limit].sound += usize::from(if in_work {
                    !node.out_of_service
                } else {
                    node.healthy
                });
                if in_work || node.healthy {
                    of[number].push(limit);
                }
            }
        }
        for ((limit, name), total) in all.iter_mut().zip(&names).zip(&totals) {
            limit.floor = match name {
                // Two where there are more, one where there are two, and the last never goes.
                Name::Set(_) => limits.keep.max(2).min(total - 1).max(1),
                _ => (limits.zone_share * *total as f64).ceil() as usize,
            };
        }
        let sound = world.nodes.iter().filter(|node| node.healthy).count();
        let needed = limits
            .per_node
            .filter(|per_node| *per_node > 0.0)
            .map_or(0, |per_node| {
                (world.load * (1.0 + limits.growth) / per_node).ceil() as usize + limits.reserve
            });
        let most_out = limits.most_out(world.nodes.len());
        for (name, limit) in [
            (
                Name::Load,
                Limit {
                    sound,
                    floor: needed,
                },
            ),
            (
                Name::MostOut,
                Limit {
                    sound: most_out,
                    floor: out.min(most_out),
                },
            ),
        ] {
            names.push(name);
            all.push(limit);
            let takes = |node: &Node| node.healthy || matches!(name, Name::MostOut);
            let of = of
                .iter_mut()
                .zip(&world.nodes)
                .filter(|(_, node)| takes(node));
            of.for_each(|(of, _)| of.push(all.len() - 1));
        }
        DisruptionBudget {
            limits: all,
            names,
            of,
            most_out,
        }
    }

    /// What a machine's going out would break, if anything.
    pub fn check(&self, node: usize) -> Result<(), Violation> {
        match self.of[node]
            .iter()
            .find(|limit| self.limits[**limit].free() == 0)
        {
            Some(limit) => Err(self.binds(*limit)),
            None => Ok(()),
        }
    }

    fn binds(&self, limit: usize) -> Violation {
        let Limit { sound, floor } = self.limits[limit];
        match self.names[limit] {
            Name::Set(set) if sound <= 1 => Violation::LastHolder(set),
            Name::Set(set) => Violation::Holders { set, sound, floor },
            Name::Zone(zone) => Violation::Zone { zone, sound, floor },
            Name::Load => Violation::Load { sound, floor },
            Name::MostOut => Violation::MostOut(self.most_out),
        }
    }

    pub fn take_out(&mut self, node: usize) {
        for limit in &self.of[node] {
            self.limits[*limit].sound = self.limits[*limit].sound.saturating_sub(1);
        }
    }

    /// Whether all of them may go out together; then they are taken.
    pub fn take_out_all(&mut self, nodes: &[usize]) -> Result<(), Violation> {
        let before = self.limits.clone();
        for node in nodes {
            if let Err(binds) = self.check(*node) {
                self.limits = before;
                return Err(binds);
            }
            self.take_out(*node);
        }
        Ok(())
    }

    /// The limits that a machine takes of, and how many of each are free.
    pub(crate) fn uses(&self, node: usize) -> impl Iterator<Item = (usize, usize)> + '_ {
        self.of[node]
            .iter()
            .map(|limit| (*limit, self.limits[*limit].free()))
    }

    pub(crate) fn free(&self) -> Vec<usize> {
        self.limits.iter().map(Limit::free).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    /// Sets of holders by their numbers, as a ring of so many machines.
    fn world(nodes: usize, sets: &[&[usize]], dead: &[usize]) -> ClusterView {
        let node = |at: usize| Node {
            name: format!("s{at}"),
            zone: (at % 2) as u16,
            shard_sets: (0..sets.len() as u32)
                .filter(|set| sets[*set as usize].contains(&at))
                .collect(),
            healthy: !dead.contains(&at),
            out_of_service: false,
        };
        ClusterView {
            nodes: (0..nodes).map(node).collect(),
            load: 0.0,
        }
    }

    fn open() -> Limits {
        Limits {
            zone_share: 0.0,
            most_out: 1.0,
            ..Limits::default()
        }
    }

    #[test_case(&[&[0, 1, 2]], &[], Ok(()); "three holders, two stay")]
    #[test_case(&[&[0, 1]], &[], Ok(()); "of two one may go")]
    #[test_case(&[&[0]], &[], Err(Violation::LastHolder(0)); "the last holder")]
    #[test_case(&[&[0, 1, 2]], &[1], Err(Violation::Holders { set: 0, sound: 2, floor: 2 }); "short before anything began")]
    #[test_case(&[&[0, 1]], &[1], Err(Violation::LastHolder(0)); "its neighbour has died")]
    #[test_case(&[&[0, 1, 2]], &[0, 1], Ok(()); "one that bears nothing takes nothing with it")]
    fn holders_are_kept(sets: &[&[usize]], dead: &[usize], said: Result<(), Violation>) {
        assert_eq!(
            DisruptionBudget::new(&world(6, sets, dead), &open(), 0).check(0),
            said
        );
    }

    #[test_case(Limits { zone_share: 0.7, ..open() }, 0, Err(Violation::Zone { zone: 0, sound: 3, floor: 3 }); "its zone")]
    #[test_case(Limits { most_out: 0.2, ..open() }, 1, Err(Violation::MostOut(1)); "one is out already")]
    #[test_case(Limits { most_out: 0.0, ..open() }, 0, Ok(()); "one always may")]
    #[test_case(Limits { per_node: Some(10.0), ..open() }, 0, Err(Violation::Load { sound: 6, floor: 6 }); "the load")]
    #[test_case(Limits { per_node: Some(13.0), ..open() }, 0, Ok(()); "room for the load and one failure")]
    fn what_else_binds(limits: Limits, out: usize, said: Result<(), Violation>) {
        let world = ClusterView {
            load: 40.0,
            ..world(6, &[&[0, 1, 2]], &[])
        };
        assert_eq!(DisruptionBudget::new(&world, &limits, out).check(0), said);
    }

    #[test_case(true; "it fails just now")]
    #[test_case(false; "it is sound")]
    fn nobody_goes_where_a_neighbour_is_out(fails: bool) {
        let mut world = world(6, &[&[0, 1, 2]], if fails { &[0] } else { &[] });
        (world.nodes[1].healthy, world.nodes[1].out_of_service) = (false, true);
        assert_eq!(
            DisruptionBudget::new(&world, &open(), 1).check(0),
            Err(Violation::Holders {
                set: 0,
                sound: 2,
                floor: 2
            })
        );
    }

    #[test]
    fn together_means_all_or_none() {
        let world = world(6, &[&[0, 1, 2], &[3, 4, 5]], &[]);
        let mut room = DisruptionBudget::new(&world, &open(), 0);
        assert_eq!(
            room.take_out_all(&[0, 1]),
            Err(Violation::Holders {
                set: 0,
                sound: 2,
                floor: 2
            })
        );
        assert_eq!(
            room.take_out_all(&[0, 3]),
            Ok(()),
            "nothing was taken by the try before"
        );
        assert!(room.check(4).is_err());
    }
}
