//! Clients: each has its lookups due at fixed times, whatever became of those before.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use ternpick_wire::http::Reader;
use ternpick_wire::ring::Ring;

use super::Load;

const BOUND: Duration = Duration::from_secs(10);
const ANSWER_BOUND: usize = 1 << 20;
/// Clients come anew after so many lookups.
const KEPT_FOR: u64 = 200;

pub struct Seen(Mutex<(BTreeMap<u16, u64>, Histogram<u64>, u64)>);

impl Default for Seen {
    fn default() -> Self {
        let times = Histogram::new_with_bounds(1, 600_000_000, 3);
        let times = times.unwrap_or_else(|_| unreachable!("the bounds are in order"));
        Seen(Mutex::new((BTreeMap::new(), times, 0)))
    }
}

impl Seen {
    pub fn into_inner(self) -> (BTreeMap<u16, u64>, Histogram<u64>, u64) {
        self.0
            .into_inner()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn note(&self, status: u16, took: Duration, again: u64) {
        let mut of = self
            .0
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        *of.0.entry(status).or_default() += 1;
        of.1.saturating_record((took.as_micros() as u64).max(1));
        of.2 += again;
    }
}

fn request(load: &Load, id: &str) -> String {
    let share = 1.0 / load.parts as f64;
    let parts: Vec<String> = (0..load.parts)
        .map(|at| format!(r#"{{"tablet":{at},"fraction":{share}}}"#))
        .collect();
    let body = format!(r#"{{"tablets":[{}],"statement":"find"}}"#, parts.join(","));
    format!(
        "POST /plain HTTP/1.1\r\nHost: x\r\nReq-Id: {id}\r\nReq-Deadline-Ms: 2900\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// One answer off a connection, and whether it stays open; none: it broke.
fn answer(stream: &mut TcpStream, input: &mut Ring) -> Option<(u16, bool)> {
    let (mut reader, mut bytes) = (Reader::for_responses(ANSWER_BOUND), [0; 16 * 1024]);
    loop {
        if reader.read(input).ok()? {
            return Some((reader.status()?, !reader.closes_connection()));
        }
        let room = bytes.len().min(input.room());
        let count = stream
            .read(&mut bytes[..room])
            .ok()
            .filter(|count| *count > 0)?;
        if !input.push(&bytes[..count]) {
            return None;
        }
    }
}

/// Nobody listened: nobody had taken the lookup.
pub const REFUSED: u16 = 1;

/// One lookup: its status, 0 without an answer; a kept connection that broke before any byte is tried once anew.
fn ask(to: SocketAddr, kept: &mut Option<(TcpStream, Ring)>, text: &str) -> (u16, u64) {
    for again in 0..2 {
        let was_kept = kept.is_some();
        let open = kept.take().or_else(|| {
            let stream = TcpStream::connect(to).ok()?;
            stream.set_read_timeout(Some(BOUND)).ok()?;
            stream.set_nodelay(true).ok()?;
            Some((stream, Ring::new(ANSWER_BOUND)))
        });
        let Some((mut stream, mut input)) = open else {
            return (REFUSED, again);
        };
        if stream.write_all(text.as_bytes()).is_ok() {
            if let Some((status, stays)) = answer(&mut stream, &mut input) {
                *kept = stays.then_some((stream, input));
                return (status, again);
            }
        }
        if !was_kept {
            return (0, again);
        }
    }
    (0, 1)
}

pub fn client(
    load: &Load,
    number: usize,
    routers: &[SocketAddr],
    began: Instant,
    stop: &AtomicBool,
    seen: &Seen,
) {
    let gap = (load.rate > 0.0).then(|| Duration::from_secs_f64(load.clients as f64 / load.rate));
    // They do not all begin at once.
    let first = gap.map_or(Duration::ZERO, |gap| {
        gap.mul_f64(number as f64 / load.clients as f64)
    });
    let (mut kept, settled) = (None, began + Duration::from_secs(load.settle));
    for turn in 0u64.. {
        let due = match gap {
            Some(gap) => began + first + gap.mul_f64(turn as f64),
            None => Instant::now(),
        };
        if let Some(wait) = due.checked_duration_since(Instant::now()) {
            std::thread::sleep(wait);
        }
        if stop.load(Ordering::Relaxed) {
            return;
        }
        if turn % KEPT_FOR == KEPT_FOR - 1 {
            kept = None;
        }
        let to = routers[number % routers.len()];
        let (status, again) = ask(to, &mut kept, &request(load, &format!("c{number}x{turn}")));
        if due >= settled {
            seen.note(status, due.elapsed(), again);
        }
    }
}
