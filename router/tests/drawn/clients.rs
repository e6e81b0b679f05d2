//! The clients, and what they and the nodes write down.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use ternpick_history::requests::{Effect, Saw};

use crate::common::*;
use crate::faults::Draw;

/// The longest deadline, and so the earliest kill after a signal.
pub(crate) const LONGEST: u64 = 1900;
/// Clients send for so long.
const LOAD: Duration = Duration::from_millis(3200);

/// What was seen, by one clock.
#[derive(Clone)]
pub(crate) struct Record {
    pub(crate) began: Instant,
    pub(crate) events: Arc<Mutex<Vec<(u64, Saw)>>>,
}

impl Record {
    fn now(&self) -> u64 {
        self.began.elapsed().as_micros() as u64
    }

    pub(crate) fn saw(&self, saw: Saw) {
        self.events
            .lock()
            .expect("no test thread panicked with the lock held")
            .push((self.now(), saw));
    }
}

const CLASSES: [(&str, Effect); 3] = [
    ("whole", Effect::Any),
    ("half", Effect::Within(5_000_000)),
    ("once", Effect::Once),
];

fn text(class: &str, id: &str, deadline: u64) -> Vec<u8> {
    request(class, id)
        .replace("Deadline-Ms: 2000", &format!("Deadline-Ms: {deadline}"))
        .into_bytes()
}

fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(BOUND)).ok()?;
    stream.set_nodelay(true).ok()?;
    Some(stream)
}

/// A client: asks again and again as its kind does, up to the end of the load or of the router.
#[allow(
    clippy::too_many_lines,
    reason = "one scenario, told in the order in which it happens"
)]
pub(crate) fn client(number: u64, seed: u64, address: SocketAddr, router: &str, record: &Record) {
    let mut draw = Draw::new(seed * 1000 + number);
    let (kind, mut kept) = (number % 5, None::<TcpStream>);
    for turn in 0.. {
        if record.began.elapsed() > LOAD {
            return;
        }
        let (class, effect) = draw.one(&CLASSES);
        let (id, deadline) = (
            format!("{router}c{number}x{turn}"),
            draw.between(700, LONGEST),
        );
        let served = kept.is_some();
        let found = kept.take().filter(|stream| !has_ended(stream));
        let rested = served && found.is_some();
        let Some(mut stream) = found.or_else(|| connect(address)) else {
            return;
        };
        // A first request that comes late.
        if kind == 3 {
            thread::sleep(Duration::from_millis(draw.between(100, 1600)));
            if has_ended(&stream) {
                continue;
            }
        }
        // Half a request, and no more: an error or an end within 3 s.
        if kind == 4 && draw.below(4) == 0 {
            let half = text(class, &id, deadline);
            let began = Instant::now();
            if stream.write_all(&half[..half.len() / 2]).is_ok() {
                let _ = stream.set_read_timeout(Some(Duration::from_millis(3300)));
                let got = stream.read(&mut [0; 512]);
                let waits = matches!(&got, Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut));
                assert!(
                    !waits,
                    "half a request, and nothing for {:?}",
                    began.elapsed()
                );
            }
            continue;
        }
        // The last byte is written here, and counts from just before: nothing may be said to be earlier than it was.
        let whole = text(class, &id, deadline);
        let at = record.now();
        if stream.write_all(&whole).is_err() {
            // Not all of it went out, or nobody can have read it.
            continue;
        }
        let sent = Saw::Sent {
            id: id.clone(),
            router: router.to_owned(),
            deadline: deadline * 1000,
            effect,
        };
        record
            .events
            .lock()
            .expect("no test thread panicked with the lock held")
            .push((at, sent));
        if kind == 2 && draw.below(2) == 0 {
            thread::sleep(Duration::from_millis(draw.between(1, 80)));
            drop(stream);
            record.saw(Saw::Left { id });
            continue;
        }
        match status_of(&mut stream) {
            Ok(status) => {
                record.saw(Saw::Answered { id, status });
                kept = Some(stream).filter(|_| kind != 1);
            }
            Err(true) if rested => record.saw(Saw::Crossed { id }),
            Err(_) => record.saw(Saw::NoAnswer { id }),
        }
        thread::sleep(Duration::from_millis(draw.between(1, 25)));
    }
}

/// What nodes see of calls.
pub(crate) fn watch(node: &Node, name: &str, record: &Record) {
    let (record, name) = (record.clone(), name.to_owned());
    node.watch(Some(Arc::new(move |letter, rest: &str| {
        let mut left = rest;
        while let (Some((line, more)), 'q') = (left.split_once('\n'), letter) {
            let words: Vec<&str> = line.split(' ').collect();
            let (id, part) = words[0].rsplit_once('.').expect("a part's id");
            let told = words[2]
                .split(',')
                .find_map(|of| of.strip_prefix("d="))
                .expect("a time");
            record.saw(Saw::Came {
                id: id.to_owned(),
                part: part.parse().expect("a shard"),
                node: name.clone(),
                told: told.parse::<u64>().expect("milliseconds") * 1000,
            });
            left = more
                .get(words[3].parse::<usize>().expect("a length")..)
                .unwrap_or_default();
        }
    })));
}
