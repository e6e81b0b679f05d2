//! What the router that leads keeps while it does: whom it has heard, which leases it gave, and which step of a change
//! comes next. All of it may be lost: a new one learns it anew, and waits out the leases that others gave.

use std::collections::{BTreeMap, BTreeSet};

use ternpick::types::Micros;

use crate::extension::MemberContact;
use crate::ids::{Incarnation, Index, Member, ReplicaId, Round, Seq, Version};
use crate::lease_config::LeaseConfig;
use crate::messages::{LastLeaderContact, LeaseGrant, LeaseReply, LeaseRequest, View};
use crate::state_machine::{Entry, PendingProposal, PolicyState, Verdict};

/// Processes of one member whose leases may run at a time; one more gets none before the oldest is over.
const MOST_PROCESSES: usize = 8;
/// Patience doubles with each round, so many times at most.
const LONGEST_PATIENCE: u64 = 5;
/// How long an entry, or a question to the others, may be on its way before it is put again.
const PUT_AGAIN: Micros = Micros(300_000);

/// What the driver is to do, in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaderAction {
    /// Put an entry into the log.
    Propose(Entry),
    /// Make sure that this router leads still, and tell with [`Leader::confirmed`].
    ConfirmLeadership(u64),
    Reply(Member, Box<LeaseReply>),
    Log(String),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Heard {
    incarnation: Incarnation,
    seq: Seq,
    at: Micros,
    verdict: Option<(Version, Verdict)>,
    stopped: Option<(Version, Round)>,
    alone: bool,
    index: Index,
    members_at: Index,
    outs_at: Index,
    word: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Waiting {
    incarnation: Incarnation,
    seq: Seq,
    came: Micros,
    unfit: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leader {
    terms: LeaseConfig,
    /// Leases that others gave began before: from when on this router leads, or earlier by its voters' word.
    since: Micros,
    /// The term in which it leads and who voted then; what each has said of when it last took an earlier leader's word.
    elected: (u64, Vec<ReplicaId>),
    heeded: BTreeMap<ReplicaId, Micros>,
    /// Leases are remembered for so long past their end.
    pub lease_retention: Micros,
    /// One entry a member.
    heard: BTreeMap<Member, Heard>,
    /// When the last request that got a lease had come, by process; emptied as leases run out.
    leases: BTreeMap<(Member, Incarnation), Micros>,
    /// Requests to be answered once it is sure that this router leads; one a member.
    waiting: BTreeMap<Member, Waiting>,
    /// Those that the question on its way covers, with its number and when it was put.
    asked: Option<(u64, Micros, BTreeMap<Member, Waiting>)>,
    last_ask: u64,
    /// An entry on its way: for which state of the register, and since when.
    put: Option<(Index, Micros)>,
    /// It is one from which on nobody gets a lease.
    beginning: bool,
    /// When the round that runs was first seen.
    round_seen: Option<(Version, Round, Micros)>,
    /// Those that did not stop in time: no lease for them before the change is over.
    late: BTreeSet<Member>,
    /// The state that was last pushed to all.
    pushed: Index,
    #[cfg(any(test, feature = "planted"))]
    pub injected_bug: Option<InjectedBug>,
}

/// Faults that tests must catch.
#[cfg(any(test, feature = "planted"))]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedBug {
    /// A change takes hold without waiting for leases that may still run.
    NoWait,
    /// Leases are given without asking whether this router leads still.
    NoAsking,
    /// A new one does not wait out the leases of the one before.
    ForgetsOthers,
    /// It believes one voter alone about when leases of others can have begun.
    OneVotersWord,
}

impl Leader {
    /// This router leads, and has heard so at `now`.
    pub fn new(terms: LeaseConfig, now: Micros, register: &PolicyState) -> Leader {
        Leader {
            terms,
            since: now,
            elected: (0, Vec::new()),
            heeded: BTreeMap::new(),
            lease_retention: Micros(0),
            heard: BTreeMap::new(),
            leases: BTreeMap::new(),
            waiting: BTreeMap::new(),
            asked: None,
            last_ask: 0,
            put: None,
            beginning: false,
            round_seen: None,
            late: BTreeSet::new(),
            pushed: register.changed,
            #[cfg(any(test, feature = "planted"))]
            injected_bug: None,
        }
    }

    /// It leads in this term by the votes of most of these.
    pub fn elected(&mut self, term: u64, voters: Vec<ReplicaId>) {
        self.elected = (term, voters);
    }

    /// Whoever led before gave no lease that was asked for after most voters had last taken its word: one of those
    /// would have had to confirm it. Seen: two silent, one of them the leader; a change waited for the election as well.
    fn dates_back(&mut self, now: Micros, of: LastLeaderContact) {
        let (term, voters) = &self.elected;
        if of.term != *term || !voters.contains(&of.replica) {
            return;
        }
        let last = Micros(now.0.saturating_sub(self.terms.by_slowest_clock(of.ago).0));
        self.heeded
            .entry(of.replica)
            .and_modify(|known| *known = last.min(*known))
            .or_insert(last);
        let mut times: Vec<Micros> = self.heeded.values().copied().collect();
        times.sort_unstable();
        let majority = voters.len() / 2;
        #[cfg(any(test, feature = "planted"))]
        let majority = if self.has(InjectedBug::OneVotersWord) {
            0
        } else {
            majority
        };
        if let Some(time) = times.get(majority) {
            self.since = self.since.min(*time);
        }
    }

    #[cfg(any(test, feature = "planted"))]
    fn has(&self, fault: InjectedBug) -> bool {
        self.injected_bug == Some(fault)
    }

    /// A router asks.
    pub fn handle_request(
        &mut self,
        now: Micros,
        register: &PolicyState,
        of: LeaseRequest,
    ) -> Vec<LeaderAction> {
        if !register.members.contains_key(&of.member) {
            return vec![LeaderAction::Reply(
                of.member,
                Box::new(LeaseReply {
                    not_a_member: true,
                    ..LeaseReply::default()
                }),
            )];
        }
        // What came late or twice says less than what is known.
        let newer = |heard: &Heard| heard.incarnation != of.incarnation || heard.seq < of.seq;
        if !self.heard.get(&of.member).is_none_or(newer) {
            return vec![];
        }
        let heard = Heard {
            incarnation: of.incarnation,
            seq: of.seq,
            at: now,
            verdict: of.verdict,
            stopped: of.paused_for,
            alone: of.is_only_process,
            index: of.index,
            members_at: of.members_at,
            outs_at: of.machines_out_at,
            word: of.extension_report,
        };
        let waiting = Waiting {
            incarnation: of.incarnation,
            seq: of.seq,
            came: now,
            unfit: of.unfit.is_some(),
        };
        if let Some(heeded) = of.last_leader_contact {
            self.dates_back(now, heeded);
        }
        self.heard.insert(of.member.clone(), heard);
        self.waiting.insert(of.member, waiting);
        self.tick(now, register)
    }

    /// Whether no lease of this member, given by whomever, can still run; `but`: apart from this process's own.
    fn over(&self, now: Micros, member: &Member, but: Option<Incarnation>) -> bool {
        self.over_for(now, member, but, Micros(0))
    }

    /// The same, and whether none has for so long.
    fn over_for(
        &self,
        now: Micros,
        member: &Member,
        but: Option<Incarnation>,
        longer: Micros,
    ) -> bool {
        let span = self.terms.certainly_expired_after() + longer;
        let own = self
            .leases
            .iter()
            .filter(|((of, process), _)| of == member && Some(*process) != but);
        let mut own_over = own.map(|(_, came)| *came).all(|came| now > came + span);
        let mut others_over = now > self.since + span;
        #[cfg(any(test, feature = "planted"))]
        {
            others_over |= self.has(InjectedBug::ForgetsOthers) || self.has(InjectedBug::NoWait);
            own_over |= self.has(InjectedBug::NoWait);
        }
        let _ = (&mut own_over, &mut others_over);
        own_over && others_over
    }

    /// Whether this member surely admits nothing more in this round.
    fn has_stopped(&self, now: Micros, member: &Member, next: &PendingProposal) -> bool {
        let round = Some((next.document.number, next.round));
        let Some(heard) = self
            .heard
            .get(member)
            .filter(|heard| heard.stopped == round)
        else {
            return self.over(now, member, None);
        };
        heard.alone || self.over(now, member, Some(heard.incarnation))
    }

    fn is_fresh(&self, now: Micros, member: &Member) -> bool {
        let span = self.terms.contact_is_recent_for();
        !self.late.contains(member)
            && self
                .heard
                .get(member)
                .is_some_and(|heard| now.since(heard.at) < span)
    }

    /// This router led still when the question with this number was put, and the register is as new as that.
    pub fn leadership_confirmed(
        &mut self,
        now: Micros,
        register: &PolicyState,
        ask: u64,
    ) -> Vec<LeaderAction> {
        let Some((_, _, covered)) = self.asked.take_if(|(number, ..)| *number == ask) else {
            return vec![];
        };
        let orders = self.grant(now, register, covered);
        orders.into_iter().chain(self.tick(now, register)).collect()
    }

    fn grant(
        &mut self,
        now: Micros,
        register: &PolicyState,
        to: BTreeMap<Member, Waiting>,
    ) -> Vec<LeaderAction> {
        let span = self.terms.certainly_expired_after() + self.lease_retention;
        self.leases.retain(|_, came| now <= *came + span);
        let mut orders = Vec::new();
        for (member, waiting) in to {
            let may = !waiting.unfit && self.may_have(register, &member, waiting.incarnation);
            let grant = may.then_some(LeaseGrant {
                incarnation: waiting.incarnation,
                seq: waiting.seq,
                epoch: register.epoch,
                version: register.in_force.number,
            });
            if may {
                self.leases
                    .insert((member.clone(), waiting.incarnation), waiting.came);
            }
            let told = self.told(register, &member, grant);
            orders.push(LeaderAction::Reply(member, Box::new(told)));
        }
        orders
    }

    /// Leases go to members that are through with the proposal on its way, and to nobody while it takes hold.
    fn may_have(&self, register: &PolicyState, member: &Member, process: Incarnation) -> bool {
        let known = self.leases.contains_key(&(member.clone(), process));
        let processes = self.leases.keys().filter(|(of, _)| of == member).count();
        if self
            .heard
            .get(member)
            .is_none_or(|heard| heard.outs_at < register.machines_out_at)
        {
            return false;
        }
        if !register.members.contains_key(member)
            || (self.put.is_some() && self.beginning)
            || !known && processes >= MOST_PROCESSES
        {
            return false;
        }
        match &register.proposal {
            None => true,
            Some(next) => {
                next.barrier.is_none()
                    && next.accepted_by.contains(member)
                    && !self.late.contains(member)
            }
        }
    }

    fn told(
        &mut self,
        register: &PolicyState,
        member: &Member,
        grant: Option<LeaseGrant>,
    ) -> LeaseReply {
        let (known, members) = self
            .heard
            .get(member)
            .map_or((Index(0), Index(0)), |h| (h.index, h.members_at));
        let view = (known < register.changed).then(|| View::of(register));
        let members = (members < register.members_at).then(|| register.members.clone());
        LeaseReply {
            view,
            members,
            grant,
            not_a_member: false,
        }
    }

    /// Looks what is to be done now. To be called after each entry that was played, and every few milliseconds.
    pub fn tick(&mut self, now: Micros, register: &PolicyState) -> Vec<LeaderAction> {
        let mut orders = Vec::new();
        self.put
            .take_if(|(index, at)| *index < register.index || now.since(*at) > PUT_AGAIN);
        self.follow_round(now, register);
        if let (None, Some(next)) = (self.put, &register.proposal) {
            let step = if next.barrier.is_some() {
                self.end_round(now, register, next, &mut orders)
            } else {
                self.say_verdicts(next)
                    .or_else(|| self.begin_round(now, register, next))
            };
            if let Some(entry) = step {
                self.put = Some((register.index, now));
                self.beginning = matches!(entry, Entry::Begin { .. });
                orders.push(LeaderAction::Propose(entry));
            }
        }
        self.push(now, register, &mut orders);
        self.ask(now, register, &mut orders);
        orders
    }

    fn follow_round(&mut self, now: Micros, register: &PolicyState) {
        let running = register
            .proposal
            .as_ref()
            .filter(|next| next.barrier.is_some());
        match running.map(|next| (next.document.number, next.round)) {
            None => self.round_seen = None,
            Some((number, round)) => {
                let same = self
                    .round_seen
                    .is_some_and(|(of, seen, _)| (of, seen) == (number, round));
                if !same {
                    self.round_seen = Some((number, round, now));
                }
            }
        }
        if register.proposal.is_none() {
            self.late.clear();
        }
    }

    /// What members have said of the proposal and the register does not know yet.
    fn say_verdicts(&self, next: &PendingProposal) -> Option<Entry> {
        let number = next.document.number;
        let said = self.heard.iter().filter_map(|(member, heard)| {
            let (of, verdict) = heard.verdict.as_ref()?;
            let new = *of == number && !next.accepted_by.contains(member);
            new.then(|| (member.clone(), verdict.clone()))
        });
        let said: Vec<_> = said.collect();
        (!said.is_empty()).then_some(Entry::Verdicts { number, said })
    }

    /// Begins to take hold once each member fits and is there, or has surely no lease.
    fn begin_round(
        &self,
        now: Micros,
        register: &PolicyState,
        next: &PendingProposal,
    ) -> Option<Entry> {
        if next.unconfirmed
            || !register
                .left
                .iter()
                .all(|member| self.over(now, member, None))
        {
            return None;
        }
        let mut without = BTreeSet::new();
        for member in register.members.keys() {
            if next.accepted_by.contains(member) && self.is_fresh(now, member) {
                // Beside one that was taken over from, its word is not the whole member's yet.
                let heard = self.heard.get(member).filter(|heard| !heard.alone);
                match heard.is_none_or(|heard| self.over(now, member, Some(heard.incarnation))) {
                    true => continue,
                    false => return None,
                }
            }
            if !self.over(now, member, None) {
                return None;
            }
            without.insert(member.clone());
        }
        let (number, round) = (next.document.number, Round(next.round.0 + 1));
        (without.len() < register.members.len()).then_some(Entry::Begin {
            number,
            round,
            without,
        })
    }

    /// In force once all have stopped; as before if somebody has not in time.
    fn end_round(
        &mut self,
        now: Micros,
        register: &PolicyState,
        next: &PendingProposal,
        orders: &mut Vec<LeaderAction>,
    ) -> Option<Entry> {
        let (number, round, without) = (next.document.number, next.round, next.barrier.as_ref()?);
        let present = register
            .members
            .keys()
            .filter(|member| !without.contains(*member));
        let missing: BTreeSet<Member> = present
            .filter(|member| !self.has_stopped(now, member, next))
            .cloned()
            .collect();
        #[cfg(any(test, feature = "planted"))]
        let missing = if self.has(InjectedBug::NoWait) {
            BTreeSet::new()
        } else {
            missing
        };
        if missing.is_empty() {
            return Some(Entry::InForce { number, round });
        }
        let (_, _, seen) = self.round_seen?;
        // Each round waits longer than the one before: a fleet that is slow as a whole gets through all the same.
        let patience =
            Micros(self.terms.patience << (round.0.saturating_sub(1)).min(LONGEST_PATIENCE));
        if now.since(seen) < patience {
            return None;
        }
        let names: Vec<&str> = missing.iter().map(|member| member.0.as_str()).collect();
        orders.push(LeaderAction::Log(format!(
            "policy: round {round} of proposal {number} ends after {} ms, not stopped: {}",
            now.since(seen).0 / 1000,
            names.join(", ")
        )));
        // Where most were late nobody is to blame, and without a lease for anybody no change would ever end.
        if missing.len() * 2 < register.members.len() - without.len() {
            self.late.extend(missing);
        }
        Some(Entry::Resume { number, round })
    }

    /// News goes to all that were heard of late, so that nobody waits for its own next request.
    fn push(&mut self, now: Micros, register: &PolicyState, orders: &mut Vec<LeaderAction>) {
        if self.pushed >= register.changed {
            return;
        }
        self.pushed = register.changed;
        let there: Vec<Member> = self
            .heard
            .keys()
            .filter(|member| self.is_fresh(now, member))
            .cloned()
            .collect();
        for member in there {
            let told = self.told(register, &member, None);
            if told.view.is_some() {
                orders.push(LeaderAction::Reply(member, Box::new(told)));
            }
        }
    }

    /// One question at a time covers all requests that wait.
    fn ask(&mut self, now: Micros, register: &PolicyState, orders: &mut Vec<LeaderAction>) {
        self.asked.take_if(|(_, at, _)| now.since(*at) > PUT_AGAIN);
        if self.asked.is_some() || self.waiting.is_empty() {
            return;
        }
        let covered = std::mem::take(&mut self.waiting);
        #[cfg(any(test, feature = "planted"))]
        if self.has(InjectedBug::NoAsking) {
            let told = self.grant(now, register, covered);
            return orders.extend(told);
        }
        let _ = register;
        self.last_ask += 1;
        self.asked = Some((self.last_ask, now, covered));
        orders.push(LeaderAction::ConfirmLeadership(self.last_ask));
    }

    /// How far each member is with the further matter: those that belong to the fleet, and those that left it.
    pub fn member_contacts(
        &self,
        now: Micros,
        register: &PolicyState,
        gone: &[Member],
    ) -> Vec<MemberContact> {
        let of = |member: &Member| {
            let heard = self
                .heard
                .get(member)
                .filter(|_| register.members.contains_key(member));
            let others = |but| self.over_for(now, member, but, self.lease_retention);
            MemberContact {
                member: member.clone(),
                report: heard.map(|heard| heard.word.clone()),
                is_recent: heard.is_some() && self.is_fresh(now, member),
                only_one_process: heard
                    .is_some_and(|heard| heard.alone || others(Some(heard.incarnation))),
                all_leases_expired: !self.terms.serve_without && others(None),
            }
        };
        register
            .members
            .keys()
            .chain(gone.iter().filter(|of| !register.members.contains_key(*of)))
            .map(of)
            .collect()
    }

    /// When time alone may change something.
    pub fn next_deadline(&self, now: Micros, register: &PolicyState) -> Micros {
        let busy = register.proposal.is_some() || self.asked.is_some() || !self.waiting.is_empty();
        now + Micros(if busy { 10_000 } else { self.terms.renew / 2 })
    }

    /// Who has been heard from, how long ago, and who has not stopped or confirmed; for people.
    pub fn member_status(&self, now: Micros, register: &PolicyState) -> Vec<MemberStatus> {
        let seen = |member: &Member| {
            let heard = self.heard.get(member);
            let over = self.over(now, member, None);
            let fits = register
                .proposal
                .as_ref()
                .map(|next| next.accepted_by.contains(member));
            let stopped = register
                .proposal
                .as_ref()
                .filter(|next| next.barrier.is_some());
            MemberStatus {
                member: member.clone(),
                since_last_contact: heard.map(|heard| now.since(heard.at)),
                known_index: heard.map(|heard| heard.index),
                lease_over: over,
                fits,
                stopped: stopped.map(|next| self.has_stopped(now, member, next)),
            }
        };
        register.members.keys().map(seen).collect()
    }

    /// How long from now until the lease of every silent member is surely over.
    pub fn remaining_lease_bound(&self, now: Micros, register: &PolicyState) -> Micros {
        let span = self.terms.certainly_expired_after();
        let silent = register
            .members
            .keys()
            .filter(|member| !self.is_fresh(now, member));
        let ends = silent
            .filter(|member| !self.over(now, member, None))
            .map(|member| {
                let own = self
                    .leases
                    .iter()
                    .filter(|((of, _), _)| of == member)
                    .map(|(_, came)| *came);
                own.max().unwrap_or_default().max(self.since) + span
            });
        ends.max().map_or(Micros(0), |end| end.since(now)) + Micros(self.terms.patience)
    }
}

/// How the router that leads sees a member.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct MemberStatus {
    pub member: Member,
    /// How long ago it was heard, in microseconds.
    #[serde(serialize_with = "micros", deserialize_with = "of_micros")]
    pub since_last_contact: Option<Micros>,
    pub known_index: Option<Index>,
    pub lease_over: bool,
    pub fits: Option<bool>,
    pub stopped: Option<bool>,
}

fn micros<S: serde::Serializer>(of: &Option<Micros>, to: S) -> Result<S::Ok, S::Error> {
    serde::Serialize::serialize(&of.map(|micros| micros.0), to)
}

fn of_micros<'de, D: serde::Deserializer<'de>>(from: D) -> Result<Option<Micros>, D::Error> {
    let micros: Option<u64> = serde::Deserialize::deserialize(from)?;
    Ok(micros.map(Micros))
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    const MS: u64 = 1000;

    fn says(seat: u64, term: u64, ago: u64) -> LastLeaderContact {
        LastLeaderContact {
            replica: ReplicaId(seat),
            term,
            ago: ago * MS,
        }
    }

    /// When leases of others can have begun at the latest, by a leader of three voters that leads since 10,000 ms.
    #[test_case(&[] => 10_000; "nobody has said anything")]
    #[test_case(&[says(1, 4, 700)] => 10_000; "one voter of three")]
    #[test_case(&[says(1, 4, 700), says(2, 4, 600)] => 9_400; "two: the later of both")]
    #[test_case(&[says(1, 4, 700), says(2, 4, 600), says(3, 4, 5000)] => 9_300; "any two will do")]
    #[test_case(&[says(1, 4, 700), says(1, 4, 700)] => 10_000; "one twice")]
    #[test_case(&[says(1, 4, 700), says(2, 3, 600)] => 10_000; "one that may still take the earlier one's word")]
    #[test_case(&[says(1, 4, 700), says(9, 4, 600)] => 10_000; "one without a vote")]
    fn leases_of_others_began_before(said: &[LastLeaderContact]) -> u64 {
        let terms = LeaseConfig {
            drift_ppm: 0,
            ..LeaseConfig::default()
        };
        let mut chair = Leader::new(
            terms,
            Micros(10_000 * MS),
            &PolicyState::bootstrap(BTreeMap::new()),
        );
        chair.elected(4, vec![ReplicaId(1), ReplicaId(2), ReplicaId(3)]);
        said.iter()
            .for_each(|of| chair.dates_back(Micros(10_000 * MS), *of));
        chair.since.0 / MS
    }

    #[test]
    fn one_voters_word_that_counts_alone_ends_leases_too_early() {
        let mut chair = Leader::new(
            LeaseConfig::default(),
            Micros(10_000 * MS),
            &PolicyState::bootstrap(BTreeMap::new()),
        );
        chair.injected_bug = Some(InjectedBug::OneVotersWord);
        chair.elected(4, vec![ReplicaId(1), ReplicaId(2), ReplicaId(3)]);
        // Cut off from the leader before for three seconds, while the others still confirmed its leases.
        chair.dates_back(Micros(10_000 * MS), says(3, 4, 3000));
        assert!(
            chair.over(Micros(10_000 * MS), &"n0".into(), None),
            "a lease may still run"
        );
    }
}
