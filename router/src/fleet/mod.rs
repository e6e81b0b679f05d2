//! Talk between the routers of one fleet, where the settings ask for it: moves bytes, keeps files, passes time in. What is
//! agreed, who may admit and which step comes next are decided by `ternpick-consensus` and `ternpick-fleet-policy`.
//!
//! One task ([`event_loop::run`]) drives this router's council; the keeper of its lease is asked by
//! the stage `admit` in the turn in which a lookup is taken.

pub mod cli;
pub mod commands;
pub mod event_loop;
pub mod fragments;
pub mod maintenance;
pub mod maintenance_cli;
pub mod peer_transport;
pub mod replica_file;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use event_listener::Event;
use futures_lite::future;
use ring::rand::{SecureRandom, SystemRandom};
use ternpick::routing::RoutingEngine;
use ternpick::types::{Endpoint, EndpointState, Micros, PlatformConfig};
use ternpick_consensus::FleetId;
use ternpick_fleet_policy::{
    Admission, FleetNode, Incarnation, LeaseConfig, LeaseHolder, Member, MemberInfo, Platform,
    PolicyDocument, Record, ReplicaId, Verdict, Version,
};
use ternpick_store::Journal;

use crate::lifecycle::settings::FleetTerms;
use crate::router::Router;
use crate::stages::admission;
use crate::stages::completion::{retry_after, EffectQueue};
use crate::state::clients::Answer;
use event_loop::Waits;
use fragments::{FragmentBuffer, PeerBatch};

/// Parcels that have come and wait for the next turn; the oldest go first, as on any network.
const MOST_IN: usize = 1024;

/// Under what a lookup was admitted, as its answer says it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark {
    pub version: Version,
    /// Without a lease.
    pub unguarded: bool,
}

impl Mark {
    pub fn headers(self) -> String {
        let guard = if self.unguarded {
            "Policy-Guard: none\r\n"
        } else {
            ""
        };
        format!("Policy-Version: {}\r\n{guard}", self.version)
    }
}

/// A router's part of a fleet.
pub struct Fleet {
    pub settings: FleetTerms,
    pub me: Member,
    pub id: FleetId,
    pub folder: PathBuf,
    /// Told when the keeper may say something else: lookups that wait at admission look again.
    pub changed: Event,
    pub node: RefCell<FleetNode>,
    waits: RefCell<Waits>,
    /// Where the seat's state is kept; with who writes while something is being kept.
    journal: RefCell<Option<Journal>>,
    images: Cell<u64>,
    inbox: RefCell<VecDeque<PeerBatch>>,
    pieces: RefCell<FragmentBuffer>,
    pub wake: Event,
    /// Told when this process speaks for its member no more.
    pub leaves: Event,
    /// The platform's own figures and names.
    own: PlatformConfig,
    indexes: Vec<String>,
    customers: Vec<String>,
    /// What discovery last said of each node, by name; emptied by it.
    listed: RefCell<BTreeMap<String, Endpoint>>,
    drained: RefCell<BTreeSet<String>>,
    /// Work on machines, where the settings have it.
    pub works: Option<maintenance::Works>,
    /// Bytes and parcels that went out and came in.
    pub traffic: Cell<(u64, u64, u64, u64)>,
    /// This router's ways to the others, by name; one ends when its member is no longer one.
    pub posts: RefCell<BTreeMap<Member, Rc<peer_transport::PeerTransport>>>,
}

/// A number by chance, for what has to differ between processes.
pub fn chance() -> u64 {
    let mut bytes = [0; 8];
    // Without chance of the system's two processes might be taken for one; time and number tell them apart.
    if SystemRandom::new().fill(&mut bytes).is_err() {
        let since = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .unwrap_or_default();
        return since.as_nanos() as u64 ^ u64::from(std::process::id()) << 32;
    }
    u64::from_le_bytes(bytes)
}

/// Plants the fault that the environment names.
#[cfg(feature = "planted")]
fn plant(council: &mut FleetNode) {
    use ternpick_fleet_policy::planted::{InLeader, InLeaseHolder};
    let word = std::env::var("TERNPICK_PLANTED").unwrap_or_default();
    match word.as_str() {
        "no-wait" => council.planted = Some(InLeader::NoWait),
        "no-asking" => council.planted = Some(InLeader::NoAsking),
        "forgets-others" => council.planted = Some(InLeader::ForgetsOthers),
        "one-voters-word" => council.planted = Some(InLeader::OneVotersWord),
        "counts-from-grant" => council.keeper.planted = Some(InLeaseHolder::CountsFromGrant),
        "used-beyond-end" => council.keeper.planted = Some(InLeaseHolder::UsedBeyondEnd),
        "goes-on-in-barrier" => council.keeper.planted = Some(InLeaseHolder::GoesOnInBarrier),
        _ => {}
    }
}

/// The fleet's number, from its name.
pub fn number_of(name: &str) -> FleetId {
    let digest = ring::digest::digest(&ring::digest::SHA256, name.as_bytes());
    let first = digest
        .as_ref()
        .first_chunk::<8>()
        .copied()
        .unwrap_or_default();
    FleetId(u64::from_le_bytes(first))
}

pub fn spans(of: &FleetTerms) -> LeaseConfig {
    LeaseConfig {
        lease: of.lease,
        renew: of.renew,
        drift_ppm: of.drift_ppm,
        hold: of.hold,
        patience: of.patience,
        serve_without: of.without_lease == "serve-and-mark",
        confirm: of.confirm,
    }
}

/// The members at the founding, each that votes with its seat.
pub fn founders(of: &FleetTerms) -> BTreeMap<Member, MemberInfo> {
    let mut next = 0;
    let member = |(name, terms): (&String, &crate::lifecycle::settings::MemberTerms)| {
        next += u64::from(terms.vote);
        let seat = terms.vote.then_some(ReplicaId(next));
        let seated = MemberInfo {
            address: terms.address.clone(),
            zone: terms.zone.clone(),
            replica: seat,
            is_learner: false,
        };
        (Member::from(name.as_str()), seated)
    };
    of.members.iter().map(member).collect()
}

impl Fleet {
    pub fn new(
        settings: FleetTerms,
        name: &str,
        tariff: &PlatformConfig,
        indexes: &[String],
        customers: Vec<String>,
        inherits: bool,
        now: Micros,
    ) -> Rc<Fleet> {
        let (terms, me) = (spans(&settings), Member::from(name));
        let keeper = LeaseHolder::new(terms, me.clone(), Incarnation(chance()), inherits, now);
        let raft_config = ternpick_fleet_policy::raft_config(settings.election);
        let id = number_of(&settings.name);
        #[allow(unused_mut)]
        let mut council = FleetNode::new(
            id,
            terms,
            raft_config,
            keeper,
            founders(&settings),
            chance(),
            now,
        );
        #[cfg(feature = "planted")]
        plant(&mut council);
        let works = settings.works.map(maintenance::Works::new);
        if let Some(works) = &works {
            council.extension = Box::new(works.carrier.clone());
            #[cfg(feature = "planted")]
            works.plant();
        }
        Rc::new(Fleet {
            id,
            folder: settings.folder.clone().into(),
            settings,
            me,
            changed: Event::new(),
            node: RefCell::new(council),
            waits: RefCell::default(),
            journal: RefCell::default(),
            images: Cell::new(0),
            inbox: RefCell::default(),
            pieces: RefCell::default(),
            wake: Event::new(),
            leaves: Event::new(),
            own: tariff.clone(),
            indexes: indexes.to_vec(),
            customers,
            listed: RefCell::default(),
            drained: RefCell::default(),
            works,
            traffic: Cell::new((0, 0, 0, 0)),
            posts: RefCell::default(),
        })
    }

    /// Where this router listens for the others.
    pub fn address(&self) -> Option<SocketAddr> {
        let known = self
            .node
            .borrow()
            .members
            .get(&self.me)
            .map(|seated| seated.address.clone());
        let own = self
            .settings
            .members
            .get(&self.me.0)
            .map(|member| member.address.clone());
        self.settings
            .listen
            .clone()
            .or(own)
            .or(known)
            .and_then(|address| address.parse().ok())
    }

    fn raft_config(&self) -> ternpick_consensus::RaftConfig {
        ternpick_fleet_policy::raft_config(self.settings.election)
    }

    pub fn platform(&self) -> Platform {
        ternpick_fleet_policy::platform(&self.own, &self.indexes, &self.customers)
    }

    /// Has those that wait to be taken look again.
    pub fn look_again(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Waits while a change takes hold; what then may be said is for [`Fleet::admit`], in the same turn.
    pub async fn settled(&self, router: &Router) {
        loop {
            let changed = self.changed.listen();
            let Admission::Wait(until) = self
                .node
                .borrow()
                .lease_holder
                .admission(router.clock.now())
            else {
                return;
            };
            // In a stop the refusal that follows is owed in time too.
            let until = router
                .before_shutdown(Some(until), |of| of.answers_by)
                .unwrap_or(until);
            if until <= router.clock.now() {
                return;
            }
            let held = async {
                async_io::Timer::at(router.clock.instant(until)).await;
            };
            future::or(changed, held).await;
        }
    }

    /// Whether a lookup may be taken now, and under what; else its answer.
    pub fn admit(&self, now: Micros) -> Result<Mark, Answer> {
        match self.node.borrow().lease_holder.admission(now) {
            Admission::Leased(version) => Ok(Mark {
                version,
                unguarded: false,
            }),
            Admission::Unguarded(version) => Ok(Mark {
                version,
                unguarded: true,
            }),
            Admission::Wait(until) => Err(Self::refusal(
                "a change of policy takes hold",
                until.since(now),
            )),
            Admission::Rejected { why, come_back } => {
                Err(Self::refusal(why.description(), come_back))
            }
        }
    }

    fn refusal(words: &str, come_back: Micros) -> Answer {
        let (status, _, body) = admission::line(503, &format!("refused: {words}"));
        (status, retry_after(come_back), body)
    }

    /// Something has come from another router.
    pub fn has_come(&self, parcel: PeerBatch) {
        let mut inbox = self.inbox.borrow_mut();
        if inbox.len() >= MOST_IN {
            inbox.pop_front();
        }
        inbox.push_back(parcel);
        self.wake.notify(1);
    }

    pub fn next_parcel(&self) -> Option<PeerBatch> {
        self.inbox.borrow_mut().pop_front()
    }

    pub fn counts(&self, out: (u64, u64), come: (u64, u64)) {
        let (a, b, c, d) = self.traffic.get();
        self.traffic
            .set((a + out.0, b + out.1, c + come.0, d + come.1));
    }

    /// Whether a proposal fits this router's own settings.
    pub fn check(&self, paper: &PolicyDocument) -> Verdict {
        let name = format!("proposal {}", paper.number);
        match Record::read_within(&name, &paper.text, &self.platform()) {
            Ok(_) => Verdict::Fits,
            Err(words) => Verdict::Refused(words),
        }
    }

    fn put_in_force(&self, router: &Router, paper: &PolicyDocument) {
        let name = format!("version {}", paper.number);
        let record = match Record::read_within(&name, &paper.text, &self.platform()) {
            Ok(record) => record,
            Err(words) => {
                tracing::error!("policy: {name} does not fit here, nothing is admitted: {words}");
                self.node
                    .borrow_mut()
                    .lease_holder
                    .policy_does_not_fit(paper.number);
                return;
            }
        };
        let mut desk = router.decisions.borrow_mut();
        let tariff = &mut desk.engine.config;
        ternpick_fleet_policy::put_in_force(
            &record,
            &self.own,
            &self.indexes,
            &self.customers,
            tariff,
        );
        drop(desk);
        let drained: BTreeSet<String> = record.drained.iter().cloned().collect();
        let before = self.drained.replace(drained);
        let changed: Vec<String> = before
            .symmetric_difference(&self.drained.borrow())
            .cloned()
            .collect();
        self.drains(router, &changed);
    }

    /// Nodes that operators drain, or take out, reach the module as the roster's word does.
    fn drains(&self, router: &Router, changed: &[String]) {
        router.apply(|brain, now, out| {
            let rows: Vec<Endpoint> = changed
                .iter()
                .filter_map(|name| self.listing(name, out))
                .collect();
            brain.operator_drains_changed(now, &rows, out);
        });
    }

    fn listing(&self, name: &str, out: &EffectQueue) -> Option<Endpoint> {
        let listing = *self.listed.borrow().get(name)?;
        let node = out.nodes.number(name)?;
        Some(Endpoint {
            node,
            state: self.stricter(name, listing.state),
            ..listing
        })
    }

    /// How discovery itself last listed a node.
    pub fn discovery_says(&self, name: &str) -> Option<EndpointState> {
        self.listed.borrow().get(name).map(|listing| listing.state)
    }

    fn stricter(&self, name: &str, phase: EndpointState) -> EndpointState {
        let out = self.works.as_ref().is_some_and(|works| works.is_out(name));
        match phase {
            EndpointState::Ready if out || self.drained.borrow().contains(name) => {
                EndpointState::Draining
            }
            phase => phase,
        }
    }

    /// Discovery lists a node: of its word and the policy's, the stricter counts.
    pub fn lists(&self, name: &str, listing: &mut Endpoint) {
        match listing.state {
            EndpointState::Gone => self.listed.borrow_mut().remove(name),
            _ => self.listed.borrow_mut().insert(name.to_owned(), *listing),
        };
        listing.state = self.stricter(name, listing.state);
    }

    /// Discovery's whole list is this: others are gone.
    pub fn lists_only(&self, names: &BTreeSet<&str>) {
        self.listed
            .borrow_mut()
            .retain(|name, _| names.contains(name.as_str()));
    }

    /// How the fleet looks from here; for people.
    pub fn status(&self, brain: &RoutingEngine, now: Micros) -> serde_json::Value {
        let council = self.node.borrow();
        let keeper = &council.lease_holder;
        let view = keeper.view();
        let next = view.and_then(|view| view.proposal.as_ref());
        let (out, out_bytes, come, come_bytes) = self.traffic.get();
        let admission = match keeper.admission(now) {
            Admission::Leased(_) => "admits".to_owned(),
            Admission::Unguarded(_) => {
                "admits without a lease, and marks it: the rule is given up".to_owned()
            }
            Admission::Wait(_) => "waits while a change takes hold".to_owned(),
            Admission::Rejected { why, .. } => format!("refuses: {}", why.description()),
        };
        let drained = brain
            .nodes
            .values()
            .filter(|node| node.endpoint.state == EndpointState::Draining)
            .count();
        serde_json::json!({
            "fleet": self.settings.name, "member": self.me, "version": keeper.version(),
            "author": view.map(|view| &view.in_force.author), "reason": view.map(|view| &view.in_force.reason),
            "epoch": view.map(|view| view.epoch), "knows_up_to": view.map(|view| view.index),
            "lease_left_ms": keeper.lease_left(now).map(|left| left.0 / 1000), "admission": admission,
            "unfit": keeper.unfit(), "next": next.map(|next| serde_json::json!({
                "number": next.document.number, "author": next.document.author, "takes_hold": next.barrier,
                "round": next.round, "unconfirmed": next.unconfirmed})),
            "leader": council.leader(), "leads": council.is_leader(), "seat": council.replica_status(),
            "seat_words": council.replica_error, "draining": drained, "parcels_out": out, "bytes_out": out_bytes,
            "parcels_in": come, "bytes_in": come_bytes,
        })
    }
}
