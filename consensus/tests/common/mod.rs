//! A simulation of replicas in virtual time: the network delays, reorders, duplicates and loses messages and blocks
//! links in one direction; a crashed node restarts from its last stored state, or from an earlier one. All randomness
//! comes from one seed.

#![allow(dead_code, reason = "each test file uses some of the items")]

use std::collections::BTreeMap;

use nanorand::{Rng, WyRand};
use ternpick_consensus::{FleetId, Participation, RaftConfig, Replica, ReplicaId};

pub(crate) const FLEET: FleetId = FleetId(7);

/// A machine with one replica.
pub(crate) struct Node {
    /// None while the node is crashed.
    pub(crate) replica: Option<Replica>,
    /// All states that the node has stored. The last one is on its disk.
    pub(crate) stored_states: Vec<Vec<u8>>,
    /// All applied entries in order, with their indexes. A snapshot from the leader replaces them by its own.
    pub(crate) applied: Vec<(u64, Vec<u8>)>,
    pub(crate) confirmed_reads: Vec<u64>,
    /// Whether a state is being stored.
    storing: bool,
    state_being_stored: Option<Vec<u8>>,
}

impl Node {
    pub(crate) fn running(replica: Replica) -> Node {
        Node {
            replica: Some(replica),
            ..Node::stopped(Vec::new())
        }
    }

    fn stopped(stored_states: Vec<Vec<u8>>) -> Node {
        Node {
            replica: None,
            stored_states,
            applied: Vec::new(),
            confirmed_reads: Vec::new(),
            storing: false,
            state_being_stored: None,
        }
    }
}

struct MessageInFlight {
    arrives_at: u64,
    from: ReplicaId,
    to: ReplicaId,
    bytes: Vec<u8>,
}

/// The nodes, the network between them and the virtual clock, which counts ticks.
pub(crate) struct World {
    pub(crate) nodes: BTreeMap<ReplicaId, Node>,
    pub(crate) rng: WyRand,
    in_flight: Vec<MessageInFlight>,
    now: u64,
    pub(crate) loss_probability: f64,
    pub(crate) slow_disk_probability: f64,
    /// The nodes whose disks complete no write.
    pub(crate) stuck_disks: Vec<ReplicaId>,
    /// Sender and receiver of each blocked link.
    pub(crate) blocked_links: Vec<(ReplicaId, ReplicaId)>,
    pub(crate) config: RaftConfig,
    leader_of_term: BTreeMap<u64, ReplicaId>,
    starts: u64,
}

fn application_state(applied: &[(u64, Vec<u8>)]) -> Vec<u8> {
    postcard::to_stdvec(applied).expect("encodable")
}

impl World {
    pub(crate) fn new(voter_count: u64, seed: u64) -> World {
        let voters: Vec<ReplicaId> = (1..=voter_count).map(ReplicaId).collect();
        let mut world = World {
            nodes: BTreeMap::new(),
            rng: WyRand::new_seed(seed),
            in_flight: Vec::new(),
            now: 0,
            loss_probability: 0.0,
            slow_disk_probability: 0.0,
            stuck_disks: Vec::new(),
            blocked_links: Vec::new(),
            config: RaftConfig {
                max_log_entries: 24,
                ..RaftConfig::default()
            },
            leader_of_term: BTreeMap::new(),
            starts: 0,
        };
        for id in &voters {
            let state = Replica::bootstrap(FLEET, *id, &voters, application_state(&[]));
            world.nodes.insert(*id, Node::stopped(vec![state]));
            world.start(*id);
        }
        world
    }

    /// Starts the node from its last stored state.
    pub(crate) fn start(&mut self, id: ReplicaId) {
        self.starts += 1;
        let seed = id.0 * 1000 + self.starts;
        let node = self.nodes.get_mut(&id).expect("a node of this world");
        let state = node.stored_states.last().expect("a stored state");
        let replica = Replica::open(state, FLEET, self.config, seed).expect("a usable state");
        let (_, application_state) = replica.initial_snapshot().expect("a snapshot");
        node.applied = postcard::from_bytes(&application_state).expect("decodable");
        node.replica = Some(replica);
        node.storing = false;
        node.state_being_stored = None;
    }

    pub(crate) fn crash(&mut self, id: ReplicaId) {
        let node = self.nodes.get_mut(&id).expect("a node of this world");
        node.replica = None;
    }

    /// Rolls the disk of a crashed node back to the first `count` states that the node stored.
    pub(crate) fn roll_back(&mut self, id: ReplicaId, count: usize) {
        let node = self.nodes.get_mut(&id).expect("a node of this world");
        node.stored_states.truncate(count);
    }

    /// The nodes that are not crashed.
    pub(crate) fn running(&self) -> Vec<ReplicaId> {
        self.nodes
            .iter()
            .filter(|(_, node)| node.replica.is_some())
            .map(|(id, _)| *id)
            .collect()
    }

    /// The first running node other than `excluded`.
    pub(crate) fn running_except(&self, excluded: &[ReplicaId]) -> ReplicaId {
        self.running()
            .into_iter()
            .find(|id| !excluded.contains(id))
            .expect("another node runs")
    }

    /// The leader of the latest term.
    pub(crate) fn leader(&self) -> Option<ReplicaId> {
        self.nodes
            .iter()
            .filter_map(|(id, node)| Some((id, node.replica.as_ref()?)))
            .filter(|(_, replica)| replica.is_leader())
            .max_by_key(|(_, replica)| replica.term())
            .map(|(id, _)| *id)
    }

    /// Proposes an entry to the leader. Returns whether there is a leader and it has accepted the entry.
    pub(crate) fn propose(&mut self, data: &[u8]) -> bool {
        let Some(leader) = self.leader() else {
            return false;
        };
        self.replica(leader).propose(data.to_vec()).is_ok()
    }

    pub(crate) fn replica(&mut self, id: ReplicaId) -> &mut Replica {
        self.nodes
            .get_mut(&id)
            .and_then(|node| node.replica.as_mut())
            .expect("a running node")
    }

    /// Advances the virtual time by one tick.
    pub(crate) fn step(&mut self) {
        self.now += 1;
        let running = self.running();
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|message| message.arrives_at <= self.now);
        self.in_flight = later;
        for message in due {
            self.deliver(message);
        }
        for id in running {
            self.replica(id).tick();
            self.store_and_send(id);
        }
    }

    pub(crate) fn steps(&mut self, count: u64) {
        for _ in 0..count {
            self.step();
        }
    }

    fn deliver(&mut self, message: MessageInFlight) {
        let receiver = self.nodes.get_mut(&message.to);
        if let Some(replica) = receiver.and_then(|node| node.replica.as_mut()) {
            replica.step(message.from, &message.bytes);
        }
    }

    fn store_and_send(&mut self, id: ReplicaId) {
        for _ in 0..20 {
            let node = self.nodes.get_mut(&id).expect("a node of this world");
            let Some(replica) = &mut node.replica else {
                return;
            };
            if !node.storing {
                let Some(ready) = replica.ready() else { break };
                node.state_being_stored = ready.persisted_state;
            }
            // A slow disk: inputs arrive while the state is being stored.
            node.storing = self.rng.generate::<f64>() < self.slow_disk_probability
                || self.stuck_disks.contains(&id);
            if node.storing {
                return;
            }
            node.stored_states.extend(node.state_being_stored.take());
            for (to, bytes) in self.advance(id) {
                self.send(id, to, bytes);
            }
        }
    }

    /// Advances the replica after its state is stored, applies the committed entries and returns the messages.
    fn advance(&mut self, id: ReplicaId) -> Vec<(ReplicaId, Vec<u8>)> {
        let node = self.nodes.get_mut(&id).expect("a node of this world");
        let replica = node.replica.as_mut().expect("a running node");
        let advanced = replica.advance();
        if let Some((_, state)) = advanced.restored {
            node.applied = postcard::from_bytes(&state).expect("decodable");
        }
        node.applied.extend(advanced.entries);
        let confirmed = advanced.confirmed_reads.iter().map(|(read_id, _)| *read_id);
        node.confirmed_reads.extend(confirmed);
        if replica.needs_compaction() {
            replica.compact(application_state(&node.applied));
        }
        if replica.is_leader() {
            let term = replica.term();
            let known_leader = self.leader_of_term.insert(term, id);
            assert!(
                known_leader.is_none_or(|known_leader| known_leader == id),
                "two leaders in term {term}"
            );
        }
        advanced.messages
    }

    fn send(&mut self, from: ReplicaId, to: ReplicaId, bytes: Vec<u8>) {
        if self.blocked_links.contains(&(from, to)) || self.is_lost() {
            return;
        }
        let copies = if self.is_lost() { 2 } else { 1 };
        for _ in 0..copies {
            let mut delay = self.rng.generate_range(1..4u64);
            if self.loss_probability > 0.0 {
                delay += self.rng.generate_range(0..6u64);
            }
            self.in_flight.push(MessageInFlight {
                arrives_at: self.now + delay,
                from,
                to,
                bytes: bytes.clone(),
            });
        }
    }

    fn is_lost(&mut self) -> bool {
        self.rng.generate::<f64>() < self.loss_probability
    }

    /// Steps until there is a leader, at most 2000 times.
    pub(crate) fn wait_for_leader(&mut self) -> ReplicaId {
        for _ in 0..2000 {
            self.step();
            if let Some(leader) = self.leader() {
                return leader;
            }
        }
        panic!("no leader: {:?}", self.participations());
    }

    pub(crate) fn participations(&self) -> Vec<(ReplicaId, Option<Participation>)> {
        self.nodes
            .iter()
            .map(|(id, node)| {
                let replica = node.replica.as_ref();
                (*id, replica.map(|replica| replica.participation().clone()))
            })
            .collect()
    }

    /// Checks that no two nodes have applied different entries at the same index (state machine safety; Raft, section
    /// 5.4).
    pub(crate) fn check_agreement(&self) -> Result<(), String> {
        let mut first_applied: BTreeMap<u64, (ReplicaId, &[u8])> = BTreeMap::new();
        for (id, node) in &self.nodes {
            for (index, entry) in &node.applied {
                let (first, first_entry) = *first_applied.entry(*index).or_insert((*id, entry));
                if first_entry != entry.as_slice() {
                    return Err(format!(
                        "replicas {first} and {id} have applied different entries at index {index}"
                    ));
                }
            }
        }
        Ok(())
    }
}
