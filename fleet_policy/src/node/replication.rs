//! Drives the consensus replica: persists its image, applies committed entries to the policy state and the extension, and
//! sends its messages. This router sends nothing that depends on an image before the image is written.

use serde::Serialize;
use ternpick::types::Micros;
use ternpick_consensus::{Advanced, Replica, ReplicaId};

use super::leadership::PendingRead;
use super::{FleetNode, MAX_ROUNDS_PER_TURN};
use crate::effects::{Effect, LogLevel};
use crate::ids::{Index, Member, OperationId, Version};
use crate::messages::PeerMessage;
use crate::state_machine::{Entry, PolicyState};

/// The time after a failed write of an image until the next attempt.
const PERSIST_RETRY_AFTER: Micros = Micros(200_000);

/// The image that is being written, and the one whose write failed.
#[derive(Default)]
pub(super) struct Persistence {
    in_progress: Option<Vec<u8>>,
    /// Kept until a further attempt succeeds. Until then the replica accepts no messages.
    failure: Option<PersistFailure>,
}

struct PersistFailure {
    retry_at: Micros,
    image: Vec<u8>,
}

impl Persistence {
    pub(super) fn is_in_progress(&self) -> bool {
        self.in_progress.is_some()
    }

    /// When the next attempt is due after a failed write.
    pub(super) fn retry_at(&self) -> Option<Micros> {
        let failure = self.failure.as_ref().filter(|_| !self.is_in_progress())?;
        Some(failure.retry_at)
    }

    /// Forgets a failed write, because its image belongs to a replica that this router no longer runs.
    pub(super) fn forget_failure(&mut self) {
        self.failure = None;
    }
}

/// The part of the policy state whose changes are logged.
struct PolicyProgress {
    proposal: Option<Version>,
    in_force: Version,
}

impl PolicyProgress {
    fn of(state: &PolicyState) -> PolicyProgress {
        PolicyProgress {
            proposal: state
                .proposal
                .as_ref()
                .map(|pending| pending.document.number),
            in_force: state.in_force.number,
        }
    }
}

pub(super) fn encode(value: &impl Serialize) -> Vec<u8> {
    postcard::to_stdvec(value).expect("postcard encodes derived types into memory without errors")
}

impl FleetNode {
    pub(super) fn tick_replica(&mut self) {
        if self.persistence.failure.is_some() {
            return;
        }
        if let Some(replica) = &mut self.replica {
            replica.tick();
        }
    }

    /// Passes a consensus message to the replica. While an image cannot be written, messages are dropped: this router
    /// could not persist what it answers.
    pub(super) fn step_replica(
        &mut self,
        now: Micros,
        from: ReplicaId,
        to: ReplicaId,
        message: &[u8],
    ) {
        if self.persistence.failure.is_some() {
            return;
        }
        let addressed = self.replica.as_mut().filter(|replica| replica.id() == to);
        if let Some(term) = addressed.and_then(|replica| replica.step(from, message)) {
            self.leader_contact.accepted(now, term);
        }
    }

    /// Reports to the replica that a member is alive because it sent a message other than a consensus message. The
    /// member's replica may be silent because it is writing its image.
    pub(super) fn note_peer_alive(&mut self, from: &Member) {
        let peer = self.members.get(from).and_then(|member| member.replica);
        if let (Some(replica), Some(peer)) = (&mut self.replica, peer) {
            replica.note_peer_alive(peer);
        }
    }

    /// Whether an image is being written.
    pub fn is_persisting(&self) -> bool {
        self.persistence.is_in_progress()
    }

    /// Records the result of [`Effect::Persist`].
    pub fn persisted(&mut self, now: Micros, result: Result<(), String>) {
        let image = self.persistence.in_progress.take().unwrap_or_default();
        match result {
            Ok(()) => {
                if self.persistence.failure.take().is_some() {
                    self.log(
                        LogLevel::Info,
                        "fleet: the replica's state can be written again".into(),
                    );
                }
                self.advance_replica(now);
            }
            Err(reason) => {
                if self.persistence.failure.is_none() {
                    let line =
                        format!("fleet: the replica's state cannot be written, messages are not answered until it can: {reason}");
                    self.log(LogLevel::Error, line);
                }
                self.persistence.failure = Some(PersistFailure {
                    retry_at: now + PERSIST_RETRY_AFTER,
                    image,
                });
            }
        }
    }

    fn persist(&mut self, image: Vec<u8>) {
        self.effects.push(Effect::Persist(image.clone()));
        self.persistence.in_progress = Some(image);
    }

    /// Starts or retries writing the replica's image if needed; otherwise carries out what the replica has ready.
    pub(super) fn drive_replica(&mut self, now: Micros) {
        for _ in 0..MAX_ROUNDS_PER_TURN {
            if self.persistence.is_in_progress() {
                return;
            }
            if let Some(failure) = &self.persistence.failure {
                if now >= failure.retry_at {
                    self.persist(failure.image.clone());
                }
                return;
            }
            let Some(ready) = self.replica.as_mut().and_then(Replica::ready) else {
                return;
            };
            if let Some(image) = ready.persisted_state {
                return self.persist(image);
            }
            self.advance_replica(now);
        }
    }

    /// Carries out what the replica has ready, after its image is written.
    fn advance_replica(&mut self, now: Micros) {
        let advanced = self
            .replica
            .as_mut()
            .map(Replica::advance)
            .unwrap_or_default();
        self.apply_advanced(&advanced);
        for (id, index) in &advanced.confirmed_reads {
            self.pending_reads.push(PendingRead {
                id: *id,
                index: *index,
            });
        }
        let Some(own) = self.replica_id() else {
            return;
        };
        self.compact_if_needed();
        for (to, message) in advanced.messages {
            if let Some(member) = self.member_with_replica(to).cloned() {
                let message = PeerMessage::Raft {
                    from: own,
                    to,
                    message,
                };
                self.send(&member, message);
            }
        }
        self.follow_replica_role(now);
        self.send_outcomes();
    }

    pub(super) fn member_with_replica(&self, replica: ReplicaId) -> Option<&Member> {
        self.members
            .iter()
            .find(|(_, info)| info.replica == Some(replica))
            .map(|(member, _)| member)
    }

    /// Replaces the applied entries of the log by a snapshot if the replica needs it.
    fn compact_if_needed(&mut self) {
        let Some(replica) = self
            .replica
            .as_mut()
            .filter(|replica| replica.needs_compaction())
        else {
            return;
        };
        if let Some(state) = &self.state {
            let mut snapshot = state.clone();
            snapshot.extension = self.extension.snapshot();
            replica.compact(encode(&snapshot));
        }
    }

    fn apply_advanced(&mut self, advanced: &Advanced) {
        if let Some((_, snapshot)) = &advanced.restored {
            self.restore_snapshot(snapshot);
        }
        let Some(mut state) = self.state.take() else {
            return;
        };
        for (index, bytes) in &advanced.entries {
            match postcard::from_bytes::<Entry>(bytes) {
                Ok(entry) => self.apply_entry(&mut state, Index(*index), entry),
                Err(error) => self.log(
                    LogLevel::Error,
                    format!("fleet: entry {index} cannot be decoded: {error}"),
                ),
            }
        }
        if advanced.restored.is_some() || !advanced.entries.is_empty() {
            self.members.clone_from(&state.members);
        }
        self.state = Some(state);
    }

    fn restore_snapshot(&mut self, snapshot: &[u8]) {
        match postcard::from_bytes(snapshot) {
            Ok(state) => {
                self.state = Some(state);
                self.state_replaced();
            }
            Err(error) => self.log(
                LogLevel::Error,
                format!("fleet: the snapshot cannot be decoded: {error}"),
            ),
        }
    }

    /// Updates the members and the extension after the policy state was replaced as a whole.
    pub(super) fn state_replaced(&mut self) {
        if let Some(state) = &self.state {
            self.members.clone_from(&state.members);
            self.extension.restore(&state.extension);
            self.extension.members_changed(&state.members);
        }
    }

    fn apply_entry(&mut self, state: &mut PolicyState, index: Index, entry: Entry) {
        let before = PolicyProgress::of(state);
        if let Entry::Extension { op, entry } = &entry {
            self.apply_extension_entry(state, index, *op, entry);
        }
        state.apply(index, entry);
        if state.members_at == index {
            self.extension.members_changed(&state.members);
        }
        self.log_progress(&before, state, index);
    }

    fn apply_extension_entry(
        &mut self,
        state: &mut PolicyState,
        index: Index,
        op: Option<OperationId>,
        entry: &[u8],
    ) {
        // A command that was applied before changes nothing and keeps its outcome.
        if op.is_some_and(|op| state.outcome(op).is_some()) {
            return;
        }
        let result = self.extension.apply(index, entry);
        state.extension_applied(index, op, result, self.extension.machines_out());
    }

    fn log_progress(&mut self, before: &PolicyProgress, state: &PolicyState, index: Index) {
        let after = PolicyProgress::of(state);
        if let Some(pending) = &state.proposal {
            if after.proposal != before.proposal {
                let number = pending.document.number;
                let author = &pending.document.author;
                self.log(
                    LogLevel::Info,
                    format!("policy: proposal {number} by '{author}' is pending, entry {index}"),
                );
            }
        }
        if after.in_force != before.in_force {
            let number = after.in_force;
            self.log(
                LogLevel::Info,
                format!("policy: version {number} comes into force, entry {index}"),
            );
            return;
        }
        if let (Some(ended), None) = (before.proposal, after.proposal) {
            let status = state.status_of(ended);
            self.log(
                LogLevel::Info,
                format!("policy: proposal {ended} has ended with status {status:?}, entry {index}"),
            );
        }
    }
}
