//! Case 10: while each answer of discovery takes 2.2 s, a router never learns of a drain.

#[path = "../rig-2/rig.rs"]
mod rig;

use rig::*;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How late each answer of discovery is with trouble, and for how long.
const SLOW_MS: u64 = 2_200;
const SLOW_FOR_MS: u64 = 20_000;
/// A change counts as told this long after discovery had it.
const TOLD_WITHIN: Duration = Duration::from_millis(6_000);
/// `rules.stopSendingWithin`, and the 50 ms that each limit is longer on sockets.
const GRACE: Duration = Duration::from_millis(500 + 50);

const SETTINGS: &str = r#"{"areas":["a"],"zone":0,"balancers":3,"index":0,"tick":5000,"discovery":"on_request",
 "family":"fanout","kinds":["two-core-std"],
 "classes":[{"name":"main-break-sweep","semantics":"idempotent","onTime":1500000,"deadline":3000000,"worth":5.0,"lateValue":0.3},
            {"name":"address-history","semantics":"idempotent","onTime":2000000,"deadline":6000000,"worth":1.0,"lateValue":0.1},
            {"name":"lockout-tag","semantics":"deduplicated","window":1500000,"keyScope":"all","onTime":1500000,"deadline":3000000,"worth":1.0,"lateValue":0.0}],
 "ceilings":{"attemptsCap":3,"cancel":true,"dialTimeout":250000,"idleClose":15000000,"mostHeld":160,"probing":true,
             "secondCopies":true,"streamsPerConn":32,"retryAfter":true,"maxRetryAfter":1000000},
 "extra":{"shards":12,"positions":3,"reach":1,"bundleMax":8,"callCost":40000,"classNeed":[1.0,1.0,1.0],"minShare":[0.7,1.0,1.0]},
 "report":{"via":"inline","columns":["tps","load_share","depth"]},
 "rules":{"askWithin":10000000,"coldFrom":0.18,"fall":1000000,"fallMultiple":2.0,"graceToAnswer":20000,
          "stopSendingWithin":500000,"warmWithin":14000000}}"#;

fn main() {
    begin(Duration::from_secs(100));
    let serve = Mode::Serve(Duration::from_millis(90));
    let nodes: Vec<Arc<Node>> = (0..12)
        .map(|n| Node::start(&format!("s-{n}"), n % 3, serve))
        .collect();
    let discovery = Discovery::start(&nodes);
    let router = Router::start("n0", &discovery, SETTINGS);
    let address = router.address;
    // Clients that ask all the time, each on its own connection.
    let began = Instant::now();
    let until = began + Duration::from_millis(4_000 + SLOW_FOR_MS + 3_000);
    let clients: Vec<_> = (0..3)
        .map(|number| {
            std::thread::spawn(move || {
                let mut client = Client::connect(address);
                let mut count = 0;
                while Instant::now() < until {
                    count += 1;
                    let id = format!("c{number}-{count}");
                    let shards = (0..6).map(|shard| (shard + 4 * number) % 12).collect();
                    let statement = format!("s{id}");
                    client.ask(&Query {
                        id,
                        class: "address-history",
                        shards,
                        statement,
                        deadline_ms: 4_000,
                        key: None,
                    });
                    sleep(150);
                }
            })
        })
        .collect();
    sleep(3_000);
    if trouble() {
        discovery.set_delay(Duration::from_millis(SLOW_MS));
    }
    sleep(1_000);
    // A quarter of the nodes begin to drain; those that the router uses most.
    let mut used: Vec<(usize, String)> = nodes
        .iter()
        .map(|node| (node.parts().len(), node.name.clone()))
        .collect();
    used.sort();
    let draining: Vec<String> = used
        .iter()
        .rev()
        .take(3)
        .map(|(_, name)| name.clone())
        .collect();
    let had = Instant::now();
    nodes
        .iter()
        .filter(|node| draining.contains(&node.name))
        .for_each(|node| node.set_mode(Mode::Drain));
    discovery.set_status(&draining, "Terminating");
    sleep_until(had + Duration::from_millis(SLOW_FOR_MS - 1_000));
    discovery.set_delay(Duration::ZERO);
    for client in clients {
        let _ = client.join();
    }
    let counts_as_told = had + TOLD_WITHIN;
    note(&format!(
        "the change counts as told at {} ms",
        ms(counts_as_told)
    ));
    let mut late: Vec<_> = nodes
        .iter()
        .filter(|node| draining.contains(&node.name))
        .flat_map(|node| node.parts())
        .filter(|part| part.at > counts_as_told + GRACE)
        .collect();
    late.sort_by_key(|part| part.at);
    let mut breaks = Vec::new();
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        breaks.push(format!(
            "{} parts went to draining nodes {} to {} ms after the change counts as told, {} ms are allowed",
            late.len(),
            first.at.duration_since(counts_as_told).as_millis(),
            last.at.duration_since(counts_as_told).as_millis(),
            GRACE.as_millis()
        ));
    }
    verdict(&breaks)
}
