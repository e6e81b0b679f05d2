//! The watch of the roster: kept up call after call until one fails; then the module says when to ask again.

use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;
use serde_json::Value;
use ternpick::types::{Micros, Phase};

use crate::lifecycle::fetch;
use crate::stages::{send, Router};
use ternpick_wire::discovery;

/// The longest that a call may wait, by the protocol.
const LONGEST_WAIT: Micros = Micros(60_000_000);
/// Past its wait, a call has failed: from then on news counts as told.
const OVERDUE: Micros = Micros(2_000_000);
/// A watch that is silent so long past its wait has failed: the module asks anew half a second to a second later, by chance,
/// and the whole list has to be here by the time at which news counts as told. Seen: 288 watches that fell silent at once
/// were given up at that very time, their lists came a second later, and parts went to nodes that had begun to drain.
const SILENT: Micros = Micros(1_000_000);
/// Between an answer without news that came before its time and the next call: a watch goes on for 200 ms.
const PAUSE: Duration = Duration::from_millis(100);

/// Takes a list in: the nodes' addresses here, the rest by the module.
pub fn take_list(router: &Router, list: &Value) -> Result<u64, &'static str> {
    let (version, full) = discovery::version(list)?;
    let entries = list["endpoints"].as_array().map_or(&[][..], Vec::as_slice);
    router.play(|brain, now, out| {
        let mut listings = Vec::with_capacity(entries.len());
        for entry in entries {
            match discovery::entry(entry, &out.bounds.zone_names) {
                Ok((name, address, mut listing)) => {
                    if let Some(fleet) = &router.fleet {
                        fleet.lists(&name, &mut listing);
                    }
                    let (node, news) = out.nodes.list(&name, address, listing.phase);
                    listing.node = node;
                    // The module's lines name nodes by these numbers.
                    if news {
                        tracing::info!("roster: node {:x} is {name} at {address}", node.0);
                    }
                    listings.push(listing);
                }
                Err(what) => tracing::warn!("roster: an entry is skipped, {what}: {entry}"),
            }
        }
        if full {
            let listed: Vec<_> = listings.iter().map(|listing| listing.node).collect();
            out.nodes.keep_only(&listed);
            if let Some(fleet) = &router.fleet {
                fleet.lists_only(&entries.iter().filter_map(|entry| entry["name"].as_str()).collect());
            }
        }
        let gone = listings.iter().filter(|listing| listing.phase == Phase::Gone).count();
        tracing::debug!("roster: version {version}, {} entries, {gone} gone", listings.len());
        brain.roster(now, &listings, full, out);
        out.nodes.forget_gone();
    });
    Ok(version)
}

/// Watches whenever the module wants it, from the version that the router started with. Where discovery has
/// moved, the call that is out at the old address is left at once, and the new one is asked for its whole list:
/// its versions need not go on from the old one's, and what it does not list is gone.
pub async fn watch(router: Rc<Router>) {
    let wait = router.bounds.ask_within.unwrap_or(LONGEST_WAIT).min(LONGEST_WAIT);
    let (mut kept, mut failing, mut after) = (None::<Async<TcpStream>>, false, None);
    let mut first = true;
    let (mut at, mut watching, mut wanted) = (router.discovery.get(), false, router.watch.listen());
    loop {
        let moved = router.moved.listen();
        let discovery = router.discovery.get();
        if discovery != at {
            (at, watching) = (discovery, true);
            (kept, failing, after) = (None, false, None);
        }
        if !watching {
            future::or(wanted, moved).await;
            (wanted, watching) = (router.watch.listen(), true);
            if std::mem::replace(&mut first, false) {
                after = Some(router.roster_version.get());
            }
            continue;
        }
        let began = router.clock.now();
        // A whole list is not waited for.
        let longest = after.map_or(OVERDUE, |_| wait + SILENT);
        let called = async {
            let call = call(&router, &mut kept, discovery, after, wait);
            let in_time = router.until(Some(began + longest), call).await;
            Some(in_time.unwrap_or_else(|| Err("no answer in time".into())))
        };
        let leaves = async {
            moved.await;
            None
        };
        let Some(answered) = future::or(leaves, called).await else { continue };
        match answered.and_then(|list| take_list(&router, &list).map_err(str::to_owned)) {
            Ok(newer) => {
                router.roster_version.set(newer);
                let early = after == Some(newer) && router.clock.now().since(began) < wait;
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
                (kept, failing, watching) = (None, true, false);
                // What the module wanted before it hears of this is out of date.
                wanted = router.watch.listen();
                router.play(|brain, now, out| brain.roster_failed(now, out));
            }
        }
    }
}

/// One call, on the kept connection if there is one.
async fn call(
    router: &Router, kept: &mut Option<Async<TcpStream>>, discovery: SocketAddr, after: Option<u64>,
    wait: Micros,
) -> Result<Value, String> {
    let stream = match kept.take() {
        Some(stream) => stream,
        // A machine that has vanished is found out by the dial, not by the call's far longer wait.
        None => send::dial(router, discovery).await.ok_or("the connection could not be made")?,
    };
    let request = discovery::call(&discovery.to_string(), after, wait);
    let answer = fetch::exchange(&stream, &request, discovery::LIST_BOUND).await?;
    if !answer.closes() {
        *kept = Some(stream);
    }
    discovery::parse(answer.body())
}
