//! Case 6: a client is given the value that a data node made for another client's query.

#[path = "../rig-2/rig.rs"]
mod rig;

use rig::*;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a part takes at a data node.
const WORK: Duration = Duration::from_millis(400);
const ROUNDS: usize = 5;

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

fn query(id: &str, statement: String) -> Query {
    Query {
        id: id.into(),
        class: "address-history",
        shards: vec![0, 1, 2, 3],
        statement,
        deadline_ms: 5_000,
        key: None,
    }
}

fn main() {
    begin(Duration::from_secs(100));
    let nodes: Vec<Arc<Node>> = (0..12)
        .map(|n| Node::start(&format!("s-{n}"), n % 3, Mode::Serve(WORK)))
        .collect();
    let discovery = Discovery::start(&nodes);
    let router = Router::start("n0", &discovery, SETTINGS);
    let warm = Client::connect(router.address).ask(&query("warm", "warm".into()));
    if warm.is_none_or(|answer| answer.status != 200) {
        cannot_run("the first query is not answered");
    }
    let mut breaks = Vec::new();
    for round in 0..ROUNDS {
        let id = format!("9b1f03aa5c7e2d{round:02x}");
        // A usual client asks. With trouble it gives up early, in the middle of the work.
        let mut usual = Client::connect(router.address);
        let theirs = query(&id, format!("private{round}"));
        let sent = usual.send(&theirs);
        sleep(200);
        // A bad client sends the id of the other's open request, and the same again as soon as it is turned away.
        let bad = query(&id, format!("bad{round}"));
        let until = Instant::now() + Duration::from_secs(4);
        let mut usual = Some(usual);
        let mut answer = None;
        let mut tries = 0;
        while Instant::now() < until {
            tries += 1;
            let mut client = Client::connect(router.address);
            client.send(&bad);
            answer = client.receive(&id, until);
            if answer.as_ref().is_some_and(|answer| answer.status == 200) {
                break;
            }
            sleep(20);
            if tries == 2 && trouble() {
                note(&format!("the usual client gives up {id} and closes"));
                usual = None;
            }
        }
        if let Some(mut usual) = usual {
            check(
                &theirs,
                usual.receive(&id, sent + Duration::from_secs(5)),
                &mut breaks,
            );
        }
        check(&bad, answer, &mut breaks);
        sleep(1_000);
    }
    verdict(&breaks)
}

/// Each value in an answer has to be the one that a node made for this query.
fn check(query: &Query, answer: Option<Answer>, breaks: &mut Vec<String>) {
    let Some(answer) = answer.filter(|answer| answer.status == 200) else {
        return;
    };
    let cells = answer
        .body
        .split("\"cell\":\"")
        .skip(1)
        .filter_map(|rest| rest.split('"').next());
    for cell in cells {
        if !query
            .shards
            .iter()
            .any(|shard| cell == value_of(&query.statement, *shard))
        {
            breaks.push(format!(
                "the client that asked {} as {} was given {cell}",
                query.statement, query.id
            ));
        }
    }
}
