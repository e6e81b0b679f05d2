//! Case 9: a new configuration moves discovery, whose whole list comes in chunks; the router cannot read it.

#[path = "../rig-2/rig.rs"]
mod rig;

use rig::*;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What discovery has to tell counts as told this long after SIGHUP.
const TOLD_WITHIN: Duration = Duration::from_millis(4_000);
/// `rules.stopSendingWithin`, and the 50 ms that each limit is longer on sockets.
const GRACE: Duration = Duration::from_millis(500 + 50);

const SETTINGS: &str = r#"{"areas":["a"],"zone":0,"balancers":21,"index":0,"tick":5000,"discovery":"on_request",
 "family":"fanout","kinds":["std-2core"],
 "classes":[{"name":"slot-search","semantics":"idempotent","onTime":4000000,"deadline":8000000,"worth":1.0,"lateValue":0.1},
            {"name":"firing-hold","semantics":"at_most_once","onTime":2000000,"deadline":6000000,"worth":3.0,"lateValue":0.0}],
 "ceilings":{"attemptsCap":3,"cancel":true,"dialTimeout":250000,"idleClose":15000000,"mostHeld":160,"probing":true,
             "secondCopies":true,"streamsPerConn":32,"retryAfter":true,"maxRetryAfter":1000000},
 "extra":{"shards":70,"positions":35,"reach":1,"bundleMax":16,"callCost":80000,"classNeed":[1.0,1.0],"minShare":[1.0,1.0]},
 "report":{"via":"on_probe","columns":["load_share","tps","depth"]},
 "rules":{"askWithin":10000000,"coldFrom":0.21,"fall":1500000,"fallMultiple":2.0,"graceToAnswer":20000,
          "stopSendingWithin":500000,"warmWithin":17000000,"spareAttempts":20,"extraRatio":0.2,"countedOver":10000000}}"#;

fn main() {
    begin(Duration::from_secs(100));
    let serve = Mode::Serve(Duration::from_millis(60));
    let nodes: Vec<Arc<Node>> = (0..140)
        .map(|n| Node::start(&format!("s-5be2a{n:03x}"), n % 35, serve))
        .collect();
    let old = Discovery::start(&nodes);
    let new = Discovery::start(&nodes);
    if trouble() {
        new.set_chunked();
    }
    let router = Router::start("n0", &old, SETTINGS);
    let address = router.address;
    let until = Instant::now() + Duration::from_secs(22);
    let asking = std::thread::spawn(move || {
        let mut client = Client::connect(address);
        let mut count = 0;
        while Instant::now() < until {
            count += 1;
            let id = format!("c-{count}");
            let statement = format!("s{id}");
            let shards = (0..7).map(|shard| (shard + 7 * count) % 70).collect();
            client.ask(&Query {
                id,
                class: "slot-search",
                shards,
                statement,
                deadline_ms: 6_000,
                key: None,
            });
            sleep(60);
        }
    });
    sleep(3_000);
    router.move_discovery(&old, &new);
    let moved_at = Instant::now();
    sleep(2_000);
    // Twenty of 140 hosts (14%), one of a cell at most, so that each kiln block keeps three sound ones.
    let mut cells = BTreeSet::new();
    let draining: Vec<String> = nodes
        .iter()
        .filter(|node| !node.parts().is_empty() && cells.insert(node.group))
        .take(20)
        .map(|node| node.name.clone())
        .collect();
    let had = Instant::now();
    new.set_status(&draining, "Terminating");
    let _ = asking.join();
    let counts_as_told = (moved_at + TOLD_WITHIN).max(had + Duration::from_secs(6));
    note(&format!(
        "the change counts as told at {} ms",
        ms(counts_as_told)
    ));
    let late: Vec<_> = nodes
        .iter()
        .filter(|node| draining.contains(&node.name))
        .flat_map(|node| node.parts())
        .filter(|part| part.at > counts_as_told + GRACE)
        .collect();
    let mut breaks = Vec::new();
    if !late.is_empty() {
        breaks.push(format!(
            "{} parts went to draining nodes more than {} ms after the change counts as told",
            late.len(),
            GRACE.as_millis()
        ));
    }
    verdict(&breaks)
}
