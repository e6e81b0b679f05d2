//! Tests that a persisted state which is truncated, of another fleet or outdated is rejected, and that the encodings
//! of the persisted state, of the promise query and of the status do not change.

mod common;

use common::{World, FLEET};
use ternpick_consensus::{
    ConsensusError, FleetId, Participation, PersistedStateError, RaftConfig, Replica, ReplicaFault,
    ReplicaId,
};
use test_case::test_case;

fn stored_state() -> Vec<u8> {
    let mut world = World::new(3, 2);
    world.wait_for_leader();
    world.propose(b"one");
    world.steps(20);
    world.nodes[&ReplicaId(1)]
        .stored_states
        .last()
        .cloned()
        .expect("a stored state")
}

fn open(state: &[u8], fleet: FleetId) -> Result<Replica, ConsensusError> {
    Replica::open(state, fleet, RaftConfig::default(), 1)
}

#[test]
fn a_state_truncated_at_any_length_is_rejected() {
    let state = stored_state();
    for length in 0..state.len() {
        assert!(
            open(&state[..length], FLEET).is_err(),
            "truncated at {length}"
        );
    }
    assert!(open(&state, FLEET).is_ok());
}

#[test_case(FleetId(8), "the replica's persisted state belongs to fleet 0000000000000007, expected fleet 0000000000000008"; "another fleet")]
fn a_state_of_another_fleet_is_rejected_with_both_fleet_ids(fleet: FleetId, text: &str) {
    let error = open(&stored_state(), fleet)
        .err()
        .map(|error| error.to_string());
    assert_eq!(error.as_deref(), Some(text));
}

#[test]
fn a_state_of_another_format_is_rejected() {
    let mut state = stored_state();
    // The format number is the first field, in postcard's variable-length encoding.
    assert_eq!(state[0], 1);
    state[0] = 2;
    assert!(matches!(
        open(&state, FLEET).err(),
        Some(ConsensusError::Corrupt(PersistedStateError::Format {
            found: 2,
            supported: 1
        }))
    ));
}

/// Guards against a replica that takes part although its disk was rolled back, for instance from a backup, to a state
/// without entries that it has acknowledged.
#[test]
fn a_replica_with_an_older_copy_of_its_state_never_takes_part() {
    let mut world = World::new(3, 5);
    world.wait_for_leader();
    for round in 0..20u64 {
        world.propose(&round.to_le_bytes());
        world.steps(12);
    }
    let leader = world.leader().expect("a leader");
    let follower = world.running_except(&[leader]);
    for id in [follower, leader] {
        let states = world.nodes[&id].stored_states.len();
        world.crash(id);
        world.roll_back(id, states / 2);
        world.start(id);
        world.steps(200);
        let participation = world.replica(id).participation().clone();
        let Participation::Faulted(fault) = participation else {
            panic!("{id} takes part: {participation:?}")
        };
        assert!(matches!(fault, ReplicaFault::Outdated(_)), "{fault:?}");
        let text = fault.to_string();
        assert!(text.starts_with("it is an older copy: it has"), "{text}");
        if id == follower {
            assert_eq!(world.leader(), Some(leader));
        }
    }
    // Two of three voters are faulted, so there is no majority, and no replica has committed different entries.
    assert_eq!(world.check_agreement(), Ok(()));
}

/// A bootstrap state as the first release stored it.
const BOOTSTRAP_STATE: &[u8] = &[
    1, 7, 2, 0, 4, 8, 1, 24, 1, 21, 10, 5, 115, 116, 97, 116, 101, 18, 12, 10, 6, 8, 1, 8, 2, 8, 3,
    16, 1, 24, 1, 0, 0,
];
/// A state with a vote, an entry and promises, as the first release stored it.
const STATE_WITH_ENTRIES: &[u8] = &[
    1, 7, 1, 1, 6, 8, 2, 16, 2, 24, 2, 17, 10, 1, 0, 18, 12, 10, 6, 8, 1, 8, 2, 8, 3, 16, 1, 24, 1,
    2, 4, 16, 2, 24, 2, 9, 16, 2, 24, 3, 34, 3, 111, 110, 101, 2, 2, 2, 2, 1, 1, 3, 1, 0, 1, 1,
];

#[test]
fn the_persisted_state_has_the_bytes_of_earlier_releases() {
    let voters: Vec<ReplicaId> = (1..=3).map(ReplicaId).collect();
    let state = Replica::bootstrap(FLEET, ReplicaId(2), &voters, b"state".to_vec());
    assert_eq!(state, BOOTSTRAP_STATE);
    assert_eq!(stored_state(), STATE_WITH_ENTRIES);
}

#[test]
fn the_promise_query_has_the_bytes_of_earlier_releases() {
    let mut replica = open(BOOTSTRAP_STATE, FLEET).expect("a usable state");
    replica.tick();
    assert!(replica.ready().is_some());
    let query = vec![1, 1, 0, 1, 1];
    let expected = vec![(ReplicaId(1), query.clone()), (ReplicaId(3), query)];
    assert_eq!(replica.advance().messages, expected);
}

#[test]
fn the_status_has_the_json_keys_that_the_control_socket_returns() {
    let replica = open(BOOTSTRAP_STATE, FLEET).expect("a usable state");
    let status = serde_json::to_value(replica.status()).expect("encodable");
    let expected = serde_json::json!({
        "seat": 2, "term": 1, "leads": false, "leader": null, "last": 1, "agreed": 1, "played": 1,
        "voters": [1, 2, 3], "learners": [], "standing": "asking what it has promised, 0 have answered",
    });
    assert_eq!(status, expected);
}
