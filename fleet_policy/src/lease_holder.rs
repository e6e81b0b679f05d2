//! What one router keeps: the policy as far as it knows, and its lease. It alone says whether a lookup may be admitted,
//! and under which version. Nothing here is kept on disk: a process that starts learns first and admits then.

use std::collections::{BTreeMap, VecDeque};

use ternpick::types::Micros;

use crate::ids::{Epoch, Incarnation, Index, Member, Round, Seq, Version};
use crate::lease_config::LeaseConfig;
use crate::messages::{LeaseReply, LeaseRequest, View};
use crate::state_machine::{MemberInfo, PolicyDocument, Verdict};

/// Requests for a lease whose answers still count; the oldest go first.
const MOST_ASKED: usize = 16;
/// How long an answer is waited for before it is asked again: a leader may have gone.
const ASK_AGAIN: Micros = Micros(100_000);

/// Whether a lookup may be admitted at this moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    Leased(Version),
    /// Without a lease, by the installation's own word: answers are marked.
    Unguarded(Version),
    /// A change takes hold; ask again when something has changed, or at this time.
    Wait(Micros),
    Rejected {
        why: RejectReason,
        come_back: Micros,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RejectReason {
    /// It has just started and knows no policy.
    PolicyUnknown,
    /// Its lease is over.
    NoLease,
    /// A change has been taking hold for too long.
    ChangeInProgress,
    /// The policy in force does not fit this router.
    PolicyDoesNotFit,
    /// It does not belong to the fleet.
    NotMember,
}

impl RejectReason {
    pub fn description(self) -> &'static str {
        match self {
            RejectReason::PolicyUnknown => "this router has yet to learn the policy in force",
            RejectReason::NoLease => {
                "this router cannot reach the others, and admits nothing without them"
            }
            RejectReason::ChangeInProgress => "a change of policy takes hold",
            RejectReason::PolicyDoesNotFit => "the policy in force does not fit this router",
            RejectReason::NotMember => "this router does not belong to the fleet",
        }
    }
}

/// What a driver is to do, in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaseEffect {
    /// Look whether this proposal fits here, and say so with [`LeaseHolder::checked`].
    CheckPolicy(PolicyDocument),
    /// Lookups admitted from now on go by this policy; those in hand stay as they are.
    ApplyPolicy(PolicyDocument),
    /// The members as they are now.
    Members(BTreeMap<Member, MemberInfo>),
    /// What has to be known of the further matter, from this place on; to be gone by at once, and answered with
    /// [`LeaseHolder::goes_by`].
    MachinesOut(Index, Vec<u8>),
    /// One line for the people on call.
    Log(String),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Lease {
    epoch: Epoch,
    version: Version,
    until: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseHolder {
    terms: LeaseConfig,
    me: Member,
    incarnation: Incarnation,
    /// From when on no earlier process of this member can have a lease.
    alone_from: Micros,
    view: Option<View>,
    lease: Option<Lease>,
    /// When the lease that is over ended; for people.
    lost_at: Option<Micros>,
    /// Since when a change, or its end, keeps it from admitting.
    paused: Option<Micros>,
    asked: VecDeque<(Seq, Micros)>,
    last_seq: Seq,
    verdict: Option<(Version, Verdict)>,
    unfit: Option<Version>,
    stranger: bool,
    /// Something is to be said at once.
    eager: bool,
    /// An answer to the last request has come.
    answered: bool,
    /// Of the further matter: what this router goes by, and its word on it.
    goes_by: (Index, Vec<u8>),
    #[cfg(any(test, feature = "planted"))]
    pub injected_bug: Option<InjectedBug>,
}

/// Faults that tests must catch.
#[cfg(any(test, feature = "planted"))]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedBug {
    /// A lease counts from when it came, not from when it was asked for.
    CountsFromGrant,
    /// A lease that is over is used on.
    UsedBeyondEnd,
    /// It says that it has stopped, and goes on.
    GoesOnInBarrier,
}

impl LeaseHolder {
    /// One that starts at `now`. `inherits`: it takes the place of a process that may still admit for a while.
    pub fn new(
        terms: LeaseConfig,
        me: Member,
        incarnation: Incarnation,
        inherits: bool,
        now: Micros,
    ) -> LeaseHolder {
        let alone_from = if inherits {
            now + terms.certainly_expired_after()
        } else {
            now
        };
        LeaseHolder {
            terms,
            me,
            incarnation,
            alone_from,
            view: None,
            lease: None,
            lost_at: None,
            paused: Some(now),
            asked: VecDeque::new(),
            last_seq: Seq(0),
            verdict: None,
            unfit: None,
            stranger: false,
            eager: true,
            answered: true,
            goes_by: (Index(0), Vec::new()),
            #[cfg(any(test, feature = "planted"))]
            injected_bug: None,
        }
    }

    #[cfg(any(test, feature = "planted"))]
    fn has(&self, fault: InjectedBug) -> bool {
        self.injected_bug == Some(fault)
    }

    pub fn me(&self) -> &Member {
        &self.me
    }

    pub fn view(&self) -> Option<&View> {
        self.view.as_ref()
    }

    /// The version that it knows to be in force.
    pub fn version(&self) -> Option<Version> {
        self.view.as_ref().map(|view| view.in_force.number)
    }

    /// What is left of the lease.
    pub fn lease_left(&self, now: Micros) -> Option<Micros> {
        let valid = self.lease.filter(|lease| self.holds(lease, now))?;
        Some(valid.until.since(now))
    }

    pub fn unfit(&self) -> bool {
        self.view.is_some() && self.unfit == self.version()
    }

    fn holds(&self, lease: &Lease, now: Micros) -> bool {
        let in_time = now < lease.until;
        #[cfg(any(test, feature = "planted"))]
        let in_time = in_time || self.has(InjectedBug::UsedBeyondEnd);
        let same = self
            .view
            .as_ref()
            .is_some_and(|view| view.epoch == lease.epoch);
        in_time && same
    }

    fn in_barrier(&self) -> bool {
        let next = self.view.as_ref().and_then(|view| view.proposal.as_ref());
        let barrier = next.is_some_and(|next| next.barrier);
        #[cfg(any(test, feature = "planted"))]
        let barrier = barrier && !self.has(InjectedBug::GoesOnInBarrier);
        barrier
    }

    /// To be asked in the turn in which a lookup is admitted, with the clock as it stands then: a process that was
    /// stopped in between finds its lease over.
    pub fn admission(&self, now: Micros) -> Admission {
        let refused = |why| Admission::Rejected {
            why,
            come_back: Micros(self.terms.renew),
        };
        if self.stranger {
            return refused(RejectReason::NotMember);
        }
        let Some(version) = self.version() else {
            return match self.paused.map(|since| since + Micros(self.terms.hold)) {
                Some(until) if now < until => Admission::Wait(until),
                _ => refused(RejectReason::PolicyUnknown),
            };
        };
        if self.unfit == Some(version) {
            return refused(RejectReason::PolicyDoesNotFit);
        }
        #[cfg(any(test, feature = "planted"))]
        if let (true, Some(lease)) = (self.has(InjectedBug::GoesOnInBarrier), self.lease) {
            if now < lease.until {
                return Admission::Leased(lease.version);
            }
        }
        if !self.in_barrier() && self.lease.is_some_and(|lease| self.holds(&lease, now)) {
            return Admission::Leased(version);
        }
        match self.paused.map(|since| since + Micros(self.terms.hold)) {
            Some(until) if now < until => Admission::Wait(until),
            _ if self.terms.serve_without => Admission::Unguarded(version),
            _ if self.in_barrier() => refused(RejectReason::ChangeInProgress),
            _ => refused(RejectReason::NoLease),
        }
    }

    /// The next request, where one is due; it is on its way from `now`.
    pub fn next_request(&mut self, now: Micros) -> Option<LeaseRequest> {
        if now < self.next_request_at(now) {
            return None;
        }
        self.eager = false;
        self.answered = false;
        self.last_seq = Seq(self.last_seq.0 + 1);
        self.asked.push_back((self.last_seq, now));
        while self.asked.len() > MOST_ASKED {
            self.asked.pop_front();
        }
        let view = self.view.as_ref();
        Some(LeaseRequest {
            member: self.me.clone(),
            incarnation: self.incarnation,
            seq: self.last_seq,
            index: view.map_or(Index(0), |view| view.index),
            members_at: view.map_or(Index(0), |view| view.members_at),
            verdict: self.verdict.clone(),
            paused_for: self.stopped(),
            is_only_process: now >= self.alone_from,
            unfit: self.unfit.filter(|unfit| Some(*unfit) == self.version()),
            last_leader_contact: None,
            machines_out_at: self.goes_by.0,
            extension_report: self.goes_by.1.clone(),
        })
    }

    fn stopped(&self) -> Option<(Version, Round)> {
        let next = self
            .view
            .as_ref()?
            .proposal
            .as_ref()
            .filter(|next| next.barrier)?;
        Some((next.document.number, next.round))
    }

    /// When the next request is due.
    pub fn next_request_at(&self, now: Micros) -> Micros {
        let Some((_, last)) = self.asked.back() else {
            return now;
        };
        let wait = match (self.eager, self.answered) {
            (true, _) => Micros(0),
            // Without a lease it asks more often, so that it serves again soon.
            (_, false) => ASK_AGAIN,
            (_, true) if self.lease_left(now).is_none() => ASK_AGAIN,
            _ => Micros(self.terms.renew),
        };
        *last + wait
    }

    /// Something was heard from the router that leads.
    pub fn handle_reply(&mut self, now: Micros, told: LeaseReply) -> Vec<LeaseEffect> {
        let mut effects = Vec::new();
        self.answered = true;
        self.stranger = told.not_a_member;
        if let Some(members) = told.members {
            effects.push(LeaseEffect::Members(members));
        }
        if let Some(view) = told.view {
            self.take(now, view, &mut effects);
        }
        let Some(grant) = told
            .grant
            .filter(|grant| grant.incarnation == self.incarnation)
        else {
            return effects;
        };
        let Some((_, sent)) = self.asked.iter().find(|(seq, _)| *seq == grant.seq) else {
            return effects;
        };
        #[cfg(any(test, feature = "planted"))]
        let sent = if self.has(InjectedBug::CountsFromGrant) {
            &now
        } else {
            sent
        };
        let until = *sent + Micros(self.terms.lease);
        let known = self
            .view
            .as_ref()
            .map(|view| (view.epoch, view.in_force.number));
        if known != Some((grant.epoch, grant.version)) {
            return effects;
        }
        let longer = self
            .lease
            .is_none_or(|lease| lease.epoch != grant.epoch || lease.until < until);
        if longer && now < until {
            if let Some(lost) = self.lost_at.take() {
                let ms = now.since(lost).0 / 1000;
                effects.push(LeaseEffect::Log(format!(
                    "lease: back under version {}, {ms} ms without",
                    grant.version
                )));
            }
            self.lease = Some(Lease {
                epoch: grant.epoch,
                version: grant.version,
                until,
            });
            self.paused = None;
        }
        effects
    }

    /// Whether the last request has been without an answer for so long that whoever was asked may not lead.
    pub fn is_awaiting_reply(&self, now: Micros) -> bool {
        !self.answered
            && self
                .asked
                .back()
                .is_some_and(|(_, sent)| now >= *sent + ASK_AGAIN)
    }

    /// Another process of this member may have a lease from now on, or have had one until now.
    pub fn shares(&mut self, now: Micros) {
        self.alone_from = now + self.terms.certainly_expired_after();
    }

    /// Another router is to be asked, and at once.
    pub fn request_at_once(&mut self) {
        self.eager = true;
    }

    fn take(&mut self, now: Micros, view: View, effects: &mut Vec<LeaseEffect>) {
        // What is older, or came twice, says nothing new: a version never goes back.
        if self
            .view
            .as_ref()
            .is_some_and(|known| known.index >= view.index)
        {
            return;
        }
        let before = self.view.replace(view.clone());
        let (was, epoch_was) = before
            .as_ref()
            .map_or((None, None), |v| (Some(v.in_force.number), Some(v.epoch)));
        if epoch_was != Some(view.epoch) {
            // The lease is void: it waits a while, but only if it was admitting until now.
            let admitted = self.lease.is_some_and(|lease| now < lease.until);
            if admitted || before.is_none() {
                self.paused = Some(now);
            }
            #[cfg(any(test, feature = "planted"))]
            let keeps = self.has(InjectedBug::GoesOnInBarrier);
            #[cfg(not(any(test, feature = "planted")))]
            let keeps = false;
            if !keeps {
                self.lease = None;
            }
            self.eager = true;
        }
        if was != Some(view.in_force.number) {
            let (number, author) = (view.in_force.number, &view.in_force.author);
            effects.push(LeaseEffect::Log(format!(
                "policy: version {number} is in force, by '{author}'"
            )));
            effects.push(LeaseEffect::ApplyPolicy(view.in_force.clone()));
            self.unfit = None;
        }
        if before
            .as_ref()
            .is_none_or(|before| before.machines_out_at != view.machines_out_at)
        {
            effects.push(LeaseEffect::MachinesOut(
                view.machines_out_at,
                view.machines_out.clone(),
            ));
        }
        let next = view.proposal.as_ref().filter(|next| !next.barrier);
        let said = self.verdict.as_ref().map(|(number, _)| *number);
        match next {
            Some(next) if said != Some(next.document.number) => {
                effects.push(LeaseEffect::CheckPolicy(next.document.clone()));
            }
            Some(_) => {}
            None if view.proposal.is_none() => self.verdict = None,
            None => {}
        }
        if let Some(round) = view
            .proposal
            .as_ref()
            .filter(|next| next.barrier)
            .map(|next| next.round)
        {
            effects.push(LeaseEffect::Log(format!(
                "policy: stopped for round {round}, in epoch {}",
                view.epoch
            )));
        }
    }

    /// Of the further matter this router goes by what was agreed up to this place, and says this word of it. News goes out
    /// at once.
    pub fn goes_by(&mut self, outs_at: Index, word: Vec<u8>, news: bool) {
        self.eager |= news;
        self.goes_by = (outs_at, word);
    }

    /// Whether a proposal fits here.
    pub fn policy_checked(&mut self, number: Version, verdict: Verdict) {
        self.verdict = Some((number, verdict));
        self.eager = true;
    }

    /// The policy in force cannot be used here: without it this router admits nothing.
    pub fn policy_does_not_fit(&mut self, number: Version) {
        self.unfit = Some(number);
    }

    /// Time has passed; a lease that is over is told of once.
    pub fn elapsed(&mut self, now: Micros) -> Option<LeaseEffect> {
        #[cfg(any(test, feature = "planted"))]
        if self.has(InjectedBug::UsedBeyondEnd) {
            return None;
        }
        let lease = self.lease.filter(|lease| now >= lease.until)?;
        self.lease = None;
        self.lost_at = Some(lease.until);
        let late = now.since(lease.until).0 / 1000;
        Some(LeaseEffect::Log(format!(
            "lease: over since {late} ms, version {} no longer admits",
            lease.version
        )))
    }

    /// When time alone changes something: the lease's end, the end of holding, the next request.
    pub fn next_deadline(&self, now: Micros) -> Micros {
        let lease = self.lease.map(|lease| lease.until);
        #[cfg(any(test, feature = "planted"))]
        let lease = lease.filter(|until| *until > now || !self.has(InjectedBug::UsedBeyondEnd));
        let ask = self.next_request_at(now);
        lease.into_iter().fold(ask, Micros::min)
    }
}
