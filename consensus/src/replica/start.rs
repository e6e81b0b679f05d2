//! The construction of a replica: for a new fleet, as a new member of a running fleet, or from its persisted state.

use std::collections::VecDeque;

use raft::eraftpb::Snapshot;
use raft::RawNode;

use super::election_timeout::ElectionTimeout;
use super::Replica;
use crate::log_storage::LogStorage;
use crate::peer_promises::PeerPromises;
use crate::persisted_state::{self, PersistedState, ReplicaIdentity};
use crate::{ConsensusError, FleetId, Participation, PersistedStateError, RaftConfig, ReplicaId};

/// Index and term of the snapshot that all voters of a new fleet start from.
const BOOTSTRAP_INDEX: u64 = 1;
const BOOTSTRAP_TERM: u64 = 1;

impl Replica {
    /// Returns the initial persisted state of the replica `id` of a new fleet, for [`Replica::open`]. All voters must
    /// start from the same membership and application state.
    pub fn bootstrap(
        fleet: FleetId,
        id: ReplicaId,
        voters: &[ReplicaId],
        state: Vec<u8>,
    ) -> Vec<u8> {
        let mut snapshot = Snapshot::default();
        let metadata = snapshot.mut_metadata();
        metadata.index = BOOTSTRAP_INDEX;
        metadata.term = BOOTSTRAP_TERM;
        metadata.mut_conf_state().voters = voters.iter().map(|replica| replica.0).collect();
        snapshot.data = state.into();
        let mut log_storage = LogStorage::default();
        log_storage.restore(snapshot);
        let identity = ReplicaIdentity {
            fleet,
            id,
            restart_count: 0,
        };
        persisted_state::encode(identity, &log_storage, &PeerPromises::default())
    }

    /// Creates a replica without any state, which votes only once the others have made it a voter. Call this only for
    /// an id that the replicated state has just assigned: a replica that has voted before would lose the record of its
    /// votes.
    ///
    /// `seed` seeds the election timeouts.
    ///
    /// # Errors
    /// [`ConsensusError::Corrupt`] if the id is 0 or raft-rs rejects the configuration.
    pub fn join(
        fleet: FleetId,
        id: ReplicaId,
        config: RaftConfig,
        seed: u64,
    ) -> Result<Replica, ConsensusError> {
        let state = PersistedState {
            identity: ReplicaIdentity {
                fleet,
                id,
                restart_count: 0,
            },
            log_storage: LogStorage::default(),
            peer_promises: PeerPromises::default(),
        };
        Self::from_state(state, config, seed)
    }

    /// Opens a replica from the state that it persisted last. `seed` seeds the election timeouts.
    ///
    /// # Errors
    /// [`ConsensusError::Corrupt`], [`ConsensusError::OtherFleet`] or [`ConsensusError::Outdated`]. The replica then
    /// has to be replaced.
    pub fn open(
        encoded_state: &[u8],
        fleet: FleetId,
        config: RaftConfig,
        seed: u64,
    ) -> Result<Replica, ConsensusError> {
        let state = persisted_state::decode(encoded_state)?;
        if state.identity.fleet != fleet {
            return Err(ConsensusError::OtherFleet {
                found: state.identity.fleet,
                expected: fleet,
            });
        }
        Self::from_state(state, config, seed)
    }

    fn from_state(
        state: PersistedState,
        config: RaftConfig,
        seed: u64,
    ) -> Result<Replica, ConsensusError> {
        let PersistedState {
            mut identity,
            log_storage,
            peer_promises,
        } = state;
        if identity.id.0 == raft::INVALID_ID {
            return Err(PersistedStateError::ReplicaIdZero.into());
        }
        identity.restart_count += 1;
        let applied_index = log_storage.snapshot.get_metadata().index;
        let own_promise = log_storage.promise();
        let raft_config = config.raft_rs_config(identity.id, applied_index);
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raft =
            RawNode::new(&raft_config, log_storage, &logger).map_err(PersistedStateError::Raft)?;
        // A replica that was the leader has stored its own promise with those of its peers. Its log has to cover that
        // promise.
        peer_promises
            .get(identity.id)
            .check_covered_by(&own_promise)?;
        let mut replica = Replica {
            raft,
            identity,
            config,
            election_timeout: ElectionTimeout::new(seed),
            participation: Participation::Proving(Vec::new()),
            promise_at_start: own_promise,
            peer_promises,
            ticks: 0,
            pending_ready: None,
            deferred_inputs: VecDeque::new(),
            outbox: Vec::new(),
            state_changed: true,
            membership_changed: false,
            applied_index,
            persisted_term: own_promise.term,
        };
        replica.redraw_election_timeout();
        replica.take_part_if_proven();
        Ok(replica)
    }
}
