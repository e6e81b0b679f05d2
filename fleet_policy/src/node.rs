//! One router's whole part in the fleet, without I/O: its lease, its seat among the voters if it has one, the register as
//! it has played it, and, while it leads, the chair. A driver says what has come and what time it is, and carries out what
//! comes back, in order. The router and the lab's fleets in virtual time drive the same.

use std::collections::{BTreeMap, VecDeque};

use ternpick::types::Micros;
use ternpick_consensus::{Advanced, Participation, RaftConfig, Replica, ReplicaId, Status};

use crate::extension::{Extension, NoExtension};
use crate::ids::{Index, Member, OperationId};
use crate::leader::{Leader, LeaderAction};
use crate::leader_contact::LeaderContact;
use crate::lease_holder::{LeaseEffect, LeaseHolder};
use crate::messages::{Command, LastLeaderContact, LeaseReply, PeerMessage};
use crate::state_machine::{Entry, MemberInfo, Outcome, PolicyState, Verdict};
use crate::{FleetId, LeaseConfig, Version};

/// One tick of the agreement.
pub const TICK: Micros = Micros(50_000);
/// After a failure to keep something the next try waits so long.
const KEEP_AGAIN: Micros = Micros(200_000);
/// Who votes is compared with what the register says so often.
const SEATS_EVERY: Micros = Micros(100_000);
/// A command that waits for its outcome is said again so often.
const SAY_AGAIN: Micros = Micros(200_000);
/// Commands of others whose outcome is still to be told; the oldest go first.
const MOST_DOING: usize = 64;
/// Turns of news within this router before it looks at time again.
const MOST_ROUNDS: usize = 32;

/// What an operator of this router wants of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorRequest {
    Command(Command),
    Inspect(String),
}

/// What was heard of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorResponse {
    Outcome(Outcome),
    Inspection(String),
}

/// What a driver is to do, in order.
#[derive(Debug)]
pub enum Effect {
    Send(Member, Box<PeerMessage>),
    /// Keep this whole, then say so with [`FleetNode::kept`]. One at a time.
    Persist(Vec<u8>),
    /// Of this router's lease and policy.
    Lease(LeaseEffect),
    /// Somebody asks what the fleet looks like: answer with [`PeerMessage::InspectionResult`].
    Inspect(Member, OperationId, String),
    /// Something was heard of a wish.
    OperatorResponse(OperationId, OperatorResponse),
    Log(LogLevel, String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    Error,
    Info,
    Debug,
}

/// What a router's folder held at its start.
pub enum LoadedReplica {
    Replica(Box<Replica>),
    Missing,
    /// In words; it is left as it is.
    Unusable(String),
}

struct Own {
    wish: OperatorRequest,
    said: Option<Micros>,
    heard: bool,
}

pub struct FleetNode {
    pub me: Member,
    fleet: FleetId,
    terms: LeaseConfig,
    raft_config: RaftConfig,
    pub lease_holder: LeaseHolder,
    pub members: BTreeMap<Member, MemberInfo>,
    seat: Option<Replica>,
    heeds: LeaderContact,
    /// Why there is no seat, where there should be one.
    pub replica_error: Option<String>,
    register: Option<PolicyState>,
    /// A further matter that is agreed on in the same log.
    pub extension: Box<dyn Extension>,
    /// Entries of it that are on their way, and since when: one turn's at a time.
    annexing: Option<(Index, Micros)>,
    /// When the further matter is looked at next: not at each word of each router.
    next_annex: Micros,
    chair: Option<(u64, Leader)>,
    /// Who leads, as far as is known, and whom to ask next otherwise.
    leads: Option<Member>,
    next_ask: usize,
    /// Answers to the chair's questions that wait until what they rest on is played.
    reads: Vec<(u64, u64)>,
    /// Commands of others, by whom; taken off when their outcome is told.
    doing: VecDeque<(OperationId, Member)>,
    /// Wishes of this router's own operators; each is taken off by who asked.
    own: BTreeMap<OperationId, Own>,
    next_tick: Micros,
    next_seats: Micros,
    /// Something is being kept.
    keeping: bool,
    /// Keeping has failed, and is tried again at this time with this.
    failed: Option<(Micros, Vec<u8>)>,
    image: Vec<u8>,
    /// Said within this router.
    home: VecDeque<PeerMessage>,
    acts: Vec<Effect>,
    seeds: u64,
    /// A fault in every chair that it takes.
    #[cfg(any(test, feature = "planted"))]
    pub injected_bug: Option<crate::leader::InjectedBug>,
}

impl FleetNode {
    pub fn new(
        fleet: FleetId,
        terms: LeaseConfig,
        raft_config: RaftConfig,
        keeper: LeaseHolder,
        members: BTreeMap<Member, MemberInfo>,
        seed: u64,
        now: Micros,
    ) -> FleetNode {
        FleetNode {
            me: keeper.me().clone(),
            fleet,
            terms,
            raft_config,
            lease_holder: keeper,
            members,
            seat: None,
            heeds: LeaderContact::starts(now),
            replica_error: None,
            register: None,
            extension: Box::new(NoExtension),
            annexing: None,
            next_annex: now,
            chair: None,
            leads: None,
            next_ask: 0,
            reads: Vec::new(),
            doing: VecDeque::new(),
            own: BTreeMap::new(),
            next_tick: now,
            next_seats: now,
            keeping: false,
            failed: None,
            image: Vec::new(),
            home: VecDeque::new(),
            acts: Vec::new(),
            seeds: seed,
            #[cfg(any(test, feature = "planted"))]
            injected_bug: None,
        }
    }

    /// Takes the seat that the folder holds.
    pub fn start(&mut self, now: Micros, found: LoadedReplica) {
        // Until now another process may have spoken from the same seat.
        self.heeds = LeaderContact::starts(now);
        let votes = self
            .members
            .get(&self.me)
            .is_some_and(|seated| seated.replica.is_some());
        match found {
            LoadedReplica::Replica(seat) => {
                self.register = seat
                    .initial_snapshot()
                    .and_then(|(_, state)| postcard::from_bytes(&state).ok());
                self.log(
                    LogLevel::Info,
                    format!("fleet: {} has seat {}", self.me, seat.id()),
                );
                self.seat = Some(*seat);
            }
            LoadedReplica::Missing if votes => {
                let words = "its state is not there: it takes part without a vote until it is replaced (ternpick fleet \
                             replace)";
                self.log(
                    LogLevel::Error,
                    format!("fleet: {} has a vote, and {words}", self.me),
                );
                self.replica_error = Some(words.to_owned());
            }
            LoadedReplica::Missing => {}
            LoadedReplica::Unusable(words) => {
                self.log(
                    LogLevel::Error,
                    format!("fleet: {} takes part without its vote, {words}", self.me),
                );
                self.replica_error = Some(words);
            }
        }
        self.restored();
    }

    /// The register is another one than was played so far.
    fn restored(&mut self) {
        if let Some(register) = &self.register {
            self.members.clone_from(&register.members);
            self.extension.restore(&register.extension);
            self.extension.members_changed(&register.members);
        }
    }

    pub fn leader(&self) -> Option<&Member> {
        self.leads.as_ref()
    }

    pub fn is_leader(&self) -> bool {
        self.chair.is_some()
    }

    pub fn replica_status(&self) -> Option<Status> {
        self.seat.as_ref().map(Replica::status)
    }

    /// While this router leads.
    pub fn leader_state(&self) -> Option<(&Leader, &PolicyState)> {
        Some((&self.chair.as_ref()?.1, self.register.as_ref()?))
    }

    fn log(&mut self, level: LogLevel, line: String) {
        self.acts.push(Effect::Log(level, line));
    }

    fn say(&mut self, to: &Member, said: PeerMessage) {
        match *to == self.me {
            true => self.home.push_back(said),
            false => self.acts.push(Effect::Send(to.clone(), Box::new(said))),
        }
    }

    /// Whom to ask: the one that leads as far as is known, else one that votes after the other.
    fn whom(&mut self) -> Option<Member> {
        let known = self
            .leads
            .clone()
            .filter(|member| self.members.contains_key(member));
        if known.is_some() {
            return known;
        }
        let voters: Vec<&Member> = self
            .members
            .iter()
            .filter(|(_, of)| of.replica.is_some())
            .map(|(member, _)| member)
            .collect();
        self.next_ask += 1;
        voters
            .get(self.next_ask % voters.len().max(1))
            .map(|member| (*member).clone())
    }

    /// Something has come from another router.
    pub fn step(&mut self, now: Micros, from: &Member, said: PeerMessage) {
        match said {
            PeerMessage::Raft {
                from: seat,
                to,
                word,
            } => {
                // While something cannot be kept, nothing is heard: it could not be answered for.
                if self.failed.is_none() {
                    let own = self.seat.as_mut().filter(|own| own.id() == to);
                    if let Some(term) = own.and_then(|own| own.step(seat, &word)) {
                        self.heeds.takes(now, term);
                    }
                }
            }
            PeerMessage::LeaseRequest(renew) => match (&mut self.chair, &self.register) {
                (Some((_, chair)), Some(register)) => {
                    let orders = chair.handle_request(now, register, renew);
                    self.order(orders);
                }
                _ => {
                    let leads = self
                        .leads
                        .clone()
                        .filter(|member| *member != self.me && member != from);
                    self.say(from, PeerMessage::NotLeader(leads));
                }
            },
            PeerMessage::LeaseReply(told) => {
                if *from != self.me {
                    self.leads = Some(from.clone());
                }
                self.told(now, told);
            }
            PeerMessage::NotLeader(leads) => {
                let news = leads.is_some() && leads != self.leads;
                self.leads = leads.filter(|member| member != from && *member != self.me);
                if news {
                    self.lease_holder.request_at_once();
                }
            }
            PeerMessage::Command { op, command } => self.do_for(now, from, op, command),
            PeerMessage::CommandOutcome { op, outcome } => {
                self.heard(op, OperatorResponse::Outcome(outcome))
            }
            PeerMessage::Inspect { op, what } => match self.chair {
                Some(_) => self.acts.push(Effect::Inspect(from.clone(), op, what)),
                None => {
                    let leads = self
                        .leads
                        .clone()
                        .filter(|member| *member != self.me && member != from);
                    self.say(from, PeerMessage::NotLeader(leads));
                }
            },
            PeerMessage::InspectionResult { op, json } => {
                self.heard(op, OperatorResponse::Inspection(json))
            }
            PeerMessage::Fragment { .. } => {}
        }
    }

    /// The answer to [`Effect::Inspect`].
    pub fn inspection_answered(&mut self, to: &Member, op: OperationId, json: String) {
        self.say(to, PeerMessage::InspectionResult { op, json });
    }

    fn told(&mut self, now: Micros, told: LeaseReply) {
        for effect in self.lease_holder.handle_reply(now, told) {
            match effect {
                LeaseEffect::Members(members) => self.members = members,
                effect => self.acts.push(Effect::Lease(effect)),
            }
        }
    }

    /// The answer to [`LeaseEffect::CheckPolicy`].
    pub fn policy_checked(&mut self, number: Version, verdict: Verdict) {
        self.lease_holder.policy_checked(number, verdict);
    }

    fn heard(&mut self, op: OperationId, heard: OperatorResponse) {
        if let Some(own) = self.own.get_mut(&op) {
            own.heard = true;
            self.acts.push(Effect::OperatorResponse(op, heard));
        }
    }

    /// An operator of this router wants something; it is said until something is heard of it, or it is given up.
    pub fn submit(&mut self, op: OperationId, wish: OperatorRequest) {
        self.own.insert(
            op,
            Own {
                wish,
                said: None,
                heard: false,
            },
        );
    }

    pub fn cancel(&mut self, op: OperationId) {
        self.own.remove(&op);
    }

    /// A command, put into the log once however often it is said; its outcome is told when it is known.
    fn do_for(&mut self, now: Micros, from: &Member, op: OperationId, command: Command) {
        let (Some(_), Some(register), Some(seat)) = (&self.chair, &self.register, &mut self.seat)
        else {
            let leads = self.leads.clone().filter(|member| *member != self.me);
            return self.say(from, PeerMessage::NotLeader(leads));
        };
        if let Some(outcome) = register.outcome(op).cloned() {
            return self.say(from, PeerMessage::CommandOutcome { op, outcome });
        }
        if let Command::Transfer { to } = &command {
            let outcome = match register.members.get(to).and_then(|seated| seated.replica) {
                Some(no) => {
                    seat.transfer_leadership(no);
                    Outcome::Done
                }
                None => Outcome::Refused(format!("{to} has no vote")),
            };
            return self.say(from, PeerMessage::CommandOutcome { op, outcome });
        }
        if self.doing.iter().any(|(of, _)| *of == op) {
            return;
        }
        if let Command::Extension { entry } = &command {
            if let Err(words) = self.extension.check_command(now, entry) {
                return self.say(
                    from,
                    PeerMessage::CommandOutcome {
                        op,
                        outcome: Outcome::Refused(words),
                    },
                );
            }
        }
        let Some(entry) = command.entry(op, self.terms.confirm) else {
            return;
        };
        match seat.propose(postcard::to_stdvec(&entry).unwrap_or_default()) {
            Ok(()) => {
                self.doing.push_back((op, from.clone()));
                while self.doing.len() > MOST_DOING {
                    self.doing.pop_front();
                }
            }
            // It may still be put: whoever asks says it again.
            Err(refused) => self.log(
                LogLevel::Info,
                format!("fleet: a command is not put into the log, {refused}"),
            ),
        }
    }

    fn order(&mut self, orders: Vec<LeaderAction>) {
        for order in orders {
            match order {
                LeaderAction::Propose(entry) => {
                    let bytes = postcard::to_stdvec(&entry).unwrap_or_default();
                    if let Some(Err(refused)) = self.seat.as_mut().map(|seat| seat.propose(bytes)) {
                        self.log(
                            LogLevel::Debug,
                            format!("fleet: an entry is not put, {refused}"),
                        );
                    }
                }
                LeaderAction::ConfirmLeadership(number) => {
                    let term = self.chair.as_ref().map_or(0, |(term, _)| *term);
                    if let Some(seat) = &mut self.seat {
                        seat.read_index(term << 32 | number);
                    }
                }
                LeaderAction::Reply(to, told) => self.say(&to, PeerMessage::LeaseReply(*told)),
                LeaderAction::Log(line) => self.log(LogLevel::Info, line),
            }
        }
    }

    /// Takes or leaves the chair as the seat leads or not.
    fn follow_lead(&mut self, now: Micros) {
        let Some(seat) = &self.seat else {
            self.chair = None;
            return;
        };
        let (term, leader, no) = (seat.term(), seat.leader(), seat.id());
        if seat.is_leader() {
            self.heeds.takes(now, term);
        }
        match &self.register {
            Some(register)
                if seat.is_confirmed_leader()
                    && !matches!(seat.participation(), Participation::Spoilt(_)) =>
            {
                if self.chair.as_ref().is_none_or(|(of, _)| *of != term) {
                    // The votes that made it the leader had come by now: leases that others gave began before.
                    let line = format!(
                        "fleet: {} leads in term {term}, entry {}",
                        self.me, register.index
                    );
                    #[allow(unused_mut)]
                    let mut chair = Leader::new(self.terms, now, register);
                    chair.lease_retention = self.extension.in_flight_grace();
                    self.annexing = None;
                    if let Some(voters) = seat.committed_voters() {
                        chair.elected(term, voters);
                    }
                    #[cfg(any(test, feature = "planted"))]
                    {
                        chair.injected_bug = self.injected_bug;
                    }
                    self.chair = Some((term, chair));
                    self.leads = Some(self.me.clone());
                    self.reads.clear();
                    self.doing.clear();
                    self.log(LogLevel::Info, line);
                }
            }
            _ => {
                if self.chair.take().is_some() {
                    self.leads = None;
                    self.log(
                        LogLevel::Info,
                        format!("fleet: {} leads no longer, term {term}", self.me),
                    );
                }
                if let Some(leader) = leader.filter(|leader| *leader != no) {
                    let holder = self
                        .members
                        .iter()
                        .find(|(_, of)| of.replica == Some(leader));
                    if let Some((member, _)) = holder {
                        self.leads = Some(member.clone());
                    }
                }
            }
        }
    }

    /// What was to be kept is kept, or could not be.
    pub fn persisted(&mut self, now: Micros, kept: Result<(), String>) {
        self.keeping = false;
        match kept {
            Ok(()) => {
                if self.failed.take().is_some() {
                    self.log(LogLevel::Info, "fleet: the state can be kept again".into());
                }
                let done = self.seat.as_mut().map(Replica::advance).unwrap_or_default();
                self.follow_up(now, done);
            }
            Err(words) => {
                if self.failed.is_none() {
                    let line =
                        format!("fleet: the state cannot be kept, nothing is answered until it can: {words}");
                    self.log(LogLevel::Error, line);
                }
                self.failed = Some((now + KEEP_AGAIN, std::mem::take(&mut self.image)));
            }
        }
    }

    /// Keeps what is to be kept, and carries out what follows from what is.
    fn work(&mut self, now: Micros) {
        for _ in 0..MOST_ROUNDS {
            if self.keeping {
                return;
            }
            if let Some((at, image)) = &self.failed {
                if now >= *at {
                    self.image.clone_from(image);
                    self.keeping = true;
                    self.acts.push(Effect::Persist(self.image.clone()));
                }
                return;
            }
            let Some(work) = self.seat.as_mut().and_then(Replica::ready) else {
                return;
            };
            match work.image {
                Some(image) => {
                    self.image.clone_from(&image);
                    self.keeping = true;
                    return self.acts.push(Effect::Persist(image));
                }
                None => {
                    let done = self.seat.as_mut().map(Replica::advance).unwrap_or_default();
                    self.follow_up(now, done);
                }
            }
        }
    }

    fn follow_up(&mut self, now: Micros, done: Advanced) {
        self.play(&done);
        self.reads.extend(&done.confirmed_reads);
        let Some(seat) = &mut self.seat else { return };
        let own = seat.id();
        if let Some(register) = self.register.as_ref().filter(|_| seat.needs_compaction()) {
            let mut of = register.clone();
            of.extension = self.extension.snapshot();
            seat.compact(postcard::to_stdvec(&of).unwrap_or_default());
        }
        for (to, word) in done.messages {
            let holder = self.members.iter().find(|(_, of)| of.replica == Some(to));
            if let Some(member) = holder.map(|(member, _)| member.clone()) {
                self.say(
                    &member,
                    PeerMessage::Raft {
                        from: own,
                        to,
                        word,
                    },
                );
            }
        }
        self.follow_lead(now);
        self.tell_outcomes();
    }

    fn play(&mut self, done: &Advanced) {
        if let Some((_, state)) = &done.restored {
            match postcard::from_bytes(state) {
                Ok(register) => {
                    self.register = Some(register);
                    self.restored();
                }
                Err(e) => self.log(
                    LogLevel::Error,
                    format!("fleet: the agreed state cannot be read, {e}"),
                ),
            }
        }
        let Some(mut register) = self.register.take() else {
            return;
        };
        for (index, bytes) in &done.entries {
            match postcard::from_bytes::<Entry>(bytes) {
                Ok(entry) => self.play_one(&mut register, Index(*index), entry),
                Err(e) => self.log(
                    LogLevel::Error,
                    format!("fleet: entry {index} cannot be read, {e}"),
                ),
            }
        }
        if done.restored.is_some() || !done.entries.is_empty() {
            self.members.clone_from(&register.members);
        }
        self.register = Some(register);
    }

    /// Plays an entry; what it changed is told in one line.
    fn play_one(&mut self, register: &mut PolicyState, index: Index, entry: Entry) {
        let of =
            |register: &PolicyState| register.proposal.as_ref().map(|next| next.document.number);
        let (next, force) = (of(register), register.in_force.number);
        if let Entry::Extension { op, entry } = &entry {
            // A command that was played before is done.
            if op.is_none_or(|op| register.outcome(op).is_none()) {
                let came = self.extension.apply(index, entry);
                register.annexed(index, *op, came, self.extension.machines_out());
            }
        }
        register.apply(index, entry);
        if register.members_at == index {
            self.extension.members_changed(&register.members);
        }
        let now = of(register);
        if let Some(number) = now.filter(|_| now != next) {
            let author = register
                .proposal
                .as_ref()
                .map_or("", |next| next.document.author.as_str());
            self.log(
                LogLevel::Info,
                format!("policy: proposal {number} by '{author}' is on its way, entry {index}"),
            );
        }
        if register.in_force.number != force {
            let number = register.in_force.number;
            self.log(
                LogLevel::Info,
                format!("policy: version {number} is agreed to be in force, entry {index}"),
            );
        } else if let Some(gone) = next.filter(|_| now.is_none()) {
            let fate = register
                .history
                .iter()
                .find(|past| past.number == gone)
                .map(|past| past.status.clone());
            self.log(
                LogLevel::Info,
                format!("policy: proposal {gone} is nowhere, {fate:?}, entry {index}"),
            );
        }
    }

    fn tell_outcomes(&mut self) {
        let Some(register) = &self.register else {
            return;
        };
        let mut known = Vec::new();
        self.doing
            .retain(|(op, member)| match register.outcome(*op) {
                Some(outcome) => {
                    known.push((
                        member.clone(),
                        PeerMessage::CommandOutcome {
                            op: *op,
                            outcome: outcome.clone(),
                        },
                    ));
                    false
                }
                None => true,
            });
        for (member, said) in known {
            self.say(&member, said);
        }
    }

    /// The chair looks what is due, and gets the answers to its questions.
    fn beat(&mut self, now: Micros) {
        let (Some(seat), Some(register), Some((term, chair))) =
            (&self.seat, &self.register, &mut self.chair)
        else {
            return;
        };
        let played = seat.applied_index();
        let (ready, rest): (Vec<_>, Vec<_>) = self
            .reads
            .drain(..)
            .partition(|(_, index)| *index <= played);
        self.reads = rest;
        let mut orders = Vec::new();
        for (number, _) in ready {
            if number >> 32 == *term & 0xffff_ffff {
                orders.extend(chair.leadership_confirmed(now, register, number & 0xffff_ffff));
            }
        }
        orders.extend(chair.tick(now, register));
        self.order(orders);
        self.annex_steps(now);
    }

    /// The further matter goes on: what it wants put, once what it put before is played, or lost.
    fn annex_steps(&mut self, now: Micros) {
        let (Some(register), Some((term, chair))) = (&self.register, &self.chair) else {
            return;
        };
        let played = self
            .annexing
            .take_if(|(index, _)| *index < register.index)
            .is_some();
        self.annexing.take_if(|(_, at)| now.since(*at) > SAY_AGAIN);
        if self.annexing.is_some() || now < self.next_annex && !played {
            return;
        }
        self.next_annex = now + TICK;
        let attended = chair.member_contacts(now, register, &self.extension.departed_members());
        let (steps, lines) = self.extension.next_entries(now, &self.me, *term, &attended);
        if !steps.is_empty() {
            self.annexing = Some((register.index, now));
        }
        lines
            .into_iter()
            .for_each(|line| self.log(LogLevel::Info, line));
        let entries = steps
            .into_iter()
            .map(|entry| LeaderAction::Propose(Entry::Extension { op: None, entry }));
        self.order(entries.collect());
    }

    /// Brings who votes to what the register says, one change at a time.
    fn reconcile(&mut self, now: Micros) {
        if now < self.next_seats {
            return;
        }
        self.next_seats = now + SEATS_EVERY;
        let (Some(seat), Some(register), Some(_)) = (&mut self.seat, &self.register, &self.chair)
        else {
            return;
        };
        let (voters, learners) = register.replica_ids();
        let mut lines = Vec::new();
        match seat.propose_membership(&voters, &learners) {
            Ok(true) => lines.push((
                LogLevel::Info,
                format!("fleet: who votes changes to {voters:?}, learning {learners:?}"),
            )),
            Ok(false) => {}
            Err(refused) => lines.push((
                LogLevel::Debug,
                format!("fleet: who votes cannot change now, {refused}"),
            )),
        }
        for no in learners {
            if seat.learners().contains(&no) && seat.is_caught_up(no) {
                let entry = postcard::to_stdvec(&Entry::Learnt { seat: no }).unwrap_or_default();
                if seat.propose(entry).is_ok() {
                    lines.push((
                        LogLevel::Info,
                        format!("fleet: seat {no} has learnt what was agreed, and is to vote"),
                    ));
                }
            }
        }
        lines
            .into_iter()
            .for_each(|(level, line)| self.log(level, line));
    }

    /// A seat that was just given to this router begins with nothing, as it has promised nothing. Only on the word of one
    /// that surely leads, which a lease in this member's hands shows.
    fn take_new_seat(&mut self, now: Micros) {
        if self.keeping || self.lease_holder.lease_left(now).is_none() {
            return;
        }
        let given = self
            .members
            .get(&self.me)
            .and_then(|of| Some((of.replica?, of.is_learner)));
        let own = self.seat.as_ref().map(Replica::id);
        match given {
            Some((no, true)) if own != Some(no) => {
                self.seeds = self
                    .seeds
                    .wrapping_mul(0x9e37_79b9_7f4a_7c15)
                    .wrapping_add(1);
                match Replica::join(self.fleet, no, self.raft_config, self.seeds) {
                    Ok(seat) => {
                        (self.seat, self.replica_error, self.register) = (Some(seat), None, None);
                        self.heeds = LeaderContact::starts(now);
                        (self.chair, self.failed) = (None, None);
                        self.log(
                            LogLevel::Info,
                            format!("fleet: {} begins in the new seat {no}, and learns", self.me),
                        );
                    }
                    Err(refused) => {
                        self.log(
                            LogLevel::Error,
                            format!("fleet: the new seat {no} cannot be taken, {refused}"),
                        );
                    }
                }
            }
            // Its seat is another's word now, or nobody's: it must not speak from it.
            Some((no, _)) if own.is_some() && own != Some(no) => {
                let words = format!(
                    "its state is of seat {}, the fleet has given it seat {no}",
                    own.unwrap_or_default()
                );
                self.log(
                    LogLevel::Error,
                    format!("fleet: {} takes part without its vote, {words}", self.me),
                );
                (self.seat, self.replica_error, self.chair) = (None, Some(words), None);
            }
            None if own.is_some() => {
                self.log(
                    LogLevel::Info,
                    format!("fleet: {} has no vote any more", self.me),
                );
                (self.seat, self.register, self.chair) = (None, None, None);
            }
            _ => {}
        }
    }

    /// This router's lease: what time has brought, and the next request.
    fn keep_lease(&mut self, now: Micros) {
        if let Some(effect) = self.lease_holder.elapsed(now) {
            self.acts.push(Effect::Lease(effect));
        }
        if self.lease_holder.is_awaiting_reply(now) && self.chair.is_none() {
            self.leads = None;
        }
        if let Some(mut renew) = self.lease_holder.next_request(now) {
            renew.last_leader_contact = self.seat.as_ref().map(|seat| {
                let term = seat.persisted_term();
                LastLeaderContact {
                    replica: seat.id(),
                    term,
                    ago: now.since(self.heeds.before(term)).0,
                }
            });
            if let Some(to) = self.whom() {
                self.say(&to, PeerMessage::LeaseRequest(renew));
            }
        }
    }

    fn say_own(&mut self, now: Micros) {
        let mut due = Vec::new();
        for (op, own) in &mut self.own {
            if !own.heard && own.said.is_none_or(|at| now >= at + SAY_AGAIN) {
                own.said = Some(now);
                due.push(match &own.wish {
                    OperatorRequest::Command(command) => PeerMessage::Command {
                        op: *op,
                        command: command.clone(),
                    },
                    OperatorRequest::Inspect(what) => PeerMessage::Inspect {
                        op: *op,
                        what: what.clone(),
                    },
                });
            }
        }
        for said in due {
            if let Some(to) = self.whom() {
                self.say(&to, said);
            }
        }
    }

    /// One turn, after whatever has come: what is due is done. To be called again when anything comes, and when
    /// [`FleetNode::next_due`] says.
    pub fn tick(&mut self, now: Micros) -> Vec<Effect> {
        // After a stop of any length time goes on with one tick: nobody is voted out for what was not heard meanwhile.
        if now >= self.next_tick {
            if let Some(seat) = self.seat.as_mut().filter(|_| self.failed.is_none()) {
                seat.tick();
            }
            self.next_tick = (self.next_tick + TICK).max(now);
        }
        self.take_new_seat(now);
        for _ in 0..MOST_ROUNDS {
            self.work(now);
            self.follow_lead(now);
            self.beat(now);
            self.reconcile(now);
            self.keep_lease(now);
            self.say_own(now);
            if self.home.is_empty() {
                break;
            }
            let me = self.me.clone();
            for said in std::mem::take(&mut self.home) {
                self.step(now, &me, said);
            }
        }
        std::mem::take(&mut self.acts)
    }

    /// This process is to leave: another voter that is there is to lead.
    pub fn transfer_leadership(&mut self, now: Micros) {
        let Some((_, chair)) = &self.chair else {
            return;
        };
        let register = self.register.as_ref();
        let seen = register
            .map(|register| chair.member_status(now, register))
            .unwrap_or_default();
        let heard = |of: &crate::MemberStatus| of.since_last_contact.unwrap_or(Micros(u64::MAX));
        let others = seen.iter().filter(|of| of.member != self.me);
        let votes = others.filter_map(|of| {
            let seated = register?.members.get(&of.member)?;
            Some((heard(of), seated.replica.filter(|_| !seated.is_learner)?))
        });
        if let (Some((_, to)), Some(seat)) = (votes.min(), &mut self.seat) {
            seat.transfer_leadership(to);
        }
    }

    /// It speaks for its member no more, in this process. What it has of a lease runs on; of the rest nothing stays.
    pub fn suspend(&mut self, now: Micros, seed: u64) {
        let (mut keeper, members) = (self.lease_holder.clone(), self.members.clone());
        keeper.shares(now);
        #[cfg(any(test, feature = "planted"))]
        let planted = self.injected_bug;
        let annex = std::mem::replace(&mut self.extension, Box::new(NoExtension));
        *self = FleetNode::new(
            self.fleet,
            self.terms,
            self.raft_config,
            keeper,
            members,
            seed,
            now,
        );
        self.extension = annex;
        self.extension.restore(&[]);
        #[cfg(any(test, feature = "planted"))]
        {
            self.injected_bug = planted;
        }
    }

    /// Something is being kept just now.
    pub fn is_persisting(&self) -> bool {
        self.keeping
    }

    /// When time alone brings something.
    pub fn next_deadline(&self, now: Micros) -> Micros {
        let mut due = self.lease_holder.next_deadline(now);
        if self.seat.is_some() {
            due = due.min(self.next_tick.max(now));
        }
        if let Some((chair, register)) = self.leader_state() {
            due = due.min(chair.next_deadline(now, register));
        }
        if let Some((at, _)) = self.failed.as_ref().filter(|_| !self.keeping) {
            due = due.min(*at);
        }
        if self.own.values().any(|own| !own.heard) {
            due = due.min(now + SAY_AGAIN);
        }
        due
    }

    /// The seat's number, for a driver that keeps what it has promised.
    pub fn replica_id(&self) -> Option<ReplicaId> {
        self.seat.as_ref().map(Replica::id)
    }
}

/// The agreement's spans for an election that begins after `election` microseconds of silence.
pub fn raft_config(election: u64) -> RaftConfig {
    let election_ticks = usize::try_from(election / TICK.0).unwrap_or(10).max(4);
    RaftConfig {
        election_ticks,
        heartbeat_ticks: (election_ticks / 5).max(1),
        promise_broadcast_ticks: election_ticks * 2,
        ..RaftConfig::default()
    }
}
