//! Case 10: a router that stands still for a second sends parts to a data node of whose drain it was told meanwhile.

#[path = "../rig-2/rig.rs"]
mod rig;

use rig::*;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long the router stands still.
const STALL_MS: u64 = 1_050;
/// The time between the beginnings of two stalls.
const INTERVAL_MS: u64 = 4_800;
const ROUNDS: u32 = 3;
/// `rules.stopSendingWithin`, and the 50 ms that each limit is longer on sockets.
const GRACE: Duration = Duration::from_millis(500 + 50);

const SETTINGS: &str = r#"{"areas":["a"],"zone":0,"balancers":3,"index":0,"tick":5000,"discovery":"on_request",
 "family":"fanout","kinds":["std-2core"],
 "classes":[{"name":"slot-search","semantics":"idempotent","onTime":4000000,"deadline":8000000,"worth":1.0,"lateValue":0.1},
            {"name":"firing-hold","semantics":"at_most_once","onTime":2000000,"deadline":6000000,"worth":3.0,"lateValue":0.0}],
 "ceilings":{"attemptsCap":3,"cancel":true,"dialTimeout":250000,"idleClose":15000000,"mostHeld":160,"probing":true,
             "secondCopies":true,"streamsPerConn":32,"retryAfter":true,"maxRetryAfter":1000000},
 "extra":{"shards":6,"positions":3,"reach":1,"bundleMax":16,"callCost":80000,"classNeed":[1.0,1.0],"minShare":[1.0,1.0]},
 "report":{"via":"on_probe","columns":["load_share","tps","depth"]},
 "rules":{"askWithin":10000000,"coldFrom":0.21,"fall":1500000,"fallMultiple":2.0,"graceToAnswer":20000,
          "stopSendingWithin":500000,"warmWithin":17000000,"spareAttempts":20,"extraRatio":0.2,"countedOver":10000000}}"#;

fn query(id: String) -> Query {
    let statement = format!("s{id}");
    Query { id, class: "slot-search", shards: (0..6).collect(), statement, deadline_ms: 6_000, key: None }
}

fn main() {
    begin(Duration::from_secs(100));
    let serve = Mode::Serve(Duration::from_millis(60));
    let nodes: Vec<Arc<Node>> = (0..12).map(|n| Node::start(&format!("s-{n}"), n % 3, serve)).collect();
    let discovery = Discovery::start(&nodes);
    let router = Router::start("n0", &discovery, SETTINGS);
    let mut client = Client::connect(router.address);
    let first = client.ask(&query("warm".into()));
    if first.is_none_or(|answer| answer.status != 200) {
        cannot_run("the first query is not answered");
    }
    let mut used: BTreeSet<String> = used_for(&nodes, "warm");
    let mut drains: Vec<(u64, Vec<String>)> = Vec::new();
    let mut draining: BTreeSet<String> = BTreeSet::new();
    let began = Instant::now() + Duration::from_millis(INTERVAL_MS);
    for round in 0..ROUNDS {
        sleep_until(began + Duration::from_millis(INTERVAL_MS) * round);
        let stalled_at = Instant::now();
        if trouble() {
            router.signal(SIGSTOP, "SIGSTOP");
        }
        sleep(30);
        let id = format!("q{round}");
        let sent = client.send(&query(id.clone()));
        sleep(60);
        // The next two hosts of the release, of those that serve now.
        let next: Vec<String> = used.iter().filter(|name| !draining.contains(*name)).take(2).cloned().collect();
        draining.extend(next.iter().cloned());
        nodes.iter().filter(|node| next.contains(&node.name)).for_each(|node| node.set_mode(Mode::Drain));
        drains.push((discovery.set_status(&next, "Terminating"), next));
        sleep_until(stalled_at + Duration::from_millis(STALL_MS));
        if trouble() {
            router.signal(SIGCONT, "SIGCONT");
        }
        client.receive(&id, sent + Duration::from_millis(6_500));
        used = used_for(&nodes, &id);
    }
    // A last query: the nodes that drain get nothing of it.
    sleep(500);
    client.ask(&query("last".into()));
    let mut breaks = Vec::new();
    for (version, names) in drains {
        let Some(told) = discovery.written(version) else {
            cannot_run("the router was not told of a drain");
        };
        for part in nodes.iter().filter(|node| names.contains(&node.name)).flat_map(|node| node.parts()) {
            if part.at > told + GRACE {
                breaks.push(format!(
                    "node {} got part {} {} ms after the router was told that it drains, {} ms are allowed",
                    part.node, part.id, part.at.duration_since(told).as_millis(), GRACE.as_millis()
                ));
            }
        }
    }
    verdict(&breaks)
}

/// The nodes that got parts of a query.
fn used_for(nodes: &[Arc<Node>], id: &str) -> BTreeSet<String> {
    let parts = nodes.iter().flat_map(|node| node.parts());
    parts.filter(|part| part.id.starts_with(&format!("{id}."))).map(|part| part.node).collect()
}
