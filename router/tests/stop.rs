//! A process that is told to stop and killed as early as the protocol allows: 0.7 s and the longest deadline (counted as 3 s
//! where it is longer) after the signal. Judged by the rule alone: what was read is answered whole before the kill, with the time
//! to spare for which a process may be held up; a connection that is closed before its client writes owes nothing.

mod common;

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const MS: Duration = Duration::from_millis(1);
/// A process may be held up for so long between reading its clock and writing.
const HELD_UP: Duration = Duration::from_millis(150);
/// New connections go on coming for so long after the signal.
const ACCEPTS: Duration = Duration::from_millis(700);

/// What became of a request, by its client.
#[derive(Clone, Debug, PartialEq)]
enum Fate {
    /// The connection had ended before the client wrote.
    ClosedUnread,
    /// Whole, so long after the signal.
    Answered(u16, Duration),
    /// The connection ended, or was killed, with no whole answer.
    Lost(Duration),
}

impl Fate {
    /// What the rule allows where the kill comes so long after the signal.
    fn keeps(&self, kill: Duration) -> bool {
        match self {
            Fate::ClosedUnread => true,
            Fate::Answered(_, at) => *at + HELD_UP < kill,
            Fate::Lost(_) => false,
        }
    }
}

#[test]
fn the_rule_rejects_what_is_lost_and_what_comes_just_before_the_kill() {
    let kill = 2600 * MS;
    assert!(Fate::ClosedUnread.keeps(kill) && Fate::Answered(200, 2400 * MS).keeps(kill));
    assert!(!Fate::Answered(200, 2500 * MS).keeps(kill) && !Fate::Lost(1500 * MS).keeps(kill));
}

/// A router whose longest deadline is so many milliseconds.
fn router(longest: u64, nodes: &[Act]) -> (Router, Vec<Node>, Discovery) {
    let settings = SETTINGS.replace(
        "\"deadline\":3000000",
        &format!("\"deadline\":{}", longest * 1000),
    );
    let nodes: Vec<Node> = nodes.iter().map(|act| Node::start([*act; 2])).collect();
    let listed = nodes
        .iter()
        .enumerate()
        .map(|(at, node)| entry(&format!("s{at}"), node.address, "Ready"));
    let (discovery, listed) = (Discovery::default(), listed.collect::<Vec<_>>().join(","));
    let router = Router::start_with(discovery.start(), &listed, 1024, 1, &settings, |_| ());
    (router, nodes, discovery)
}

fn until(told: Instant, at: Duration) {
    thread::sleep(at.saturating_sub(told.elapsed()));
}

/// Writes what there is of a request at each of its times, and reads up to the answer's last byte.
fn send(mut stream: TcpStream, told: Instant, pieces: &[(Duration, &[u8])]) -> Fate {
    for (at, piece) in pieces {
        until(told, *at);
        if has_ended(&stream) && *at == pieces[0].0 {
            return Fate::ClosedUnread;
        }
        if stream.write_all(piece).is_err() {
            return Fate::Lost(told.elapsed());
        }
    }
    match status_of(&mut stream) {
        Ok(status) => Fate::Answered(status, told.elapsed()),
        Err(_) => Fate::Lost(told.elapsed()),
    }
}

fn text(id: &str, deadline: u64) -> String {
    request("whole", id).replace("Deadline-Ms: 2000", &format!("Deadline-Ms: {deadline}"))
}

/// Kills the process at `kill` after the signal, unless it has ended by itself; tells when it did.
fn kill_at(router: &mut Router, told: Instant, kill: Duration) -> Option<Duration> {
    while told.elapsed() < kill {
        if router.child.try_wait().expect("a child").is_some() {
            return Some(told.elapsed());
        }
        thread::sleep(2 * MS);
    }
    router.child.kill().expect("killed");
    router.child.wait().expect("it ends");
    None
}

/// The incident: connections that have brought no request yet when the router closes what rests, made before the signal or
/// shortly after it, bring their first while a node hangs.
#[test]
fn a_first_request_late_in_a_stop_is_answered_or_finds_its_connection_closed() {
    let (mut router, _nodes, _discovery) = router(1900, &[Act::Silent]);
    let before: Vec<TcpStream> = (0..2).map(|_| router.connect()).collect();
    thread::sleep(50 * MS);
    router.signal("-TERM");
    let (told, kill) = (Instant::now(), ACCEPTS + 1900 * MS);
    until(told, 300 * MS);
    let after: Vec<TcpStream> = (0..2).map(|_| router.connect()).collect();
    let clients: Vec<_> = before
        .into_iter()
        .chain(after)
        .enumerate()
        .map(|(at, stream)| {
            let when = [1400, 2000][at % 2] * MS;
            thread::spawn(move || {
                send(
                    stream,
                    told,
                    &[(when, text(&format!("r{at}"), 1900).as_bytes())],
                )
            })
        })
        .collect();
    kill_at(&mut router, told, kill);
    let fates: Vec<Fate> = clients
        .into_iter()
        .map(|client| client.join().expect("a client"))
        .collect();
    assert!(fates.iter().all(|fate| fate.keeps(kill)), "{fates:?}");
}

/// Half a request before resting connections are closed, the rest long after: it is owed, by the same instant as all.
#[test]
fn what_becomes_whole_late_in_a_stop_is_answered_with_time_to_spare() {
    let (mut router, _nodes, _discovery) = router(1900, &[Act::Silent]);
    let stream = router.connect();
    router.signal("-TERM");
    let (told, kill) = (Instant::now(), ACCEPTS + 1900 * MS);
    let client = thread::spawn(move || {
        let text = text("r", 1900);
        let (first, rest) = text.as_bytes().split_at(40);
        send(stream, told, &[(500 * MS, first), (2300 * MS, rest)])
    });
    kill_at(&mut router, told, kill);
    let fate = client.join().expect("a client");
    assert!(fate.keeps(kill) && fate != Fate::ClosedUnread, "{fate:?}");
}

/// Deadlines over 3 s count as 3 s: what is in hand at the signal is answered by then, and the process ends by itself.
#[test]
fn a_lookup_of_a_long_deadline_is_answered_before_the_kill_and_the_process_ends() {
    let (mut router, nodes, _discovery) = router(8000, &[Act::Silent]);
    let mut stream = router.connect();
    stream
        .write_all(text("r", 8000).as_bytes())
        .expect("written");
    nodes[0].frame('q');
    router.signal("-TERM");
    let (told, kill) = (Instant::now(), ACCEPTS + 3000 * MS);
    let client = thread::spawn(move || send(stream, told, &[]));
    let ended = kill_at(&mut router, told, kill);
    let fate = client.join().expect("a client");
    assert!(
        fate.keeps(kill) && ended.is_some(),
        "{fate:?}, ended {ended:?}"
    );
}

/// With everything answered a stop does not wait for clients that say nothing.
#[test]
fn a_stop_with_nothing_owed_ends_long_before_the_kill() {
    let (mut router, _nodes, _discovery) = router(3000, &[Act::Serve]);
    let mut resting = router.connect();
    assert_eq!(ask(&mut resting, "whole", "r").0, 200);
    let _new = router.connect();
    router.signal("-TERM");
    let (told, kill) = (Instant::now(), ACCEPTS + 3000 * MS);
    let ended = kill_at(&mut router, told, kill);
    assert!(ended.is_some_and(|at| at < 2200 * MS), "ended {ended:?}");
}

/// Held up from before the instant by which all is answered to long after it would have left, and not killed: it still answers.
#[test]
fn a_process_held_up_over_its_last_instants_still_answers_what_it_took() {
    let (mut router, nodes, _discovery) = router(1900, &[Act::Silent]);
    let mut stream = router.connect();
    router.signal("-TERM");
    let (told, kill) = (Instant::now(), ACCEPTS + 1900 * MS);
    until(told, 600 * MS);
    stream
        .write_all(text("r", 1900).as_bytes())
        .expect("written");
    nodes[0].frame('q');
    let client = thread::spawn(move || send(stream, told, &[]));
    until(told, kill - 300 * MS);
    router.signal("-STOP");
    until(told, kill + 200 * MS);
    router.signal("-CONT");
    let fate = client.join().expect("a client");
    assert!(matches!(fate, Fate::Answered(503, _)), "{fate:?}");
    assert!(router.ended());
}

/// Who has had its answer and is closing when resting connections are told to end is read to its end all the same.
#[test]
fn a_connection_that_is_closing_in_order_is_not_cut_off_as_the_listener_goes() {
    let (router, _nodes, _discovery) = router(1900, &[Act::Serve]);
    let mut client = router.connect();
    assert_eq!(ask(&mut client, "whole", "first").0, 200);
    router.signal("-TERM");
    let told = Instant::now();
    until(told, 500 * MS);
    assert_eq!(ask(&mut client, "whole", "last").0, 200);
    // A reset is seen by who writes: the first meets it, the second is told.
    until(told, 950 * MS);
    client.write_all(b"x").expect("no reset behind the answer");
    thread::sleep(20 * MS);
    client.write_all(b"x").expect("no reset behind the answer");
}
