//! Drives this router's [`FleetNode`](ternpick_fleet_policy::FleetNode) in turns, on one task: hands it what has been
//! received and what time it is, and carries out its effects. Started once by `lifecycle::start`.

use std::net::SocketAddr;
use std::rc::Rc;

use futures_lite::future;
use ternpick::types::Micros;
use ternpick_store::DirectoryLock;

use super::{peer_listener, random_u64, replica_file, settings, sleep_until, Fleet};
use crate::router::Router;

/// How often a router that waits for its folder, or for a write, looks again.
const POLL_INTERVAL: Micros = Micros(20_000);
/// A turn that begins so long after it was due is logged: leases and barriers wait for it.
const LATE_TURN: Micros = Micros(50_000);
/// Rounds of effects in one turn; the rest waits until other tasks have run.
const MAX_ROUNDS: usize = 16;
/// How long leadership may take to pass to another voter, before this process gives up its replica.
const LEADERSHIP_TRANSFER_TIMEOUT: Micros = Micros(150_000);

/// Takes part in the fleet for as long as this process accepts clients. One that has handed over no longer acts for its
/// member, and takes the folder, the replica and the listener again if it has to take over.
pub(crate) async fn run(router: Rc<Router>, fleet: Rc<Fleet>) {
    loop {
        wait_until_accepting(&router).await;
        let Some(lock) = lock_folder(&router, &fleet).await else {
            continue;
        };
        let Some(address) = fleet.address() else {
            tracing::error!(member = %fleet.me, "fleet: no address, the router is no member in its settings");
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
        // Accepting may have begun just before the listener was made.
        if !router.listener.is_accepting() {
            changed.await;
        }
    }
}

/// Waits for the folder's lock; none: this process no longer accepts clients.
async fn lock_folder(router: &Router, fleet: &Fleet) -> Option<DirectoryLock> {
    let mut is_logged = false;
    while router.listener.is_accepting() {
        match ternpick_store::lock_directory(&fleet.folder) {
            Ok(Some(lock)) => return Some(lock),
            Ok(None) if !is_logged => {
                let folder = fleet.folder.display();
                tracing::info!(%folder, "fleet: waiting for another process to leave the folder");
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
    let listening = router.executor.spawn(peer_listener::serve(
        Rc::clone(router),
        Rc::clone(fleet),
        listener,
    ));
    drive_while_accepting(router, fleet).await;
    transfer_leadership(router, fleet).await;
    // What others send on connections that they have here is for the next process.
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
        // Both are listened to before the turn: what happens within it is not missed.
        let wake = fleet.wake.listen();
        let accepting_changed = router.listener.accepting_changed();
        let due = fleet.run_turn(router);
        let time = sleep_until(router, due);
        future::or(future::or(wake, accepting_changed), time).await;
        fleet.log_late_turn(router.clock.now(), due);
    }
}

/// Transfers leadership, if it is here, and waits a little for that: otherwise the fleet finds out by an election timeout.
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

/// Ends what acts for the member here, after a write that is under way. The lease stays until it expires: this process may
/// have connections whose requests it still admits.
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
    /// One turn: what was received, what time has brought, and their effects. Returns when the next turn is due.
    fn run_turn(self: &Rc<Self>, router: &Rc<Router>) -> Micros {
        let report_due = self.report_maintenance(router);
        for _ in 0..MAX_ROUNDS {
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

    /// Logs a turn that began late: other tasks of this thread, or other processes, had the processor. Bounded under
    /// repetition.
    fn log_late_turn(&self, now: Micros, due: Micros) {
        let late = now.since(due);
        if late < LATE_TURN {
            return;
        }
        if let Some(count) = self.late_turns.count(now) {
            let late_ms = late.0 / 1000;
            tracing::info!(late_ms, count, "fleet: the event loop was late");
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
