//! The stages that a request passes: take_in, admit, route, send, relay, book.

pub mod admission;
pub mod auth_filter;
pub mod completion;
pub mod dispatch;
pub mod listener;
pub mod stream;
pub mod upstream_reader;
pub mod upstream_writer;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::Future;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use async_executor::LocalExecutor;
use async_io::Timer;
use event_listener::Event;
use futures_lite::future;
use ternpick::routing::RoutingEngine;
use ternpick::shutdown::Shutdown;
use ternpick::types::Micros;
use ternpick_platform_config::Bounds;

use crate::fleet::Fleet;
use crate::lifecycle::clock::Clock;
use crate::memory::budget::Budget;
use crate::memory::clients::Clients;
use crate::memory::descriptors::Descriptors;
use crate::stages::auth_filter::AuthFilter;
use crate::stages::completion::EffectQueue;

/// The decisions and the books that they act on.
pub struct Decisions {
    pub engine: RoutingEngine,
    pub effects: EffectQueue,
}

/// One router: what its tasks share. No borrow of the desk is held while a task waits.
pub struct Router {
    pub clock: Clock,
    pub bounds: Rc<Bounds>,
    pub descriptors: Rc<Descriptors>,
    pub budget: Rc<Budget>,
    pub clients: Rc<Clients>,
    pub executor: Rc<LocalExecutor<'static>>,
    pub decisions: RefCell<Decisions>,
    /// Who may ask; none: everybody.
    pub auth: Option<AuthFilter>,
    /// The fleet that this router agrees with on its policy; none: it goes by its own settings alone.
    pub fleet: Option<Rc<Fleet>>,
    /// An input has been played, so orders may wait to be carried out.
    pub input_applied: Event,
    /// The module wants the roster watched.
    pub watch_requested: Event,
    /// Where discovery is, and told when it has moved.
    pub discovery: Cell<SocketAddr>,
    pub discovery_moved: Event,
    /// By when what is owed, once the router was told to stop.
    pub shutdown: Cell<Option<Shutdown>>,
    /// Whether clients are accepted, and told when that changes.
    pub accepting: Cell<bool>,
    pub accepting_changed: Event,
    /// Clients' connections that stand idle go to a new process: those that are to go, told when one has come, and told
    /// when it begins.
    pub passing_clients: Cell<bool>,
    pub passed_clients: RefCell<VecDeque<(TcpStream, Vec<u8>)>>,
    pub client_passed: Event,
    pub passing_clients_changed: Event,
    /// The version of the roster that is known.
    pub endpoint_list_version: Cell<u64>,
    /// Everything has gone over to a new process.
    pub handed_over: Cell<bool>,
    /// The router is to stop, by a command, or has nothing left.
    pub stop_requested: Event,
    /// Told when the listener is to go.
    pub listener_closing: Event,
    /// The listener is gone: a connection ends with the request on it, at once if it has none.
    pub listener_closed: Cell<bool>,
}

impl Router {
    /// Plays one input. What the module wants done is noted, and carried out when all inputs that are ready
    /// have been played.
    pub fn apply<R>(
        &self,
        input: impl FnOnce(&mut RoutingEngine, Micros, &mut EffectQueue) -> R,
    ) -> R {
        let mut desk = self.decisions.borrow_mut();
        let Decisions {
            engine: brain,
            effects: office,
        } = &mut *desk;
        let now = self.clock.now();
        office.now = now;
        let result = input(brain, now, office);
        if std::mem::take(&mut office.watch_wanted) {
            self.watch_requested.notify(1);
        }
        self.input_applied.notify(1);
        result
    }

    /// What comes of `what`, or nothing once the time is up; without a time it is waited for.
    pub async fn with_deadline<T>(
        &self,
        at: Option<Micros>,
        what: impl Future<Output = T>,
    ) -> Option<T> {
        let Some(at) = at else {
            return Some(what.await);
        };
        let late = async {
            Timer::at(self.clock.instant(at)).await;
            None
        };
        future::or(async { Some(what.await) }, late).await
    }

    /// A time that the process may not be there to keep: sooner in a stop.
    pub fn before_shutdown(
        &self,
        at: Option<Micros>,
        by: impl Fn(Shutdown) -> Micros,
    ) -> Option<Micros> {
        at.into_iter().chain(self.shutdown.get().map(by)).min()
    }

    pub fn is_stopping(&self) -> bool {
        self.shutdown.get().is_some()
    }
}
