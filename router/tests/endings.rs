//! What is still owed in the instant in which something ends: scripted peers act at the exact moment, held by a signal or by
//! what the other side has shown, against the program as it ships. `docs/endings.md` has the table.

mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use test_case::test_case;

use common::cold::{overrun, RAMP};
use common::*;

const MS: Duration = Duration::from_millis(1);

/// The frames of some nodes as they are read, with their times.
#[derive(Clone, Default)]
struct Record(Arc<Mutex<Vec<(Instant, char, String)>>>);

impl Record {
    fn of(nodes: &[Node]) -> Record {
        let record = Record::default();
        for node in nodes {
            let into = record.clone();
            node.watch(Some(Arc::new(move |letter, rest| {
                into.0
                    .lock()
                    .expect("no test thread panicked with the lock held")
                    .push((Instant::now(), letter, rest.to_owned()));
            })));
        }
        record
    }

    /// Calls that have come after `then`.
    fn calls_after(&self, then: Instant) -> usize {
        self.0
            .lock()
            .expect("no test thread panicked with the lock held")
            .iter()
            .filter(|(at, letter, _)| *letter == 'q' && *at > then)
            .count()
    }

    /// Waits for the first frame of a letter.
    fn wait(&self, wanted: char) {
        let late = Instant::now() + BOUND;
        while !self
            .0
            .lock()
            .expect("no test thread panicked with the lock held")
            .iter()
            .any(|(_, letter, _)| *letter == wanted)
        {
            assert!(Instant::now() < late, "a frame '{wanted}' in time");
            thread::sleep(MS);
        }
    }
}

fn eventually(what: &str, mut is: impl FnMut() -> bool) {
    let late = Instant::now() + BOUND;
    while !is() {
        assert!(Instant::now() < late, "{what} in time");
        thread::sleep(MS);
    }
}

/// A lookup with a call out at one of two nodes that say nothing.
struct InHand {
    router: Router,
    nodes: Vec<Node>,
    record: Record,
    client: TcpStream,
    _discovery: Discovery,
}

fn in_hand(index: &str) -> InHand {
    let (router, nodes, _discovery) = Router::with(&[Act::Silent, Act::Silent]);
    let (record, mut client) = (Record::of(&nodes), router.connect());
    client
        .write_all(request(index, "r").as_bytes())
        .expect("written");
    record.wait('q');
    InHand {
        router,
        nodes,
        record,
        client,
        _discovery,
    }
}

/// Whether the connection ends in order; what comes before its end is passed over.
fn ends_in_order(stream: &mut TcpStream) -> bool {
    stream.read_to_end(&mut Vec::new()).is_ok()
}

// Term 1: a change counts as told 6 s after discovery had it and could be reached.

const TOLD: Duration = Duration::from_secs(6);

#[derive(Clone, Copy, PartialEq)]
enum Outage {
    /// The open watch falls silent, discovery goes on.
    Watch,
    /// Calls are taken and not answered for so many seconds, then the way is back.
    Silent(u64),
    /// Calls are refused for so many seconds.
    Refused(u64),
    /// The open watch is cut off, as are calls for so many seconds.
    Cut(u64),
}

/// The settings let a call wait for 9 s.
#[test_case(Outage::Watch; "an open watch falls silent")]
#[test_case(Outage::Silent(5); "calls stay unanswered for a while")]
#[test_case(Outage::Refused(3); "calls are refused for a while")]
#[test_case(Outage::Cut(1); "an open watch is cut off, and calls for a while")]
fn a_change_is_known_within_six_seconds_of_when_discovery_had_it_and_could_be_reached(
    outage: Outage,
) {
    let (router, nodes, discovery) = Router::with(&[Act::Serve, Act::Serve]);
    discovery.set(|roster| roster.version = 1);
    discovery.wait_until(|roster| roster.calls >= 1 && roster.asked == 1);
    let change = entry("s0", nodes[0].address, "Terminating");
    match outage {
        Outage::Watch | Outage::Silent(_) => discovery.set(|roster| roster.silent = true),
        Outage::Refused(_) => discovery.set(|roster| roster.down = true),
        Outage::Cut(_) => discovery.set(|roster| roster.cut = true),
    }
    // The call that was open has seen it.
    thread::sleep(50 * MS);
    let seconds = match outage {
        Outage::Watch => 0,
        Outage::Silent(seconds) | Outage::Refused(seconds) | Outage::Cut(seconds) => seconds,
    };
    thread::sleep(Duration::from_secs(seconds));
    discovery.set(|roster| {
        (roster.silent, roster.down, roster.cut) = (false, false, false);
        (roster.version, roster.changes) = (2, change);
    });
    let had = Instant::now();
    // Its next call says that it has the change.
    eventually("the change is known", || {
        let mut known = false;
        discovery.set(|roster| known = roster.asked == 2);
        assert!(had.elapsed() < TOLD, "after {:?}", had.elapsed());
        known
    });
    let record = Record::of(&nodes[..1]);
    let then = Instant::now();
    for id in 0..8 {
        assert_eq!(
            ask(&mut router.connect(), "whole", &format!("r{id}")).0,
            200
        );
    }
    assert_eq!(
        record.calls_after(then),
        0,
        "the node that drains gets nothing new"
    );
}

/// An answer of discovery's without a length is whole when its connection ends, and the next call is made on a new one.
#[test]
fn a_list_without_a_length_is_taken_when_its_connection_ends() {
    let node = Node::start([Act::Serve; 2]);
    let discovery = Discovery::default();
    let change = entry("s0", node.address, "Ready");
    discovery.set(|roster| (roster.version, roster.changes, roster.endless) = (2, change, true));
    let router = Router::start(discovery.start(), "", 1024);
    discovery.wait_until(|roster| roster.asked == 2);
    assert_eq!(ask(&mut router.connect(), "whole", "r1").2, WHOLE);
}

/// A whole list that names a node and spoils its line does not say that it is gone.
#[test]
fn a_spoilt_line_in_a_whole_list_leaves_its_node_as_it_was() {
    let nodes = [Node::start([Act::Serve; 2]), Node::start([Act::Serve; 2])];
    let discovery = Discovery::default();
    let known = entry("s0", nodes[0].address, "Ready");
    let router = Router::start(discovery.start(), &known, 1024);
    discovery.wait_until(|roster| roster.calls >= 1);
    // The whole list comes from where discovery has moved to.
    let new = Discovery::default();
    let listed =
        entry("s0", nodes[0].address, "Ready").replace("\"group\":0", "\"group\":\"none\"");
    new.set(|roster| (roster.version, roster.changes) = (7, listed));
    let address = new.start().to_string();
    router.reload(|text| text.replace(&router.discovery.to_string(), &address));
    new.wait_until(|roster| roster.asked == 7);
    assert_eq!(ask(&mut router.connect(), "whole", "r1").2, WHOLE);
}

// Term 2: a client that has gone. No attempt begins more than 0.1 s later, first or further.

const GONE: Duration = Duration::from_millis(100);

/// `ahead` bytes of further requests stand before the client's end, more than the router reads.
#[test_case(0; "it has sent nothing more")]
#[test_case(3; "it has sent some requests ahead")]
#[test_case(2000; "it has sent more at once than is read")]
fn nothing_is_begun_for_a_client_that_has_left(ahead: usize) {
    let mut of = in_hand("whole");
    of.client.set_nonblocking(true).expect("a socket");
    for id in 0..ahead {
        // What the way there does not hold is not sent.
        if of
            .client
            .write(request("whole", &format!("a{id}")).as_bytes())
            .is_err()
        {
            break;
        }
    }
    drop(of.client);
    let left = Instant::now();
    // Past the time at which its parts would be tried again.
    thread::sleep(1500 * MS);
    assert_eq!(of.record.calls_after(left + GONE), 0);
}

/// The router stands still while its client leaves and the time comes to try again: both wake it at once.
#[test]
fn a_further_attempt_that_is_due_as_its_client_has_left_is_not_made() {
    let of = in_hand("whole");
    of.router.signal("-STOP");
    drop(of.client);
    let left = Instant::now();
    thread::sleep(800 * MS);
    of.router.signal("-CONT");
    thread::sleep(700 * MS);
    assert_eq!(of.record.calls_after(left + GONE), 0);
}

/// Requests that waited to be accepted, or behind another on their connection, whose clients left meanwhile.
#[test_case(1; "one request each")]
#[test_case(4; "requests sent ahead")]
fn a_request_whose_client_left_while_it_waited_is_not_sent_on(requests: usize) {
    let (router, nodes, _discovery) = Router::with(&[Act::Serve, Act::Serve]);
    let record = Record::of(&nodes);
    assert_eq!(ask(&mut router.connect(), "whole", "first").0, 200);
    let open = router.connect();
    router.signal("-STOP");
    for (at, mut client) in [open, router.connect(), router.connect()]
        .into_iter()
        .enumerate()
    {
        for id in 0..requests {
            client
                .write_all(request("whole", &format!("r{at}-{id}")).as_bytes())
                .expect("written");
        }
    }
    let left = Instant::now();
    thread::sleep(GONE + 50 * MS);
    router.signal("-CONT");
    assert_eq!(ask(&mut router.connect(), "whole", "last").0, 200);
    thread::sleep(100 * MS);
    let calls = record
        .0
        .lock()
        .expect("no test thread panicked with the lock held")
        .clone();
    let calls: Vec<_> = calls
        .into_iter()
        .filter(|(at, letter, _)| *letter == 'q' && *at > left)
        .collect();
    assert!(
        calls.iter().all(|(_, _, text)| text.starts_with("last.")),
        "{calls:?}"
    );
}

/// Whoever shuts its way to the router waits for nothing more.
#[test]
fn a_client_that_half_closes_has_its_parts_given_up() {
    let of = in_hand("whole");
    of.client.shutdown(Shutdown::Write).expect("shut");
    let left = Instant::now();
    of.record.wait('c');
    thread::sleep(900 * MS);
    assert_eq!(of.record.calls_after(left + GONE), 0);
}

#[test]
fn a_probe_that_half_closes_is_answered() {
    let (router, _nodes, _discovery) = Router::with(&[Act::Serve]);
    let mut probe = router.connect();
    probe
        .write_all(b"GET /_health HTTP/1.1\r\n\r\n")
        .expect("written");
    probe.shutdown(Shutdown::Write).expect("shut");
    assert_eq!(answer(&mut probe).0, 200);
}

// Time-outs. What has come by the moment in which the router looks is taken before what that moment ends.

#[test]
fn an_answer_that_came_as_its_time_ran_out_counts_and_no_further_attempt_is_made() {
    let mut of = in_hand("once");
    of.router.signal("-STOP");
    let then = Instant::now();
    for node in &of.nodes {
        ["r.0", "r.1"].iter().for_each(|id| node.answer(id));
    }
    // Past the time of the calls, and not of the client.
    thread::sleep(900 * MS);
    of.router.signal("-CONT");
    assert_eq!(answer(&mut of.client).0, 200);
    assert_eq!(of.record.calls_after(then), 0);
}

#[test]
fn a_further_attempt_that_is_due_as_its_lookup_ends_is_not_made() {
    let mut of = in_hand("whole");
    of.router.signal("-STOP");
    // Past the time of the calls and that of the client.
    thread::sleep(2100 * MS);
    let then = Instant::now();
    of.router.signal("-CONT");
    assert_eq!(answer(&mut of.client).0, 503);
    assert!(then.elapsed() < 400 * MS, "its one final answer, at once");
    thread::sleep(300 * MS);
    assert_eq!(of.record.calls_after(then), 0);
}

// Giving way.

/// The connection idle longest is to make room in the moment in which its client sends.
#[test]
fn a_request_that_comes_as_its_connection_gives_way_is_answered() {
    let (node, discovery) = (Node::start([Act::Serve; 2]), Discovery::default());
    let router = Router::start(discovery.start(), &entry("s0", node.address, "Ready"), 48);
    // Clients may hold twelve descriptors here, and two rest at most.
    let mut resting: Vec<TcpStream> = (0..2).map(|_| router.connect()).collect();
    for (id, client) in resting.iter_mut().enumerate() {
        assert_eq!(ask(client, "whole", &format!("r{id}")).0, 200);
    }
    router.signal("-STOP");
    resting[0]
        .write_all(request("whole", "again").as_bytes())
        .expect("written");
    let mut more: Vec<TcpStream> = (0..14).map(|_| router.connect()).collect();
    for (id, client) in more.iter_mut().enumerate() {
        client
            .write_all(request("whole", &format!("m{id}")).as_bytes())
            .expect("written");
    }
    router.signal("-CONT");
    assert_eq!(answer(&mut resting[0]).2, WHOLE);
    for client in &mut more {
        assert_eq!(answer(client).2, WHOLE);
    }
}

// Closing connections, and the stop.

/// Closed over bytes that were not read, a connection is reset.
#[test]
fn an_answer_before_an_end_arrives_whole_whatever_its_client_sends_behind_its_request() {
    let (router, nodes, _discovery) = Router::with(&[Act::Silent]);
    let mut client = router.connect();
    let last = request("whole", "r").replace("Host: x", "Host: x\r\nConnection: close");
    client.write_all(last.as_bytes()).expect("written");
    nodes[0].frame('q');
    // More than the router reads ahead.
    client
        .write_all("x".repeat(150_000).as_bytes())
        .expect("written");
    ["r.0", "r.1"].iter().for_each(|id| nodes[0].answer(id));
    thread::sleep(200 * MS);
    let (status, head, _) = answer(&mut client);
    assert_eq!((status, head.contains("Connection: close")), (200, true));
    assert!(ends_in_order(&mut client));
    // A reset is seen by who writes: the first meets it, the second is told.
    client.write_all(b"x").expect("no reset behind it");
    thread::sleep(20 * MS);
    client.write_all(b"x").expect("no reset behind it");
}

/// A request that stands in the socket's buffer as the router closes what rests is answered.
#[test]
fn a_request_that_comes_as_resting_connections_are_closed_is_answered() {
    let (router, nodes, _discovery) = Router::with(&[Act::Serve]);
    let record = Record::of(&nodes);
    let mut resting = router.connect();
    assert_eq!(ask(&mut resting, "whole", "r1").0, 200);
    router.signal("-TERM");
    let told = Instant::now();
    eventually("the signal is heard", || health(&router) == 503);
    thread::sleep((500 * MS).saturating_sub(told.elapsed()));
    // It stands still over the moment in which it closes.
    router.signal("-STOP");
    resting
        .write_all(request("whole", "r2").as_bytes())
        .expect("written");
    thread::sleep((900 * MS).saturating_sub(told.elapsed()));
    let then = Instant::now();
    router.signal("-CONT");
    let (status, head, _) = answer(&mut resting);
    assert_eq!((status, head.contains("Connection: close")), (200, true));
    assert!(record.calls_after(then) > 0 && ends_in_order(&mut resting));
}

/// Behind the shutdown nothing is sent on: its client sees the end and asks again elsewhere.
#[test]
fn a_request_behind_the_end_of_a_resting_connection_is_not_sent_on() {
    let (mut router, nodes, _discovery) = Router::with(&[Act::Serve]);
    let record = Record::of(&nodes);
    let mut resting = router.connect();
    assert_eq!(ask(&mut resting, "whole", "r1").0, 200);
    router.signal("-TERM");
    assert_eq!(resting.read(&mut [0]).expect("an end in order"), 0);
    let then = Instant::now();
    // Half a request, then the rest: the router reads to the end, so neither write meets a reset.
    let text = request("whole", "r2");
    let (first, rest) = text.as_bytes().split_at(40);
    resting.write_all(first).expect("written");
    thread::sleep(20 * MS);
    resting.write_all(rest).expect("written");
    thread::sleep(20 * MS);
    resting
        .shutdown(Shutdown::Write)
        .expect("the connection still stands");
    assert!(ends_in_order(&mut resting) && router.ended());
    assert_eq!(record.calls_after(then), 0);
}

/// The longest deadline here is 3 s, and 0.7 s more may pass until a router that stops is killed.
#[test]
fn what_is_taken_late_in_a_stop_is_answered_before_the_router_may_be_killed() {
    let (mut router, nodes, _discovery) = Router::with(&[Act::Silent]);
    let mut slow = router.connect();
    slow.write_all(b"GET /_health HTTP/1.1\r\n\r\n")
        .expect("written");
    assert_eq!(answer(&mut slow).0, 200);
    let text = request("whole", "r1").replace("Deadline-Ms: 2000", "Deadline-Ms: 3000");
    let (first, rest) = text.as_bytes().split_at(40);
    router.signal("-TERM");
    let told = Instant::now();
    thread::sleep(600 * MS);
    slow.write_all(first).expect("written");
    thread::sleep((2500 * MS).saturating_sub(told.elapsed()));
    slow.write_all(rest).expect("written");
    let status = answer(&mut slow).0;
    assert!(told.elapsed() < 3700 * MS, "after {:?}", told.elapsed());
    assert_eq!(status, 503);
    assert!(router.ended() && nodes.len() == 1);
}

// Term 4: idle clients may fill the descriptors while discovery is down.

#[test]
fn clients_that_rest_on_every_descriptor_keep_neither_discovery_nor_requests_out() {
    let (node, discovery) = (Node::start([Act::Serve; 2]), Discovery::default());
    discovery.set(|roster| roster.down = true);
    let router = Router::start(discovery.start(), "", 64);
    discovery.wait_until(|roster| roster.calls >= 1);
    // Some say nothing, some half of something, some rest behind an answer.
    let mut resting: Vec<TcpStream> = (0..150).map(|_| router.connect()).collect();
    for (at, stream) in resting.iter_mut().enumerate() {
        let text = [
            "",
            "POST /whole HTTP/1.1\r\n",
            "GET /_health HTTP/1.1\r\n\r\n",
        ][at % 3];
        // Those that gave way already are gone.
        let _ = stream.write_all(text.as_bytes());
    }
    let change = entry("s0", node.address, "Ready");
    discovery.set(|roster| (roster.version, roster.changes, roster.down) = (5, change, false));
    let had = Instant::now();
    discovery.wait_until(|roster| roster.asked == 5);
    assert!(had.elapsed() < TOLD, "known after {:?}", had.elapsed());
    assert_eq!(ask(&mut router.connect(), "whole", "r1").2, WHOLE);
}

// Term 5: nine in ten restarted processes are ready within 10 s.

#[test_case("silent"; "discovery takes calls and answers none")]
#[test_case("down"; "discovery refuses all")]
fn restarted_processes_are_ready_while_discovery_is_not(how: &str) {
    let (node, discovery) = (Node::start([Act::Serve; 2]), Discovery::default());
    discovery.set(|roster| (roster.silent, roster.down) = (how == "silent", how == "down"));
    let (address, known) = (discovery.start(), entry("s0", node.address, "Ready"));
    let mut routers: Vec<Router> = (0..20)
        .map(|_| Router::start(address, &known, 256))
        .collect();
    for router in &mut routers {
        router.signal("-KILL");
        router.child.wait().expect("it ends");
    }
    let began = Instant::now();
    let started: Vec<_> = routers.iter_mut().map(Router::again).collect();
    assert_eq!(started.len(), 20);
    let mut ready = Vec::new();
    for (at, router) in routers.iter().enumerate() {
        eventually("a restarted router is ready", || {
            TcpStream::connect(router.address).is_ok()
        });
        assert_eq!(health(router), 200);
        assert_eq!(
            ask(&mut router.connect(), "whole", &format!("r{at}")).2,
            WHOLE
        );
        ready.push(began.elapsed());
    }
    ready.sort();
    assert!(ready[17] < Duration::from_secs(10), "{ready:?}");
}

// Term 3: a cold node falls under the sum of what all processes send.

/// At its start 4 are borne, so 10 within a second are not too many and 11 are; a second later, or further apart, they are not.
#[test]
fn a_second_that_holds_too_much_is_found() {
    let at = |from: u64, count: u64, apart: u64| -> Vec<Duration> {
        (0..count)
            .map(|number| Duration::from_millis(from + number * apart))
            .collect()
    };
    assert_eq!(overrun(&at(0, 10, 1)), None);
    assert_eq!(
        overrun(&at(0, 11, 1)).map(|(first, count, _)| (first, count)),
        Some((Duration::ZERO, 11))
    );
    assert_eq!(
        (overrun(&at(1000, 11, 1)), overrun(&at(0, 11, 200))),
        (None, None)
    );
}

/// The cold node is the only holder of its shard, and each process is asked for far more than it may send there. They hear of
/// its start late and all at once, and some are restarted in the window. A part of it is used, and no window is overrun.
#[test_case(20)]
#[test_case(30)]
#[allow(
    clippy::too_many_lines,
    reason = "one scenario, told in the order in which it happens"
)]
fn a_cold_node_bears_the_sum_of_what_all_processes_send(processes: usize) {
    let settings = SETTINGS
        .replace(r#""rules":{"#, RAMP)
        .replace(r#""positions":1"#, r#""positions":2"#)
        .replace(r#""balancers":1"#, &format!(r#""balancers":{processes}"#));
    let nodes = [Node::start([Act::Serve; 2]), Node::start([Act::Serve; 2])];
    let listed = |at: usize, since: u128| {
        let since = format!(r#""since_ms":{since}"#);
        let entry = entry(&format!("s{at}"), nodes[at].address, "Ready");
        entry
            .replace(r#""group":0"#, &format!(r#""group":{at}"#))
            .replace(r#""since_ms":0"#, &since)
    };
    let (discovery, known) = (Discovery::default(), listed(0, 0));
    discovery.set(|roster| roster.version = 1);
    let address = discovery.start();
    // Chance of their own, as far apart as the platform gives it.
    let seed = |at: usize| at.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let start = |at| Router::start_seeded(seed(at), address, &known, 256, 4, &settings, |_| ());
    let mut routers: Vec<Router> = (0..processes).map(start).collect();
    let record = Record::of(&nodes[1..]);
    let (started, unix) = (Instant::now(), std::time::SystemTime::now());
    let unix = unix
        .duration_since(std::time::UNIX_EPOCH)
        .expect("a time")
        .as_millis();
    thread::sleep(1500 * MS);
    let changes = [listed(0, 0), listed(1, unix)].join(",");
    discovery.set(|roster| (roster.version, roster.changes) = (2, changes));
    let addresses: Vec<_> = routers.iter().map(|router| router.address).collect();
    let ends = started + Duration::from_secs(5);
    thread::scope(|scope| {
        for (client, address) in addresses.into_iter().enumerate() {
            scope.spawn(move || {
                for number in 0.. {
                    if Instant::now() > ends {
                        return;
                    }
                    let parts = r#"{"tablet":1,"fraction":1,"guess":100000}"#;
                    let text = request_of("whole", &format!("c{client}x{number}"), parts);
                    // While it is restarted, nobody is there.
                    if let Ok(mut stream) = TcpStream::connect(address) {
                        let _ = stream.set_read_timeout(Some(BOUND));
                        let _ = stream
                            .write_all(text.as_bytes())
                            .and_then(|()| stream.read(&mut [0; 512]));
                    }
                    thread::sleep(20 * MS);
                }
            });
        }
        thread::sleep(400 * MS);
        for router in routers.iter_mut().take(processes / 2) {
            router.signal("-KILL");
            router.child.wait().expect("it ends");
            router.again();
        }
    });
    let calls = record
        .0
        .lock()
        .expect("no test thread panicked with the lock held");
    let sent: Vec<Duration> = calls
        .iter()
        .filter(|call| call.1 == 'q')
        .map(|call| call.0 - started)
        .collect();
    assert_eq!(overrun(&sent), None);
    assert!(sent.len() >= 10, "{} in all", sent.len());
}
