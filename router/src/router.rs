//! The state of one router, which all its tasks share.
//!
//! Each part of the state has one owning type in `state/`, `stages/` or `fleet/`, whose methods are the only way to
//! change it. All tasks run on one thread; no task holds a borrow of [`Decisions`] across an await.

use std::cell::RefCell;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use event_listener::Event;
use futures_lite::future;
use ternpick::routing::RoutingEngine;
use ternpick::shutdown::ShutdownSchedule;
use ternpick::types::Micros;
use ternpick_platform_config::Bounds;

use crate::fleet::Fleet;
use crate::lifecycle::clock::Clock;
use crate::stages::auth_filter::AuthFilter;
use crate::stages::completion::EffectQueue;
use crate::state::client_transfer::ClientTransfer;
use crate::state::client_turns::ClientTurns;
use crate::state::clients::{Clients, Registration};
use crate::state::descriptors::Descriptors;
use crate::state::discovery::DiscoveryState;
use crate::state::listener::ListenerState;
use crate::state::log_limit::LogLimit;
use crate::state::memory_budget::MemoryBudget;
use crate::state::predecessor_ids::PredecessorIds;
use crate::state::requests::RequestState;
use crate::state::shutdown::ShutdownState;
use crate::state::turns::{Stage, Turns, LATE_AFTER};

/// The time in which the poller certainly looks at all sockets, unless the process is held up again.
const POLL_TIME: Duration = Duration::from_millis(1);
/// The longest extension of a peer's deadline that this process has noticed late.
const MAX_EXTENSION: Micros = Micros(50_000);

/// The routing engine, and the effects that it has requested and that are not carried out yet.
pub(crate) struct Decisions {
    /// Makes the routing decisions; independent of protocols and I/O.
    pub(crate) engine: RoutingEngine,
    /// The queries and attempts in flight, and the effects that the engine has requested.
    pub(crate) effects: EffectQueue,
}

/// The state that the tasks of one router share. No task holds a borrow of its [`Decisions`] across an await.
pub(crate) struct Router {
    /// Monotonic time since the start of the process.
    pub(crate) clock: Clock,
    /// Limits of the platform configuration that the router itself enforces.
    pub(crate) bounds: Rc<Bounds>,
    /// The budget of file descriptors, by kind of peer.
    pub(crate) descriptors: Rc<Descriptors>,
    /// The budget of memory for data received from and sent to peers.
    pub(crate) budget: Rc<MemoryBudget>,
    /// Client connections without a complete request, by state.
    pub(crate) clients: Rc<Clients>,
    /// Client connections with requests sent ahead, which take turns.
    pub(crate) client_turns: Rc<ClientTurns>,
    /// The single-threaded executor of all tasks.
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    /// The routing engine with its effects; inputs go through [`Router::apply`].
    pub(crate) decisions: RefCell<Decisions>,
    /// The auth filter; without it, every client may send queries.
    pub(crate) auth: Option<AuthFilter>,
    /// The fleet whose policy this router applies; without it, the router uses its own settings alone.
    pub(crate) fleet: Option<Rc<Fleet>>,
    /// Notified after each input. The turn that follows carries out the effects of all inputs applied by then.
    pub(crate) input_applied: Event,
    /// The address of discovery, and how much of the endpoint list is known.
    pub(crate) discovery: DiscoveryState,
    /// Whether this process is stopping, and the schedule of its shutdown.
    pub(crate) shutdown: ShutdownState,
    /// Stops and reloads, and the other process of a hot restart.
    pub(crate) requests: RequestState,
    /// Whether this process accepts client connections.
    pub(crate) listener: ListenerState,
    /// Counts queries rejected at admission, and limits how often they are logged.
    pub(crate) rejections: LogLimit,
    /// The wait for the ids that the old process of a hot restart has forwarded.
    pub(crate) predecessor_ids: PredecessorIds,
    /// Measures the turns of tasks and the lateness of timers.
    pub(crate) turns: Rc<Turns>,
    /// Client connections to be passed to a new process.
    pub(crate) client_transfer: ClientTransfer,
}

impl Router {
    /// Starts a task whose turns are measured. `peer` identifies the task's connection in the log, see
    /// [`Turns::measure`].
    pub(crate) fn spawn<T: 'static>(
        &self,
        stage: Stage,
        peer: u64,
        task: impl Future<Output = T> + 'static,
    ) -> Task<T> {
        let turns = Rc::clone(&self.turns);
        let measured = async move { turns.measure(stage, peer, task).await };
        self.executor.spawn(measured)
    }

    /// Passes one input to the routing engine. The effects that the engine requests are queued, and carried out once
    /// all inputs that are ready have been applied.
    pub(crate) fn apply<R>(
        &self,
        input: impl FnOnce(&mut RoutingEngine, Micros, &mut EffectQueue) -> R,
    ) -> R {
        let mut decisions = self.decisions.borrow_mut();
        let Decisions { engine, effects } = &mut *decisions;
        let now = self.clock.now();
        effects.now = now;
        if effects.overdue_since(now).is_some() {
            // The next turn reads what has arrived before anything is decided.
            engine.defer_decisions();
        }
        let result = input(engine, now, effects);
        if std::mem::take(&mut effects.watch_wanted) {
            self.discovery.request_watch();
        }
        self.input_applied.notify(1);
        result
    }

    /// Returns the output of `operation`, or `None` if `deadline` passes first. Without a deadline, waits for the
    /// output.
    pub(crate) async fn with_deadline<T>(
        &self,
        deadline: Option<Micros>,
        operation: impl Future<Output = T>,
    ) -> Option<T> {
        let Some(deadline) = deadline else {
            return Some(operation.await);
        };
        let late = async {
            Timer::at(self.clock.instant(deadline)).await;
            None
        };
        future::or(async { Some(operation.await) }, late).await
    }

    /// Returns the output of an operation that waits for a peer, or `None` if `deadline` passes first. If this process
    /// itself notices the deadline late, the operation may first handle what has arrived since.
    pub(crate) async fn with_peer_deadline<T>(
        &self,
        deadline: Option<Micros>,
        operation: impl Future<Output = T>,
    ) -> Option<T> {
        let mut operation = pin!(operation);
        let output = self.with_deadline(deadline, operation.as_mut()).await;
        let now = self.clock.now();
        let lateness = deadline.map_or(Micros(0), |deadline| now.since(deadline));
        if output.is_some() || lateness <= LATE_AFTER {
            return output;
        }
        let extension = lateness.min(MAX_EXTENSION);
        self.with_deadline(Some(now + extension), operation).await
    }

    /// Waits until the bytes that have arrived so far have been read, after this process was held up.
    pub(crate) async fn read_arrived(&self) {
        // The poller finds all bytes that have arrived before it fires this timer, and wakes their tasks. These run
        // before the calling task does so again.
        Timer::after(POLL_TIME).await;
        future::yield_now().await;
    }

    /// Returns the earlier of `deadline` and, during a shutdown, the instant that `shutdown_deadline` selects from its
    /// schedule, because the process may have exited after that.
    pub(crate) fn before_shutdown(
        &self,
        deadline: Option<Micros>,
        shutdown_deadline: impl Fn(ShutdownSchedule) -> Micros,
    ) -> Option<Micros> {
        deadline
            .into_iter()
            .chain(self.shutdown.schedule().map(shutdown_deadline))
            .min()
    }

    /// If connections hold more memory than they may, asks the one that holds most to close, among those that may be
    /// closed.
    pub(crate) fn close_largest_if_over_budget(&self) {
        if self.budget.is_over() {
            self.clients.close_largest();
        }
    }

    /// Lets a connection that holds `held_bytes` of complete requests or responses be closed if memory is short. A
    /// process that hands over to another one keeps it: its share of the memory is what it used as that began, and what
    /// it has read is still answered.
    pub(crate) fn limit_held_bytes(&self, registration: &Registration, held_bytes: usize) {
        if self.client_transfer.is_active() {
            return;
        }
        registration.set_held_bytes(held_bytes);
        self.close_largest_if_over_budget();
    }

    /// Whether a shutdown has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.shutdown.schedule().is_some()
    }
}
