//! The register: what the fleet has agreed on, replayed from the log alone. The same entries give the same state on
//! every router, whatever its clock and its chance. `docs/design/policy.md` has the table of states and entries.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, Index, Member, OperationId, ReplicaId, Round, Version};

/// Commands whose outcome is known when they are said again; the oldest go first.
const MOST_DONE: usize = 128;
/// Proposals that are remembered with what became of them; the oldest go first.
const MOST_HISTORY: usize = 32;
/// The longest text of a policy, in bytes.
pub const LONGEST_TEXT: usize = 8 * 1024;
/// The longest words that are kept, in bytes: a reason, or why something was refused.
pub const LONGEST_WORDS: usize = 1024;
/// The most routers of one fleet.
pub const MOST_MEMBERS: usize = 1000;

/// What one member said of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    Fits,
    /// It can't be used there, with the words for it.
    Refused(String),
}

/// A policy and who wanted it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PolicyDocument {
    pub number: Version,
    pub text: String,
    pub author: String,
    pub reason: String,
}

/// What an entry asks for. What no longer fits the state when its turn comes changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// `base`: the version that its author looked at; another in force means that it is refused.
    Propose {
        op: OperationId,
        base: Option<Version>,
        paper: PolicyDocument,
        confirm: bool,
    },
    /// What members said, by who heard them.
    Verdicts {
        number: Version,
        said: Vec<(Member, Verdict)>,
    },
    /// A second person wants it too.
    Confirm {
        op: OperationId,
        number: Version,
        by: String,
    },
    /// All members fit, or their leases are surely over (`without`): every router is to stop admitting.
    Begin {
        number: Version,
        round: Round,
        without: BTreeSet<Member>,
    },
    /// All have stopped, or their leases are surely over.
    InForce {
        number: Version,
        round: Round,
    },
    /// Somebody did not stop in time: all go on as before.
    Resume {
        number: Version,
        round: Round,
    },
    Withdraw {
        op: OperationId,
        number: Version,
        by: String,
        reason: String,
    },
    Enter {
        op: OperationId,
        member: Member,
        address: String,
        zone: String,
    },
    Leave {
        op: OperationId,
        member: Member,
    },
    /// A member is given a new seat in the agreement; any earlier one of its is void.
    Seat {
        op: OperationId,
        member: Member,
    },
    /// A member has a seat no longer.
    Unseat {
        op: OperationId,
        member: Member,
    },
    /// A new seat has learnt what was agreed, and is to vote: from here on it never begins with nothing again.
    Learnt {
        seat: ReplicaId,
    },
    /// Of a further matter ([`crate::Extension`]); some are commands.
    Extension {
        op: Option<OperationId>,
        entry: Vec<u8>,
    },
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    Proposed(Version),
    MemberInfo(ReplicaId),
    Numbered(u64),
    Done,
    Refused(String),
}

/// What became of a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ProposalStatus {
    Open,
    InForce,
    /// Who refused it, and why.
    Refused(Member, String),
    Withdrawn(String, String),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HistoryEntry {
    pub number: Version,
    pub author: String,
    pub reason: String,
    pub status: ProposalStatus,
    /// Where in the log its fate was settled.
    pub at: Index,
}

/// A router that belongs to the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Where other routers reach it.
    pub address: String,
    pub zone: String,
    /// Its seat in the agreement.
    pub replica: Option<ReplicaId>,
    /// The seat is new: it has never voted, and has yet to learn what was agreed.
    pub is_learner: bool,
}

/// A proposal on its way.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PendingProposal {
    pub document: PolicyDocument,
    /// Who fits; one that does not ends the proposal.
    pub accepted_by: BTreeSet<Member>,
    /// It waits for a second person.
    pub unconfirmed: bool,
    /// The last try to take hold.
    pub round: Round,
    /// While it takes hold: members whose leases were surely over when that began.
    pub barrier: Option<BTreeSet<Member>>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PolicyState {
    /// The place of the last entry that is in it.
    pub index: Index,
    /// Where something last changed that every router needs to know.
    pub changed: Index,
    pub epoch: Epoch,
    pub in_force: PolicyDocument,
    pub proposal: Option<PendingProposal>,
    /// The number of the newest proposal ever made.
    pub newest_version: Version,
    pub members: BTreeMap<Member, MemberInfo>,
    /// Where the members last changed.
    pub members_at: Index,
    /// Members that left since the last version came in force: their leases still count. Emptied by it.
    pub left: BTreeSet<Member>,
    /// The newest seat ever given.
    pub last_replica_id: ReplicaId,
    done: VecDeque<(OperationId, Outcome)>,
    pub history: VecDeque<HistoryEntry>,
    /// What every router has to know of the further matter before it gets a lease, and where that last changed.
    pub machines_out: Vec<u8>,
    pub machines_out_at: Index,
    /// The whole of the further matter; only in snapshots.
    pub extension: Vec<u8>,
}

impl PolicyState {
    /// The register of a new fleet: version 0, the platform's own settings.
    pub fn bootstrap(members: BTreeMap<Member, MemberInfo>) -> Self {
        let last_seat = members
            .values()
            .filter_map(|seated| seated.replica)
            .max()
            .unwrap_or_default();
        PolicyState {
            // The founding itself is the first place: 0 is for those that know nothing yet.
            index: Index(1),
            changed: Index(1),
            epoch: Epoch(0),
            in_force: PolicyDocument::default(),
            proposal: None,
            newest_version: Version(0),
            members,
            members_at: Index(1),
            left: BTreeSet::new(),
            last_replica_id: last_seat,
            done: VecDeque::new(),
            history: VecDeque::new(),
            machines_out: Vec::new(),
            // Nothing has to be known of it yet: a fleet without a further matter goes on without a word of one.
            machines_out_at: Index(0),
            extension: Vec::new(),
        }
    }

    /// What became of a command, if it is still remembered.
    pub fn outcome(&self, op: OperationId) -> Option<&Outcome> {
        self.done
            .iter()
            .find(|(of, _)| *of == op)
            .map(|(_, outcome)| outcome)
    }

    /// Whether a change takes hold just now: nobody admits.
    pub fn in_barrier(&self) -> bool {
        self.proposal
            .as_ref()
            .is_some_and(|next| next.barrier.is_some())
    }

    pub fn member_with_replica(&self, seat: ReplicaId) -> Option<&Member> {
        self.members
            .iter()
            .find(|(_, of)| of.replica == Some(seat))
            .map(|(member, _)| member)
    }

    /// An entry of the further matter was played: what it came to, and what every router has to know from here on.
    pub fn annexed(
        &mut self,
        index: Index,
        op: Option<OperationId>,
        came: Result<u64, String>,
        outs: Vec<u8>,
    ) {
        self.index = index;
        if let Some(op) = op {
            let outcome = came.map_or_else(Outcome::Refused, Outcome::Numbered);
            self.remember(op, outcome);
        }
        if outs != self.machines_out {
            (self.machines_out, self.machines_out_at, self.changed) = (outs, index, index);
        }
    }

    fn remember(&mut self, op: OperationId, outcome: Outcome) {
        self.done.push_back((op, outcome));
        while self.done.len() > MOST_DONE {
            self.done.pop_front();
        }
    }

    /// Plays one entry; one of a further matter is [`PolicyState::annexed`]. What it came to is remembered by its command.
    pub fn apply(&mut self, index: Index, entry: Entry) {
        self.index = index;
        if matches!(entry, Entry::Extension { .. }) {
            return;
        }
        let checking = matches!(entry, Entry::Verdicts { .. });
        let (op, outcome) = match entry {
            Entry::Propose {
                op,
                base,
                paper,
                confirm,
            } => (Some(op), self.propose(op, base, paper, confirm)),
            Entry::Confirm { op, number, by } => (Some(op), self.confirm(op, number, &by)),
            Entry::Withdraw {
                op,
                number,
                by,
                reason,
            } => (Some(op), self.withdraw(op, number, by, reason)),
            Entry::Enter {
                op,
                member,
                address,
                zone,
            } => (Some(op), self.enter(op, member, address, zone)),
            Entry::Leave { op, member } => (Some(op), self.leave(op, &member)),
            Entry::Seat { op, member } => (Some(op), self.seat(op, &member)),
            Entry::Unseat { op, member } => (Some(op), self.unseat(op, &member)),
            Entry::Verdicts { number, said } => (None, self.verdicts(number, said)),
            Entry::Begin {
                number,
                round,
                without,
            } => (None, self.begin(number, round, without)),
            Entry::InForce { number, round } => (None, self.come_in_force(number, round)),
            Entry::Learnt { seat } => (None, self.learnt(seat)),
            Entry::Resume { number, round } => (None, self.resume(number, round)),
            Entry::Extension { .. } => (None, None),
        };
        // Who fits is the leader's matter, until somebody does not.
        if !checking || self.proposal.is_none() {
            self.changed = index;
        }
        if let (Some(op), Some(outcome)) = (op, outcome) {
            self.remember(op, outcome);
        }
    }

    /// Nothing where the command was played before: its outcome stands.
    fn once(&self, op: OperationId) -> Option<()> {
        self.outcome(op).is_none().then_some(())
    }

    fn propose(
        &mut self,
        op: OperationId,
        base: Option<Version>,
        mut paper: PolicyDocument,
        confirm: bool,
    ) -> Option<Outcome> {
        self.once(op)?;
        if let Some(next) = &self.proposal {
            let (number, author) = (next.document.number, &next.document.author);
            return Some(Outcome::Refused(format!(
                "proposal {number} by {author} is on its way"
            )));
        }
        if let Some(base) = base.filter(|base| *base != self.in_force.number) {
            let words = format!(
                "it was made from version {base}, in force is {}",
                self.in_force.number
            );
            return Some(Outcome::Refused(words));
        }
        let long = paper.text.len() > LONGEST_TEXT;
        if long || paper.reason.len() + paper.author.len() > LONGEST_WORDS {
            return Some(Outcome::Refused("it is longer than any policy is".into()));
        }
        self.newest_version = Version(self.newest_version.0 + 1);
        paper.number = self.newest_version;
        let past = HistoryEntry {
            number: paper.number,
            author: paper.author.clone(),
            reason: paper.reason.clone(),
            status: ProposalStatus::Open,
            at: self.index,
        };
        self.history.push_back(past);
        while self.history.len() > MOST_HISTORY {
            self.history.pop_front();
        }
        let fits = BTreeSet::new();
        self.proposal = Some(PendingProposal {
            document: paper,
            accepted_by: fits,
            unconfirmed: confirm,
            round: Round(0),
            barrier: None,
        });
        Some(Outcome::Proposed(self.newest_version))
    }

    /// The proposal of this number, if it is the one on its way.
    fn pending(&mut self, number: Version) -> Option<&mut PendingProposal> {
        self.proposal
            .as_mut()
            .filter(|next| next.document.number == number)
    }

    fn settle(&mut self, number: Version, fate: ProposalStatus) {
        if let Some(past) = self.history.iter_mut().find(|past| past.number == number) {
            (past.status, past.at) = (fate, self.index);
        }
    }

    /// What members say counts only while the proposal is looked at; one refusal and it is nowhere.
    fn verdicts(&mut self, number: Version, said: Vec<(Member, Verdict)>) -> Option<Outcome> {
        let members: BTreeSet<Member> = self.members.keys().cloned().collect();
        let next = self.pending(number).filter(|next| next.barrier.is_none())?;
        for (member, verdict) in said
            .into_iter()
            .filter(|(member, _)| members.contains(member))
        {
            match verdict {
                Verdict::Fits => {
                    next.accepted_by.insert(member);
                }
                Verdict::Refused(mut words) => {
                    truncate(&mut words);
                    self.proposal = None;
                    self.settle(number, ProposalStatus::Refused(member, words));
                    return None;
                }
            }
        }
        None
    }

    fn confirm(&mut self, op: OperationId, number: Version, by: &str) -> Option<Outcome> {
        self.once(op)?;
        let Some(next) = self.pending(number) else {
            return Some(Outcome::Refused(format!(
                "proposal {number} is not on its way"
            )));
        };
        if next.document.author == by {
            return Some(Outcome::Refused(format!(
                "{by} made it: somebody else has to confirm it"
            )));
        }
        next.unconfirmed = false;
        Some(Outcome::Done)
    }

    fn begin(
        &mut self,
        number: Version,
        round: Round,
        without: BTreeSet<Member>,
    ) -> Option<Outcome> {
        let members: Vec<Member> = self.members.keys().cloned().collect();
        let next = self
            .pending(number)
            .filter(|next| next.barrier.is_none() && !next.unconfirmed)?;
        let all = members
            .iter()
            .all(|member| next.accepted_by.contains(member) || without.contains(member));
        if all && round.0 == next.round.0 + 1 {
            (next.round, next.barrier) = (round, Some(without));
            self.epoch = Epoch(self.epoch.0 + 1);
        }
        None
    }

    fn come_in_force(&mut self, number: Version, round: Round) -> Option<Outcome> {
        self.pending(number)
            .filter(|next| next.barrier.is_some() && next.round == round)?;
        self.in_force = self.proposal.take()?.document;
        self.epoch = Epoch(self.epoch.0 + 1);
        self.left.clear();
        self.settle(number, ProposalStatus::InForce);
        None
    }

    fn resume(&mut self, number: Version, round: Round) -> Option<Outcome> {
        let next = self
            .pending(number)
            .filter(|next| next.barrier.is_some() && next.round == round)?;
        next.barrier = None;
        self.epoch = Epoch(self.epoch.0 + 1);
        None
    }

    fn withdraw(
        &mut self,
        op: OperationId,
        number: Version,
        by: String,
        reason: String,
    ) -> Option<Outcome> {
        self.once(op)?;
        if self.pending(number).is_none() {
            let words = match self
                .history
                .iter()
                .find(|past| past.number == number)
                .map(|past| &past.status)
            {
                Some(ProposalStatus::InForce) => {
                    "it is in force: to go back, propose the earlier policy anew"
                }
                Some(ProposalStatus::Refused(..)) => "it was refused",
                Some(ProposalStatus::Withdrawn(..)) => "it was withdrawn before",
                _ => "there is no such proposal on its way",
            };
            return Some(Outcome::Refused(format!("proposal {number}: {words}")));
        }
        if self
            .proposal
            .take()
            .is_some_and(|next| next.barrier.is_some())
        {
            self.epoch = Epoch(self.epoch.0 + 1);
        }
        let (mut by, mut reason) = (by, reason);
        truncate(&mut by);
        truncate(&mut reason);
        self.settle(number, ProposalStatus::Withdrawn(by, reason));
        Some(Outcome::Done)
    }

    /// Members change only while no change takes hold: who has to stop stays the same through a round.
    fn fixed(&self) -> Option<Outcome> {
        let words = "a change takes hold just now; ask again in a moment";
        self.in_barrier().then(|| Outcome::Refused(words.into()))
    }

    fn enter(
        &mut self,
        op: OperationId,
        member: Member,
        address: String,
        zone: String,
    ) -> Option<Outcome> {
        self.once(op)?;
        if let Some(refused) = self.fixed() {
            return Some(refused);
        }
        let full = self.members.len() >= MOST_MEMBERS;
        if full
            || member.0.is_empty()
            || member.0.len() + address.len() + zone.len() > LONGEST_WORDS
        {
            return Some(Outcome::Refused(format!(
                "a fleet has at most {MOST_MEMBERS} members, with names"
            )));
        }
        let known = self.members.get(&member);
        let (seat, learns) =
            known.map_or((None, false), |seated| (seated.replica, seated.is_learner));
        self.left.remove(&member);
        self.members.insert(
            member,
            MemberInfo {
                address,
                zone,
                replica: seat,
                is_learner: learns,
            },
        );
        self.members_at = self.index;
        Some(Outcome::Done)
    }

    fn leave(&mut self, op: OperationId, member: &Member) -> Option<Outcome> {
        self.once(op)?;
        if let Some(refused) = self.fixed() {
            return Some(refused);
        }
        match self.members.get(member) {
            None => return Some(Outcome::Refused(format!("{member} is no member"))),
            Some(MemberInfo {
                replica: Some(_), ..
            }) => {
                return Some(Outcome::Refused(format!(
                    "{member} has a vote: take that first"
                )));
            }
            Some(_) => {}
        }
        self.members.remove(member);
        self.left.insert(member.clone());
        if let Some(next) = &mut self.proposal {
            next.accepted_by.remove(member);
        }
        self.members_at = self.index;
        Some(Outcome::Done)
    }

    fn seat(&mut self, op: OperationId, member: &Member) -> Option<Outcome> {
        self.once(op)?;
        let number = ReplicaId(self.last_replica_id.0 + 1);
        let Some(seated) = self.members.get_mut(member) else {
            return Some(Outcome::Refused(format!("{member} is no member")));
        };
        (seated.replica, seated.is_learner) = (Some(number), true);
        (self.last_replica_id, self.members_at) = (number, self.index);
        Some(Outcome::MemberInfo(number))
    }

    fn learnt(&mut self, seat: ReplicaId) -> Option<Outcome> {
        let seated = self
            .members
            .values_mut()
            .find(|seated| seated.replica == Some(seat) && seated.is_learner)?;
        seated.is_learner = false;
        self.members_at = self.index;
        None
    }

    /// Who votes, and who learns to: what the agreement's own list of voters is to become.
    pub fn replica_ids(&self) -> (Vec<ReplicaId>, Vec<ReplicaId>) {
        let of = |learns: bool| {
            let held = self
                .members
                .values()
                .filter(move |seated| seated.is_learner == learns);
            let mut all: Vec<ReplicaId> = held.filter_map(|seated| seated.replica).collect();
            all.sort_unstable();
            all
        };
        (of(false), of(true))
    }

    fn unseat(&mut self, op: OperationId, member: &Member) -> Option<Outcome> {
        self.once(op)?;
        let voters = self.replica_ids().0;
        let Some(seated) = self.members.get_mut(member) else {
            return Some(Outcome::Refused(format!("{member} is no member")));
        };
        if voters.len() == 1 && seated.replica == Some(voters[0]) {
            return Some(Outcome::Refused(format!("{member} is the last that votes")));
        }
        (seated.replica, seated.is_learner) = (None, false);
        self.members_at = self.index;
        Some(Outcome::Done)
    }
}

/// Cuts words to the most that is kept, at a character's end.
fn truncate(words: &mut String) {
    let mut end = words.len().min(LONGEST_WORDS);
    while !words.is_char_boundary(end) {
        end -= 1;
    }
    words.truncate(end);
}
