//! A seat: one voter, or one that learns to be. A thin border round raft-rs: time and chance go in, and nothing that rests
//! on what is not yet kept comes out.

use std::collections::VecDeque;
use std::panic::{catch_unwind, AssertUnwindSafe};

use nanorand::{Rng, WyRand};
use protobuf::Message as _;
use raft::eraftpb::{
    ConfChangeSingle, ConfChangeType, ConfChangeV2, Entry, EntryType, Message, MessageType,
    Snapshot,
};
use raft::{Config, RawNode, SnapshotStatus, StateRole};
use serde::{Deserialize, Serialize};

use crate::log_storage::{LogStorage, PersistedState};
use crate::peer_promises::{PeerPromises, Promise};
use crate::{ConsensusError, FleetId, RaftConfig, ReplicaId};

/// What seats say to each other.
#[derive(Debug, Serialize, Deserialize)]
enum PeerMessage {
    Raft(Vec<u8>),
    /// A seat that has started asks what it has promised.
    Roll(Promise),
    Seen(Promise),
    /// What the one that leads knows of everybody's promises.
    Promises(Vec<(ReplicaId, Promise)>),
}

/// Whether the seat takes part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Participation {
    /// It asks the others what it has promised; so many have answered.
    Proving(Vec<ReplicaId>),
    TakesPart,
    /// Its state cannot be used. It says nothing more, and has to be replaced.
    Spoilt(String),
}

/// What goes into the core.
enum Input {
    Tick,
    Heard(Message),
    Put(Vec<u8>),
    Ask(u64),
    Transfer(ReplicaId),
}

/// Something to keep before [`Replica::kept`] says what follows from it.
pub struct Ready {
    /// The image to keep; none: nothing has changed in it.
    pub image: Option<Vec<u8>>,
}

/// What follows once the work is kept.
#[derive(Debug, Default)]
pub struct Advanced {
    pub messages: Vec<(ReplicaId, Vec<u8>)>,
    /// The whole state up to a place, in place of all before.
    pub restored: Option<(u64, Vec<u8>)>,
    /// Entries that are agreed, with their places.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// Questions ([`Replica::ask`]) that are answered: this seat led when they were put, and the entries up to the place
    /// are to be played before they count.
    pub confirmed_reads: Vec<(u64, u64)>,
}

/// How a seat stands; for people and for the driver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    pub replica_id: ReplicaId,
    pub term: u64,
    pub is_leader: bool,
    pub leader: Option<ReplicaId>,
    pub last_index: u64,
    pub committed_index: u64,
    pub applied_index: u64,
    pub voters: Vec<ReplicaId>,
    pub learners: Vec<ReplicaId>,
    pub participation: String,
}

pub struct Replica {
    raft: RawNode<LogStorage>,
    fleet: FleetId,
    no: ReplicaId,
    boots: u64,
    terms: RaftConfig,
    chance: WyRand,
    standing: Participation,
    /// What this seat knew of itself when it started.
    opened: Promise,
    peer_promises: PeerPromises,
    ticks: u64,
    /// The state of the election that the present time-out was drawn for.
    drawn: (u64, u64, StateRole),
    ready: Option<raft::Ready>,
    /// What came while work was being kept: the core may not hear it before. Bounded; what is too much is lost.
    meanwhile: VecDeque<Input>,
    /// Words beside the log's own, to go out with the next work.
    aside: Vec<(ReplicaId, PeerMessage)>,
    changed: bool,
    conf_changed: bool,
    played: u64,
    /// The term that is kept: no word of an earlier one's leader is ever taken again, by no process of this seat.
    kept_term: u64,
}

/// Messages and ticks that wait while work is being kept.
const MOST_MEANWHILE: usize = 256;

fn config(no: ReplicaId, applied: u64, terms: &RaftConfig) -> Config {
    Config {
        id: no.0,
        applied,
        election_tick: terms.election_ticks,
        min_election_tick: terms.election_ticks,
        max_election_tick: terms.election_ticks * 2,
        heartbeat_tick: terms.heartbeat_ticks,
        max_size_per_msg: terms.max_message_bytes,
        max_inflight_msgs: 16,
        max_uncommitted_size: terms.max_message_bytes * 8,
        max_committed_size_per_ready: terms.max_message_bytes * 4,
        // A leader that hears no majority steps down, and one that was cut off does not disturb the others on its return.
        check_quorum: true,
        pre_vote: true,
        ..Config::default()
    }
}

impl Replica {
    /// The image of a seat at the founding of a fleet: all voters begin from the same.
    pub fn bootstrap(
        fleet: FleetId,
        no: ReplicaId,
        voters: &[ReplicaId],
        state: Vec<u8>,
    ) -> Vec<u8> {
        let mut snapshot = Snapshot::default();
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (1, 1);
        meta.mut_conf_state().voters = voters.iter().map(|replica| replica.0).collect();
        snapshot.data = state.into();
        let mut log_storage = LogStorage::default();
        log_storage.restore(snapshot);
        log_storage.image(fleet, no, 0, &PeerPromises::default())
    }

    /// A seat that was just given to a member: it has promised nothing, and votes only once the others have made it a
    /// voter. To be used only where the agreed state says that the seat is new.
    pub fn join(
        fleet: FleetId,
        no: ReplicaId,
        terms: RaftConfig,
        seed: u64,
    ) -> Result<Replica, ConsensusError> {
        let opened = PersistedState {
            fleet,
            replica: no,
            boots: 0,
            log_storage: LogStorage::default(),
            peer_promises: PeerPromises::default(),
        };
        Self::of(opened, terms, seed)
    }

    /// A seat as it was kept. One of another fleet, or another seat, is refused with words.
    pub fn open(
        image: &[u8],
        fleet: FleetId,
        terms: RaftConfig,
        seed: u64,
    ) -> Result<Replica, ConsensusError> {
        let opened = LogStorage::open(image).map_err(ConsensusError::Corrupt)?;
        if opened.fleet != fleet {
            return Err(ConsensusError::OtherFleet {
                found: opened.fleet,
                wanted: fleet,
            });
        }
        Self::of(opened, terms, seed)
    }

    fn of(opened: PersistedState, terms: RaftConfig, seed: u64) -> Result<Replica, ConsensusError> {
        let PersistedState {
            fleet,
            replica: no,
            boots,
            log_storage,
            peer_promises,
        } = opened;
        if no.0 == 0 {
            return Err(ConsensusError::Corrupt("seat 0 is none".into()));
        }
        let applied = log_storage.snapshot.get_metadata().index;
        let last = log_storage.last();
        let own = Promise {
            term: log_storage.hard.term,
            vote: log_storage.hard.vote,
            last: (log_storage.term_at(last).unwrap_or_default(), last),
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raft = RawNode::new(&config(no, applied, &terms), log_storage, &logger)
            .map_err(|error| ConsensusError::Corrupt(error.to_string()))?;
        let mut replica = Replica {
            raft,
            fleet,
            no,
            boots: boots + 1,
            terms,
            chance: WyRand::new_seed(seed),
            standing: Participation::Proving(Vec::new()),
            opened: own,
            peer_promises,
            ticks: 0,
            drawn: (u64::MAX, 0, StateRole::Follower),
            ready: None,
            meanwhile: VecDeque::new(),
            aside: Vec::new(),
            changed: true,
            conf_changed: false,
            played: applied,
            kept_term: own.term,
        };
        replica.draw();
        // What it knows of itself from others, kept beside its own state, has to agree with that.
        let own_witness = replica.peer_promises.of(no);
        if let Some(words) = own_witness.beyond(&own) {
            return Err(ConsensusError::Outdated(words));
        }
        replica.prove();
        Ok(replica)
    }

    pub fn id(&self) -> ReplicaId {
        self.no
    }

    pub fn participation(&self) -> &Participation {
        &self.standing
    }

    /// The state that the log began from, and its place; to be played first.
    pub fn initial_snapshot(&self) -> Option<(u64, Vec<u8>)> {
        let snapshot = &self.raft.store().snapshot;
        let index = snapshot.get_metadata().index;
        (index > 0).then(|| (index, snapshot.data.to_vec()))
    }

    pub fn is_leader(&self) -> bool {
        self.standing == Participation::TakesPart && self.raft.raft.state == StateRole::Leader
    }

    /// Whether it leads, and all that was agreed before it did is known to be agreed.
    pub fn is_confirmed_leader(&self) -> bool {
        self.is_leader() && self.raft.raft.commit_to_current_term()
    }

    /// How far the entries that came out have gone.
    pub fn applied_index(&self) -> u64 {
        self.played
    }

    pub fn leader(&self) -> Option<ReplicaId> {
        Some(ReplicaId(self.raft.raft.leader_id)).filter(|replica| replica.0 != 0)
    }

    pub fn term(&self) -> u64 {
        self.raft.raft.term
    }

    /// The term in which it is for good, whatever happens to this process.
    pub fn persisted_term(&self) -> u64 {
        self.kept_term
    }

    /// Those that vote, where who votes does not change just now.
    pub fn committed_voters(&self) -> Option<Vec<ReplicaId>> {
        self.raft
            .store()
            .conf
            .get_voters_outgoing()
            .is_empty()
            .then(|| self.voters())
    }

    fn numbers(of: &[u64]) -> Vec<ReplicaId> {
        let mut all: Vec<ReplicaId> = of.iter().map(|no| ReplicaId(*no)).collect();
        all.sort_unstable();
        all
    }

    /// Those whose votes count now, with those whose count is coming or going.
    pub fn voters(&self) -> Vec<ReplicaId> {
        let conf = &self.raft.store().conf;
        let mut all = Self::numbers(&[conf.get_voters(), conf.get_voters_outgoing()].concat());
        all.dedup();
        all
    }

    pub fn learners(&self) -> Vec<ReplicaId> {
        let conf = &self.raft.store().conf;
        Self::numbers(&[conf.get_learners(), conf.get_learners_next()].concat())
    }

    pub fn status(&self) -> Status {
        let store = self.raft.store();
        let standing = match &self.standing {
            Participation::Proving(heard) => {
                format!("asking what it has promised, {} have answered", heard.len())
            }
            Participation::TakesPart => "takes part".to_owned(),
            Participation::Spoilt(words) => format!("spoilt: {words}"),
        };
        Status {
            replica_id: self.no,
            term: self.term(),
            is_leader: self.is_leader(),
            leader: self.leader(),
            last_index: store.last(),
            committed_index: self.raft.raft.raft_log.committed,
            applied_index: self.played,
            voters: self.voters(),
            learners: self.learners(),
            participation: standing,
        }
    }

    /// A time-out by this seat's own chance, drawn anew whenever an election could begin anew.
    fn draw(&mut self) {
        let raft = &mut self.raft.raft;
        let now = (raft.term, raft.leader_id, raft.state);
        if now != self.drawn {
            self.drawn = now;
            let ticks = self.terms.election_ticks;
            raft.set_randomized_election_timeout(self.chance.generate_range(ticks..ticks * 2));
        }
    }

    /// Enough others have said that it has promised nothing that it does not know.
    fn prove(&mut self) {
        let Participation::Proving(heard) = &self.standing else {
            return;
        };
        let voters = self.voters();
        let others = heard
            .iter()
            .filter(|replica| voters.contains(replica))
            .count();
        // One whose vote does not count can promise nothing that matters.
        let votes = voters.contains(&self.no);
        if !votes || others + 1 > voters.len() / 2 {
            self.standing = Participation::TakesPart;
        }
    }

    fn spoil(&mut self, words: String) {
        self.standing = Participation::Spoilt(words);
        self.aside.clear();
    }

    /// One tick of the clock has passed.
    pub fn tick(&mut self) {
        self.ticks += 1;
        match &self.standing {
            Participation::Spoilt(_) => {}
            Participation::Proving(heard) => {
                if self.ticks % self.terms.heartbeat_ticks as u64 == 1 {
                    let heard = heard.clone();
                    let others = self
                        .voters()
                        .into_iter()
                        .filter(|replica| *replica != self.no && !heard.contains(replica));
                    let asks: Vec<_> = others
                        .map(|replica| (replica, PeerMessage::Roll(self.opened)))
                        .collect();
                    self.aside.extend(asks);
                }
            }
            Participation::TakesPart => {
                self.apply_input(Input::Tick);
                if self.is_leader()
                    && self
                        .ticks
                        .is_multiple_of(self.terms.promise_broadcast_ticks as u64)
                {
                    self.spread();
                }
            }
        }
        self.draw();
    }

    /// What is known of everybody's promises goes to every voter: one that asks need not ask the very seat it promised.
    fn spread(&mut self) {
        let (voters, learners) = (self.voters(), self.learners());
        self.peer_promises
            .keep_only(&[voters.clone(), learners].concat());
        let own = self.promise();
        self.peer_promises.join(self.no, own);
        let all = self.peer_promises.all();
        let others = voters.into_iter().filter(|replica| *replica != self.no);
        self.aside
            .extend(others.map(|replica| (replica, PeerMessage::Promises(all.clone()))));
    }

    fn promise(&self) -> Promise {
        let store = self.raft.store();
        let last = store.last();
        let (term, vote) = (store.hard.term, store.hard.vote);
        Promise {
            term,
            vote,
            last: (store.term_at(last).unwrap_or_default(), last),
        }
    }

    /// Runs the core; what it cannot bear spoils this seat and nothing else.
    fn guarded(&mut self, run: impl FnOnce(&mut RawNode<LogStorage>) -> raft::Result<()>) {
        let raft = &mut self.raft;
        let ran = catch_unwind(AssertUnwindSafe(|| run(raft)));
        if ran.is_err() {
            self.spoil("the agreement's core could not go on from its state".into());
        }
    }

    /// Something has come from another seat. What makes no sense is passed over. The term comes back of one that leads and
    /// whose word is taken.
    pub fn step(&mut self, from: ReplicaId, bytes: &[u8]) -> Option<u64> {
        if matches!(self.standing, Participation::Spoilt(_)) {
            return None;
        }
        match postcard::from_bytes::<PeerMessage>(bytes).ok()? {
            PeerMessage::Roll(promise) => {
                self.peer_promises.join(from, promise);
                let known = self.peer_promises.of(from);
                self.aside.push((from, PeerMessage::Seen(known)));
            }
            PeerMessage::Seen(promise) => {
                if let Participation::Proving(heard) = &mut self.standing {
                    if let Some(words) = promise.beyond(&self.opened) {
                        self.spoil(format!("it is an older copy: {words}"));
                        return None;
                    }
                    if !heard.contains(&from) {
                        heard.push(from);
                    }
                    self.prove();
                }
            }
            PeerMessage::Promises(all) => {
                for (replica, promise) in all.into_iter().filter(|(replica, _)| *replica != self.no)
                {
                    self.peer_promises.join(replica, promise);
                }
            }
            PeerMessage::Raft(bytes) => return self.hear_raft(from, &bytes),
        }
        None
    }

    fn hear_raft(&mut self, from: ReplicaId, bytes: &[u8]) -> Option<u64> {
        let mut message = Message::default();
        if message.merge_from_bytes(bytes).is_err()
            || message.from != from.0
            || message.to != self.no.0
        {
            return None;
        }
        let kind = message.get_msg_type();
        // Only what seats say to each other; the core's own words come from nobody else.
        if raft::raw_node::is_local_msg(kind) || kind == MessageType::MsgPropose {
            return None;
        }
        // An answer to this very term's leader tells which entry it means; to an earlier one's it may mean another.
        let (store, term) = (self.raft.store(), self.term());
        let leads = self.raft.raft.state == StateRole::Leader && message.term == term;
        self.peer_promises.heard(from, &message, |index| {
            store.term_at(index).filter(|_| leads)
        });
        if self.standing != Participation::TakesPart {
            return None;
        }
        // A leader never says that more is agreed here than this seat has answered for.
        let last = self.raft.raft.raft_log.last_index();
        if kind == MessageType::MsgHeartbeat && message.commit > last && message.term >= self.term()
        {
            let words = format!(
                "it has answered for entry {}, its own end at {last}",
                message.commit
            );
            self.spoil(format!("it is an older copy: {words}"));
            return None;
        }
        let leads = [
            MessageType::MsgHeartbeat,
            MessageType::MsgAppend,
            MessageType::MsgSnapshot,
        ]
        .contains(&kind);
        let heeded = (leads && message.term >= self.term()).then_some(message.term);
        self.apply_input(Input::Heard(message));
        heeded
    }

    /// Something for the core; at once, or once the work that is being kept is: it bears nothing in between.
    fn apply_input(&mut self, input: Input) {
        if self.ready.is_some() {
            if self.meanwhile.len() < MOST_MEANWHILE {
                self.meanwhile.push_back(input);
            }
            return;
        }
        self.guarded(|raft| {
            match input {
                Input::Tick => {
                    raft.tick();
                }
                Input::Heard(message) => raft.step(message)?,
                Input::Put(data) => raft.propose(vec![], data)?,
                Input::Ask(number) => raft.read_index(number.to_le_bytes().to_vec()),
                Input::Transfer(to) => raft.transfer_leader(to.0),
            }
            Ok(())
        });
        self.draw();
    }

    /// Puts an entry into the log, if this seat leads. Whether it is agreed is known when it comes out, not before.
    pub fn propose(&mut self, data: Vec<u8>) -> Result<(), ConsensusError> {
        if !self.is_leader() {
            return Err(ConsensusError::LeadsNot);
        }
        if data.len() as u64 > self.terms.max_entry_bytes {
            return Err(ConsensusError::TooLong {
                length: data.len() as u64,
                most: self.terms.max_entry_bytes,
            });
        }
        self.apply_input(Input::Put(data));
        Ok(())
    }

    /// Asks whether this seat leads still; see [`Advanced::answered`]. A question may stay without an answer.
    pub fn read_index(&mut self, number: u64) {
        if self.is_leader() {
            self.apply_input(Input::Ask(number));
        }
    }

    /// Brings voters and learners to what is wanted, jointly; one change at a time. Nothing where nothing differs.
    pub fn propose_membership(
        &mut self,
        voters: &[ReplicaId],
        learners: &[ReplicaId],
    ) -> Result<bool, ConsensusError> {
        let conf = &self.raft.store().conf;
        if !self.is_leader()
            || self.ready.is_some()
            || !conf.get_voters_outgoing().is_empty()
            || voters.is_empty()
        {
            return Ok(false);
        }
        let (have_voters, have_learners) = (self.voters(), self.learners());
        let single = |kind: ConfChangeType, replica: ReplicaId| {
            let mut single = ConfChangeSingle::default();
            single.set_change_type(kind);
            single.node_id = replica.0;
            single
        };
        let mut changes = Vec::new();
        for replica in voters
            .iter()
            .filter(|replica| !have_voters.contains(replica))
        {
            changes.push(single(ConfChangeType::AddNode, *replica));
        }
        for replica in learners
            .iter()
            .filter(|replica| !have_learners.contains(replica))
        {
            changes.push(single(ConfChangeType::AddLearnerNode, *replica));
        }
        for replica in have_voters.iter().chain(&have_learners) {
            if !voters.contains(replica) && !learners.contains(replica) {
                changes.push(single(ConfChangeType::RemoveNode, *replica));
            }
        }
        if changes.is_empty() {
            return Ok(false);
        }
        let mut change = ConfChangeV2::default();
        change.set_changes(changes.into());
        self.raft
            .propose_conf_change(vec![], change)
            .map_err(|error| ConsensusError::NotNow(error.to_string()))?;
        Ok(true)
    }

    /// Whether a seat that learns has all that is agreed, nearly.
    pub fn is_caught_up(&self, replica: ReplicaId) -> bool {
        let raft = &self.raft.raft;
        raft.prs()
            .get(replica.0)
            .is_some_and(|progress| progress.matched + 4 >= raft.raft_log.committed)
    }

    /// Passes the lead on, if it can be.
    pub fn transfer_leadership(&mut self, to: ReplicaId) {
        if self.is_leader() {
            self.apply_input(Input::Transfer(to));
        }
    }

    /// Whether the entries kept are many, or who votes has changed: then the state up to what was played goes in their
    /// place. A seat that is new learns nothing from a state in which it has no place.
    pub fn needs_compaction(&self) -> bool {
        if self.conf_changed {
            return true;
        }
        let store = self.raft.store();
        self.played.saturating_sub(store.first()) >= self.terms.max_log_entries
    }

    /// The state after all that was played.
    pub fn compact(&mut self, state: Vec<u8>) {
        let played = self.played;
        self.conf_changed = false;
        self.raft.mut_store().compact(played, state);
        self.changed = true;
    }

    /// What is to be kept next, if anything waits. Until [`Replica::kept`] is called nothing more comes out.
    pub fn ready(&mut self) -> Option<Ready> {
        if self.ready.is_some() {
            return None;
        }
        let takes_part = self.standing == Participation::TakesPart;
        if takes_part && self.raft.has_ready() {
            let mut made = None;
            self.guarded(|raft| {
                made = Some(raft.ready());
                Ok(())
            });
            let ready = made?;
            let store = self.raft.mut_store();
            if *ready.snapshot() != Snapshot::default() {
                store.restore(ready.snapshot().clone());
                self.changed = true;
            }
            if !ready.entries().is_empty() {
                store.append(ready.entries());
                self.changed = true;
            }
            if let Some(hard) = ready.hs() {
                self.changed |= (hard.term, hard.vote) != (store.hard.term, store.hard.vote);
                store.hard = hard.clone();
            }
            self.ready = Some(ready);
        } else if self.aside.is_empty() && !self.changed {
            return None;
        } else {
            self.ready = None;
        }
        let keeps = std::mem::take(&mut self.changed);
        let image = keeps.then(|| {
            self.raft
                .store()
                .image(self.fleet, self.no, self.boots, &self.peer_promises)
        });
        Some(Ready { image })
    }

    /// The work is kept: this follows.
    pub fn advance(&mut self) -> Advanced {
        let mut done = Advanced::default();
        self.kept_term = self.raft.store().hard.term;
        for (to, word) in std::mem::take(&mut self.aside) {
            done.messages
                .push((to, postcard::to_stdvec(&word).unwrap_or_default()));
        }
        let Some(mut ready) = self.ready.take() else {
            return done;
        };
        let snapshot = ready.snapshot();
        if *snapshot != Snapshot::default() {
            let index = snapshot.get_metadata().index;
            done.restored = Some((index, snapshot.data.to_vec()));
            self.played = index;
        }
        let mut messages = ready.take_messages();
        messages.extend(ready.take_persisted_messages());
        let mut entries = ready.take_committed_entries();
        for read in ready.take_read_states() {
            if let Ok(number) = <[u8; 8]>::try_from(read.request_ctx.as_slice()) {
                done.confirmed_reads
                    .push((u64::from_le_bytes(number), read.index));
            }
        }
        let mut light = None;
        self.guarded(|raft| {
            light = Some(raft.advance(ready));
            Ok(())
        });
        if let Some(mut light) = light {
            messages.extend(light.take_messages());
            entries.extend(light.take_committed_entries());
            if let Some(commit) = light.commit_index() {
                self.raft.mut_store().hard.commit = commit;
            }
        }
        self.play(entries, &mut done);
        self.guarded(|raft| {
            raft.advance_apply();
            Ok(())
        });
        for message in messages {
            let to = ReplicaId(message.to);
            if message.get_msg_type() == MessageType::MsgSnapshot {
                // It may be lost on the way: the core waits for no word of it, and sees by the answers what is missing.
                self.guarded(|raft| {
                    raft.report_snapshot(to.0, SnapshotStatus::Finish);
                    Ok(())
                });
            }
            let word = PeerMessage::Raft(message.write_to_bytes().unwrap_or_default());
            done.messages
                .push((to, postcard::to_stdvec(&word).unwrap_or_default()));
        }
        self.draw();
        for input in std::mem::take(&mut self.meanwhile) {
            self.apply_input(input);
        }
        done
    }

    fn play(&mut self, entries: Vec<Entry>, done: &mut Advanced) {
        for entry in entries {
            self.played = entry.index;
            match entry.get_entry_type() {
                EntryType::EntryNormal if entry.data.is_empty() => {}
                EntryType::EntryNormal => done.entries.push((entry.index, entry.data.to_vec())),
                EntryType::EntryConfChange => {}
                EntryType::EntryConfChangeV2 => {
                    let mut change = ConfChangeV2::default();
                    if change.merge_from_bytes(&entry.data).is_err() {
                        continue;
                    }
                    let mut conf = None;
                    self.guarded(|raft| {
                        conf = Some(raft.apply_conf_change(&change)?);
                        Ok(())
                    });
                    if let Some(conf) = conf {
                        self.raft.mut_store().conf = conf;
                        self.conf_changed = true;
                    }
                }
            }
        }
    }
}
