//! Case: a planned restart (SIGTERM) while an upgrade's old process still answers its last lookup. See claim.txt.
#[path = "../common/standins.rs"]
mod standins;

use standins::*;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The longest deadline, counted as 3 s at most, and 0.7 s more: SIGKILL may come this long after SIGTERM.
const KILL_AFTER: Duration = ms_const(3_700);
/// New connections go on coming for this long after SIGTERM.
const NEW_CONNECTIONS_FOR: Duration = ms_const(300);
/// Requests that came later than this after SIGTERM, and that SIGKILL finds unanswered, are lost.
const LOST_AFTER: Duration = ms_const(700);
const CLIENTS: u64 = 6;

const fn ms_const(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// How a request ended.
enum End {
    Answered,
    /// The connection ended with no whole answer.
    CutOff,
}

struct Request {
    id: String,
    sent: Instant,
    ended: Instant,
    end: End,
}

#[derive(Default)]
struct Seen {
    requests: Mutex<Vec<Request>>,
    term: Mutex<Option<Instant>>,
    killed: Mutex<Option<Instant>>,
}

/// A client that keeps its connection and asks one lookup after the other. Once its connection has ended, it opens
/// another as long as new connections come.
fn client(
    number: u64,
    address: std::net::SocketAddr,
    record: &Record,
    seen: &Seen,
    over: &Over,
    ids: &AtomicU64,
) {
    let mut dice = Dice::new(seed() * 100 + number);
    let mut connection: Option<Connection> = None;
    while !over.get() {
        let since_term = seen.term.lock().unwrap().map(|at| at.elapsed());
        if connection.is_none() && since_term.is_some_and(|since| since > NEW_CONNECTIONS_FOR) {
            return;
        }
        let Some(mut open) = connection.take().or_else(|| Connection::open(address)) else {
            thread::sleep(ms(20));
            continue;
        };
        let id = format!("{:08x}{:08x}", seed(), ids.fetch_add(1, Ordering::SeqCst));
        let first = dice.below(5) as u32;
        let shards: Vec<u32> = (first..first + 4).collect();
        let sent = Instant::now();
        if !open.send(&lookup("address-history", &id, 4000, &shards, "c41e77d0")) {
            record.say(&format!(
                "client {number} finds its connection closed before {id}"
            ));
            continue;
        }
        record.say(&format!("client {number} asks {id}"));
        let answer = open.answer(ms(4_500));
        let end = match &answer {
            Ok(answer) => {
                record.say(&format!(
                    "client {number}: {id} answered with {}",
                    answer.status
                ));
                End::Answered
            }
            Err(error) => {
                record.say(&format!("client {number}: {id} has no answer: {error}"));
                End::CutOff
            }
        };
        seen.requests.lock().unwrap().push(Request {
            id,
            sent,
            ended: Instant::now(),
            end,
        });
        connection = answer.is_ok_and(|answer| !answer.last).then_some(open);
        thread::sleep(ms(dice.between(0, 40)));
    }
}

fn main() -> ExitCode {
    let record = Record::new(Path::new(
        &std::env::args().nth(1).expect("the path of the record"),
    ));
    let trouble = trouble();
    // Sound nodes: 80 to 200 ms for a part; 1.6 s for the parts of one heavy lookup, which is inside the 2 s within
    // which its index is wanted.
    let parts = AtomicU64::new(0);
    let act: Act = Arc::new(move |part: &Part| {
        let number = parts.fetch_add(1, Ordering::SeqCst);
        let work = if part.text == "heavy" {
            1_600
        } else {
            80 + number * 37 % 120
        };
        Some((
            ms(work),
            answer_frame(&part.id, "served", &value_of(&part.id)),
        ))
    });
    let (_nodes, entries) = nodes(6, &record, &act);
    let discovery = Discovery::start("discovery", &record, &entries);
    let folder = Folder::new("restart");
    let (address, file) = (free_address(), folder.0.join("router.json"));
    let (settings, socket) = (folder.0.join("settings.cue"), folder.0.join("control"));
    std::fs::write(&file, config(address, discovery.address, &entries)).expect("written");
    let control = format!(
        "control: {{socket: {:?}, upgrade: true, stays: true}}\n",
        socket.display().to_string()
    );
    std::fs::write(&settings, control).expect("written");
    let Some(mut router) = Router::start(
        &record,
        &file,
        Some(&settings),
        address,
        &folder.0.join("log"),
    ) else {
        record.tell("the router did not start");
        return ExitCode::from(2);
    };
    let (seen, over, ids) = (
        Arc::new(Seen::default()),
        Over::default(),
        Arc::new(AtomicU64::new(1)),
    );
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, seen, over, ids) = (
                record.clone(),
                Arc::clone(&seen),
                over.clone(),
                Arc::clone(&ids),
            );
            thread::spawn(move || client(number, address, &record, &seen, &over, &ids))
        })
        .collect();
    thread::sleep(ms(2_000));

    // One heavy lookup is in flight while the upgrade happens.
    let heavy = {
        let record = record.clone();
        thread::spawn(move || {
            let mut open = Connection::open(address)?;
            record.say("the heavy lookup is asked");
            open.send(&lookup(
                "address-history",
                "heavy0001",
                6000,
                &[0, 1, 2, 3],
                "heavy",
            ));
            let answer = open.answer(ms(6_500)).ok()?;
            record.say(&format!(
                "the heavy lookup is answered with {}",
                answer.status
            ));
            Some(answer.status)
        })
    };
    thread::sleep(ms(150));
    record.say(&format!(
        "runs: target/release/ternpick upgrade --socket {}",
        socket.display()
    ));
    let mut upgrade = Command::new("target/release/ternpick")
        .args(["upgrade", "--socket"])
        .arg(&socket)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the command runs");
    let mut drains = false;
    let mut steps = BufReader::new(upgrade.stdout.take().expect("its output"));
    let mut line = String::new();
    while steps.read_line(&mut line).unwrap_or(0) > 0 {
        record.say(&format!("upgrade: {}", line.trim_end()));
        drains = line.contains("the new process serves, this process drains");
        if drains {
            break;
        }
        line.clear();
    }
    if !drains {
        record.tell("the upgrade did not happen");
        return ExitCode::from(2);
    }
    thread::spawn(move || for _ in steps.lines() {});
    // With trouble the planned restart begins while the old process still answers the heavy lookup; without, once the
    // upgrade is over.
    if trouble {
        thread::sleep(ms(400));
    } else {
        let ended = upgrade.wait().is_ok_and(|status| status.success());
        record.say(&format!("the upgrade has ended, well: {ended}"));
        if !ended {
            record.tell("the upgrade did not end well");
            return ExitCode::from(2);
        }
        thread::sleep(ms(1_000));
    }
    record.say("SIGTERM to the process that `run` started");
    *seen.term.lock().unwrap() = Some(Instant::now());
    signal(router.pid(), SIGTERM);
    let term = Instant::now();
    while term.elapsed() < KILL_AFTER + ms(50) && router.any_lives() {
        thread::sleep(ms(10));
    }
    let left = router.any_lives();
    if left {
        record.say("SIGKILL to all processes of the router that are left");
        *seen.killed.lock().unwrap() = Some(Instant::now());
        signal(-router.pid(), SIGKILL);
    } else {
        record.say(&format!(
            "all processes of the router have ended, {} ms after SIGTERM",
            term.elapsed().as_millis()
        ));
    }
    over.set();
    for client in clients {
        let _ = client.join();
    }
    let heavy = heavy.join().ok().flatten();
    let _ = upgrade.kill();
    let _ = upgrade.wait();

    let (mut answered, mut late, mut lost, mut early) = (0, 0, 0, 0);
    for request in seen.requests.lock().unwrap().iter() {
        let after_term = request.sent.checked_duration_since(term);
        match request.end {
            End::Answered => {
                answered += 1;
                late += usize::from(after_term.is_some_and(|after| after > LOST_AFTER));
            }
            End::CutOff => {
                let by_kill = seen
                    .killed
                    .lock()
                    .unwrap()
                    .is_some_and(|at| request.ended >= at);
                let waited = request.ended.duration_since(request.sent);
                if by_kill && after_term.is_some_and(|after| after > LOST_AFTER) {
                    lost += 1;
                    record.say(&format!(
                        "LOST: {} came {} ms after SIGTERM, SIGKILL found it unanswered {} ms later",
                        request.id,
                        after_term.unwrap_or_default().as_millis(),
                        waited.as_millis()
                    ));
                } else {
                    // The router closed the connection between requests, and this one crossed it.
                    early += 1;
                }
            }
        }
    }
    record.tell(&format!(
        "{answered} lookups answered, {late} of them came more than 0.7 s after SIGTERM; the heavy one: {heavy:?}; {early} crossed a close; \
         {lost} lost at SIGKILL; processes left at SIGKILL: {left}"
    ));
    if answered < 50 {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(lost > 0))
}
