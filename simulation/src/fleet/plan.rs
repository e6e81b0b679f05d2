//! A plan of a fleet, and the schedule that a seed draws from it: written down, played again, shrunk.

use std::path::Path;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use strum::Display;
use ternpick_settings::{ReadError, Schema};

const SCHEMA: Schema = Schema::new(&[("fleet.cue", include_str!("fleet.cue"))], "#FleetPlan");

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// A process is ended at once, and started anew after a while with what its disk has.
    Kill,
    /// It is told to stop, and started anew.
    Restart,
    /// A new process takes over.
    Upgrade,
    /// All processes are ended at once, and started anew.
    Power,
    /// It stands still, for less or for more than a lease.
    Stop,
    LongStop,
    /// One router no longer hears another.
    Cut,
    /// One router and all others no longer hear each other.
    Isolate,
    /// Some routers and the others no longer hear each other.
    Split,
    /// All that routers say to each other is late, out of order, comes twice, or is lost in part.
    Delay,
    Reorder,
    Double,
    Drop,
    /// Nothing more can be written.
    FullDisk,
    /// It is ended, and its disk has not what was written last.
    LastWrite,
    /// It is ended, and its disk has what was there some time before.
    OlderState,
    /// It is ended, and its disk has nothing.
    LostState,
    /// Of whoever leads at that moment: ended; standing still for longer than a lease; its disk full; heard by all others
    /// and hearing none of them.
    LeadKill,
    LeadStop,
    LeadDisk,
    LeadDeaf,
    /// An operator takes it out of the fleet, its vote too, and in again after a while. It runs on all the time.
    Remove,
    NodeStall,
    /// One router no longer reaches one node.
    NodeCut,
    DiscoveryDown,
    /// Discovery tells all routers anew that all machines are ready.
    AllReady,
    /// Two that vote besides the last are ended: of three voters no majority is left.
    Quorum,
}

/// Who settles in which order machines go out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    #[default]
    Routers,
    /// By hand, through discovery: one after the other, with fixed waits.
    OneByOne,
    /// By hand: all at once.
    AtOnce,
    /// Nothing goes out.
    Nobody,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetPlan {
    pub name: String,
    pub routers: usize,
    pub voters: usize,
    pub nodes: usize,
    pub rate: f64,
    pub clients: usize,
    pub seconds: u64,
    /// Microseconds, as all spans here.
    pub lease: u64,
    pub renew: u64,
    pub change_every: u64,
    pub fault_every: u64,
    pub faults: Vec<Kind>,
    /// Without a fleet.
    #[serde(default)]
    pub off: bool,
    /// Sets of shards, each held by its own machines; more than one has twelve shards.
    #[serde(default = "one")]
    pub sets: usize,
    /// Crews take every machine out and back once.
    #[serde(default)]
    pub works: bool,
    /// How long a crew works on one machine; microseconds.
    #[serde(default = "short_work")]
    pub work: u64,
    /// Machines come back late, broken, cold, at another address, or not until somebody looks; and an operator changes his
    /// mind.
    #[serde(default)]
    pub fates: bool,
    /// Who settles the order.
    #[serde(default)]
    pub order: Order,
    /// A router whose own platform allows two calls for a part, where the others' allows four.
    pub stricter: Option<usize>,
}

fn one() -> usize {
    1
}

fn short_work() -> u64 {
    300_000
}

impl FleetPlan {
    pub fn shards(&self) -> usize {
        if self.sets > 1 {
            12
        } else {
            4
        }
    }

    /// Which machines hold each set.
    pub fn holders(&self) -> Vec<Vec<String>> {
        let own = |set: usize| (0..self.nodes).filter(move |at| at % self.sets == set);
        (0..self.sets)
            .map(|set| own(set).map(|at| format!("s{at}")).collect())
            .collect()
    }
}

/// One thing that goes wrong, and when; milliseconds from the beginning.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Step {
    pub at: u64,
    #[serde(rename = "for")]
    pub lasts: u64,
    pub kind: Kind,
    /// A router; of a split, the first so many.
    pub whom: usize,
    /// Another router, or a node.
    pub other: usize,
}

/// All that a seed draws: what goes wrong, and when which change is proposed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Schedule {
    pub plan: FleetPlan,
    pub seed: u64,
    pub steps: Vec<Step>,
    pub changes: Vec<Change>,
}

/// A change of policy that an operator wants, through a router.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    pub at: u64,
    pub through: usize,
    /// Calls for a part at most; beyond the platform's own it is refused everywhere.
    pub calls: u64,
    pub drained: Option<usize>,
    /// Withdrawn again after so many milliseconds, if it is not settled by then.
    pub withdrawn: Option<u64>,
}

impl FleetPlan {
    pub fn read(path: &Path) -> Result<FleetPlan, ReadError> {
        Ok(SCHEMA.read_file::<FleetPlan>(path)?.value)
    }

    pub fn parse(name: &str, text: &str) -> Result<FleetPlan, ReadError> {
        Ok(SCHEMA.read::<FleetPlan>(name, text)?.value)
    }

    /// Draws a schedule; the same from the same seed.
    pub fn draw(&self, seed: u64) -> Schedule {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let (mut steps, mut at, mut lost) = (Vec::new(), 500, 0);
        let end = self.seconds * 1000;
        let spread = |chance: &mut Pcg64Mcg, micros: u64| {
            chance
                .random_range(micros / 2000..=micros * 3 / 2000)
                .max(1)
        };
        loop {
            at += spread(&mut chance, self.fault_every);
            let Some(kind) = self
                .faults
                .choose(&mut chance)
                .copied()
                .filter(|_| at < end)
            else {
                break;
            };
            let lease = self.lease / 1000;
            let lasts = match kind {
                Kind::LongStop | Kind::LeadStop => chance.random_range(lease..lease * 3),
                Kind::Stop => chance.random_range(20..lease),
                Kind::Kill | Kind::LeadKill | Kind::Power => chance.random_range(10..lease),
                _ => chance.random_range(100..lease * 2),
            };
            let loses = matches!(kind, Kind::OlderState | Kind::LostState);
            // A seat that was lost is given anew before the next one may be lost.
            if loses && at < lost {
                continue;
            }
            if loses {
                lost = at + lasts + lease * 4;
            }
            let (whom, other) = (
                chance.random_range(0..self.routers),
                chance.random_range(0..self.routers.max(self.nodes)),
            );
            steps.push(Step {
                at,
                lasts,
                kind,
                whom,
                other,
            });
        }
        let (mut changes, mut at) = (Vec::new(), 300);
        loop {
            at += spread(&mut chance, self.change_every);
            if at >= end {
                break;
            }
            let twice = chance.random_bool(0.1);
            for _ in 0..1 + u64::from(twice) {
                changes.push(Change {
                    at,
                    through: chance.random_range(0..self.routers),
                    calls: if chance.random_bool(0.08) {
                        9
                    } else {
                        chance.random_range(1..=3)
                    },
                    drained: chance
                        .random_bool(0.5)
                        .then(|| chance.random_range(0..self.nodes)),
                    withdrawn: chance
                        .random_bool(0.12)
                        .then(|| chance.random_range(0..400)),
                });
            }
        }
        Schedule {
            plan: self.clone(),
            seed,
            steps,
            changes,
        }
    }
}
