//! Ids of requests that are sent again, by whoever, while nodes still work on an earlier query with that id. An answer
//! names only the id, so that the late answer to the earlier attempt was served to the later client: the value of another
//! client's statement.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use ternpick_simulation::standins::echoed_value;
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

    /// Sends the query on a connection of its own. Returns the status and the body of its answer.
    fn ask(&self, router: &Router) -> (u16, String) {
        let mut client = router.connect();
        self.send(&mut client);
        let (status, _, body) = answer(&mut client);
        (status, body)
    }

    /// Sends the query until it is not rejected as a copy of a query in flight.
    fn ask_until_admitted(&self, router: &Router) -> (u16, String) {
        let until = Instant::now() + BOUND;
        loop {
            let (status, body) = self.ask(router);
            if status != 400 {
                return (status, body);
            }
            assert!(Instant::now() < until, "rejected for too long: {body}");
            thread::sleep(REPEAT_PAUSE);
        }
    }

    /// Asserts that an answer has the values that nodes make for this query.
    fn assert_served(&self, (status, body): &(u16, String)) {
        assert_eq!(*status, 200, "{body}");
        let body: serde_json::Value = serde_json::from_str(body).expect("JSON");
        let pieces = body["pieces"].as_array().expect("pieces");
        let values: Vec<_> = pieces.iter().map(|piece| piece["cell"].as_str()).collect();
        let made = [0, 1].map(|shard| echoed_value(self.statement, shard));
        assert_eq!(values, made.each_ref().map(|value| Some(&value[..])));
    }
}

/// A router whose attempts last as long as their queries, and nodes that echo the statement after `WORK`.
fn start(node_count: usize) -> (Router, Vec<Node>, Discovery) {
    let settings = SETTINGS.replace("\"onTime\":600000", "\"onTime\":2500000");
    assert_ne!(settings, SETTINGS);
    let nodes: Vec<Node> = (0..node_count)
        .map(|_| Node::start_slow([Act::Echo; SHARDS], WORK).expect("a node"))
        .collect();
    let listed: Vec<String> = nodes
        .iter()
        .enumerate()
        .map(|(at, node)| entry(&format!("s{at}"), node.address, "Ready"))
        .collect();
    let discovery = Discovery::default();
    let address = discovery.start();
    let router = Router::start_with(address, &listed.join(","), 1024, 192, &settings, |_| ());
    (router, nodes, discovery)
}

fn connection_count(nodes: &[Node]) -> usize {
    let count = |node: &Node| node.streams.lock().expect("no thread panicked").len();
    nodes.iter().map(count).sum()
}

/// Guards against a client that is served the values of another client's query, whose client left.
#[test_case("whole", "whole"; "of one index")]
#[test_case("half", "half"; "of an index with idempotency keys")]
#[test_case("whole", "half"; "of another index")]
fn an_id_sent_again_after_its_client_left_gets_the_values_of_its_own_statement(
    first_index: &str,
    second_index: &str,
) {
    let (router, nodes, _discovery) = start(1);
    for round in 0..ROUNDS {
        let id = format!("r{round}");
        let mut client = router.connect();
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
        assert_eq!(second.ask(&router).0, 400, "the first query is in flight");
        drop(client);
        second.assert_served(&second.ask_until_admitted(&router));
    }
    assert!(
        connection_count(&nodes) <= 2 * nodes.len(),
        "more than one further connection a node"
    );
}

/// Guards against an answer to a query that failed at its deadline being served to the next one with its id, which may
/// be the same client's repeat of the same statement: its own attempts would run on.
#[test_case("other"; "another statement")]
#[test_case("first"; "the same statement")]
fn an_id_sent_again_after_its_query_failed_is_answered_by_its_own_attempts(statement: &str) {
    let (router, _nodes, _discovery) = start(1);
    for round in 0..ROUNDS {
        let id = format!("r{round}");
        let first = EchoQuery {
            index: "whole",
            id: &id,
            statement: "first",
            deadline_ms: WORK.as_millis() as u64 / 4,
        };
        assert_ne!(first.ask(&router).0, 200, "the nodes take longer");
        thread::sleep(WORK / 4);
        let second = EchoQuery {
            index: "whole",
            id: &id,
            statement,
            deadline_ms: LONG_DEADLINE_MS,
        };
        let began = Instant::now();
        second.assert_served(&second.ask(&router));
        assert!(began.elapsed() >= WORK, "served by an earlier attempt");
    }
}

/// Guards against a client that opens connections to nodes without end by sending one id again and again.
#[test]
fn an_id_sent_again_and_again_opens_one_further_connection_to_a_node() {
    let (router, nodes, _discovery) = start(1);
    for round in 0..8 {
        let mut client = router.connect();
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
    assert_eq!(connection_count(&nodes), 2);
    thread::sleep(WORK);
    let last = EchoQuery {
        index: "whole",
        id: "again",
        statement: "last",
        deadline_ms: LONG_DEADLINE_MS,
    };
    last.assert_served(&last.ask_until_admitted(&router));
    assert_eq!(connection_count(&nodes), 2);
}

/// Guards against an id that costs a connection although its earlier attempt was answered.
#[test]
fn an_id_sent_again_after_its_answer_uses_the_same_connection() {
    let (router, nodes, _discovery) = start(1);
    for statement in ["a", "b", "c"] {
        let query = EchoQuery {
            index: "whole",
            id: "again",
            statement,
            deadline_ms: LONG_DEADLINE_MS,
        };
        query.assert_served(&query.ask(&router));
    }
    assert_eq!(connection_count(&nodes), 1);
}
