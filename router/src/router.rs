//! One router: the owners of its state, as its tasks share them.
//!
//! Each part of the state has one owner in `state/`, `stages/` or `fleet/`, with methods that say what may be done to it.
//! All tasks run on one thread; no borrow of [`Decisions`] is held while a task waits.

use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;

use async_executor::LocalExecutor;
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
use crate::state::clients::Clients;
use crate::state::descriptors::Descriptors;
use crate::state::discovery::DiscoveryState;
use crate::state::listener::ListenerState;
use crate::state::log_limit::LogLimit;
use crate::state::memory_budget::MemoryBudget;
use crate::state::shutdown::ShutdownState;

/// The decision module, and the effects that it has asked for and that are yet to be carried out.
pub(crate) struct Decisions {
    /// Decides, and knows no protocol.
    pub(crate) engine: RoutingEngine,
    /// What is in flight, and what the engine wants done.
    pub(crate) effects: EffectQueue,
}

/// One router: what its tasks share. No borrow of its [`Decisions`] is held while a task waits.
pub(crate) struct Router {
    /// Monotonic time since the start.
    pub(crate) clock: Clock,
    /// Limits of the platform's configuration that the router itself keeps.
    pub(crate) bounds: Rc<Bounds>,
    /// File descriptors, by kind of peer.
    pub(crate) descriptors: Rc<Descriptors>,
    /// Memory that peers make this process hold.
    pub(crate) budget: Rc<MemoryBudget>,
    /// Connections of clients, by state.
    pub(crate) clients: Rc<Clients>,
    /// Runs all tasks, on one thread.
    pub(crate) executor: Rc<LocalExecutor<'static>>,
    /// The decision module with its effects; changed through [`Router::apply`].
    pub(crate) decisions: RefCell<Decisions>,
    /// Who may send queries; without it everybody may.
    pub(crate) auth: Option<AuthFilter>,
    /// The fleet whose policy this router goes by; without it the router goes by its own settings alone.
    pub(crate) fleet: Option<Rc<Fleet>>,
    /// Notified after each input, so that its effects are carried out once all inputs that are ready have been applied.
    pub(crate) input_applied: Event,
    /// Where discovery is, and how far the endpoint list is known.
    pub(crate) discovery: DiscoveryState,
    /// Whether and how this process ends.
    pub(crate) shutdown: ShutdownState,
    /// Whether clients are accepted.
    pub(crate) listener: ListenerState,
    /// Queries that were rejected at admission.
    pub(crate) rejections: LogLimit,
    /// Connections of clients on their way to a new process.
    pub(crate) client_transfer: ClientTransfer,
}

impl Router {
    /// Gives one input to the decision module. What it wants done is queued, and carried out once all inputs that are ready
    /// have been applied.
    pub(crate) fn apply<R>(
        &self,
        input: impl FnOnce(&mut RoutingEngine, Micros, &mut EffectQueue) -> R,
    ) -> R {
        let mut decisions = self.decisions.borrow_mut();
        let Decisions { engine, effects } = &mut *decisions;
        let now = self.clock.now();
        effects.now = now;
        let result = input(engine, now, effects);
        if std::mem::take(&mut effects.watch_wanted) {
            self.discovery.request_watch();
        }
        self.input_applied.notify(1);
        result
    }

    /// The outcome of `operation`, or nothing once `deadline` has come; without a deadline it is waited for.
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

    /// The earlier of `at` and, in a shutdown, the instant that `by` picks of its schedule: later the process may be gone.
    pub(crate) fn before_shutdown(
        &self,
        at: Option<Micros>,
        by: impl Fn(ShutdownSchedule) -> Micros,
    ) -> Option<Micros> {
        at.into_iter().chain(self.shutdown.schedule().map(by)).min()
    }

    /// Whether a shutdown is under way.
    pub(crate) fn is_stopping(&self) -> bool {
        self.shutdown.schedule().is_some()
    }
}
