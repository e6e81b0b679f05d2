//! The watch of the endpoint list at discovery. Calls follow one another until one fails; then the routing engine
//! requests the next call. An overdue call is read on while the next ones are made (`discovery_calls.rs`).
//!
//! The watch is one task of the router. `endpoint_list.rs` applies the lists.

use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use event_listener::EventListener;
use futures_lite::future;
use serde_json::Value;
use ternpick::types::Micros;
use ternpick::watch_schedule::WatchSchedule;
use ternpick_wire::discovery;

use crate::lifecycle::discovery_calls::{self, CallTerms, EndedCall, OpenCalls, WatchError};
use crate::lifecycle::endpoint_list::{apply_endpoint_list, MalformedList};
use crate::router::Router;

/// The delay after a response that has no changes and came before the requested wait was over. Some discovery services
/// end each watch after 200 ms.
const EARLY_RESPONSE_PAUSE: Duration = Duration::from_millis(100);

/// The shortest time from the start of a call to that of the next. A list that changes without end would otherwise take
/// up the router's time. Discovery regards a watch as unbroken if the next call comes within 200 ms.
const MIN_CALL_INTERVAL: Micros = Micros(20_000);

/// What the watch does next.
enum WatchEvent {
    /// The address of discovery has changed.
    DiscoveryMoved,
    /// The routing engine requests a call.
    CallRequested,
    /// The current call is overdue.
    CurrentOverdue,
    /// A call has ended.
    Ended(EndedCall),
}

/// Watches the endpoint list when the routing engine requests it, from the version that the router started with.
pub(crate) async fn watch(router: Rc<Router>, schedule: WatchSchedule) {
    let mut watch = EndpointWatch::new(router, schedule);
    loop {
        watch.step().await;
    }
}

struct EndpointWatch {
    router: Rc<Router>,
    schedule: WatchSchedule,
    /// The address of discovery for the last call.
    discovery: SocketAddr,
    /// The connection of the last call, if it can be reused.
    connection: Option<Async<TcpStream>>,
    calls: OpenCalls,
    /// The last known version, after which changes are requested; without it the complete list is requested.
    known_version: Option<u64>,
    /// Whether calls follow one another; otherwise the watch waits for a request of the routing engine.
    active: bool,
    requested: EventListener,
    /// Whether the next request is the first one, which uses the version that the router started with.
    first_request: bool,
    /// Whether the last call failed.
    failing: bool,
}

impl EndpointWatch {
    fn new(router: Rc<Router>, schedule: WatchSchedule) -> Self {
        EndpointWatch {
            schedule,
            discovery: router.discovery.address(),
            connection: None,
            calls: OpenCalls::default(),
            known_version: None,
            active: false,
            requested: router.discovery.watch_requested(),
            first_request: true,
            failing: false,
            router,
        }
    }

    /// Begins a call if one is due, then handles the next event.
    async fn step(&mut self) {
        let moved = self.router.discovery.moved();
        self.follow_discovery();
        if self.active && !self.calls.has_current() {
            self.begin_call();
        }
        match self.next_event(moved).await {
            WatchEvent::DiscoveryMoved => {}
            WatchEvent::CallRequested => self.call_requested(),
            WatchEvent::CurrentOverdue => {
                self.calls.mark_overdue(self.router.clock.now());
                self.failed(&WatchError::TimedOut);
            }
            WatchEvent::Ended(call) => self.ended(call).await,
        }
    }

    /// If discovery's address has changed, requests the complete list from the new address: versions need not continue
    /// from those at the old address, and nodes that the new list lacks are gone.
    fn follow_discovery(&mut self) {
        let address = self.router.discovery.address();
        if address == self.discovery {
            return;
        }
        self.discovery = address;
        self.active = true;
        self.connection = None;
        self.calls.close_all();
        self.failing = false;
        self.known_version = None;
    }

    fn begin_call(&mut self) {
        let terms = CallTerms {
            began: self.router.clock.now(),
            poll: self.schedule.next(self.known_version.is_some()),
            after: self.known_version,
        };
        let router = Rc::clone(&self.router);
        let connection = self.connection.take();
        let exchange = discovery_calls::call(router, self.discovery, connection, terms);
        self.calls.begin(terms, exchange);
    }

    async fn next_event(&mut self, moved: EventListener) -> WatchEvent {
        let overdue_at = self.calls.overdue_at();
        let is_active = self.active;
        let requested = &mut self.requested;
        let calls = &mut self.calls;
        let moved = async {
            moved.await;
            WatchEvent::DiscoveryMoved
        };
        let requested = async {
            if is_active {
                future::pending::<()>().await;
            }
            requested.await;
            WatchEvent::CallRequested
        };
        let ended = async { WatchEvent::Ended(calls.next_ended().await) };
        let event = future::or(moved, future::or(ended, requested));
        self.router
            .with_peer_deadline(overdue_at, event)
            .await
            .unwrap_or(WatchEvent::CurrentOverdue)
    }

    fn call_requested(&mut self) {
        self.requested = self.router.discovery.watch_requested();
        self.active = true;
        if self.first_request {
            self.first_request = false;
            self.known_version = Some(self.router.discovery.list_version());
        }
    }

    /// Applies the response of a call that has ended. The failure of an overdue call changes nothing, as a later call
    /// has begun or will begin.
    async fn ended(&mut self, call: EndedCall) {
        let terms = call.terms;
        let applied = call.result.and_then(|response| {
            let version = self.apply(terms, &response.list)?;
            Ok((version, response.connection))
        });
        match applied {
            Ok((version, connection)) => self.succeeded(terms, version, connection).await,
            Err(error) if call.was_current => self.failed(&error),
            Err(error) => tracing::debug!(%error, "endpoint list: overdue watch call failed"),
        }
    }

    /// Applies the list of a response, and returns the version that is known then. A list that discovery made before
    /// one that has been applied in the meantime is ignored.
    fn apply(&self, terms: CallTerms, list: &Value) -> Result<u64, MalformedList> {
        let (version, _) = discovery::version(list).map_err(|error| MalformedList {
            reason: error.to_string(),
        })?;
        match self.known_version {
            Some(known) if is_outdated(terms.after, version, known) => Ok(known),
            _ => apply_endpoint_list(&self.router, list),
        }
    }

    async fn succeeded(
        &mut self,
        terms: CallTerms,
        version: u64,
        connection: Option<Async<TcpStream>>,
    ) {
        self.schedule.answered();
        self.router.discovery.set_list_version(version);
        let unchanged = self.known_version == Some(version);
        let early = self.router.clock.now().since(terms.began) < terms.poll.wait;
        self.known_version = Some(version);
        self.active = true;
        self.failing = false;
        self.calls.close_earlier(terms.began);
        if self.calls.has_current() {
            return;
        }
        self.connection = connection;
        if unchanged && early {
            Timer::after(EARLY_RESPONSE_PAUSE).await;
        } else {
            let next = terms.began + MIN_CALL_INTERVAL;
            Timer::at(self.router.clock.instant(next)).await;
        }
    }

    fn failed(&mut self, error: &WatchError) {
        // Only the first of consecutive failures is logged at info level; the routing engine logs that the watch is
        // lost.
        if self.failing {
            tracing::debug!(%error, "endpoint list: watch call failed");
        } else {
            tracing::info!(%error, "endpoint list: watch call failed");
        }
        self.connection = None;
        self.failing = true;
        // After a call that timed out, the first retry follows at once. When it was made 0.5 to 1 s later instead,
        // behind the calls of all other routers whose watches timed out at the same time, the list arrived after the
        // time from which the nodes' change counts as notified: shard requests went to nodes that had begun to drain.
        let silent = matches!(error, WatchError::TimedOut);
        if self.schedule.failed(silent) {
            return;
        }
        self.active = false;
        // Discards requests that the routing engine made before it learns of this failure.
        self.requested = self.router.discovery.watch_requested();
        self.router
            .apply(|engine, now, effects| engine.endpoint_watch_failed(now, effects));
    }
}

/// Whether a list of `version`, for a call that asked for changes after `asked_after`, is older than the list of version
/// `known`, which a later call brought. If the call asked for changes after the known version, a lower one is that of a
/// discovery which has begun anew.
fn is_outdated(asked_after: Option<u64>, version: u64, known: u64) -> bool {
    asked_after != Some(known) && version < known
}

#[cfg(test)]
mod tests;
