//! Seats agree whatever befalls them, and refuse a state that is not theirs or not the last.

mod common;

use common::{World, FLEET};
use nanorand::Rng;
use proptest::prelude::*;
use ternpick_consensus::{ConsensusError, FleetId, Participation, RaftConfig, Replica, ReplicaId};
use test_case::test_case;

/// Crashes, restarts, losses, doubles and one-way cuts, all the time.
fn rough_day(voters: u64, seed: u64, steps: u64) -> World {
    let mut world = World::new(voters, seed);
    (world.loss, world.slow_disk) = (0.05, 0.4);
    let mut put = 0u64;
    for step in 0..steps {
        world.step();
        if step % 7 == 0 && world.put(&put.to_le_bytes()) {
            put += 1;
        }
        let pick = world.chance.generate_range(1..=voters);
        match world.chance.generate_range(0..400u32) {
            0..=1 if world.up().len() > 1 => world.crash(ReplicaId(pick)),
            2..=6 if !world.up().contains(&ReplicaId(pick)) => world.start(ReplicaId(pick)),
            7 => {
                let other = world.chance.generate_range(1..=voters);
                world.cut.push((ReplicaId(pick), ReplicaId(other)));
            }
            8..=9 => world.cut.clear(),
            _ => {}
        }
        if let Err(words) = world.agree() {
            panic!("seed {seed}, step {step}: {words}");
        }
    }
    world
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn nothing_agreed_is_ever_agreed_otherwise(seed in any::<u64>(), five in any::<bool>()) {
        let voters = if five { 5 } else { 3 };
        let mut world = rough_day(voters, seed, 1500);
        (world.loss, world.slow_disk, world.cut) = (0.0, 0.0, Vec::new());
        for no in (1..=voters).map(ReplicaId) {
            if !world.up().contains(&no) {
                world.start(no);
            }
        }
        world.led();
        world.steps(400);
        // When all is well again all have all.
        prop_assert!(world.put(b"last"));
        world.steps(100);
        let last = |no: u64| world.places[&ReplicaId(no)].played.last().map(|(_, data)| data.clone());
        for no in 1..=voters {
            prop_assert_eq!(last(no), Some(b"last".to_vec()), "seat {} of {:?}", no, world.standings());
        }
        prop_assert_eq!(world.agree(), Ok(()));
    }
}

#[test]
fn a_day_played_again_goes_the_same_way() {
    let day = |seed| {
        let world = rough_day(3, seed, 800);
        world
            .places
            .values()
            .map(|place| place.played.clone())
            .collect::<Vec<_>>()
    };
    assert_eq!(day(11), day(11));
}

/// A leader's log is put back to what it was before a number of entries that it had answered for.
#[test]
fn a_seat_on_an_older_copy_of_its_state_is_told_so_and_stays_out() {
    let mut world = World::new(3, 5);
    world.led();
    for round in 0..20u64 {
        world.put(&round.to_le_bytes());
        world.steps(12);
    }
    let leader = world.leader().expect("one leads");
    let follower = world
        .up()
        .into_iter()
        .find(|no| *no != leader)
        .expect("another");
    for no in [follower, leader] {
        let copies = world.places[&no].disk.len();
        world.crash(no);
        let place = world.places.get_mut(&no).expect("a place");
        place.disk.truncate(copies / 2);
        world.start(no);
        world.steps(200);
        let standing = world.replica(no).participation().clone();
        let Participation::Spoilt(words) = standing else {
            panic!("{no} takes part: {standing:?}")
        };
        assert!(words.starts_with("it is an older copy: it has"), "{words}");
        if no == follower {
            assert_eq!(world.leader(), Some(leader));
        }
    }
    // Two of three are out: nobody leads, and nothing is agreed otherwise.
    assert_eq!(world.agree(), Ok(()));
}

#[test]
fn the_fault_of_voting_after_a_lost_state_is_caught() {
    // Planted: each voter that crashes begins from the founding again, as if it had promised nothing, and is believed
    // since nobody is asked (one other voter is up, and that one has just lost its own memory too).
    let caught = (0..40).any(|seed| {
        let run = std::panic::catch_unwind(|| {
            let mut world = World::new(3, seed);
            let first = world.led();
            for round in 0..5u8 {
                world.put(&[round]);
                world.steps(10);
            }
            let others: Vec<ReplicaId> = world.up().into_iter().filter(|no| *no != first).collect();
            for no in &others {
                world.crash(*no);
                let place = world.places.get_mut(no).expect("a place");
                place.disk.truncate(1);
                place.played.clear();
            }
            world.crash(first);
            others.iter().for_each(|no| world.start(*no));
            world.led();
            for round in 10..15u8 {
                world.put(&[round]);
                world.steps(10);
            }
            world.agree()
        });
        !matches!(run, Ok(Ok(())))
    });
    assert!(caught, "the checker of agreement sees what it is there for");
}

#[test]
fn a_voter_that_is_replaced_learns_first_and_votes_then() {
    let mut world = World::new(3, 9);
    let leader = world.led();
    for round in 0..60u64 {
        world.put(&round.to_le_bytes());
        world.steps(3);
    }
    let lost = world
        .up()
        .into_iter()
        .find(|no| *no != leader)
        .expect("another");
    world.crash(lost);
    let (new, rest): (ReplicaId, Vec<ReplicaId>) = (ReplicaId(4), world.up());
    assert_eq!(
        world.replica(leader).propose_membership(&rest, &[new]),
        Ok(true)
    );
    world.steps(50);
    assert_eq!(
        (
            world.replica(leader).voters(),
            world.replica(leader).learners()
        ),
        (rest.clone(), vec![new])
    );
    let replica = Replica::join(FLEET, new, world.terms, 77).expect("a seat");
    let place = common::Place {
        replica: Some(replica),
        ..empty()
    };
    world.places.insert(new, place);
    world.steps(200);
    let (standings, status) = (world.standings(), world.replica(new).status());
    assert!(
        world.replica(leader).is_caught_up(new),
        "{standings:?} {status:?}"
    );
    let mut all = rest;
    all.push(new);
    assert_eq!(
        world.replica(leader).propose_membership(&all, &[]),
        Ok(true)
    );
    world.steps(50);
    assert_eq!(world.replica(leader).voters(), all);
    // With another one down it takes the new one's vote to agree.
    let other = world
        .up()
        .into_iter()
        .find(|no| *no != leader && *no != new)
        .expect("another");
    world.crash(other);
    assert!(world.put(b"by the new one"));
    world.steps(100);
    let played = &world.places[&leader].played;
    assert_eq!(
        played.last().map(|(_, data)| data.as_slice()),
        Some(&b"by the new one"[..])
    );
    assert_eq!(world.agree(), Ok(()));
}

fn empty() -> common::Place {
    World::new(1, 1)
        .places
        .remove(&ReplicaId(1))
        .map(|mut place| {
            (place.replica, place.disk) = (None, Vec::new());
            place.played.clear();
            place
        })
        .expect("a place")
}

#[test]
fn a_leader_that_hears_nobody_steps_down_and_answers_nothing() {
    let mut world = World::new(5, 3);
    let leader = world.led();
    world.steps(50);
    // It is heard, and hears nothing: a cut one way.
    world.cut = world
        .up()
        .into_iter()
        .filter(|no| *no != leader)
        .map(|no| (no, leader))
        .collect();
    world.replica(leader).read_index(1);
    world.steps(200);
    assert!(!world.replica(leader).is_leader());
    assert!(world.leader().is_some_and(|other| other != leader));
}

#[test]
fn all_voters_start_at_once_and_go_on_from_what_was_agreed() {
    let mut world = World::new(5, 21);
    world.led();
    for round in 0..10u64 {
        world.put(&round.to_le_bytes());
        world.steps(10);
    }
    let before = world.places[&ReplicaId(1)].played.clone();
    for no in world.up() {
        world.crash(no);
    }
    (1..=5).for_each(|no| world.start(ReplicaId(no)));
    world.led();
    world.steps(50);
    assert_eq!(world.places[&ReplicaId(1)].played, before);
}

fn image() -> Vec<u8> {
    let mut world = World::new(3, 2);
    world.led();
    world.put(b"one");
    world.steps(20);
    world.places[&ReplicaId(1)]
        .disk
        .last()
        .cloned()
        .expect("an image")
}

#[test]
fn a_state_cut_at_any_length_is_refused() {
    let image = image();
    for length in 0..image.len() {
        assert!(
            Replica::open(&image[..length], FLEET, RaftConfig::default(), 1).is_err(),
            "cut at {length}"
        );
    }
    assert!(Replica::open(&image, FLEET, RaftConfig::default(), 1).is_ok());
}

#[test_case(FleetId(8), "the state is of fleet 0000000000000007, this one is 0000000000000008"; "another fleet")]
fn a_state_of_another_fleet_is_refused_with_words(fleet: FleetId, words: &str) {
    let refused = Replica::open(&image(), fleet, RaftConfig::default(), 1)
        .err()
        .map(|refused| refused.to_string());
    assert_eq!(refused.as_deref(), Some(words));
}

#[test]
fn entries_and_messages_without_sense_change_nothing() {
    let mut world = World::new(3, 4);
    let leader = world.led();
    let long = vec![0; 20_000];
    assert!(matches!(
        world.replica(leader).propose(long),
        Err(ConsensusError::TooLong { .. })
    ));
    let mut chance = nanorand::WyRand::new_seed(1);
    for _ in 0..20_000 {
        let length = chance.generate_range(0..64usize);
        let bytes: Vec<u8> = (0..length).map(|_| chance.generate()).collect();
        world
            .replica(leader)
            .step(ReplicaId(chance.generate_range(0..5)), &bytes);
    }
    world.steps(100);
    assert!(world
        .up()
        .into_iter()
        .all(|no| world.replica(no).participation() == &Participation::TakesPart));
    assert!(world.put(b"on"));
}
