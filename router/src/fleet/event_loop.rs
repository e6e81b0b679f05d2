//! Drives this router's [`FleetNode`](ternpick_fleet_policy::FleetNode) in turns, on one task. Each turn passes the
//! received messages and the time to the node, and carries out its effects. `lifecycle::start` starts the task once.

use std::net::SocketAddr;
use std::rc::Rc;

use futures_lite::future;
use ternpick::types::Micros;
use ternpick_store::DirectoryLock;

use super::{peer_listener, random_u64, replica_file, settings, sleep_until, Fleet};
use crate::router::Router;
use crate::state::turns::{Stage, LATE_AFTER};

/// How often a router polls while it waits for the folder's lock, or for a write to finish.
const POLL_INTERVAL: Micros = Micros(20_000);
/// Turns that begin at least this long after they were due are logged, because leases and barriers wait for them.
const LATE_TURN_THRESHOLD: Micros = Micros(50_000);
/// The maximum number of effect rounds in one turn. Further rounds wait until other tasks have run.
const MAX_EFFECT_ROUNDS: usize = 16;
/// How long this process waits for leadership to pass to another voter, before it gives up its replica.
const LEADERSHIP_TRANSFER_TIMEOUT: Micros = Micros(150_000);

/// Participates in the fleet while this process accepts clients. After a hot restart the old process no longer acts
/// for its member; it takes the folder, the replica and the listener again if it has to resume.
pub(crate) async fn run(router: Rc<Router>, fleet: Rc<Fleet>) {
    loop {
        wait_until_accepting(&router).await;
        let Some(lock) = lock_folder(&router, &fleet).await else {
            continue;
        };
        let Some(address) = fleet.address() else {
            tracing::error!(member = %fleet.me, "fleet: participation not started, neither the settings nor the fleet have a peer address for this router");
            return;
        };
        participate(&router, &fleet, address).await;
        drop(lock);
        tracing::info!(member = %fleet.me, "fleet: participation of this process ended");
    }
}

async fn wait_until_accepting(router: &Router) {
    while !router.listener.is_accepting() {
        let changed = router.listener.accepting_changed();
        // Accepting may have begun just before `changed` started to listen.
        if !router.listener.is_accepting() {
            changed.await;
        }
    }
}

/// Waits for the folder's lock. Returns `None` if this process no longer accepts clients.
async fn lock_folder(router: &Router, fleet: &Fleet) -> Option<DirectoryLock> {
    let mut is_logged = false;
    while router.listener.is_accepting() {
        match ternpick_store::lock_directory(&fleet.folder) {
            Ok(Some(lock)) => return Some(lock),
            Ok(None) if !is_logged => {
                let folder = fleet.folder.display();
                tracing::info!(%folder, "fleet: folder is locked by another process, waiting");
                is_logged = true;
            }
            Err(error) if !is_logged => {
                tracing::error!(%error, "fleet: cannot lock the folder");
                is_logged = true;
            }
            Ok(None) | Err(_) => {}
        }
        sleep_until(router, router.clock.now() + POLL_INTERVAL).await;
    }
    None
}

/// Acts for the member until this process no longer accepts clients.
async fn participate(router: &Rc<Router>, fleet: &Rc<Fleet>, address: SocketAddr) {
    let raft_config = settings::raft_config(&fleet.settings);
    let file = replica_file::load(&fleet.folder, fleet.id, raft_config, random_u64());
    *fleet.journal.borrow_mut() = file.journal;
    fleet
        .node
        .borrow_mut()
        .start(router.clock.now(), file.replica);
    let listener = peer_listener::bind(router, address).await;
    tracing::info!(member = %fleet.me, %address, fleet = %fleet.settings.name, "fleet: listening for peers");
    let serve = peer_listener::serve(Rc::clone(router), Rc::clone(fleet), listener);
    let listening = router.spawn(Stage::Fleet, 0, serve);
    drive_while_accepting(router, fleet).await;
    transfer_leadership(router, fleet).await;
    // Peers have to send to the next process, so this one no longer reads their connections.
    drop(listening);
    fleet.participation_ended.notify(usize::MAX);
    leave(router, fleet).await;
}

async fn drive_while_accepting(router: &Rc<Router>, fleet: &Rc<Fleet>) {
    let mut is_leadership_offered = false;
    while router.listener.is_accepting() {
        if router.is_stopping() && !is_leadership_offered {
            is_leadership_offered = true;
            let mut node = fleet.node.borrow_mut();
            node.transfer_leadership(router.clock.now());
        }
        // Listen to both events before the turn, so that notifications during the turn are not missed.
        let wake = fleet.wake.listen();
        let accepting_changed = router.listener.accepting_changed();
        let due = fleet.run_turn(router);
        let time = sleep_until(router, due);
        future::or(future::or(wake, accepting_changed), time).await;
        let now = router.clock.now();
        fleet.log_late_turn(now, due);
        if now.since(due) > LATE_AFTER {
            // Otherwise this process's own delay counted as silence of its peers.
            router.read_arrived().await;
        }
    }
}

/// Transfers leadership if this router is the leader, and waits briefly for the transfer. Without it, the other members
/// notice the missing leader only after an election timeout.
async fn transfer_leadership(router: &Rc<Router>, fleet: &Rc<Fleet>) {
    let deadline = router.clock.now() + LEADERSHIP_TRANSFER_TIMEOUT;
    fleet
        .node
        .borrow_mut()
        .transfer_leadership(router.clock.now());
    while fleet.node.borrow().is_leader() && router.clock.now() < deadline {
        let wake = fleet.wake.listen();
        let due = fleet.run_turn(router).min(deadline);
        future::or(wake, sleep_until(router, due)).await;
    }
}

/// Closes the connections to peers and suspends the node, once a write in progress has finished. The lease stays until
/// it expires, because this process may still admit requests of its open connections.
async fn leave(router: &Router, fleet: &Fleet) {
    for peer in std::mem::take(&mut *fleet.peers.borrow_mut()).into_values() {
        peer.close();
    }
    while fleet.node.borrow().is_persisting() {
        sleep_until(router, router.clock.now() + POLL_INTERVAL).await;
    }
    fleet
        .node
        .borrow_mut()
        .suspend(router.clock.now(), random_u64());
}

impl Fleet {
    /// Runs one turn: processes received messages and elapsed time, and applies the effects. Returns when the next
    /// turn is due.
    fn run_turn(self: &Rc<Self>, router: &Rc<Router>) -> Micros {
        let report_due = self.report_maintenance(router);
        for _ in 0..MAX_EFFECT_ROUNDS {
            let now = router.clock.now();
            self.step_received(now);
            let effects = self.node.borrow_mut().tick(now);
            if effects.is_empty() {
                break;
            }
            for effect in effects {
                self.apply_effect(router, effect, now);
            }
            self.admission_changed.notify(usize::MAX);
        }
        self.close_removed_peers();
        let node_due = self.node.borrow().next_deadline(router.clock.now());
        report_due.map_or(node_due, |report_due| node_due.min(report_due))
    }

    /// Logs a turn that began late because other tasks of this thread, or other processes, occupied the processor.
    /// Repeated log lines are limited.
    fn log_late_turn(&self, now: Micros, due: Micros) {
        let late = now.since(due);
        if late < LATE_TURN_THRESHOLD {
            return;
        }
        if let Some(count) = self.late_turns.count(now) {
            let late_ms = late.0 / 1000;
            tracing::info!(late_ms, count, "fleet: turn of the event loop began late");
        }
    }

    fn step_received(&self, now: Micros) {
        while let Some(messages) = self.next_messages() {
            for received in messages {
                let mut node = self.node.borrow_mut();
                node.step(now, &received.from, received.message);
            }
        }
    }
}
