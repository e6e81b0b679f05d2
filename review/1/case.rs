//! Case: answers of data nodes whose frame length does not fit. See claim.txt.
#[path = "../common/standins.rs"]
mod standins;

use standins::*;
use std::path::Path;
use std::process::ExitCode;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// Of so many answers one comes spoilt.
const ONE_IN: u64 = 16;
const CLIENTS: u64 = 4;
const LOOKUPS: u64 = 90;

#[derive(Default)]
struct Counts {
    served: AtomicU64,
    other: AtomicU64,
    short: AtomicU64,
    long: AtomicU64,
    /// The values that were served and that no node made.
    wrong: Mutex<Vec<String>>,
}

/// A client that keeps its connection and asks one lookup after the other.
fn client(number: u64, address: std::net::SocketAddr, record: &Record, counts: &Counts) {
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
        match open.answer(ms(3_500)) {
            Ok(answer) => {
                record.say(&format!(
                    "client {number}: {id} answered with {} {}",
                    answer.status,
                    answer.body.trim_end()
                ));
                if answer.status == 200 {
                    counts.served.fetch_add(1, Ordering::SeqCst);
                    for (shard, value) in pieces(&answer.body) {
                        let part = format!("{id}.{shard}");
                        if value != value_of(&part) {
                            record.say(&format!(
                                "WRONG: {part} is served as {value:?}, its node made {:?}",
                                value_of(&part)
                            ));
                            counts.wrong.lock().unwrap().push(value);
                        }
                    }
                } else {
                    counts.other.fetch_add(1, Ordering::SeqCst);
                }
                connection = (!answer.last).then_some(open);
            }
            Err(error) => {
                counts.other.fetch_add(1, Ordering::SeqCst);
                record.say(&format!("client {number}: {id} has no answer: {error}"));
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
    let (answers, counts) = (AtomicU64::new(seed() * 5), Arc::new(Counts::default()));
    let (noted, spoiling) = (Arc::clone(&counts), record.clone());
    // Sound nodes with 20 to 80 ms of work for a part. Of the answers, one in sixteen has a frame length that does not
    // fit: by turns 3 too small and 1 too large. All of the frame's bytes are sent, and the connection stays open.
    let act: Act = Arc::new(move |part: &Part| {
        let number = answers.fetch_add(1, Ordering::SeqCst);
        let mut frame = answer_frame(&part.id, "served", &value_of(&part.id));
        if trouble && number % ONE_IN == 0 {
            let right = u32::from_le_bytes([frame[0], frame[1], frame[2], frame[3]]);
            let is_short = number / ONE_IN % 2 == 0;
            let (wrong, count) = if is_short {
                (right - 3, &noted.short)
            } else {
                (right + 1, &noted.long)
            };
            frame[..4].copy_from_slice(&wrong.to_le_bytes());
            count.fetch_add(1, Ordering::SeqCst);
            spoiling.say(&format!(
                "spoilt: the answer to {} has the length {wrong} in place of {right}",
                part.id
            ));
        }
        Some((ms(20 + number * 7 % 60), frame))
    });
    let (_nodes, entries) = nodes(4, &record, &act);
    let discovery = Discovery::start("discovery", &record, &entries);
    let folder = Folder::new("lengths");
    let (address, file) = (free_address(), folder.0.join("router.json"));
    std::fs::write(&file, config(address, discovery.address, &entries)).expect("written");
    let Some(router) = Router::start(&record, &file, None, address, &folder.0.join("log")) else {
        record.tell("the router did not start");
        return ExitCode::from(2);
    };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (record, counts) = (record.clone(), Arc::clone(&counts));
            thread::spawn(move || client(number, address, &record, &counts))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    drop(router);
    let count = |of: &AtomicU64| of.load(Ordering::SeqCst);
    let wrong = counts.wrong.lock().unwrap();
    let (served, spoilt) = (
        count(&counts.served),
        count(&counts.short) + count(&counts.long),
    );
    let shorter = wrong.iter().filter(|value| value.len() < 16).count();
    record.tell(&format!(
        "{served} lookups served, {} not; lengths of answers: {} too small, {} too large; values served that no node made: {} ({shorter} cut short)",
        count(&counts.other),
        count(&counts.short),
        count(&counts.long),
        wrong.len()
    ));
    if served < 50 || trouble && spoilt == 0 {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(!wrong.is_empty()))
}
