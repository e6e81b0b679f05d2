//! One router's part in the fleet, without I/O: its lease holder, its replica of the log if it has one, the policy state as
//! applied from that log, and, while it leads, the leader. A driver hands over messages and the time
//! ([`FleetNode::step`], [`FleetNode::tick`]) and carries out the effects that come back, in order. The router and the
//! simulation's fleets in virtual time drive the same code.
//!
//! [`replication`] drives the replica and applies entries, [`leadership`] the leader, [`membership`] changes who votes,
//! [`lease_renewal`] requests leases, and [`operator_requests`] passes operators' commands on.

mod leadership;
mod lease_renewal;
mod membership;
mod operator_requests;
mod replication;

use std::collections::{BTreeMap, VecDeque};

use ternpick::types::Micros;
use ternpick_consensus::{FleetId, RaftConfig, Replica, ReplicaId, Status};

use crate::effects::{Effect, LoadedReplica, LogLevel};
use crate::extension::{Extension, NoExtension};
use crate::ids::{Member, OperationId, Version};
#[cfg(any(test, feature = "planted"))]
use crate::injected_bug::InjectedLeaderBug;
use crate::leader::Leader;
use crate::leader_contact::LeaderContact;
use crate::lease_config::LeaseConfig;
use crate::lease_holder::LeaseHolder;
use crate::messages::PeerMessage;
use crate::state_machine::{MemberInfo, PolicyState, Verdict};
use leadership::{ExtensionSchedule, Leadership, PendingRead};
use operator_requests::{CommandInProgress, OwnRequest};
use replication::Persistence;

/// One tick of the consensus replica.
pub const TICK: Micros = Micros(50_000);
/// Rounds of messages to itself in one turn, before the node looks at the time again.
const MAX_ROUNDS_PER_TURN: usize = 32;

/// One router's part in the fleet.
pub struct FleetNode {
    /// This router.
    pub me: Member,
    fleet: FleetId,
    config: LeaseConfig,
    raft_config: RaftConfig,
    /// This router's lease and its view of the policy.
    pub lease_holder: LeaseHolder,
    /// The routers of the fleet as far as is known here.
    pub members: BTreeMap<Member, MemberInfo>,
    replica: Option<Replica>,
    leader_contact: LeaderContact,
    /// Why there is no replica where there should be one; for operators.
    pub replica_error: Option<String>,
    state: Option<PolicyState>,
    /// A second state machine on the same log.
    pub extension: Box<dyn Extension>,
    extension_schedule: ExtensionSchedule,
    leadership: Option<Leadership>,
    /// The leader, as far as is known.
    known_leader: Option<Member>,
    /// Which voter is asked next where no leader is known.
    next_voter: usize,
    /// Confirmations of the leadership that wait until the entries before them are applied.
    pending_reads: Vec<PendingRead>,
    /// Commands that are proposed; taken out when their outcome is sent. Bounded.
    commands_in_progress: VecDeque<CommandInProgress>,
    /// Requests of this router's operators; each is taken out by who submitted it.
    own_requests: BTreeMap<OperationId, OwnRequest>,
    next_tick: Micros,
    next_membership_check: Micros,
    persistence: Persistence,
    /// Messages to itself.
    local_messages: VecDeque<PeerMessage>,
    effects: Vec<Effect>,
    seed: u64,
    /// A fault of every leader that this router becomes.
    #[cfg(any(test, feature = "planted"))]
    pub injected_bug: Option<InjectedLeaderBug>,
}

impl FleetNode {
    /// A node without a replica; [`FleetNode::start`] hands over the one that was stored. `seed` is for the replica's
    /// election timeouts.
    pub fn new(
        fleet: FleetId,
        config: LeaseConfig,
        raft_config: RaftConfig,
        lease_holder: LeaseHolder,
        members: BTreeMap<Member, MemberInfo>,
        seed: u64,
        now: Micros,
    ) -> FleetNode {
        FleetNode {
            me: lease_holder.me().clone(),
            fleet,
            config,
            raft_config,
            lease_holder,
            members,
            replica: None,
            leader_contact: LeaderContact::at_start(now),
            replica_error: None,
            state: None,
            extension: Box::new(NoExtension),
            extension_schedule: ExtensionSchedule::starting_at(now),
            leadership: None,
            known_leader: None,
            next_voter: 0,
            pending_reads: Vec::new(),
            commands_in_progress: VecDeque::new(),
            own_requests: BTreeMap::new(),
            next_tick: now,
            next_membership_check: now,
            persistence: Persistence::default(),
            local_messages: VecDeque::new(),
            effects: Vec::new(),
            seed,
            #[cfg(any(test, feature = "planted"))]
            injected_bug: None,
        }
    }

    /// Takes the replica that the folder holds.
    pub fn start(&mut self, now: Micros, loaded: LoadedReplica) {
        // Until now another process may have spoken for the same replica.
        self.leader_contact = LeaderContact::at_start(now);
        match loaded {
            LoadedReplica::Replica(replica) => self.start_replica(*replica),
            LoadedReplica::Missing => self.start_without_state(),
            LoadedReplica::Unusable(reason) => {
                self.log(
                    LogLevel::Error,
                    format!("fleet: {} takes part without its vote, {reason}", self.me),
                );
                self.replica_error = Some(reason);
            }
        }
        self.state_replaced();
    }

    fn start_replica(&mut self, replica: Replica) {
        self.state = replica
            .initial_snapshot()
            .and_then(|(_, state)| postcard::from_bytes(&state).ok());
        self.log(
            LogLevel::Info,
            format!("fleet: {} has replica {}", self.me, replica.id()),
        );
        self.replica = Some(replica);
    }

    fn start_without_state(&mut self) {
        let has_replica = self
            .members
            .get(&self.me)
            .is_some_and(|info| info.replica.is_some());
        if !has_replica {
            return;
        }
        let reason = "its state is not there: it takes part without a vote until it is replaced (ternpick fleet replace)";
        self.log(
            LogLevel::Error,
            format!("fleet: {} has a vote, and {reason}", self.me),
        );
        self.replica_error = Some(reason.to_owned());
    }

    /// The leader, as far as is known.
    pub fn leader(&self) -> Option<&Member> {
        self.known_leader.as_ref()
    }

    /// Whether this router leads.
    pub fn is_leader(&self) -> bool {
        self.leadership.is_some()
    }

    /// The replica's state, for operators.
    pub fn replica_status(&self) -> Option<Status> {
        self.replica.as_ref().map(Replica::status)
    }

    /// The replica that this router has, for a driver that stores its promises.
    pub fn replica_id(&self) -> Option<ReplicaId> {
        self.replica.as_ref().map(Replica::id)
    }

    /// The leader's state and the policy state; only while this router leads.
    pub fn leader_state(&self) -> Option<(&Leader, &PolicyState)> {
        let leadership = self.leadership.as_ref()?;
        Some((&leadership.leader, self.state.as_ref()?))
    }

    fn log(&mut self, level: LogLevel, line: String) {
        self.effects.push(Effect::Log(level, line));
    }

    fn send(&mut self, to: &Member, message: PeerMessage) {
        if *to == self.me {
            self.local_messages.push_back(message);
        } else {
            self.effects
                .push(Effect::Send(to.clone(), Box::new(message)));
        }
    }

    /// A message of another router has come.
    pub fn step(&mut self, now: Micros, from: &Member, message: PeerMessage) {
        if !matches!(message, PeerMessage::Raft { .. }) {
            self.note_peer_alive(from);
        }
        match message {
            PeerMessage::Raft {
                from: sender,
                to,
                message: word,
            } => self.step_replica(now, sender, to, &word),
            PeerMessage::LeaseRequest(request) => self.handle_lease_request(now, from, request),
            PeerMessage::LeaseReply(reply) => self.handle_lease_reply(now, from, reply),
            PeerMessage::NotLeader(leader) => self.handle_not_leader(from, leader),
            PeerMessage::Command { op, command } => self.handle_command(now, from, op, command),
            PeerMessage::CommandOutcome { op, outcome } => self.handle_outcome(op, outcome),
            PeerMessage::Inspect { op, question } => self.handle_inspect(from, op, question),
            PeerMessage::InspectionResult { op, json } => self.handle_inspection_result(op, json),
            PeerMessage::Fragment { .. } => {}
        }
    }

    /// The answer to [`crate::LeaseEffect::CheckPolicy`].
    pub fn policy_checked(&mut self, number: Version, verdict: Verdict) {
        self.lease_holder.policy_checked(number, verdict);
    }

    /// One turn, after whatever has come: does what is due. To be called again when anything comes, and when
    /// [`FleetNode::next_deadline`] says.
    pub fn tick(&mut self, now: Micros) -> Vec<Effect> {
        // After a stop of any length time goes on with one tick: no leader is voted out for messages that could not be
        // received meanwhile.
        if now >= self.next_tick {
            self.tick_replica();
            self.next_tick = (self.next_tick + TICK).max(now);
        }
        self.adopt_assigned_replica(now);
        for _ in 0..MAX_ROUNDS_PER_TURN {
            self.drive_replica(now);
            self.follow_replica_role(now);
            self.tick_leader(now);
            self.propose_membership(now);
            self.renew_lease(now);
            self.send_own_requests(now);
            if self.local_messages.is_empty() {
                break;
            }
            let me = self.me.clone();
            for message in std::mem::take(&mut self.local_messages) {
                self.step(now, &me, message);
            }
        }
        std::mem::take(&mut self.effects)
    }

    /// This process no longer speaks for its member. Its lease stays valid until its end; nothing else stays.
    pub fn suspend(&mut self, now: Micros, seed: u64) {
        let mut lease_holder = self.lease_holder.clone();
        lease_holder.note_other_process(now);
        let mut suspended = FleetNode::new(
            self.fleet,
            self.config,
            self.raft_config,
            lease_holder,
            self.members.clone(),
            seed,
            now,
        );
        suspended.extension = std::mem::replace(&mut self.extension, Box::new(NoExtension));
        suspended.extension.restore(&[]);
        #[cfg(any(test, feature = "planted"))]
        {
            suspended.injected_bug = self.injected_bug;
        }
        *self = suspended;
    }

    /// When time alone brings something.
    pub fn next_deadline(&self, now: Micros) -> Micros {
        let mut deadline = self.lease_holder.next_deadline(now);
        if self.replica.is_some() {
            deadline = deadline.min(self.next_tick.max(now));
        }
        if let Some((leader, state)) = self.leader_state() {
            deadline = deadline.min(leader.next_deadline(now, state));
        }
        if let Some(retry_at) = self.persistence.retry_at() {
            deadline = deadline.min(retry_at);
        }
        if self.awaits_response() {
            deadline = deadline.min(now + operator_requests::RETRY_AFTER);
        }
        deadline
    }
}

/// The replica's timing for an election that begins after `election` microseconds without a message of the leader.
pub fn raft_config(election: u64) -> RaftConfig {
    let election_ticks = usize::try_from(election / TICK.0).unwrap_or(10).max(4);
    RaftConfig {
        election_ticks,
        heartbeat_ticks: (election_ticks / 5).max(1),
        promise_broadcast_ticks: election_ticks * 2,
        ..RaftConfig::default()
    }
}
