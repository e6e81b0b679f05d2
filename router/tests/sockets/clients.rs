//! Clients: valid, invalid and incomplete requests, and the resources that their connections hold.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use test_case::test_case;

use crate::common::*;

#[test]
fn cancels_the_shard_requests_of_a_client_that_disconnects() {
    let (router, nodes, _discovery) = Router::with(&[Act::Silent]);
    let mut client = router.connect();
    client
        .write_all(request("whole", "r1").as_bytes())
        .expect("written");
    nodes[0].frame('q');
    drop(client);
    let mut cancelled = [nodes[0].frame('c'), nodes[0].frame('c')];
    cancelled.sort();
    assert_eq!(cancelled, ["r1.0", "r1.1"]);
    // A response that crosses the cancel is ignored, and the connection stays usable.
    nodes[0].answer("r1.0");
    *nodes[0]
        .acts
        .lock()
        .expect("no test thread panicked with the lock held") = [Act::Serve; 2];
    assert_eq!(ask(&mut router.connect(), "whole", "r2").2, WHOLE);
}

#[test_case("GET /_health HTTP/1.1\r\n\r\n", 200; "health")]
#[test_case("GET /whole HTTP/1.1\r\n\r\n", 405; "another method")]
#[test_case("POST /_health HTTP/1.1\r\n\r\n", 405; "health by another method")]
#[test_case("POST /other HTTP/1.1\r\n\r\n", 404; "an unknown index")]
#[test_case("POST /whole HTTP/1.1\r\nReq-Kind: half\r\n\r\n", 400; "two indexes")]
#[test_case("POST /whole HTTP/1.1\r\nReq-Deadline-Ms: 9\r\n\r\n", 400; "no id")]
#[test_case("POST /whole HTTP/1.1\r\nReq-Id: r\r\n\r\n", 400; "no deadline")]
#[test_case("POST /whole HTTP/1.1\r\nReq-Id: r\r\nReq-Deadline-Ms: 0\r\n\r\n", 400; "a deadline of zero")]
#[test_case("POST /whole HTTP/1.1\r\nReq-Id: r\r\nReq-Deadline-Ms: 9\r\nContent-Length: 1\r\n\r\n{", 400; "a body that is not JSON")]
#[test_case("POST /whole HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", 413; "a body over the limit")]
#[test_case("nonsense\r\n\r\n", 400; "not HTTP")]
fn invalid_input_ends_its_own_connection_only(input: &str, status: u16) {
    let (router, _nodes, _discovery) = Router::with(&[Act::Serve]);
    let (mut other, mut invalid) = (router.connect(), router.connect());
    invalid.write_all(input.as_bytes()).expect("written");
    let (got, head, _) = answer(&mut invalid);
    assert_eq!(
        (got, head.contains("Connection: close")),
        (status, status != 200)
    );
    if status != 200 {
        assert_eq!(invalid.read(&mut [0]).expect("an end"), 0);
    }
    let without_key = request("half", "r1").replace("Idempotency-Key: keyr1\r\n", "");
    other.write_all(without_key.as_bytes()).expect("written");
    assert_eq!(answer(&mut other).0, 400);
    assert_eq!(ask(&mut router.connect(), "half", "r2").0, 200);
}

#[test]
fn answers_pipelined_requests_that_arrive_in_pieces() {
    let (router, _nodes, _discovery) = Router::with(&[Act::Serve]);
    let mut client = router.connect();
    let both = request("whole", "r1") + &request("whole", "r2");
    for piece in both.as_bytes().chunks(50) {
        client.write_all(piece).expect("written");
    }
    assert_eq!(
        [answer(&mut client).2, answer(&mut client).2],
        [WHOLE, WHOLE]
    );
}

#[test]
fn closes_the_longest_idle_connection_when_descriptors_run_out() {
    let (node, discovery) = (Node::start([Act::Serve; 2]), Discovery::default());
    let router = Router::start(discovery.start(), &entry("s0", node.address, "Ready"), 48);
    let mut clients: Vec<TcpStream> = Vec::new();
    for id in 0..40 {
        let mut client = router.connect();
        assert_eq!(ask(&mut client, "whole", &format!("r{id}")).0, 200);
        clients.push(client);
    }
    assert_eq!(clients[0].read(&mut [0]).expect("an end"), 0);
    assert_eq!(ask(&mut clients[39], "whole", "last").0, 200);
}

#[test]
fn closes_the_longest_idle_connection_above_the_idle_limit() {
    let (node, discovery) = (Node::start([Act::Serve; 2]), Discovery::default());
    let router = Router::start(discovery.start(), &entry("s0", node.address, "Ready"), 48);
    // Fewer connections than the descriptors allow, more than the limit on idle ones.
    let mut clients: Vec<TcpStream> = (0..6).map(|_| router.connect()).collect();
    for (id, client) in clients.iter_mut().enumerate() {
        assert_eq!(ask(client, "whole", &format!("r{id}")).0, 200);
    }
    assert_eq!(clients[0].read(&mut [0]).expect("an end"), 0);
    assert_eq!(ask(&mut clients[5], "whole", "again").0, 200);
}

#[test_case(""; "no bytes")]
#[test_case("POST /whole HTTP/1.1\r\nReq-Id: r"; "an incomplete head")]
#[test_case("POST /whole HTTP/1.1\r\nContent-Length: 60000\r\n\r\n{"; "an incomplete body")]
fn incomplete_requests_time_out_and_do_not_shut_other_clients_out(partial_request: &str) {
    let (node, discovery) = (Node::start([Act::Serve; 2]), Discovery::default());
    let router = Router::start(discovery.start(), &entry("s0", node.address, "Ready"), 48);
    let began = Instant::now();
    let mut partial: Vec<TcpStream> = (0..30).map(|_| router.connect()).collect();
    for stream in &mut partial {
        let _ = stream.write_all(partial_request.as_bytes());
    }
    assert_eq!(ask(&mut router.connect(), "whole", "r1").2, WHOLE);
    assert!(
        began.elapsed() < Duration::from_secs(2),
        "a complete request took {:?} while other requests were incomplete",
        began.elapsed()
    );
    for mut stream in partial {
        let mut received = Vec::new();
        let _ = stream.read_to_end(&mut received);
        assert!(
            received.is_empty()
                || received.starts_with(b"HTTP/1.1 408")
                || received.starts_with(b"HTTP/1.1 503")
        );
    }
    assert!(
        began.elapsed() < Duration::from_secs(3),
        "incomplete requests were closed after {:?}",
        began.elapsed()
    );
}

#[test]
fn closes_incomplete_requests_and_no_query_in_flight_when_memory_runs_out() {
    let (router, nodes, _discovery) = Router::with(&[Act::Silent]);
    let mut admitted = router.connect();
    admitted
        .write_all(request("whole", "r1").as_bytes())
        .expect("written");
    nodes[0].frame('q');
    let partial_request = format!(
        "POST /whole HTTP/1.1\r\nContent-Length: 65000\r\n\r\n{}",
        " ".repeat(60000)
    );
    let mut partial: Vec<TcpStream> = (0..20).map(|_| router.connect()).collect();
    for stream in &mut partial {
        stream
            .write_all(partial_request.as_bytes())
            .expect("written");
    }
    let began = Instant::now();
    let is_rejected = |mut stream: &TcpStream| {
        let _ = stream.set_read_timeout(Some(Duration::from_millis(50)));
        stream.read(&mut [0; 12]).is_ok()
    };
    let rejected = partial.iter().filter(|stream| is_rejected(stream)).count();
    assert!(
        rejected >= 8 && began.elapsed() < Duration::from_secs(2),
        "{rejected} of 20 incomplete requests rejected after {:?}",
        began.elapsed()
    );
    ["r1.0", "r1.1"].iter().for_each(|id| nodes[0].answer(id));
    assert_eq!(answer(&mut admitted).0, 200);
}
