//! Ids of requests that are sent again, by whoever, while nodes still work on an earlier query with that id. An answer
//! names only the id, so that the late answer to the earlier attempt was served to the later client: the value of another
//! client's statement.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use ternpick_history::values::{check_values, ValueEvent};
use test_case::test_case;

use crate::common::*;

/// How long a node works on a shard request. It does not stop when the attempt is cancelled.
const WORK: Duration = Duration::from_millis(400);
/// The pause between the attempts of a client that sends its request again.
const REPEAT_PAUSE: Duration = Duration::from_millis(2);
const SHARDS: usize = 2;
const ROUNDS: usize = 3;
/// Longer than any query of these tests takes.
const LONG_DEADLINE_MS: u64 = 2_500;

/// A query of two shards.
struct EchoQuery<'a> {
    index: &'a str,
    id: &'a str,
    statement: &'a str,
    deadline_ms: u64,
}

impl EchoQuery<'_> {
    fn send(&self, client: &mut TcpStream) {
        let (index, id, deadline) = (self.index, self.id, self.deadline_ms);
        let parts = r#"{"tablet":0,"fraction":0.5},{"tablet":1,"fraction":0.5}"#;
        let body = format!(
            r#"{{"tablets":[{parts}],"statement":"{}"}}"#,
            self.statement
        );
        let text = format!(
            "POST /{index} HTTP/1.1\r\nHost: x\r\nReq-Id: {id}\r\nReq-Deadline-Ms: {deadline}\r\n\
             Idempotency-Key: key{}\r\nContent-Length: {}\r\n\r\n{body}",
            self.statement,
            body.len()
        );
        client.write_all(text.as_bytes()).expect("written");
    }
}

/// A router with nodes that echo statements, and the history of values that clients were served.
struct Service {
    router: Router,
    nodes: Vec<Node>,
    _discovery: Discovery,
    began: Instant,
    last_query: AtomicU64,
    events: Mutex<Vec<(u64, ValueEvent)>>,
}

impl Service {
    fn record(&self, at: Instant, event: ValueEvent) {
        let at = at.duration_since(self.began).as_micros() as u64;
        let mut events = self.events.lock().expect("no thread panicked");
        events.push((at, event));
    }

    /// Sends a query on a connection of its own, and records the values of its answer. Returns the status.
    fn ask(&self, query: &EchoQuery) -> u16 {
        let number = self.last_query.fetch_add(1, Ordering::Relaxed);
        let mut client = self.router.connect();
        let sent = ValueEvent::QuerySent {
            query: number,
            request_id: query.id.to_owned(),
            statement: query.statement.to_owned(),
        };
        self.record(Instant::now(), sent);
        query.send(&mut client);
        let (status, _, body) = answer(&mut client);
        if status == 200 {
            self.record_values(number, &body);
        }
        status
    }

    fn record_values(&self, query: u64, body: &str) {
        let body: serde_json::Value = serde_json::from_str(body).expect("JSON");
        let pieces = body["pieces"].as_array().expect("pieces");
        assert_eq!(pieces.len(), SHARDS, "{body}");
        for piece in pieces {
            let served = ValueEvent::ValueServed {
                query,
                shard: piece["tablet"].as_u64().expect("a shard") as u32,
                value: piece["cell"].as_str().expect("a value").to_owned(),
            };
            self.record(Instant::now(), served);
        }
    }

    /// Sends a query until it is not rejected as a copy of a query in flight. Returns the status.
    fn ask_until_admitted(&self, query: &EchoQuery) -> u16 {
        let until = Instant::now() + BOUND;
        loop {
            let status = self.ask(query);
            if status != 400 {
                return status;
            }
            assert!(Instant::now() < until, "rejected for too long");
            thread::sleep(REPEAT_PAUSE);
        }
    }

    /// Asserts that each value that a client was served was made for its statement, by an attempt of its own query.
    fn assert_values(&self) {
        let values: Vec<_> = self.nodes.iter().flat_map(Node::echoed_values).collect();
        for made in values {
            let (request_id, shard) = made.id.rsplit_once('.').expect("a shard request's id");
            let received = ValueEvent::AttemptReceived {
                request_id: request_id.to_owned(),
                shard: shard.parse().expect("a shard"),
                statement: made.statement,
                value: made.value,
            };
            self.record(made.received_at, received);
        }
        let events = self.events.lock().expect("no thread panicked");
        let is_served = |event: &ValueEvent| matches!(event, ValueEvent::ValueServed { .. });
        assert!(events.iter().any(|(_, event)| is_served(event)));
        assert_eq!(check_values(&events), []);
    }

    /// The number of connections that nodes have accepted.
    fn connection_count(&self) -> usize {
        let count = |node: &Node| node.streams.lock().expect("no thread panicked").len();
        self.nodes.iter().map(count).sum()
    }
}

/// A router whose attempts last as long as their queries, and a node that echoes the statement after `WORK`. With one
/// node, each attempt of a shard reaches the node of the earlier one.
fn start() -> Service {
    let settings = SETTINGS.replace("\"onTime\":600000", "\"onTime\":2500000");
    assert_ne!(settings, SETTINGS);
    let node = Node::start_slow([Act::Echo; SHARDS], WORK).expect("a node");
    let listed = entry("s0", node.address, "Ready");
    let discovery = Discovery::default();
    let address = discovery.start();
    Service {
        router: Router::start_with(address, &listed, 1024, 192, &settings, |_| ()),
        nodes: vec![node],
        _discovery: discovery,
        began: Instant::now(),
        last_query: AtomicU64::new(0),
        events: Mutex::default(),
    }
}

/// Guards against a client that is served the values of another client's query, whose client left.
#[test_case("whole", "whole"; "of one index")]
#[test_case("half", "half"; "of an index with idempotency keys")]
#[test_case("whole", "half"; "of another index")]
fn an_id_sent_again_after_its_client_left_gets_the_values_of_its_own_statement(
    first_index: &str,
    second_index: &str,
) {
    let service = start();
    for round in 0..ROUNDS {
        let id = format!("r{round}");
        let mut client = service.router.connect();
        let first = EchoQuery {
            index: first_index,
            id: &id,
            statement: &format!("private{round}"),
            deadline_ms: LONG_DEADLINE_MS,
        };
        first.send(&mut client);
        thread::sleep(WORK / 4);
        let second = EchoQuery {
            index: second_index,
            id: &id,
            statement: &format!("other{round}"),
            deadline_ms: LONG_DEADLINE_MS,
        };
        assert_eq!(service.ask(&second), 400, "the first query is in flight");
        drop(client);
        assert_eq!(service.ask_until_admitted(&second), 200);
    }
    service.assert_values();
    assert!(
        service.connection_count() <= 2,
        "more than one further connection"
    );
}

/// Guards against an answer to a query that failed at its deadline being served to the next one with its id, which may
/// be the same client's repeat of the same statement: its own attempts would run on.
#[test_case("other"; "another statement")]
#[test_case("first"; "the same statement")]
fn an_id_sent_again_after_its_query_failed_is_answered_by_its_own_attempts(statement: &str) {
    let service = start();
    for round in 0..ROUNDS {
        let id = format!("r{round}");
        let first = EchoQuery {
            index: "whole",
            id: &id,
            statement: "first",
            deadline_ms: WORK.as_millis() as u64 / 4,
        };
        assert_ne!(service.ask(&first), 200, "the nodes take longer");
        thread::sleep(WORK / 4);
        let second = EchoQuery {
            index: "whole",
            id: &id,
            statement,
            deadline_ms: LONG_DEADLINE_MS,
        };
        let began = Instant::now();
        assert_eq!(service.ask(&second), 200);
        assert!(began.elapsed() >= WORK, "served by an earlier attempt");
    }
    service.assert_values();
}

/// Guards against a client that opens connections to nodes without end by sending one id again and again.
#[test]
fn an_id_sent_again_and_again_opens_one_further_connection_to_a_node() {
    let service = start();
    for round in 0..8 {
        let mut client = service.router.connect();
        let query = EchoQuery {
            index: "whole",
            id: "again",
            statement: &format!("s{round}"),
            deadline_ms: LONG_DEADLINE_MS,
        };
        query.send(&mut client);
        thread::sleep(WORK / 16);
    }
    thread::sleep(WORK / 16);
    assert_eq!(service.connection_count(), 2);
    thread::sleep(WORK);
    let last = EchoQuery {
        index: "whole",
        id: "again",
        statement: "last",
        deadline_ms: LONG_DEADLINE_MS,
    };
    assert_eq!(service.ask_until_admitted(&last), 200);
    assert_eq!(service.connection_count(), 2);
    service.assert_values();
}

/// Guards against an id that costs a connection although its earlier attempt was answered.
#[test]
fn an_id_sent_again_after_its_answer_uses_the_same_connection() {
    let service = start();
    for statement in ["a", "b", "c"] {
        let query = EchoQuery {
            index: "whole",
            id: "again",
            statement,
            deadline_ms: LONG_DEADLINE_MS,
        };
        assert_eq!(service.ask(&query), 200);
    }
    assert_eq!(service.connection_count(), 1);
    service.assert_values();
}
