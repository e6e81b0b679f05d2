//! Carries out the effects that the [`FleetNode`](ternpick_fleet_policy::FleetNode) returns, in their order.

use std::rc::Rc;

use ternpick::types::Micros;
use ternpick_fleet_policy::{
    Effect, LeaseEffect, LogLevel, Member, PeerMessage, PolicyDocument, Verdict,
};

use super::peer_transport::PeerTransport;
use super::{commands, replica_file, Fleet};
use crate::router::Router;
use crate::state::turns::Stage;

/// Writes of the replica's state that take longer are logged, because all changes wait for them.
const SLOW_WRITE_THRESHOLD: Micros = Micros(50_000);

impl Fleet {
    /// Carries out one effect.
    pub(super) fn apply_effect(self: &Rc<Self>, router: &Rc<Router>, effect: Effect, now: Micros) {
        match effect {
            Effect::Send(to, message) => self.send(router, &to, *message),
            Effect::Persist(image) => self.persist(router, image),
            Effect::Lease(effect) => self.apply_lease_effect(router, effect),
            Effect::Inspect(to, op, question) => {
                let answer = commands::inspect(&self.node.borrow(), &question, now);
                if let Some(answer) = answer {
                    let mut node = self.node.borrow_mut();
                    node.inspection_answered(&to, op, answer);
                }
            }
            Effect::OperatorResponse(op, response) => {
                self.pending_requests.borrow_mut().answer(op, response);
            }
            Effect::Log(level, line) => log(level, &line),
        }
    }

    fn apply_lease_effect(&self, router: &Router, effect: LeaseEffect) {
        match effect {
            LeaseEffect::CheckPolicy(document) => self.answer_policy_check(&document),
            LeaseEffect::ApplyPolicy(document) => self.apply_policy(router, &document),
            LeaseEffect::Members(_) => {}
            LeaseEffect::MachinesOut(index, machines) => {
                self.machines_out_changed(router, index, &machines);
            }
            LeaseEffect::Log(line) => tracing::info!("{line}"),
        }
    }

    fn answer_policy_check(&self, document: &PolicyDocument) {
        let proposal = document.number;
        let author = &document.author;
        let verdict = self.check_policy(document);
        match &verdict {
            Verdict::Fits => tracing::info!(%proposal, %author, "policy: proposal accepted"),
            Verdict::Refused(reason) => {
                tracing::info!(%proposal, %author, %reason, "policy: proposal rejected");
            }
        }
        self.node.borrow_mut().policy_checked(proposal, verdict);
    }

    fn send(self: &Rc<Self>, router: &Rc<Router>, to: &Member, message: PeerMessage) {
        let address = self
            .node
            .borrow()
            .members
            .get(to)
            .and_then(|member| member.address.parse().ok());
        let Some(address) = address else { return };
        let mut peers = self.peers.borrow_mut();
        let peer = peers
            .entry(to.clone())
            .or_insert_with(|| PeerTransport::open(router, self, to.clone(), address));
        peer.set_address(address);
        peer.send(message);
    }

    /// Closes connections to routers that are no longer members.
    pub(super) fn close_removed_peers(&self) {
        let node = self.node.borrow();
        self.peers.borrow_mut().retain(|member, peer| {
            let is_member = node.members.contains_key(member);
            if !is_member {
                peer.close();
            }
            is_member
        });
    }

    /// Writes the replica's state on another thread, so that the event loop does not wait for the disk.
    fn persist(self: &Rc<Self>, router: &Router, image: Vec<u8>) {
        let version = self.persisted_version.get() + 1;
        self.persisted_version.set(version);
        let fleet = Rc::clone(self);
        let folder = self.folder.clone();
        let clock = router.clock;
        let mut journal = self.journal.borrow_mut().take();
        let requested_at = clock.now();
        let task = async move {
            let write = move || {
                let began_at = clock.now();
                let result = replica_file::persist(&folder, &mut journal, version, &image);
                let times = WriteTimes {
                    waited: began_at.since(requested_at),
                    wrote: clock.now().since(began_at),
                };
                (result, journal, times)
            };
            let (result, journal, times) = blocking::unblock(write).await;
            fleet.log_slow_write(clock.now(), requested_at, times);
            *fleet.journal.borrow_mut() = journal;
            let result = result.map_err(|error| error.to_string());
            fleet.node.borrow_mut().persisted(clock.now(), result);
            fleet.wake.notify(1);
        };
        router.spawn(Stage::Fleet, 0, task).detach();
    }
}

/// The durations of one write of the replica's state, measured on the thread that wrote it.
#[derive(Clone, Copy)]
struct WriteTimes {
    /// From the request of the write until a thread began it.
    waited: Micros,
    /// The write itself, including the sync.
    wrote: Micros,
}

impl Fleet {
    /// Logs a slow write with the time spent waiting for a thread and the time spent on the disk; the rest of the total
    /// passed before this task ran again. Repeated log lines are limited.
    fn log_slow_write(&self, now: Micros, requested_at: Micros, times: WriteTimes) {
        let total = now.since(requested_at);
        if total < SLOW_WRITE_THRESHOLD {
            return;
        }
        if let Some(count) = self.slow_writes.count(now) {
            tracing::info!(
                total_ms = total.0 / 1000,
                thread_after_ms = times.waited.0 / 1000,
                write_ms = times.wrote.0 / 1000,
                count,
                "fleet: slow write of the replica's state"
            );
        }
    }
}

/// Writes a log line of the state machines, which have no logger and return their log lines as effects.
fn log(level: LogLevel, line: &str) {
    match level {
        LogLevel::Error => tracing::error!("{line}"),
        LogLevel::Info => tracing::info!("{line}"),
        LogLevel::Debug => tracing::debug!("{line}"),
    }
}
