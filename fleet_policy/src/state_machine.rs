//! The replicated state machine: the state that the fleet has agreed on, derived from the log alone. The same entries
//! give the same state on every router, independent of its clock. `docs/design/policy.md` has the table of states and
//! entries.
//!
//! [`crate::FleetNode`] applies committed entries here and stores the state in snapshots; [`crate::Leader`] reads it to
//! decide the next entry. This module does not send, log or read a clock.

mod entry;
mod history;
mod membership;
mod outcome;
mod proposal;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

pub use entry::{Entry, PolicyDocument, Verdict};
pub use history::{HistoryEntry, ProposalStatus};
pub use membership::MemberInfo;
pub use outcome::Outcome;
pub use proposal::PendingProposal;

use crate::ids::{Epoch, Index, Member, OperationId, ReplicaId, Version};
use outcome::{CommandRefused, CompletedCommand};

/// The number of commands whose outcome is remembered for retries; the oldest are forgotten first.
const MAX_COMPLETED_COMMANDS: usize = 128;
/// The maximum length of a policy's text.
pub const MAX_POLICY_TEXT_BYTES: usize = 8 * 1024;
/// The maximum length of a reason, an error message or the texts of a member that are stored.
pub const MAX_SHORT_TEXT_BYTES: usize = 1024;
/// The maximum number of routers of a fleet.
pub const MAX_MEMBERS: usize = 1000;

/// The state that the fleet has agreed on up to a position in the log. Snapshots contain it as `postcard`, which encodes
/// fields by position: their order and number are fixed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PolicyState {
    /// The log position of the last applied entry.
    pub index: Index,
    /// The log position of the last change that every router needs to know.
    pub changed_at: Index,
    /// Leases of an earlier epoch are void.
    pub epoch: Epoch,
    /// The policy in force.
    pub in_force: PolicyDocument,
    /// The pending proposal, which is being checked or is in a barrier; there is at most one at a time.
    pub proposal: Option<PendingProposal>,
    /// The number of the newest proposal so far.
    pub newest_version: Version,
    /// The routers of the fleet.
    pub members: BTreeMap<Member, MemberInfo>,
    /// The log position of the last change of the members.
    pub members_at: Index,
    /// Members that were removed since the last version came into force: a barrier must still wait for their leases to
    /// expire. Emptied when a version comes into force.
    pub departed_members: BTreeSet<Member>,
    /// The highest replica id assigned so far.
    pub last_replica_id: ReplicaId,
    /// The latest commands and their outcomes; bounded by [`MAX_COMPLETED_COMMANDS`].
    completed_commands: VecDeque<CompletedCommand>,
    /// The latest proposals and their status; bounded, the oldest are dropped first.
    pub history: VecDeque<HistoryEntry>,
    /// The part of the extension's state that every router must know before it gets a lease.
    pub machines_out: Vec<u8>,
    /// The log position of the last change of `machines_out`.
    pub machines_out_at: Index,
    /// The extension's whole state; filled only in snapshots.
    pub extension: Vec<u8>,
}

impl PolicyState {
    /// The state of a new fleet: version 0, the platform's own settings.
    pub fn bootstrap(members: BTreeMap<Member, MemberInfo>) -> Self {
        let last_replica_id = members
            .values()
            .filter_map(|info| info.replica)
            .max()
            .unwrap_or_default();
        PolicyState {
            // The bootstrap itself has position 1: position 0 stands for routers that know no state yet.
            index: Index(1),
            changed_at: Index(1),
            epoch: Epoch(0),
            in_force: PolicyDocument::default(),
            proposal: None,
            newest_version: Version(0),
            members,
            members_at: Index(1),
            departed_members: BTreeSet::new(),
            last_replica_id,
            completed_commands: VecDeque::new(),
            history: VecDeque::new(),
            machines_out: Vec::new(),
            // Routers need to know nothing of the extension yet: in a fleet without an extension, lease requests report
            // position 0 and must be granted all the same.
            machines_out_at: Index(0),
            extension: Vec::new(),
        }
    }

    /// Returns the outcome of a command if it is still remembered.
    pub fn outcome(&self, op: OperationId) -> Option<&Outcome> {
        self.completed_commands
            .iter()
            .find(|completed| completed.op == op)
            .map(|completed| &completed.outcome)
    }

    /// Whether a barrier is in progress: no router admits queries.
    pub fn in_barrier(&self) -> bool {
        self.proposal
            .as_ref()
            .is_some_and(|pending| pending.barrier.is_some())
    }

    /// The member that has this replica.
    pub fn member_with_replica(&self, replica: ReplicaId) -> Option<&Member> {
        self.members
            .iter()
            .find(|(_, info)| info.replica == Some(replica))
            .map(|(member, _)| member)
    }

    /// Records that an entry of the extension was applied: its result, if the entry is the command `op`, and the part of
    /// the extension's state that every router must know from this position on.
    pub fn extension_applied(
        &mut self,
        index: Index,
        op: Option<OperationId>,
        result: Result<u64, String>,
        machines_out: Vec<u8>,
    ) {
        self.index = index;
        if let Some(op) = op {
            let outcome = result.map_or_else(Outcome::Refused, Outcome::Numbered);
            self.remember(op, outcome);
        }
        if machines_out != self.machines_out {
            self.machines_out = machines_out;
            self.machines_out_at = index;
            self.changed_at = index;
        }
    }

    fn remember(&mut self, op: OperationId, outcome: Outcome) {
        self.completed_commands
            .push_back(CompletedCommand { op, outcome });
        while self.completed_commands.len() > MAX_COMPLETED_COMMANDS {
            self.completed_commands.pop_front();
        }
    }

    /// Applies one entry. The effect of an entry of the extension is recorded by [`PolicyState::extension_applied`]. The
    /// outcome of a command is remembered even if the command is refused.
    pub fn apply(&mut self, index: Index, entry: Entry) {
        self.index = index;
        if matches!(entry, Entry::Extension { .. }) {
            return;
        }
        let records_verdicts = matches!(entry, Entry::Verdicts { .. });
        self.apply_policy_entry(entry);
        // Only the leader uses verdicts; other routers need to know only a verdict that ends the proposal.
        if !records_verdicts || self.proposal.is_none() {
            self.changed_at = index;
        }
    }

    fn apply_policy_entry(&mut self, entry: Entry) {
        match entry {
            Entry::Propose {
                op,
                base,
                document,
                confirm,
            } => self.apply_command(op, |state| state.propose(base, document, confirm)),
            Entry::Verdicts { number, verdicts } => self.record_verdicts(number, verdicts),
            Entry::Confirm { op, number, by } => {
                self.apply_command(op, |state| state.confirm(number, by));
            }
            Entry::BeginBarrier {
                number,
                round,
                expired_members,
            } => self.begin_barrier(number, round, expired_members),
            Entry::InForce { number, round } => self.put_in_force(number, round),
            Entry::Resume { number, round } => self.resume(number, round),
            Entry::Withdraw {
                op,
                number,
                by,
                reason,
            } => self.apply_command(op, |state| state.withdraw(number, by, reason)),
            Entry::AddMember {
                op,
                member,
                address,
                zone,
            } => self.apply_command(op, |state| state.add_member(member, address, zone)),
            Entry::RemoveMember { op, member } => {
                self.apply_command(op, |state| state.remove_member(member));
            }
            Entry::AssignReplica { op, member } => {
                self.apply_command(op, |state| state.assign_replica(member));
            }
            Entry::RemoveReplica { op, member } => {
                self.apply_command(op, |state| state.remove_replica(member));
            }
            Entry::PromoteLearner { replica } => self.promote_learner(replica),
            Entry::Extension { .. } => {}
        }
    }

    /// Applies an operator's command. A command that was applied before changes nothing and keeps its outcome.
    fn apply_command(
        &mut self,
        op: OperationId,
        command: impl FnOnce(&mut PolicyState) -> Result<Outcome, CommandRefused>,
    ) {
        if self.outcome(op).is_some() {
            return;
        }
        let outcome = command(self).unwrap_or_else(|refused| Outcome::Refused(refused.to_string()));
        self.remember(op, outcome);
    }
}
