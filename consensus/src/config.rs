//! Timing and size limits of a replica.

use raft::Config;

use crate::ReplicaId;

/// Messages that the leader sends to a follower before it waits for an acknowledgement.
const MAX_INFLIGHT_MESSAGES: usize = 16;

/// Timing, in ticks of the driver's clock, and size limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RaftConfig {
    /// The shortest election timeout. Each timeout is drawn at random from the range between this and twice this.
    pub election_ticks: usize,
    /// The leader's heartbeat interval, and the interval at which a starting replica queries its peers for its promise.
    pub heartbeat_ticks: usize,
    /// The interval at which the leader sends the promises of all voters to all voters.
    pub promise_broadcast_ticks: usize,
    /// Applied entries that the log keeps before they are replaced by a snapshot.
    pub max_log_entries: u64,
    /// The maximum length of an entry, in bytes.
    pub max_entry_bytes: u64,
    /// The length, in bytes, at which raft-rs stops adding entries to a message.
    pub max_message_bytes: u64,
}

impl Default for RaftConfig {
    fn default() -> Self {
        RaftConfig {
            election_ticks: 25,
            heartbeat_ticks: 5,
            promise_broadcast_ticks: 50,
            max_log_entries: 256,
            max_entry_bytes: 12 * 1024,
            max_message_bytes: 16 * 1024,
        }
    }
}

impl RaftConfig {
    /// The settings of raft-rs for the replica `id` whose log is applied up to `applied_index`.
    pub(crate) fn raft_rs_config(&self, id: ReplicaId, applied_index: u64) -> Config {
        Config {
            id: id.0,
            applied: applied_index,
            election_tick: self.election_ticks,
            min_election_tick: self.election_ticks,
            max_election_tick: self.election_ticks * 2,
            heartbeat_tick: self.heartbeat_ticks,
            max_size_per_msg: self.max_message_bytes,
            max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
            max_uncommitted_size: self.max_message_bytes * 8,
            max_committed_size_per_ready: self.max_message_bytes * 4,
            // A leader that has received nothing from a majority of the voters for an election timeout steps down.
            check_quorum: true,
            // Without it, a replica that returns from a partition could depose the leader by its higher term.
            pre_vote: true,
            ..Config::default()
        }
    }
}
