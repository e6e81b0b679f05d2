//! Case: an upgrade whose new process dies while it starts. See claim.txt.
#[path = "../common/standins.rs"]
mod standins;

use standins::*;
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The new process dies this long after the upgrade has said that it has started.
const DIES_AFTER: Duration = Duration::from_millis(30);
const CLIENTS: u64 = 12;
/// Each round has a router of its own and one upgrade.
const ROUNDS: u64 = 6;

#[derive(Default)]
struct Seen {
    /// The ids of lookups of which a part has come to a data node.
    forwarded: Mutex<BTreeSet<String>>,
    answered: AtomicU64,
    unanswered: Mutex<Vec<String>>,
}

/// A client that keeps its connection and asks one lookup after the other.
fn client(round: u64, number: u64, address: SocketAddr, record: &Record, seen: &Seen, over: &Over) {
    let mut dice = Dice::new(seed() * 1000 + round * 100 + number);
    let mut connection: Option<Connection> = None;
    let mut asked = 0;
    while !over.get() {
        thread::sleep(ms(dice.below(60)));
        let Some(mut open) = connection.take().or_else(|| Connection::open(address)) else {
            continue;
        };
        asked += 1;
        let id = format!("{:06x}{round:02x}{number:04x}{asked:04x}", seed());
        let first = dice.below(5) as u32;
        let shards: Vec<u32> = (first..first + 4).collect();
        if !open.send(&lookup("address-history", &id, 4000, &shards, "c41e77d0")) {
            record.say(&format!(
                "client {number} finds its connection closed before {id}"
            ));
            continue;
        }
        record.say(&format!("client {number} asks {id}"));
        match open.answer(ms(4_600)) {
            Ok(answer) => {
                record.say(&format!(
                    "client {number}: {id} answered with {}",
                    answer.status
                ));
                seen.answered.fetch_add(1, Ordering::SeqCst);
                connection = (!answer.last).then_some(open);
            }
            Err(error) => {
                record.say(&format!("client {number}: {id} has no answer: {error}"));
                seen.unanswered.lock().unwrap().push(id);
            }
        }
    }
}

/// One router and one upgrade of it; returns false if the round could not run.
fn round(number: u64, trouble: bool, record: &Record, seen: &Arc<Seen>) -> bool {
    let (parts, noted) = (AtomicU64::new(number * 11), Arc::clone(seen));
    // Sound nodes: 80 to 200 ms for a part.
    let act: Act = Arc::new(move |part: &Part| {
        let lookup = part.id.split('.').next().unwrap_or_default().to_owned();
        noted.forwarded.lock().unwrap().insert(lookup);
        let number = parts.fetch_add(1, Ordering::SeqCst);
        Some((
            ms(80 + number * 37 % 120),
            answer_frame(&part.id, "served", &value_of(&part.id)),
        ))
    });
    let (_nodes, entries) = nodes(6, record, &act);
    let discovery = Discovery::start("discovery", record, &entries);
    let folder = Folder::new("dies");
    let (address, file) = (free_address(), folder.0.join("router.json"));
    let (settings, socket) = (folder.0.join("settings.cue"), folder.0.join("control"));
    std::fs::write(&file, config(address, discovery.address, &entries)).expect("written");
    let control = format!(
        "control: {{socket: {:?}, upgrade: true, stays: true}}\n",
        socket.display().to_string()
    );
    std::fs::write(&settings, control).expect("written");
    let Some(mut router) = Router::start(
        record,
        &file,
        Some(&settings),
        address,
        &folder.0.join("log"),
    ) else {
        return false;
    };
    let over = Over::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client_number| {
            let (record, seen, over) = (record.clone(), Arc::clone(seen), over.clone());
            thread::spawn(move || client(number, client_number, address, &record, &seen, &over))
        })
        .collect();
    thread::sleep(ms(2_000));

    record.say(&format!(
        "runs: target/release/ternpick upgrade --socket {}",
        socket.display()
    ));
    let mut upgrade = Command::new("target/release/ternpick")
        .args(["upgrade", "--socket"])
        .arg(&socket)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the command runs");
    let mut steps = BufReader::new(upgrade.stdout.take().expect("its output"));
    let mut line = String::new();
    let _ = steps.read_line(&mut line);
    record.say(&format!("upgrade: {}", line.trim_end()));
    let process = line
        .split("(process ")
        .nth(1)
        .and_then(|text| text.split(')').next()?.parse::<i32>().ok());
    let Some(process) = process else { return false };
    if trouble {
        thread::sleep(DIES_AFTER);
        record.say(&format!(
            "SIGKILL to the new process {process}, {} ms after it has started",
            DIES_AFTER.as_millis()
        ));
        signal(process, SIGKILL);
    }
    for line in steps.lines().map_while(Result::ok) {
        record.say(&format!("upgrade: {line}"));
    }
    let ended = upgrade.wait_with_output().expect("the command ends");
    let status = ended.status.code();
    let said = String::from_utf8_lossy(&ended.stderr).trim().to_owned();
    record.say(&format!(
        "the upgrade has ended with status {status:?} {said}"
    ));
    thread::sleep(ms(2_000));
    over.set();
    for client in clients {
        let _ = client.join();
    }
    let runs = !router.has_ended();
    record.say(&format!(
        "the process that `run` started still runs: {runs}"
    ));
    // With trouble the upgrade has failed and the router has gone on running; without, the upgrade has succeeded.
    runs && status == Some(i32::from(trouble))
}

fn main() -> ExitCode {
    let record = Record::new(Path::new(
        &std::env::args().nth(1).expect("the path of the record"),
    ));
    let trouble = trouble();
    let seen = Arc::new(Seen::default());
    for number in 0..ROUNDS {
        if !round(number, trouble, &record, &seen) {
            record.tell(&format!("round {number} could not run"));
            return ExitCode::from(2);
        }
    }
    // A lookup with no answer of which no part came to a data node may have crossed the close of a connection between
    // requests; it does not count.
    let forwarded = seen.forwarded.lock().unwrap();
    let (mut lost, mut crossed) = (0, 0);
    for id in seen.unanswered.lock().unwrap().iter() {
        if forwarded.contains(id) {
            lost += 1;
            record.say(&format!(
                "LOST: {id} was read and forwarded, and its connection ended with no answer"
            ));
        } else {
            crossed += 1;
        }
    }
    let answered = seen.answered.load(Ordering::SeqCst);
    record.tell(&format!(
        "{ROUNDS} upgrades; {answered} lookups answered, {lost} forwarded and never answered, {crossed} not forwarded and not answered"
    ));
    if answered < 50 {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(lost > 0))
}
