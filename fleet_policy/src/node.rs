//! One router's part in the fleet, without I/O: its lease holder, its replica of the log if it has one, the policy state
//! that results from that log, and, while the router leads, the leader. A driver passes in messages and the time
//! ([`FleetNode::step`], [`FleetNode::tick`]) and carries out the returned effects in order. The router and the
//! simulation's fleets in virtual time drive the same code.
//!
//! [`replication`] drives the replica and applies entries, [`leadership`] drives the leader, [`membership`] changes the
//! voters, [`lease_renewal`] requests leases, and [`operator_requests`] forwards operators' commands and questions.

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

/// The interval between ticks of the consensus replica.
pub const TICK: Micros = Micros(50_000);
/// The maximum number of rounds in one turn in which the node handles messages to itself or drives its replica.
const MAX_ROUNDS_PER_TURN: usize = 32;

/// One router's part in the fleet.
pub struct FleetNode {
    /// The name of this router.
    pub me: Member,
    fleet: FleetId,
    config: LeaseConfig,
    raft_config: RaftConfig,
    /// This router's lease and its view of the policy.
    pub lease_holder: LeaseHolder,
    /// The members of the fleet as known to this router.
    pub members: BTreeMap<Member, MemberInfo>,
    replica: Option<Replica>,
    leader_contact: LeaderContact,
    /// Why this router runs no replica although one is assigned to it, for operators.
    pub replica_error: Option<String>,
    state: Option<PolicyState>,
    /// A second state machine on the same log.
    pub extension: Box<dyn Extension>,
    extension_schedule: ExtensionSchedule,
    leadership: Option<Leadership>,
    /// The leader, if this router knows one.
    known_leader: Option<Member>,
    /// The position of the voter to which requests go next while no leader is known.
    next_voter: usize,
    /// Confirmations of the leadership that wait until the entries committed before them are applied.
    pending_reads: Vec<PendingRead>,
    /// Proposed commands whose outcome has not been sent yet. Bounded.
    commands_in_progress: VecDeque<CommandInProgress>,
    /// Requests of this router's operators; the driver removes each with [`FleetNode::cancel`].
    own_requests: BTreeMap<OperationId, OwnRequest>,
    next_tick: Micros,
    next_membership_check: Micros,
    persistence: Persistence,
    /// Messages of this node to itself.
    local_messages: VecDeque<PeerMessage>,
    effects: Vec<Effect>,
    seed: u64,
    /// A bug that tests inject into each [`Leader`] that this node creates.
    #[cfg(any(test, feature = "planted"))]
    pub injected_bug: Option<InjectedLeaderBug>,
}

impl FleetNode {
    /// A node without a replica; [`FleetNode::start`] starts the stored one. `seed` determines the election timeouts of
    /// replicas that the node creates.
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

    /// Starts the replica that was loaded from the router's folder, if there is one.
    pub fn start(&mut self, now: Micros, loaded: LoadedReplica) {
        // Until now another process may have run the same replica.
        self.leader_contact = LeaderContact::at_start(now);
        match loaded {
            LoadedReplica::Replica(replica) => self.start_replica(*replica),
            LoadedReplica::Missing => self.start_without_state(),
            LoadedReplica::Unusable(reason) => {
                self.log(
                    LogLevel::Error,
                    format!("fleet: {} takes part without a vote: {reason}", self.me),
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
        let reason = "its stored state is missing: it takes part without a vote until its replica is replaced (ternpick fleet replace)";
        self.log(
            LogLevel::Error,
            format!("fleet: {} has a replica assigned, but {reason}", self.me),
        );
        self.replica_error = Some(reason.to_owned());
    }

    /// The leader, if this router knows one.
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

    /// The id of this router's replica, for a driver that stores the replica's promises.
    pub fn replica_id(&self) -> Option<ReplicaId> {
        self.replica.as_ref().map(Replica::id)
    }

    /// The leader's state and the policy state; `None` unless this router leads.
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

    /// Handles a message of another router.
    pub fn step(&mut self, now: Micros, from: &Member, message: PeerMessage) {
        if !matches!(message, PeerMessage::Raft { .. }) {
            self.note_peer_alive(from);
        }
        match message {
            PeerMessage::Raft {
                from: sender,
                to,
                message,
            } => self.step_replica(now, sender, to, &message),
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

    /// Records the result of [`crate::LeaseEffect::CheckPolicy`].
    pub fn policy_checked(&mut self, number: Version, verdict: Verdict) {
        self.lease_holder.policy_checked(number, verdict);
    }

    /// Runs one turn: does what is due, and returns the effects. Must be called after each call of another method that
    /// changes the node, and at [`FleetNode::next_deadline`].
    pub fn tick(&mut self, now: Micros) -> Vec<Effect> {
        // After a pause of any length the replica gets a single tick: otherwise it would start an election because of
        // messages that this process could not receive during the pause.
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

    /// Makes this process stop acting for its member. It keeps its lease until the lease's end, its view and the known
    /// members; the replica and everything else are dropped.
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

    /// When [`FleetNode::tick`] must be called next even if the node receives nothing.
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

/// The timing of a replica that starts an election after `election_timeout_us` without a message of the leader.
pub fn raft_config(election_timeout_us: u64) -> RaftConfig {
    let election_ticks = usize::try_from(election_timeout_us / TICK.0)
        .unwrap_or(10)
        .max(4);
    RaftConfig {
        election_ticks,
        heartbeat_ticks: (election_ticks / 5).max(1),
        promise_broadcast_ticks: election_ticks * 2,
        ..RaftConfig::default()
    }
}
