//! Seats in virtual time: a network that delays, reorders, doubles, loses and cuts one way; crashes that keep, or lose, or
//! roll back what was on disk. All chance from one seed.

#![allow(dead_code)]

use std::collections::BTreeMap;

use nanorand::{Rng, WyRand};
use ternpick_consensus::{FleetId, Participation, RaftConfig, Replica, ReplicaId};

pub const FLEET: FleetId = FleetId(7);

pub struct Place {
    pub replica: Option<Replica>,
    /// What is on disk, and all that ever was.
    pub disk: Vec<Vec<u8>>,
    /// What was played, in order, with its place; a snapshot puts its whole content in its place.
    pub played: Vec<(u64, Vec<u8>)>,
    /// Work that was begun and is not kept yet.
    pub working: bool,
    pub writing: Option<Vec<u8>>,
}

pub struct World {
    pub places: BTreeMap<ReplicaId, Place>,
    pub chance: WyRand,
    /// Messages on their way: when they come, from, to, bytes.
    wire: Vec<(u64, ReplicaId, ReplicaId, Vec<u8>)>,
    pub now: u64,
    pub loss: f64,
    pub slow_disk: f64,
    /// Pairs that hear nothing, one way each.
    pub cut: Vec<(ReplicaId, ReplicaId)>,
    pub terms: RaftConfig,
    pub leaders: BTreeMap<u64, ReplicaId>,
    pub boots: u64,
}

fn state_of(played: &[(u64, Vec<u8>)]) -> Vec<u8> {
    postcard::to_stdvec(played).expect("bytes")
}

impl World {
    pub fn new(count: u64, seed: u64) -> World {
        let voters: Vec<ReplicaId> = (1..=count).map(ReplicaId).collect();
        let mut world = World {
            places: BTreeMap::new(),
            chance: WyRand::new_seed(seed),
            wire: Vec::new(),
            now: 0,
            loss: 0.0,
            slow_disk: 0.0,
            cut: Vec::new(),
            terms: RaftConfig {
                max_log_entries: 24,
                ..RaftConfig::default()
            },
            leaders: BTreeMap::new(),
            boots: 0,
        };
        for no in &voters {
            let image = Replica::bootstrap(FLEET, *no, &voters, state_of(&[]));
            let place = Place {
                replica: None,
                disk: vec![image],
                played: Vec::new(),
                working: false,
                writing: None,
            };
            world.places.insert(*no, place);
            world.start(*no);
        }
        world
    }

    pub fn start(&mut self, no: ReplicaId) {
        self.boots += 1;
        let place = self.places.get_mut(&no).expect("a place");
        let image = place.disk.last().expect("something on disk");
        let replica = Replica::open(image, FLEET, self.terms, no.0 * 1000 + self.boots)
            .expect("a good state");
        let (_, state) = replica.initial_snapshot().expect("a state");
        place.played = postcard::from_bytes(&state).expect("a state");
        (place.replica, place.working, place.writing) = (Some(replica), false, None);
    }

    pub fn crash(&mut self, no: ReplicaId) {
        self.places.get_mut(&no).expect("a place").replica = None;
    }

    pub fn up(&self) -> Vec<ReplicaId> {
        self.places
            .iter()
            .filter(|(_, place)| place.replica.is_some())
            .map(|(no, _)| *no)
            .collect()
    }

    pub fn leader(&self) -> Option<ReplicaId> {
        let leads = self
            .places
            .iter()
            .filter(|(_, place)| place.replica.as_ref().is_some_and(Replica::is_leader));
        leads
            .max_by_key(|(_, place)| place.replica.as_ref().map(Replica::term))
            .map(|(no, _)| *no)
    }

    pub fn put(&mut self, data: &[u8]) -> bool {
        let Some(no) = self.leader() else {
            return false;
        };
        let replica = self
            .places
            .get_mut(&no)
            .and_then(|place| place.replica.as_mut());
        replica.is_some_and(|replica| replica.propose(data.to_vec()).is_ok())
    }

    pub fn replica(&mut self, no: ReplicaId) -> &mut Replica {
        self.places
            .get_mut(&no)
            .and_then(|place| place.replica.as_mut())
            .expect("a seat that is up")
    }

    /// One tick of time; `keeps` says whether work is kept now or waits.
    pub fn step(&mut self) {
        self.now += 1;
        let numbers = self.up();
        let (due, rest) = std::mem::take(&mut self.wire)
            .into_iter()
            .partition(|(at, ..)| *at <= self.now);
        self.wire = rest;
        for (_, from, to, bytes) in due {
            if let Some(replica) = self
                .places
                .get_mut(&to)
                .and_then(|place| place.replica.as_mut())
            {
                replica.step(from, &bytes);
            }
        }
        for no in numbers {
            self.replica(no).tick();
            self.work(no);
        }
    }

    fn work(&mut self, no: ReplicaId) {
        for _ in 0..20 {
            let place = self.places.get_mut(&no).expect("a place");
            let Some(replica) = &mut place.replica else {
                return;
            };
            if !place.working {
                let Some(work) = replica.ready() else { break };
                place.writing = work.image;
            }
            // A slow disk: what comes meanwhile finds the work not kept yet.
            place.working = self.chance.generate::<f64>() < self.slow_disk;
            if place.working {
                return;
            }
            place.disk.extend(place.writing.take());
            let done = replica.advance();
            if let Some((_, state)) = done.restored {
                place.played = postcard::from_bytes(&state).expect("a state");
            }
            place.played.extend(done.entries);
            if replica.needs_compaction() {
                replica.compact(state_of(&place.played));
            }
            if replica.is_leader() {
                let before = self.leaders.insert(replica.term(), no);
                assert!(
                    before.is_none_or(|before| before == no),
                    "two lead in term {}",
                    replica.term()
                );
            }
            for (to, bytes) in done.messages {
                self.send(no, to, bytes);
            }
        }
    }

    fn send(&mut self, from: ReplicaId, to: ReplicaId, bytes: Vec<u8>) {
        if self.cut.contains(&(from, to)) || self.chance.generate::<f64>() < self.loss {
            return;
        }
        let copies = if self.chance.generate::<f64>() < self.loss {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let delay = self.chance.generate_range(1..4u64)
                + if self.loss > 0.0 {
                    self.chance.generate_range(0..6u64)
                } else {
                    0
                };
            self.wire.push((self.now + delay, from, to, bytes.clone()));
        }
    }

    pub fn steps(&mut self, count: u64) {
        for _ in 0..count {
            self.step();
        }
    }

    /// Until somebody leads, at most so long.
    pub fn led(&mut self) -> ReplicaId {
        for _ in 0..2000 {
            self.step();
            if let Some(no) = self.leader() {
                return no;
            }
        }
        panic!("nobody leads: {:?}", self.standings());
    }

    pub fn standings(&self) -> Vec<(ReplicaId, Option<Participation>)> {
        self.places
            .iter()
            .map(|(no, place)| {
                (
                    *no,
                    place
                        .replica
                        .as_ref()
                        .map(|replica| replica.participation().clone()),
                )
            })
            .collect()
    }

    /// No two have played another entry at the same place. The rule that all else rests on.
    pub fn agree(&self) -> Result<(), String> {
        let mut all: BTreeMap<u64, (ReplicaId, &[u8])> = BTreeMap::new();
        for (no, place) in &self.places {
            for (index, entry) in &place.played {
                let (first, known) = *all.entry(*index).or_insert((*no, entry));
                if known != entry.as_slice() {
                    return Err(format!("seats {first} and {no} differ at {index}"));
                }
            }
        }
        Ok(())
    }
}
