//! Creates and drops the [`Leader`] as this router's replica gains and loses the leadership, carries out the leader's
//! actions, and proposes the extension's entries.

use ternpick::types::Micros;
use ternpick_consensus::{Participation, Replica};

use super::replication::encode;
use super::{FleetNode, TICK};
use crate::effects::LogLevel;
use crate::ids::Index;
use crate::leader::{Leader, LeaderAction, MemberStatus};
use crate::messages::PeerMessage;
use crate::state_machine::Entry;

/// How long an entry of the extension may be in flight before the next one is proposed.
const EXTENSION_RETRY_AFTER: Micros = Micros(200_000);

/// The leader that this router runs in one term.
pub(super) struct Leadership {
    term: u64,
    pub(super) leader: Leader,
}

/// A confirmation of the leadership: it is valid once the entries up to `index` are applied.
pub(super) struct PendingRead {
    pub(super) id: u64,
    pub(super) index: u64,
}

/// The id of a read request: the lower half is the leader's own number, the upper half is the lower half of the term. So
/// a confirmation that was requested in an earlier term is recognized.
fn read_id(term: u64, number: u64) -> u64 {
    term << 32 | number
}

impl PendingRead {
    fn is_of_term(&self, term: u64) -> bool {
        self.id >> 32 == term & 0xffff_ffff
    }

    fn number(&self) -> u64 {
        self.id & 0xffff_ffff
    }
}

/// When the extension is called for entries next. The entries of at most one call are in flight at a time.
pub(super) struct ExtensionSchedule {
    in_flight: Option<ExtensionEntries>,
    /// The earliest time of the next call, so that the extension is not called for each received message.
    next_at: Micros,
}

struct ExtensionEntries {
    /// The index of the state for which they were proposed.
    state_index: Index,
    proposed_at: Micros,
}

impl ExtensionSchedule {
    pub(super) fn starting_at(now: Micros) -> ExtensionSchedule {
        ExtensionSchedule {
            in_flight: None,
            next_at: now,
        }
    }

    /// Whether to call the extension now: at once after its entries were applied, otherwise at intervals.
    fn is_due(&mut self, now: Micros, applied: Index) -> bool {
        let were_applied = self
            .in_flight
            .take_if(|entries| entries.state_index < applied)
            .is_some();
        self.in_flight
            .take_if(|entries| now.since(entries.proposed_at) > EXTENSION_RETRY_AFTER);
        self.in_flight.is_none() && (were_applied || now >= self.next_at)
    }
}

impl FleetNode {
    /// Starts or ends leading if the replica has gained or lost the leadership.
    pub(super) fn follow_replica_role(&mut self, now: Micros) {
        let Some(replica) = &self.replica else {
            self.leadership = None;
            return;
        };
        let term = replica.term();
        if replica.is_leader() {
            self.leader_contact.accepted(now, term);
        }
        let is_unusable = matches!(replica.participation(), Participation::Faulted(_));
        if replica.is_confirmed_leader() && !is_unusable && self.state.is_some() {
            self.lead(now, term);
        } else {
            self.follow(term);
        }
    }

    fn lead(&mut self, now: Micros, term: u64) {
        let is_known = self
            .leadership
            .as_ref()
            .is_some_and(|leadership| leadership.term == term);
        let (Some(replica), Some(state)) = (&self.replica, &self.state) else {
            return;
        };
        // Set in each turn: a late reply from before the election may have replaced the known leader by another one, or
        // by none. A leader that relied on such a reply sent its own lease requests to one voter after the other, was
        // late for its own barriers by hundreds of milliseconds, and got no lease because of that.
        self.known_leader = Some(self.me.clone());
        if is_known {
            return;
        }
        let line = format!(
            "fleet: {} leads in term {term}, entry {}",
            self.me, state.index
        );
        // The votes for this leader were received before now, so all leases of earlier leaders were requested before now.
        let mut leader = Leader::new(self.config, now, state);
        leader.lease_retention = self.extension.in_flight_grace();
        if let Some(voters) = replica.committed_voters() {
            leader.set_election(term, voters);
        }
        #[cfg(any(test, feature = "planted"))]
        {
            leader.injected_bug = self.injected_bug;
        }
        self.extension_schedule.in_flight = None;
        self.leadership = Some(Leadership { term, leader });
        self.pending_reads.clear();
        self.commands_in_progress.clear();
        self.log(LogLevel::Info, line);
    }

    fn follow(&mut self, term: u64) {
        if self.leadership.take().is_some() {
            self.known_leader = None;
            self.log(
                LogLevel::Info,
                format!("fleet: {} no longer leads, term {term}", self.me),
            );
        }
        let own = self.replica_id();
        let leader = self.replica.as_ref().and_then(Replica::leader);
        let Some(leader) = leader.filter(|leader| Some(*leader) != own) else {
            return;
        };
        if let Some(member) = self.member_with_replica(leader) {
            self.known_leader = Some(member.clone());
        }
    }

    /// Passes the confirmations that have become valid to the leader, and carries out the actions that are due.
    pub(super) fn tick_leader(&mut self, now: Micros) {
        let (Some(replica), Some(state), Some(leadership)) =
            (&self.replica, &self.state, &mut self.leadership)
        else {
            return;
        };
        let applied = replica.applied_index();
        let (ready, waiting): (Vec<_>, Vec<_>) = self
            .pending_reads
            .drain(..)
            .partition(|read| read.index <= applied);
        self.pending_reads = waiting;
        let mut actions = Vec::new();
        for read in ready {
            if read.is_of_term(leadership.term) {
                let confirmed = leadership
                    .leader
                    .leadership_confirmed(now, state, read.number());
                actions.extend(confirmed);
            }
        }
        actions.extend(leadership.leader.tick(now, state));
        self.execute(actions);
        self.propose_extension_entries(now);
    }

    pub(super) fn execute(&mut self, actions: Vec<LeaderAction>) {
        for action in actions {
            match action {
                LeaderAction::Propose(entry) => self.propose(&entry),
                LeaderAction::ConfirmLeadership(number) => self.confirm_leadership(number),
                LeaderAction::Reply(to, reply) => self.send(&to, PeerMessage::LeaseReply(*reply)),
                LeaderAction::Log(line) => self.log(LogLevel::Info, line),
            }
        }
    }

    fn propose(&mut self, entry: &Entry) {
        let Some(replica) = &mut self.replica else {
            return;
        };
        if let Err(error) = replica.propose(encode(entry)) {
            self.log(
                LogLevel::Debug,
                format!("fleet: an entry of the leader cannot be proposed: {error}"),
            );
        }
    }

    fn confirm_leadership(&mut self, number: u64) {
        let term = self
            .leadership
            .as_ref()
            .map_or(0, |leadership| leadership.term);
        if let Some(replica) = &mut self.replica {
            replica.read_index(read_id(term, number));
        }
    }

    fn propose_extension_entries(&mut self, now: Micros) {
        let (Some(state), Some(leadership)) = (&self.state, &self.leadership) else {
            return;
        };
        if !self.extension_schedule.is_due(now, state.index) {
            return;
        }
        self.extension_schedule.next_at = now + TICK;
        let departed = self.extension.departed_members();
        let contacts = leadership.leader.member_contacts(now, state, &departed);
        let (entries, lines) =
            self.extension
                .next_entries(now, &self.me, leadership.term, &contacts);
        if !entries.is_empty() {
            self.extension_schedule.in_flight = Some(ExtensionEntries {
                state_index: state.index,
                proposed_at: now,
            });
        }
        for line in lines {
            self.log(LogLevel::Info, line);
        }
        for entry in entries {
            self.propose(&Entry::Extension { op: None, entry });
        }
    }

    /// Transfers the leadership to the voter whose last request is the most recent. Called before this process leaves
    /// the fleet or stops.
    pub fn transfer_leadership(&mut self, now: Micros) {
        let Some((leader, state)) = self.leader_state() else {
            return;
        };
        let since_contact =
            |status: &MemberStatus| status.since_last_contact.unwrap_or(Micros(u64::MAX));
        let successor = leader
            .member_status(now, state)
            .iter()
            .filter(|status| status.member != self.me)
            .filter_map(|status| {
                let info = state.members.get(&status.member)?;
                let voter = info.replica.filter(|_| !info.is_learner)?;
                Some((since_contact(status), voter))
            })
            .min();
        if let (Some((_, voter)), Some(replica)) = (successor, &mut self.replica) {
            replica.transfer_leadership(voter);
        }
    }
}
