//! Drives this router's [`FleetNode`]: hands it what has come and what time it is, keeps files, and carries out what comes
//! back. In turns, on one task.

use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;

use async_io::Timer;
use event_listener::Event;
use futures_lite::future;
use ternpick::types::Micros;
use ternpick_fleet_policy::{
    Effect, LeaseEffect, LogLevel, Member, OperationId, OperatorRequest, OperatorResponse,
    PeerMessage, Verdict,
};

use crate::fleet::peer_transport::{self, PeerTransport};
use crate::fleet::{chance, commands, replica_file, Fleet};
use crate::router::Router;

/// A router that waits for its folder, or its listener, looks again so often.
const LOOK_AGAIN: Micros = Micros(20_000);
/// Turns at a time without looking at anything else.
const MOST_TURNS: usize = 16;

/// What an operator of this router waits for; taken off by who asked.
#[derive(Default)]
pub struct Waits(BTreeMap<OperationId, (Option<OperatorResponse>, Rc<Event>)>);

impl Fleet {
    fn say(&self, router: &Rc<Router>, me: &Rc<Fleet>, to: &Member, said: PeerMessage) {
        let address = self
            .node
            .borrow()
            .members
            .get(to)
            .and_then(|seated| seated.address.parse().ok());
        let Some(address) = address else { return };
        let mut posts = self.posts.borrow_mut();
        let post = posts
            .entry(to.clone())
            .or_insert_with(|| PeerTransport::open(router, me, to.clone(), address));
        post.address.set(address);
        post.say(said);
    }

    /// Ways to those that are members no longer end.
    fn close_posts(&self) {
        let council = self.node.borrow();
        self.posts.borrow_mut().retain(|member, post| {
            let stays = council.members.contains_key(member);
            if !stays {
                post.end();
            }
            stays
        });
    }

    fn carry_out(&self, router: &Rc<Router>, me: &Rc<Fleet>, act: Effect, now: Micros) {
        match act {
            Effect::Send(to, said) => self.say(router, me, &to, *said),
            Effect::Persist(image) => self.keep(router, me, image),
            Effect::Lease(effect) => self.obey(router, effect),
            Effect::Inspect(to, op, what) => {
                let json = commands::look(&self.node.borrow(), &what, now);
                if let Some(json) = json {
                    self.node.borrow_mut().inspection_answered(&to, op, json);
                }
            }
            Effect::OperatorResponse(op, heard) => {
                if let Some((outcome, told)) = self.waits.borrow_mut().0.get_mut(&op) {
                    *outcome = Some(heard);
                    told.notify(usize::MAX);
                }
            }
            Effect::Log(LogLevel::Error, line) => tracing::error!("{line}"),
            Effect::Log(LogLevel::Info, line) => tracing::info!("{line}"),
            Effect::Log(LogLevel::Debug, line) => tracing::debug!("{line}"),
        }
    }

    /// What the lease and the policy ask of this router.
    fn obey(&self, router: &Router, effect: LeaseEffect) {
        match effect {
            LeaseEffect::CheckPolicy(paper) => {
                let verdict = self.check(&paper);
                let word = match &verdict {
                    Verdict::Fits => "it fits".to_owned(),
                    Verdict::Refused(words) => format!("refused, {words}"),
                };
                tracing::info!(
                    "policy: proposal {} by '{}' is looked at: {word}",
                    paper.number,
                    paper.author
                );
                self.node.borrow_mut().policy_checked(paper.number, verdict);
            }
            LeaseEffect::ApplyPolicy(paper) => self.put_in_force(router, &paper),
            LeaseEffect::Members(_) => {}
            LeaseEffect::MachinesOut(index, outs) => self.goes_by(router, index, &outs),
            LeaseEffect::Log(line) => tracing::info!("{line}"),
        }
    }

    /// Writing waits for the disk, and the router does not wait for it.
    fn keep(&self, router: &Rc<Router>, me: &Rc<Fleet>, image: Vec<u8>) {
        self.images.set(self.images.get() + 1);
        let (folder, version, me) = (self.folder.clone(), self.images.get(), Rc::clone(me));
        let (mut journal, clock) = (self.journal.borrow_mut().take(), router.clock);
        let task = async move {
            let write = move || {
                (
                    replica_file::keep(Path::new(&folder), &mut journal, version, &image),
                    journal,
                )
            };
            let (kept, journal) = blocking::unblock(write).await;
            *me.journal.borrow_mut() = journal;
            me.node.borrow_mut().persisted(clock.now(), kept);
            me.wake.notify(1);
        };
        router.executor.spawn(task).detach();
    }

    /// What has come, and what time has brought; when the next turn is due comes back.
    fn turn(&self, router: &Rc<Router>, me: &Rc<Fleet>) -> Micros {
        let look = self.look_at_works(router);
        for _ in 0..MOST_TURNS {
            let now = router.clock.now();
            while let Some(parcel) = self.next_parcel() {
                for said in parcel.said {
                    let whole = self.pieces.borrow_mut().take(&parcel.from, said);
                    if let Some(said) = whole {
                        self.node.borrow_mut().step(now, &parcel.from, said);
                    }
                }
            }
            let acts = self.node.borrow_mut().tick(now);
            if acts.is_empty() {
                break;
            }
            for act in acts {
                self.carry_out(router, me, act, now);
            }
            self.changed.notify(usize::MAX);
        }
        self.close_posts();
        let due = self.node.borrow().next_deadline(router.clock.now());
        look.map_or(due, |look| due.min(look))
    }

    /// An operator's wish, until something is heard of it or its time is up.
    pub async fn ask(
        &self,
        router: &Router,
        op: OperationId,
        wish: OperatorRequest,
        wait: Micros,
    ) -> Option<OperatorResponse> {
        let told = Rc::new(Event::new());
        let until = router.clock.now() + wait;
        self.waits
            .borrow_mut()
            .0
            .insert(op, (None, Rc::clone(&told)));
        self.node.borrow_mut().submit(op, wish);
        self.wake.notify(1);
        let heard = async {
            loop {
                let more = told.listen();
                if let Some(outcome) = self
                    .waits
                    .borrow()
                    .0
                    .get(&op)
                    .and_then(|(outcome, _)| outcome.clone())
                {
                    return outcome;
                }
                more.await;
            }
        };
        let heard = router.with_deadline(Some(until), heard).await;
        self.waits.borrow_mut().0.remove(&op);
        self.node.borrow_mut().cancel(op);
        heard
    }
}

/// Takes part for as long as this process accepts clients: one that has handed over speaks for its member no more, and
/// takes the folder, the seat and the listener again if it has to take over.
pub async fn run(router: Rc<Router>, fleet: Rc<Fleet>) {
    loop {
        while !router.listener.is_accepting() {
            let changed = router.listener.accepting_changed();
            if !router.listener.is_accepting() {
                changed.await;
            }
        }
        let Some(held) = hold(&router, &fleet).await else {
            continue;
        };
        let Some(address) = fleet.address() else {
            tracing::error!(
                "fleet: {} is no member by its settings, and has no address",
                fleet.me
            );
            return;
        };
        let (found, journal) =
            replica_file::find(&fleet.folder, fleet.id, fleet.raft_config(), chance());
        *fleet.journal.borrow_mut() = journal;
        fleet.node.borrow_mut().start(router.clock.now(), found);
        let listener = peer_transport::bind(&router, address).await;
        tracing::info!(
            "fleet: {} speaks on {address} in fleet {}",
            fleet.me,
            fleet.settings.name
        );
        let listening = router.executor.spawn(peer_transport::listen(
            Rc::clone(&router),
            Rc::clone(&fleet),
            listener,
        ));
        let mut passed = false;
        while router.listener.is_accepting() {
            if router.is_stopping() && !std::mem::replace(&mut passed, true) {
                fleet
                    .node
                    .borrow_mut()
                    .transfer_leadership(router.clock.now());
            }
            let (wake, changed) = (fleet.wake.listen(), router.listener.accepting_changed());
            let due = fleet.turn(&router, &fleet);
            let time = async {
                Timer::at(router.clock.instant(due)).await;
            };
            future::or(future::or(wake, changed), time).await;
        }
        pass_lead(&router, &fleet).await;
        // What others send on connections that they have here is the next process's.
        drop(listening);
        fleet.leaves.notify(usize::MAX);
        leave(&router, &fleet).await;
        drop(held);
        tracing::info!("fleet: {} speaks no more in this process", fleet.me);
    }
}

/// Waits for the folder; none: this process no longer accepts.
async fn hold(router: &Router, fleet: &Fleet) -> Option<ternpick_store::DirectoryLock> {
    let mut said = false;
    while router.listener.is_accepting() {
        match ternpick_store::lock_directory(&fleet.folder) {
            Ok(Some(held)) => return Some(held),
            Ok(None) if said => {}
            Ok(None) => {
                said = true;
                tracing::info!(
                    "fleet: waits for another process to leave {}",
                    fleet.folder.display()
                );
            }
            Err(fault) => {
                if !std::mem::replace(&mut said, true) {
                    tracing::error!("fleet: {fault}");
                }
            }
        }
        Timer::at(router.clock.instant(router.clock.now() + LOOK_AGAIN)).await;
    }
    None
}

/// How long the lead may take to pass to another voter, before this process lets go of its seat.
const PASSES_WITHIN: Micros = Micros(150_000);

/// Passes the lead on, if it is here, and waits for that a little: the fleet need not find out by silence.
async fn pass_lead(router: &Rc<Router>, fleet: &Rc<Fleet>) {
    let until = router.clock.now() + PASSES_WITHIN;
    fleet
        .node
        .borrow_mut()
        .transfer_leadership(router.clock.now());
    while fleet.node.borrow().is_leader() && router.clock.now() < until {
        let wake = fleet.wake.listen();
        let due = fleet.turn(router, fleet).min(until);
        let time = async {
            Timer::at(router.clock.instant(due)).await;
        };
        future::or(wake, time).await;
    }
}

/// Ends what speaks for the member here; what is being written is waited for. The lease runs on until it is over: this
/// process may have connections whose requests it still takes.
async fn leave(router: &Router, fleet: &Fleet) {
    for (_, post) in std::mem::take(&mut *fleet.posts.borrow_mut()) {
        post.end();
    }
    while fleet.node.borrow().is_persisting() {
        Timer::at(router.clock.instant(router.clock.now() + LOOK_AGAIN)).await;
    }
    fleet
        .node
        .borrow_mut()
        .suspend(router.clock.now(), chance());
}
