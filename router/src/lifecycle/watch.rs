//! The watch of the roster: kept up call after call until one fails; then the module says when to ask again.

use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;
use serde_json::Value;
use ternpick::types::{EndpointState, Micros};
use ternpick::watch_schedule::WatchSchedule;

use crate::lifecycle::http_client;
use crate::router::Router;
use crate::stages::upstream_writer;
use ternpick_wire::discovery;

/// Between an answer without news that came before its time and the next call: a watch goes on for 200 ms.
const PAUSE: Duration = Duration::from_millis(100);

/// Takes a list in: the nodes' addresses here, the rest by the module.
pub fn take_list(router: &Router, list: &Value) -> Result<u64, &'static str> {
    let (version, full) = discovery::version(list)?;
    let entries = list["endpoints"].as_array().map_or(&[][..], Vec::as_slice);
    router.apply(|brain, now, out| {
        let mut listings = Vec::with_capacity(entries.len());
        for entry in entries {
            match discovery::entry(entry, &out.bounds.zone_names) {
                Ok((name, address, mut listing)) => {
                    if let Some(fleet) = &router.fleet {
                        fleet.lists(&name, &mut listing);
                    }
                    let (node, news) = out.nodes.list(&name, address, listing.state);
                    listing.node = node;
                    // The module's lines name nodes by these numbers.
                    if news {
                        tracing::info!("roster: node {:x} is {name} at {address}", node.0);
                    }
                    listings.push(listing);
                }
                Err(what) => {
                    tracing::warn!("roster: an entry is skipped, {what}: {entry}");
                    // A whole list that names a node and spoils the rest does not say that it is gone: it stays as it was.
                    let known = entry["name"]
                        .as_str()
                        .and_then(|name| out.nodes.number(name));
                    let known = known
                        .filter(|_| full)
                        .and_then(|node| brain.nodes.get(&node));
                    listings.extend(known.map(|node| node.endpoint));
                }
            }
        }
        if full {
            let listed: Vec<_> = listings.iter().map(|listing| listing.node).collect();
            out.nodes.keep_only(&listed);
            if let Some(fleet) = &router.fleet {
                fleet.lists_only(
                    &entries
                        .iter()
                        .filter_map(|entry| entry["name"].as_str())
                        .collect(),
                );
            }
        }
        let gone = listings
            .iter()
            .filter(|listing| listing.state == EndpointState::Gone)
            .count();
        tracing::debug!(
            "roster: version {version}, {} entries, {gone} gone",
            listings.len()
        );
        brain.endpoints_changed(now, &listings, full, out);
        out.nodes.forget_gone();
    });
    Ok(version)
}

/// Watches whenever the module wants it, from the version that the router started with. Where discovery has
/// moved, the call that is out at the old address is left at once, and the new one is asked for its whole list:
/// its versions need not go on from the old one's, and what it does not list is gone.
pub async fn watch(router: Rc<Router>, mut cadence: WatchSchedule) {
    let (mut kept, mut failing, mut after) = (None::<Async<TcpStream>>, false, None);
    let mut first = true;
    let (mut at, mut watching, mut wanted) = (
        router.discovery.address(),
        false,
        router.discovery.watch_requested(),
    );
    loop {
        let moved = router.discovery.moved();
        let discovery = router.discovery.address();
        if discovery != at {
            (at, watching) = (discovery, true);
            (kept, failing, after) = (None, false, None);
        }
        if !watching {
            future::or(wanted, moved).await;
            (wanted, watching) = (router.discovery.watch_requested(), true);
            if std::mem::replace(&mut first, false) {
                after = Some(router.discovery.list_version());
            }
            continue;
        }
        let began = router.clock.now();
        let terms = cadence.next(after.is_some());
        let called = async {
            let call = call(&router, &mut kept, discovery, after, terms.wait);
            Some(
                router
                    .with_deadline(Some(began + terms.timeout), call)
                    .await,
            )
        };
        let leaves = async {
            moved.await;
            None
        };
        let Some(answered) = future::or(leaves, called).await else {
            continue;
        };
        let silent = answered.is_none();
        let answered = answered.unwrap_or_else(|| Err("no answer in time".into()));
        match answered.and_then(|list| take_list(&router, &list).map_err(str::to_owned)) {
            Ok(newer) => {
                cadence.answered();
                router.discovery.set_list_version(newer);
                let early = after == Some(newer) && router.clock.now().since(began) < terms.wait;
                (after, failing) = (Some(newer), false);
                if early {
                    Timer::after(PAUSE).await;
                }
            }
            Err(what) => {
                // Why, once for each spell of failures; the module says that the roster is lost.
                match failing {
                    true => tracing::debug!("roster: a call failed, {what}"),
                    false => tracing::info!("roster: a call failed, {what}"),
                }
                (kept, failing) = (None, true);
                // Given up and asked anew half a second to a second later, in turn behind all others whose watches fell
                // silent at once, the list came after what it said counted as told: parts went to nodes that had begun to
                // drain. The first look behind a silent watch follows at once.
                if cadence.failed(silent) {
                    continue;
                }
                watching = false;
                // What the module wanted before it hears of this is out of date.
                wanted = router.discovery.watch_requested();
                router.apply(|brain, now, out| brain.endpoint_watch_failed(now, out));
            }
        }
    }
}

/// One call, on the kept connection if there is one.
async fn call(
    router: &Router,
    kept: &mut Option<Async<TcpStream>>,
    discovery: SocketAddr,
    after: Option<u64>,
    wait: Micros,
) -> Result<Value, String> {
    let stream = match kept.take() {
        Some(stream) => stream,
        // A machine that has vanished is found out by the dial, not by the call's far longer wait.
        None => upstream_writer::dial(router, discovery)
            .await
            .map_err(|_| "the connection could not be made")?,
    };
    let request = discovery::call(&discovery.to_string(), after, wait);
    let answer = http_client::exchange(&stream, &request, discovery::LIST_BOUND).await?;
    if !answer.closes() {
        *kept = Some(stream);
    }
    discovery::parse(answer.body())
}
