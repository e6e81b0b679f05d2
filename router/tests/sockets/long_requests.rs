//! Requests of the greatest lengths that the protocol allows.

use std::io::Write;
use std::thread;
use std::time::Duration;

use ternpick_wire::http::{MAX_BODY_BYTES, MAX_HEAD_BYTES};

use crate::common::*;

/// The bytes of one read into an empty input buffer.
const READ_BYTES: usize = 1024;

/// The body of a query of one shard with a statement of so many bytes.
pub(crate) fn body_of(statement_bytes: usize) -> String {
    let statement = "s".repeat(statement_bytes);
    format!(r#"{{"tablets":[{{"tablet":0,"fraction":1}}],"statement":"{statement}"}}"#)
}

/// The body of a query of the longest length.
pub(crate) fn longest_body() -> String {
    body_of(MAX_BODY_BYTES - body_of(0).len())
}

pub(crate) fn head_of(id: &str, framing: &str) -> String {
    format!(
        "POST /whole HTTP/1.1\r\nHost: x\r\nReq-Id: {id}\r\nReq-Deadline-Ms: 2000\r\n{framing}\r\n\r\n"
    )
}

/// A router with memory for the longest requests, and two nodes.
pub(crate) fn start() -> (Router, Vec<Node>, Discovery) {
    let nodes = vec![Node::start([Act::Serve; 2]), Node::start([Act::Serve; 2])];
    let listed = [0, 1].map(|at| entry(&format!("s{at}"), nodes[at].address, "Ready"));
    let discovery = Discovery::default();
    let address = discovery.start();
    let router = Router::start_with(address, &listed.join(","), 1024, 192, SETTINGS, |_| ());
    (router, nodes, discovery)
}

/// Guards against a request whose last bytes are read and not handled until more arrive, as they are the last of the
/// reads that are made in a row.
#[test]
fn answers_a_request_whose_end_comes_with_the_last_read_of_a_turn() {
    let (router, _nodes, _discovery) = start();
    let body = longest_body();
    let framing = format!("Content-Length: {}", body.len());
    for reads in 64..=66 {
        let total = reads * READ_BYTES;
        let id = format!("r{reads}");
        let bare = head_of(&id, &format!("{framing}\r\nFiller: ")).len();
        let body_bytes = body.len().min(total - bare);
        let body = body_of(body_bytes - body_of(0).len());
        let framing = format!("Content-Length: {}", body.len());
        let filler = "f".repeat(total - bare - body.len());
        let head = head_of(&id, &format!("{framing}\r\nFiller: {filler}"));
        assert!(head.len() <= MAX_HEAD_BYTES && head.len() + body.len() == total);
        let mut client = router.connect();
        assert_eq!(ask(&mut client, "whole", &format!("first{reads}")).0, 200);
        // All bytes have arrived when the router reads the first one.
        router.signal("-STOP");
        let written = client.write_all(format!("{head}{body}").as_bytes());
        thread::sleep(Duration::from_millis(20));
        router.signal("-CONT");
        written.expect("written");
        assert_eq!(answer(&mut client).0, 200, "{reads} reads");
    }
}
