//! Clients: what they send, leave unsaid, and hold.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use test_case::test_case;

use crate::common::*;

#[test]
fn a_client_that_leaves_has_its_parts_given_up() {
    let (router, nodes, _discovery) = Router::with(&[Act::Silent]);
    let mut client = router.connect();
    client
        .write_all(request("whole", "r1").as_bytes())
        .expect("written");
    nodes[0].frame('q');
    drop(client);
    let mut given_up = [nodes[0].frame('c'), nodes[0].frame('c')];
    given_up.sort();
    assert_eq!(given_up, ["r1.0", "r1.1"]);
    // An answer that crosses is dropped, and the connection goes on.
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
#[test_case("POST /whole HTTP/1.1\r\nReq-Id: r\r\nReq-Deadline-Ms: 0\r\n\r\n", 400; "no time")]
#[test_case("POST /whole HTTP/1.1\r\nReq-Id: r\r\nReq-Deadline-Ms: 9\r\nContent-Length: 1\r\n\r\n{", 400; "no JSON")]
#[test_case("POST /whole HTTP/1.1\r\nContent-Length: 70000\r\n\r\n", 413; "too long a body")]
#[test_case("nonsense\r\n\r\n", 400; "no request")]
fn bad_input_costs_its_own_connection_only(input: &str, status: u16) {
    let (router, _nodes, _discovery) = Router::with(&[Act::Serve]);
    let (mut good, mut bad) = (router.connect(), router.connect());
    bad.write_all(input.as_bytes()).expect("written");
    let (got, head, _) = answer(&mut bad);
    assert_eq!(
        (got, head.contains("Connection: close")),
        (status, status != 200)
    );
    if status != 200 {
        assert_eq!(bad.read(&mut [0]).expect("an end"), 0);
    }
    let missing = request("half", "r1").replace("Idempotency-Key: keyr1\r\n", "");
    good.write_all(missing.as_bytes()).expect("written");
    assert_eq!(answer(&mut good).0, 400);
    assert_eq!(ask(&mut router.connect(), "half", "r2").0, 200);
}

#[test]
fn input_in_pieces_and_ahead_of_its_turn() {
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
fn the_connection_idle_longest_makes_room_for_a_new_one() {
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
fn clients_that_ask_once_and_stay_do_not_use_up_what_clients_may_hold() {
    let (node, discovery) = (Node::start([Act::Serve; 2]), Discovery::default());
    let router = Router::start(discovery.start(), &entry("s0", node.address, "Ready"), 48);
    // Fewer than the descriptors allow at once, more than are kept idle.
    let mut clients: Vec<TcpStream> = (0..6).map(|_| router.connect()).collect();
    for (id, client) in clients.iter_mut().enumerate() {
        assert_eq!(ask(client, "whole", &format!("r{id}")).0, 200);
    }
    assert_eq!(clients[0].read(&mut [0]).expect("an end"), 0);
    assert_eq!(ask(&mut clients[5], "whole", "again").0, 200);
}

#[test_case(""; "nothing")]
#[test_case("POST /whole HTTP/1.1\r\nReq-Id: r"; "half a head")]
#[test_case("POST /whole HTTP/1.1\r\nContent-Length: 60000\r\n\r\n{"; "half a body")]
fn who_says_half_of_something_is_told_so_in_time_and_shuts_nobody_out(half: &str) {
    let (node, discovery) = (Node::start([Act::Serve; 2]), Discovery::default());
    let router = Router::start(discovery.start(), &entry("s0", node.address, "Ready"), 48);
    let began = Instant::now();
    let mut halves: Vec<TcpStream> = (0..30).map(|_| router.connect()).collect();
    for stream in &mut halves {
        let _ = stream.write_all(half.as_bytes());
    }
    assert_eq!(ask(&mut router.connect(), "whole", "r1").2, WHOLE);
    assert!(
        began.elapsed() < Duration::from_secs(2),
        "they make room at once"
    );
    for mut stream in halves {
        let mut said = Vec::new();
        let _ = stream.read_to_end(&mut said);
        assert!(
            said.is_empty()
                || said.starts_with(b"HTTP/1.1 408")
                || said.starts_with(b"HTTP/1.1 503")
        );
    }
    assert!(
        began.elapsed() < Duration::from_secs(3),
        "and are told in time"
    );
}

#[test]
fn half_bodies_give_way_when_memory_runs_out_and_lookups_do_not() {
    let (router, nodes, _discovery) = Router::with(&[Act::Silent]);
    let mut taken = router.connect();
    taken
        .write_all(request("whole", "r1").as_bytes())
        .expect("written");
    nodes[0].frame('q');
    let half = format!(
        "POST /whole HTTP/1.1\r\nContent-Length: 65000\r\n\r\n{}",
        " ".repeat(60000)
    );
    let mut halves: Vec<TcpStream> = (0..20).map(|_| router.connect()).collect();
    for stream in &mut halves {
        stream.write_all(half.as_bytes()).expect("written");
    }
    let began = Instant::now();
    let early = |mut stream: &TcpStream| {
        let _ = stream.set_read_timeout(Some(Duration::from_millis(50)));
        stream.read(&mut [0; 12]).is_ok()
    };
    let gave_way = halves.iter().filter(|stream| early(stream)).count();
    assert!(
        gave_way >= 8 && began.elapsed() < Duration::from_secs(2),
        "{gave_way} of 20 gave way"
    );
    ["r1.0", "r1.1"].iter().for_each(|id| nodes[0].answer(id));
    assert_eq!(answer(&mut taken).0, 200);
}
