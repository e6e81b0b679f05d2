//! A process that gets SIGTERM and is killed as early as the protocol allows: 0.7 s plus the longest deadline (at
//! most 3 s) after the signal. The tests check the protocol's rule: every request that was read is answered
//! completely before the kill, and earlier by the time for which a process may be blocked. A connection that the
//! router closes before its client writes is allowed.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const MS: Duration = Duration::from_millis(1);
/// The longest time for which a process may be blocked between reading its clock and writing.
const MAX_BLOCKED: Duration = Duration::from_millis(150);
/// How long new connections may arrive after the signal.
const ACCEPTS_FOR: Duration = Duration::from_millis(700);

/// The outcome of a request, as its client sees it.
#[derive(Clone, Debug, PartialEq)]
enum Outcome {
    /// The router had closed the connection before the client wrote.
    ClosedUnread,
    /// A complete response with this status, at this time after the signal.
    Answered(u16, Duration),
    /// The connection ended without a complete response, at this time after the signal.
    Lost(Duration),
}

impl Outcome {
    /// Whether the rule allows this outcome if the kill comes `kill_after` the signal.
    fn is_allowed(&self, kill_after: Duration) -> bool {
        match self {
            Outcome::ClosedUnread => true,
            Outcome::Answered(_, answered_after) => *answered_after + MAX_BLOCKED < kill_after,
            Outcome::Lost(_) => false,
        }
    }
}

#[test]
fn the_rule_rejects_lost_requests_and_answers_just_before_the_kill() {
    let kill_after = 2600 * MS;
    assert!(
        Outcome::ClosedUnread.is_allowed(kill_after)
            && Outcome::Answered(200, 2400 * MS).is_allowed(kill_after)
    );
    assert!(
        !Outcome::Answered(200, 2500 * MS).is_allowed(kill_after)
            && !Outcome::Lost(1500 * MS).is_allowed(kill_after)
    );
}

/// Starts a router whose longest deadline is `longest_deadline_ms`.
fn router(longest_deadline_ms: u64, nodes: &[Act]) -> (Router, Vec<Node>, Discovery) {
    let settings = SETTINGS.replace(
        "\"deadline\":3000000",
        &format!("\"deadline\":{}", longest_deadline_ms * 1000),
    );
    let nodes: Vec<Node> = nodes.iter().map(|act| Node::start([*act; 2])).collect();
    let listed = nodes
        .iter()
        .enumerate()
        .map(|(index, node)| entry(&format!("s{index}"), node.address, "Ready"));
    let (discovery, listed) = (Discovery::default(), listed.collect::<Vec<_>>().join(","));
    let router = Router::start_with(discovery.start(), &listed, 1024, 1, &settings, |_| ());
    (router, nodes, discovery)
}

/// Sleeps until `delay` after the signal.
fn sleep_until(signalled: Instant, delay: Duration) {
    thread::sleep(delay.saturating_sub(signalled.elapsed()));
}

/// Writes each piece of a request at its time after the signal, and reads the response up to its last byte.
fn send(mut stream: TcpStream, signalled: Instant, pieces: &[(Duration, &[u8])]) -> Outcome {
    for (delay, piece) in pieces {
        sleep_until(signalled, *delay);
        if has_ended(&stream) && *delay == pieces[0].0 {
            return Outcome::ClosedUnread;
        }
        if stream.write_all(piece).is_err() {
            return Outcome::Lost(signalled.elapsed());
        }
    }
    match status_of(&mut stream) {
        Ok(status) => Outcome::Answered(status, signalled.elapsed()),
        Err(_) => Outcome::Lost(signalled.elapsed()),
    }
}

fn request_text(id: &str, deadline_ms: u64) -> String {
    request("whole", id).replace("Deadline-Ms: 2000", &format!("Deadline-Ms: {deadline_ms}"))
}

/// Kills the process `kill_after` the signal, unless it has ended by itself. Returns when it ended by itself.
fn kill_unless_ended(
    router: &mut Router,
    signalled: Instant,
    kill_after: Duration,
) -> Option<Duration> {
    while signalled.elapsed() < kill_after {
        if router.child.try_wait().expect("a child").is_some() {
            return Some(signalled.elapsed());
        }
        thread::sleep(2 * MS);
    }
    router.child.kill().expect("killed");
    router.child.wait().expect("it ends");
    None
}

/// Guards against an incident: clients connected before the signal or shortly after it, and sent their first request
/// only after the router had closed its idle connections, while a node did not answer.
#[test]
fn a_first_request_late_in_a_stop_is_answered_or_finds_its_connection_closed() {
    let (mut router, _nodes, _discovery) = router(1900, &[Act::Silent]);
    let before: Vec<TcpStream> = (0..2).map(|_| router.connect()).collect();
    thread::sleep(50 * MS);
    router.signal("-TERM");
    let (signalled, kill_after) = (Instant::now(), ACCEPTS_FOR + 1900 * MS);
    sleep_until(signalled, 300 * MS);
    let after: Vec<TcpStream> = (0..2).map(|_| router.connect()).collect();
    let clients: Vec<_> = before
        .into_iter()
        .chain(after)
        .enumerate()
        .map(|(index, stream)| {
            let delay = [1400, 2000][index % 2] * MS;
            thread::spawn(move || {
                send(
                    stream,
                    signalled,
                    &[(delay, request_text(&format!("r{index}"), 1900).as_bytes())],
                )
            })
        })
        .collect();
    kill_unless_ended(&mut router, signalled, kill_after);
    let outcomes: Vec<Outcome> = clients
        .into_iter()
        .map(|client| client.join().expect("a client"))
        .collect();
    assert!(
        outcomes
            .iter()
            .all(|outcome| outcome.is_allowed(kill_after)),
        "{outcomes:?}"
    );
}

/// A client sends half a request before the router closes idle connections, and the rest long after that. The router
/// has to answer it by the same time as all other requests.
#[test]
fn a_request_completed_late_in_a_stop_is_answered_before_the_kill() {
    let (mut router, _nodes, _discovery) = router(1900, &[Act::Silent]);
    let stream = router.connect();
    router.signal("-TERM");
    let (signalled, kill_after) = (Instant::now(), ACCEPTS_FOR + 1900 * MS);
    let client = thread::spawn(move || {
        let text = request_text("r", 1900);
        let (first, rest) = text.as_bytes().split_at(40);
        send(stream, signalled, &[(500 * MS, first), (2300 * MS, rest)])
    });
    kill_unless_ended(&mut router, signalled, kill_after);
    let outcome = client.join().expect("a client");
    assert!(
        outcome.is_allowed(kill_after) && outcome != Outcome::ClosedUnread,
        "{outcome:?}"
    );
}

/// Deadlines over 3 s count as 3 s. A query in flight at the signal is answered by then, and the process ends by
/// itself.
#[test]
fn a_query_with_a_long_deadline_is_answered_before_the_kill_and_the_process_ends() {
    let (mut router, nodes, _discovery) = router(8000, &[Act::Silent]);
    let mut stream = router.connect();
    stream
        .write_all(request_text("r", 8000).as_bytes())
        .expect("written");
    nodes[0].frame('q');
    router.signal("-TERM");
    let (signalled, kill_after) = (Instant::now(), ACCEPTS_FOR + 3000 * MS);
    let client = thread::spawn(move || send(stream, signalled, &[]));
    let ended = kill_unless_ended(&mut router, signalled, kill_after);
    let outcome = client.join().expect("a client");
    assert!(
        outcome.is_allowed(kill_after) && ended.is_some(),
        "{outcome:?}, ended by itself after {ended:?}"
    );
}

/// Once every request is answered, a stop does not wait for clients that send nothing.
#[test]
fn a_stop_without_requests_ends_long_before_the_kill() {
    let (mut router, _nodes, _discovery) = router(3000, &[Act::Serve]);
    let mut idle = router.connect();
    assert_eq!(ask(&mut idle, "whole", "r").0, 200);
    let _new = router.connect();
    router.signal("-TERM");
    let (signalled, kill_after) = (Instant::now(), ACCEPTS_FOR + 3000 * MS);
    let ended = kill_unless_ended(&mut router, signalled, kill_after);
    assert!(
        ended.is_some_and(|ended_after| ended_after < 2200 * MS),
        "ended by itself after {ended:?}"
    );
}

/// The process is stopped from before the time by which everything has to be answered until long after it would have
/// exited, and is not killed. It still answers.
#[test]
fn a_process_blocked_over_its_exit_time_still_answers_its_requests() {
    let (mut router, nodes, _discovery) = router(1900, &[Act::Silent]);
    let mut stream = router.connect();
    router.signal("-TERM");
    let (signalled, kill_after) = (Instant::now(), ACCEPTS_FOR + 1900 * MS);
    sleep_until(signalled, 600 * MS);
    stream
        .write_all(request_text("r", 1900).as_bytes())
        .expect("written");
    nodes[0].frame('q');
    let client = thread::spawn(move || send(stream, signalled, &[]));
    sleep_until(signalled, kill_after - 300 * MS);
    router.signal("-STOP");
    sleep_until(signalled, kill_after + 200 * MS);
    router.signal("-CONT");
    let outcome = client.join().expect("a client");
    assert!(matches!(outcome, Outcome::Answered(503, _)), "{outcome:?}");
    assert!(router.ended());
}

/// A client has its response and its connection is closing when the router closes idle connections. The router still
/// reads that connection to its end.
#[test]
fn a_gracefully_closing_connection_is_not_reset_when_the_listener_closes() {
    let (router, _nodes, _discovery) = router(1900, &[Act::Serve]);
    let mut client = router.connect();
    assert_eq!(ask(&mut client, "whole", "first").0, 200);
    router.signal("-TERM");
    let signalled = Instant::now();
    sleep_until(signalled, 500 * MS);
    assert_eq!(ask(&mut client, "whole", "last").0, 200);
    // A client notices a reset only when it writes: the first write triggers the reset, the second one fails.
    sleep_until(signalled, 950 * MS);
    client.write_all(b"x").expect("no reset behind the answer");
    thread::sleep(20 * MS);
    client.write_all(b"x").expect("no reset behind the answer");
}
