//! Tests that persisted states and messages between replicas have the bytes of the released program, so that voters of
//! two releases understand each other, and a replica opens the state that an earlier release stored. A small fleet
//! runs deterministically: bootstrap, election, entries, a learner, a snapshot, a leadership transfer and a restart.
//! The test compares each persisted state and each message with the recorded bytes. It uses the public interface only,
//! although the encoded types are private.

#[path = "../../tests/common/recorded.rs"]
mod recorded;

use std::collections::{BTreeMap, VecDeque};

use recorded::Recorded;
use ternpick_consensus::{FleetId, Participation, RaftConfig, Replica, ReplicaId};

const FLEET: FleetId = FleetId(0x0102_0304_0506_0708);
const CONFIG: RaftConfig = RaftConfig {
    election_ticks: 6,
    heartbeat_ticks: 2,
    promise_broadcast_ticks: 4,
    max_log_entries: 256,
    max_entry_bytes: 4096,
    max_message_bytes: 8192,
};

/// A fleet whose disks store each state at once and whose network delivers all messages in order.
struct TestFleet<'a> {
    recorded: Recorded<'a>,
    replicas: BTreeMap<ReplicaId, Replica>,
    /// The last stored state of each replica.
    stored_states: BTreeMap<ReplicaId, Vec<u8>>,
    /// The data of the snapshots and entries that each replica has applied, in order.
    applied: BTreeMap<ReplicaId, Vec<Vec<u8>>>,
    /// How many states were stored so far.
    stored_count: usize,
    /// How many messages were sent so far.
    message_count: usize,
}

impl TestFleet<'_> {
    /// Starts a replica from its last stored state.
    fn open(&mut self, id: ReplicaId) {
        let seed = id.0 * 17;
        let replica = Replica::open(&self.stored_states[&id], FLEET, CONFIG, seed)
            .expect("a state of this fleet");
        self.replicas.insert(id, replica);
    }

    /// Stores all states and delivers all messages, until no replica has any left.
    fn run_until_idle(&mut self) {
        let mut messages = VecDeque::new();
        loop {
            for (id, replica) in &mut self.replicas {
                while let Some(ready) = replica.ready() {
                    if let Some(state) = ready.persisted_state {
                        self.stored_count += 1;
                        self.recorded
                            .bytes(&format!("image-{}-of-seat-{id}", self.stored_count), &state);
                        self.stored_states.insert(*id, state);
                    }
                    let advanced = replica.advance();
                    messages.extend(
                        advanced
                            .messages
                            .into_iter()
                            .map(|(to, bytes)| (*id, to, bytes)),
                    );
                    let applied = self.applied.entry(*id).or_default();
                    applied.extend(advanced.restored.map(|(_, state)| state));
                    applied.extend(advanced.entries.into_iter().map(|(_, entry)| entry));
                }
            }
            let Some((from, to, bytes)) = messages.pop_front() else {
                return;
            };
            self.message_count += 1;
            self.recorded.bytes(
                &format!("word-{}-from-{from}-to-{to}", self.message_count),
                &bytes,
            );
            if let Some(replica) = self.replicas.get_mut(&to) {
                replica.step(from, &bytes);
            }
        }
    }

    fn ticks(&mut self, count: usize) {
        for _ in 0..count {
            self.replicas.values_mut().for_each(Replica::tick);
            self.run_until_idle();
        }
    }

    /// The leader, after at most 40 ticks.
    fn leader(&mut self) -> &mut Replica {
        for _ in 0..40 {
            if self.replicas.values().any(Replica::is_confirmed_leader) {
                break;
            }
            self.ticks(1);
        }
        self.replicas
            .values_mut()
            .find(|replica| replica.is_confirmed_leader())
            .expect("a leader")
    }
}

#[test]
#[allow(
    clippy::too_many_lines,
    reason = "one sequence of events, whose steps depend on each other"
)]
fn persisted_states_and_messages_have_the_bytes_of_the_release() {
    let voters = [ReplicaId(1), ReplicaId(2), ReplicaId(3)];
    let bootstrap_states = voters.map(|id| {
        (
            id,
            Replica::bootstrap(FLEET, id, &voters, b"founding state".to_vec()),
        )
    });
    let mut fleet = TestFleet {
        recorded: Recorded::parse(include_str!("release_bytes.txt")),
        replicas: BTreeMap::new(),
        stored_states: BTreeMap::from(bootstrap_states),
        applied: BTreeMap::new(),
        stored_count: 0,
        message_count: 0,
    };
    for (id, state) in fleet.stored_states.clone() {
        fleet
            .recorded
            .bytes(&format!("founding-of-seat-{id}"), &state);
        fleet.open(id);
    }
    let leader = fleet.leader();
    leader
        .propose(b"first entry".to_vec())
        .expect("the leader accepts the entry");
    fleet.ticks(1);

    // A replica joins as a learner. The leader compacts its log and sends the learner the snapshot.
    let learner = Replica::join(FLEET, ReplicaId(4), CONFIG, 68).expect("a valid id");
    fleet.replicas.insert(ReplicaId(4), learner);
    let proposed = fleet.leader().propose_membership(&voters, &[ReplicaId(4)]);
    assert!(matches!(proposed, Ok(true)), "{proposed:?}");
    fleet.run_until_idle();
    assert!(fleet.leader().needs_compaction());
    fleet.leader().compact(b"later state".to_vec());
    fleet.ticks(4);
    fleet
        .leader()
        .propose(b"second entry".to_vec())
        .expect("the leader accepts the entry");
    fleet.ticks(2);
    let expected = [b"later state".to_vec(), b"second entry".to_vec()];
    assert_eq!(fleet.applied[&ReplicaId(4)], expected);

    // Leadership is transferred. The earlier leader restarts and queries its peers for its promise.
    let old_leader = fleet.leader().id();
    let new_leader = voters
        .into_iter()
        .find(|id| *id != old_leader)
        .expect("another voter");
    fleet.leader().transfer_leadership(new_leader);
    fleet.ticks(2);
    assert_eq!(fleet.leader().id(), new_leader);
    fleet.open(old_leader);
    assert!(matches!(
        fleet.replicas[&old_leader].participation(),
        Participation::Proving(_)
    ));
    fleet.ticks(3);
    assert_eq!(
        fleet.replicas[&old_leader].participation(),
        &Participation::TakesPart
    );
    fleet
        .leader()
        .propose(b"third entry".to_vec())
        .expect("the leader accepts the entry");
    fleet.ticks(2);
    assert_eq!(
        fleet.applied[&ReplicaId(4)].last(),
        Some(&b"third entry".to_vec())
    );
    fleet.recorded.finish();
}
