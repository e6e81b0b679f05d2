//! The replicated state machine: what the fleet has agreed on, derived from the log alone. The same entries give the same
//! state on every router, whatever its clock. `docs/design/policy.md` has the table of states and entries.
//!
//! [`crate::FleetNode`] applies committed entries here and puts the state into snapshots; [`crate::Leader`] reads it to
//! decide the next entry. Nothing here sends, logs or reads a clock.

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

/// Commands whose outcome is known when they are sent again; the oldest are forgotten first.
const MAX_COMPLETED_COMMANDS: usize = 128;
/// The longest text of a policy, in bytes.
pub const MAX_POLICY_TEXT_BYTES: usize = 8 * 1024;
/// The longest reason or error message that is stored, in bytes.
pub const MAX_SHORT_TEXT_BYTES: usize = 1024;
/// The most routers of one fleet.
pub const MAX_MEMBERS: usize = 1000;

/// What the fleet has agreed on up to one place in the log. Snapshots contain it in `postcard`, which encodes fields by
/// position: their order and number are fixed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PolicyState {
    /// The place of the last entry that is applied.
    pub index: Index,
    /// Where something last changed that every router needs to know.
    pub changed_at: Index,
    /// Leases of an earlier epoch are void.
    pub epoch: Epoch,
    /// The policy in force.
    pub in_force: PolicyDocument,
    /// The proposal that is checked or takes effect; there is one at a time.
    pub proposal: Option<PendingProposal>,
    /// The number of the newest proposal ever made.
    pub newest_version: Version,
    /// The routers of the fleet.
    pub members: BTreeMap<Member, MemberInfo>,
    /// Where the members last changed.
    pub members_at: Index,
    /// Members removed since the last version came into force: their leases still count. Emptied when a version comes
    /// into force.
    pub departed_members: BTreeSet<Member>,
    /// The newest replica id ever assigned.
    pub last_replica_id: ReplicaId,
    /// Bounded by [`MAX_COMPLETED_COMMANDS`].
    completed_commands: VecDeque<CompletedCommand>,
    /// The latest proposals and their status; bounded, the oldest are forgotten first.
    pub history: VecDeque<HistoryEntry>,
    /// What every router has to know of the extension's state before it gets a lease.
    pub machines_out: Vec<u8>,
    /// Where `machines_out` last changed.
    pub machines_out_at: Index,
    /// The extension's whole state; only in snapshots.
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
            // The bootstrap itself is the first place: 0 is for routers that know nothing yet.
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
            // Nothing has to be known of it yet: a fleet without an extension grants leases without any report of one.
            machines_out_at: Index(0),
            extension: Vec::new(),
        }
    }

    /// The outcome of a command, if it is still remembered.
    pub fn outcome(&self, op: OperationId) -> Option<&Outcome> {
        self.completed_commands
            .iter()
            .find(|completed| completed.op == op)
            .map(|completed| &completed.outcome)
    }

    /// Whether a change is taking effect: no router admits queries.
    pub fn in_barrier(&self) -> bool {
        self.proposal
            .as_ref()
            .is_some_and(|next| next.barrier.is_some())
    }

    /// The member that has this replica.
    pub fn member_with_replica(&self, replica: ReplicaId) -> Option<&Member> {
        self.members
            .iter()
            .find(|(_, info)| info.replica == Some(replica))
            .map(|(member, _)| member)
    }

    /// Records that an entry of the extension was applied: its result, for the command `op` if it was one, and what every
    /// router has to know from here on.
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
    /// outcome of a command is remembered, also that it is refused.
    pub fn apply(&mut self, index: Index, entry: Entry) {
        self.index = index;
        if matches!(entry, Entry::Extension { .. }) {
            return;
        }
        let records_verdicts = matches!(entry, Entry::Verdicts { .. });
        self.apply_policy_entry(entry);
        // Verdicts matter to the leader alone, until one of them ends the proposal.
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

    /// Applies an operator's command. One that was applied before changes nothing: its outcome stands.
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
