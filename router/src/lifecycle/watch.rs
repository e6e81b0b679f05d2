//! The watch of the endpoint list at discovery: calls one after another until one fails; then the decision module says when
//! to begin again.
//!
//! One task of the router. [`apply_endpoint_list`] also serves the list of the configuration and of a snapshot.

use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use event_listener::EventListener;
use futures_lite::future;
use serde_json::Value;
use ternpick::routing::RoutingEngine;
use ternpick::types::{Endpoint, EndpointState, Micros};
use ternpick::watch_schedule::{Poll, WatchSchedule};
use ternpick_wire::discovery;

use crate::lifecycle::http_client::{self, HttpError};
use crate::router::Router;
use crate::stages::completion::EffectQueue;
use crate::stages::upstream_writer;

/// Pause after a response without news that came before its time: the watch of some services ends after 200 ms.
const EARLY_RESPONSE_PAUSE: Duration = Duration::from_millis(100);

/// An endpoint list that cannot be used.
#[derive(Debug, thiserror::Error)]
#[error("{reason}")]
pub(crate) struct MalformedList {
    reason: String,
}

/// Why a call of the watch has failed.
#[derive(Debug, thiserror::Error)]
enum WatchError {
    #[error("no answer in time")]
    TimedOut,
    #[error("{0}")]
    Http(#[from] HttpError),
    #[error("{0}")]
    Malformed(#[from] MalformedList),
}

/// Applies an endpoint list: nodes' addresses to the router's nodes, the rest to the decision module. Returns its version.
pub(crate) fn apply_endpoint_list(router: &Router, list: &Value) -> Result<u64, MalformedList> {
    let (version, complete) = discovery::version(list).map_err(|error| MalformedList {
        reason: error.to_string(),
    })?;
    let entries = list["endpoints"].as_array().map_or(&[][..], Vec::as_slice);
    router.apply(|engine, now, effects| {
        let endpoints: Vec<Endpoint> = entries
            .iter()
            .filter_map(|entry| apply_entry(router, engine, effects, entry, complete))
            .collect();
        if complete {
            let listed: Vec<_> = endpoints.iter().map(|endpoint| endpoint.node).collect();
            effects.nodes.retire_unlisted(&listed);
            keep_only_in_fleet(router, entries);
        }
        let gone = endpoints
            .iter()
            .filter(|endpoint| endpoint.state == EndpointState::Gone)
            .count();
        let entries = endpoints.len();
        tracing::debug!(version, entries, gone, "endpoint list applied");
        engine.endpoints_changed(now, &endpoints, complete, effects);
        effects.nodes.forget_gone();
    });
    Ok(version)
}

/// One entry of the list as the decision module takes it; nothing for one that cannot be used.
fn apply_entry(
    router: &Router,
    engine: &RoutingEngine,
    effects: &mut EffectQueue,
    entry: &Value,
    complete: bool,
) -> Option<Endpoint> {
    match discovery::parse_entry(entry, &effects.bounds.zone_names) {
        Ok((name, address, mut endpoint)) => {
            if let Some(fleet) = &router.fleet {
                fleet.endpoint_listed(&name, &mut endpoint);
            }
            let (node, address_is_new) = effects.nodes.apply_entry(&name, address, endpoint.state);
            endpoint.node = node;
            // The decision module's lines name nodes by these numbers.
            if address_is_new {
                let node = format_args!("{:x}", node.0);
                tracing::info!(%node, name, %address, "endpoint list: node at a new address");
            }
            Some(endpoint)
        }
        Err(error) => {
            tracing::warn!(%error, %entry, "endpoint list: entry skipped");
            // A complete list that names a node and spoils the rest does not say that it is gone: it stays as it was.
            let name = entry["name"].as_str().filter(|_| complete)?;
            let node = engine.nodes.get(&effects.nodes.id_of(name)?)?;
            Some(node.endpoint)
        }
    }
}

fn keep_only_in_fleet(router: &Router, entries: &[Value]) {
    let Some(fleet) = &router.fleet else {
        return;
    };
    let names = entries
        .iter()
        .filter_map(|entry| entry["name"].as_str())
        .collect();
    fleet.retain_listed_endpoints(&names);
}

/// Watches whenever the decision module wants it, from the version that the router started with.
pub(crate) async fn watch(router: Rc<Router>, schedule: WatchSchedule) {
    let mut watch = EndpointWatch::new(router, schedule);
    loop {
        watch.step().await;
    }
}

struct EndpointWatch {
    router: Rc<Router>,
    schedule: WatchSchedule,
    /// Where the last call went.
    discovery: SocketAddr,
    /// The last call's connection, if it may be used again.
    connection: Option<Async<TcpStream>>,
    /// The version to ask for what is newer than; without it the complete list is asked for.
    known_version: Option<u64>,
    /// Whether calls follow each other; otherwise a request of the decision module is waited for.
    active: bool,
    requested: EventListener,
    /// Whether the version that the router started with is yet to be used.
    first_request: bool,
    /// The last call failed.
    failing: bool,
}

impl EndpointWatch {
    fn new(router: Rc<Router>, schedule: WatchSchedule) -> Self {
        EndpointWatch {
            schedule,
            discovery: router.discovery.address(),
            connection: None,
            known_version: None,
            active: false,
            requested: router.discovery.watch_requested(),
            first_request: true,
            failing: false,
            router,
        }
    }

    /// Waits for a request, or makes one call.
    async fn step(&mut self) {
        let moved = self.router.discovery.moved();
        self.follow_discovery();
        if !self.active {
            self.wait_for_request(moved).await;
            return;
        }
        let began = self.router.clock.now();
        let poll = self.schedule.next(self.known_version.is_some());
        let wait = poll.wait;
        match self.call_unless_moved(moved, began, poll).await {
            None => {}
            Some(Ok(version)) => self.succeeded(version, began, wait).await,
            Some(Err(error)) => self.failed(&error),
        }
    }

    /// Where discovery has moved, it is asked for its complete list: its versions need not go on from the ones at the old
    /// address, and what it does not list is gone.
    fn follow_discovery(&mut self) {
        let address = self.router.discovery.address();
        if address == self.discovery {
            return;
        }
        self.discovery = address;
        self.active = true;
        self.connection = None;
        self.failing = false;
        self.known_version = None;
    }

    async fn wait_for_request(&mut self, moved: EventListener) {
        future::or(&mut self.requested, moved).await;
        self.requested = self.router.discovery.watch_requested();
        self.active = true;
        if self.first_request {
            self.first_request = false;
            self.known_version = Some(self.router.discovery.list_version());
        }
    }

    /// One call, whose list is applied; nothing if discovery moves meanwhile: a call at the old address is left at once.
    async fn call_unless_moved(
        &mut self,
        moved: EventListener,
        began: Micros,
        poll: Poll,
    ) -> Option<Result<u64, WatchError>> {
        let router = Rc::clone(&self.router);
        let called = async {
            let call = self.call(poll.wait);
            let deadline = began + poll.timeout;
            Some(router.with_deadline(Some(deadline), call).await)
        };
        let left = async {
            moved.await;
            None
        };
        let answered = future::or(left, called).await?;
        let list = answered.unwrap_or(Err(WatchError::TimedOut));
        Some(list.and_then(|list| Ok(apply_endpoint_list(&router, &list)?)))
    }

    async fn call(&mut self, wait: Micros) -> Result<Value, WatchError> {
        let stream = match self.connection.take() {
            Some(stream) => stream,
            // A machine that has vanished is found out by the dial, not by the call's far longer wait.
            None => upstream_writer::dial(&self.router, self.discovery)
                .await
                .map_err(|_| HttpError::NotConnected)?,
        };
        let host = self.discovery.to_string();
        let request = discovery::watch_request(&host, self.known_version, wait);
        let response = http_client::exchange(&stream, &request, discovery::MAX_LIST_BYTES).await?;
        if !response.closes_connection() {
            self.connection = Some(stream);
        }
        let list = discovery::parse(response.body()).map_err(|error| MalformedList {
            reason: error.to_string(),
        })?;
        Ok(list)
    }

    async fn succeeded(&mut self, version: u64, began: Micros, wait: Micros) {
        self.schedule.answered();
        self.router.discovery.set_list_version(version);
        let no_news = self.known_version == Some(version);
        let early = self.router.clock.now().since(began) < wait;
        self.known_version = Some(version);
        self.failing = false;
        if no_news && early {
            Timer::after(EARLY_RESPONSE_PAUSE).await;
        }
    }

    fn failed(&mut self, error: &WatchError) {
        // Why, once for each spell of failures; the decision module logs that the list is lost.
        if self.failing {
            tracing::debug!(%error, "endpoint list: watch call failed");
        } else {
            tracing::info!(%error, "endpoint list: watch call failed");
        }
        self.connection = None;
        self.failing = true;
        // The first call after a watch that fell silent follows at once. When it was made half a second to a second later
        // instead, in turn behind all others whose watches fell silent at the same time, the list came after the time from
        // which nodes count as notified: shard requests went to nodes that had begun to drain.
        let silent = matches!(error, WatchError::TimedOut);
        if self.schedule.failed(silent) {
            return;
        }
        self.active = false;
        // What the decision module wanted before it hears of this is out of date.
        self.requested = self.router.discovery.watch_requested();
        self.router
            .apply(|engine, now, effects| engine.endpoint_watch_failed(now, effects));
    }
}
