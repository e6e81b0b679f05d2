//! Case: an answer of a data node that does not fit into the answer to the client. See claim.txt.
#[path = "../common/standins.rs"]
mod standins;

use standins::*;
use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// Of so many answers one comes spoilt.
const ONE_IN: u64 = 16;
/// The noise in a spoilt answer, in bytes.
const NOISE: usize = 60_000;
const CLIENTS: u64 = 4;
const LOOKUPS: u64 = 90;

#[derive(Default)]
struct Seen {
    answered: AtomicU64,
    spoilt: AtomicU64,
    /// Lookups that are not judged: with a part of an answer, or with an open connection and nothing in time.
    other: AtomicU64,
    /// The lookups of which a part has come to a data node.
    forwarded: Mutex<BTreeSet<String>>,
    /// The lookups whose connection the router ended without a byte of an answer.
    unanswered: Mutex<Vec<String>>,
}

/// Noise of seven-bit characters without line ends.
fn noise(seed: u64) -> String {
    let mut dice = Dice::new(seed);
    std::iter::repeat_with(|| dice.between(1, 127) as u8 as char)
        .filter(|letter| *letter != '\n')
        .take(NOISE)
        .collect()
}

/// A client that keeps its connection and asks one lookup after the other.
fn client(number: u64, address: std::net::SocketAddr, record: &Record, seen: &Seen) {
    let mut dice = Dice::new(seed() * 100 + number);
    let mut connection: Option<Connection> = None;
    for asked in 0..LOOKUPS {
        let id = format!("{:08x}{number:04x}{asked:04x}", seed());
        let (index, shards): (_, Vec<u32>) = if dice.below(3) == 0 {
            let first = dice.below(7) as u32;
            ("lockout-tag", vec![first, first + 1])
        } else {
            let first = dice.below(5) as u32;
            ("address-history", (first..first + 4).collect())
        };
        let Some(mut open) = connection.take().or_else(|| Connection::open(address)) else {
            record.say(&format!("client {number} cannot connect"));
            continue;
        };
        record.say(&format!("client {number} asks {id} {index} {shards:?}"));
        open.send(&lookup(index, &id, 3000, &shards, "c41e77d0"));
        // The rule excuses an answer that was begun and could not be finished, so that only an end with no byte counts.
        let _ = open.stream.set_read_timeout(Some(ms(3_600)));
        match open.stream.peek(&mut [0]) {
            Ok(1..) => {}
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                seen.other.fetch_add(1, Ordering::SeqCst);
                record.say(&format!("client {number}: {id} has no answer in time"));
                continue;
            }
            ended => {
                record.say(&format!(
                    "client {number}: {id} has no byte of an answer, its connection has ended: {ended:?}"
                ));
                seen.unanswered.lock().unwrap().push(id);
                continue;
            }
        }
        match open.answer(ms(3_600)) {
            Ok(answer) => {
                seen.answered.fetch_add(1, Ordering::SeqCst);
                record.say(&format!(
                    "client {number}: {id} answered with {}, {} bytes",
                    answer.status,
                    answer.body.len()
                ));
                connection = (!answer.last).then_some(open);
            }
            Err(error) => {
                seen.other.fetch_add(1, Ordering::SeqCst);
                record.say(&format!(
                    "client {number}: {id} has a part of an answer: {error}"
                ));
            }
        }
        thread::sleep(ms(dice.below(40)));
    }
}

fn main() -> ExitCode {
    let record = Record::new(Path::new(
        &std::env::args().nth(1).expect("the path of the record"),
    ));
    let trouble = trouble();
    let (answers, seen) = (AtomicU64::new(seed() * 5), Arc::new(Seen::default()));
    let (noted, spoiling) = (Arc::clone(&seen), record.clone());
    // Sound nodes with 20 to 80 ms of work for a part. Of the answers one in sixteen has noise in place of its value. Its
    // frame, its id and its end are right, and the connection stays open.
    let act: Act = Arc::new(move |part: &Part| {
        let lookup = part.id.split('.').next().unwrap_or_default().to_owned();
        noted.forwarded.lock().unwrap().insert(lookup);
        let number = answers.fetch_add(1, Ordering::SeqCst);
        let mut value = value_of(&part.id);
        if trouble && number % ONE_IN == 0 {
            value = noise(number);
            noted.spoilt.fetch_add(1, Ordering::SeqCst);
            spoiling.say(&format!(
                "spoilt: the answer to {} has {NOISE} bytes of noise as its value",
                part.id
            ));
        }
        Some((
            ms(20 + number * 7 % 60),
            answer_frame(&part.id, "served", &value),
        ))
    });
    let (_nodes, entries) = nodes(4, &record, &act);
    let discovery = Discovery::start("discovery", &record, &entries);
    let folder = Folder::new("noise");
    let (address, file) = (free_address(), folder.0.join("router.json"));
    std::fs::write(&file, config(address, discovery.address, &entries)).expect("written");
    let log = folder.0.join("log");
    let Some(router) = Router::start(&record, &file, None, address, &log) else {
        record.tell("the router did not start");
        return ExitCode::from(2);
    };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, seen) = (record.clone(), Arc::clone(&seen));
            thread::spawn(move || client(number, address, &record, &seen))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    drop(router);
    for line in std::fs::read_to_string(&log).unwrap_or_default().lines() {
        if line.contains("does not fit") {
            record.say(&format!("the router's log: {line}"));
        }
    }
    let forwarded = seen.forwarded.lock().unwrap();
    let unanswered = seen.unanswered.lock().unwrap();
    // A lookup of which no part came to a data node may have crossed the close of a connection between requests.
    let lost = unanswered
        .iter()
        .filter(|id| forwarded.contains(*id))
        .count();
    for id in unanswered.iter().filter(|id| forwarded.contains(*id)) {
        record.say(&format!(
            "LOST: {id} was read and forwarded, and its connection ended with no answer"
        ));
    }
    let (answered, spoilt) = (
        seen.answered.load(Ordering::SeqCst),
        seen.spoilt.load(Ordering::SeqCst),
    );
    record.tell(&format!(
        "{answered} lookups answered; {spoilt} answers of nodes spoilt; {lost} lookups forwarded and never answered, {} not forwarded and not answered, {} not judged",
        unanswered.len() - lost,
        seen.other.load(Ordering::SeqCst)
    ));
    if answered < 50 || trouble && spoilt == 0 {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(lost > 0))
}
