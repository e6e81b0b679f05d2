//! A crowd beside the clients that are judged one by one: connections that say nothing, writers of a byte at a time, bursts of
//! requests sent at once, and clients that all leave at the same moment.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use ternpick_history::requests::{Idempotency, Observation};
use ternpick_wire::http::Reader;
use ternpick_wire::ring::Ring;

use crate::clients::{connect, Ask, Record};
use crate::common::has_ended;
use crate::faults::Draw;

/// Between two bytes of a slow writer.
const BYTE_GAP: Duration = Duration::from_millis(15);
/// The longest answer, in bytes.
const ANSWER_BOUND: usize = 1 << 20;
/// Requests of a burst.
const BURST: u64 = 6;
/// Between two bursts.
const BURST_GAP: Duration = Duration::from_millis(250);

/// How many there are of each kind, and when some leave.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Crowd {
    idle: u64,
    slow: u64,
    bursting: u64,
    leaving: u64,
    leave_at: Duration,
}

impl Crowd {
    /// Fewer in all than the descriptors that clients may hold: beyond that new connections may be shut unread.
    pub(crate) fn draw(draw: &mut Draw) -> Crowd {
        Crowd {
            idle: draw.between(50, 250),
            slow: draw.between(0, 20),
            bursting: draw.between(0, 4),
            leaving: draw.between(0, 30),
            leave_at: Duration::from_millis(draw.between(200, 2500)),
        }
    }

    /// Comes, and stays up to the end of the load.
    pub(crate) fn come(self, seed: u64, address: SocketAddr, router: &str, record: &Record) {
        let idle: Vec<TcpStream> = (0..self.idle).filter_map(|_| connect(address)).collect();
        thread::scope(|scope| {
            for _ in 0..self.slow {
                scope.spawn(|| write_slowly(address, router, record));
            }
            for number in 0..self.bursting {
                scope.spawn(move || burst(seed, number, address, router, record));
            }
            scope.spawn(|| self.leave_together(seed, address, router, record));
            while !record.is_over() {
                thread::sleep(BYTE_GAP);
            }
        });
        drop(idle);
    }

    /// Clients whose requests are under way as they leave.
    fn leave_together(self, seed: u64, address: SocketAddr, router: &str, record: &Record) {
        let mut draw = Draw::new(seed ^ 0x1eaf);
        let due = self.leave_at.saturating_sub(record.began.elapsed());
        thread::sleep(due);
        let mut leaving = Vec::new();
        for number in 0..self.leaving {
            let Some(mut stream) = connect(address) else {
                continue;
            };
            let ask = Ask::draw(&mut draw, format!("{router}leaves{number}"));
            if ask.write(&mut stream, router, record) {
                leaving.push((stream, ask.id));
            }
        }
        for (stream, id) in leaving {
            drop(stream);
            record.saw(Observation::ClientDisconnected { id });
        }
    }
}

/// Writes a request byte by byte; what it is answered is its own matter.
fn write_slowly(address: SocketAddr, router: &str, record: &Record) {
    let ask = Ask {
        id: format!("{router}slow"),
        class: "whole",
        effect: Idempotency::Idempotent,
        deadline: 1000,
    };
    let bytes = ask.text();
    while !record.is_over() {
        let Some(mut stream) = connect(address) else {
            return;
        };
        for byte in &bytes[..bytes.len() - 1] {
            if record.is_over() || has_ended(&stream) || stream.write_all(&[*byte]).is_err() {
                break;
            }
            thread::sleep(BYTE_GAP);
        }
    }
}

/// Sends bursts on connections of their own.
fn burst(seed: u64, number: u64, address: SocketAddr, router: &str, record: &Record) {
    let mut draw = Draw::new(seed * 77 + number);
    for turn in 0.. {
        let Some(mut stream) = connect(address).filter(|_| !record.is_over()) else {
            return;
        };
        let mut asks: Vec<Ask> = (0..BURST)
            .map(|at| Ask::draw(&mut draw, format!("{router}burst{number}x{turn}x{at}")))
            .collect();
        // Answers come in order: none of them has to overtake another.
        let deadline = asks[0].deadline;
        asks.iter_mut().for_each(|ask| ask.deadline = deadline);
        send_together(&mut stream, asks, router, record);
        thread::sleep(BURST_GAP);
    }
}

/// Sends two requests at once, again and again, and keeps the connection while it is there.
pub(crate) fn pairs(seed: u64, number: u64, address: SocketAddr, router: &str, record: &Record) {
    let mut draw = Draw::new(seed * 91 + number);
    let mut kept: Option<TcpStream> = None;
    for turn in 0.. {
        if record.is_over() {
            return;
        }
        let found = kept.take().filter(|stream| !has_ended(stream));
        let Some(mut stream) = found.or_else(|| connect(address)) else {
            return;
        };
        let of_pair = |at| format!("{router}pair{number}x{turn}x{at}");
        let (first, second) = (of_pair(0), of_pair(1));
        let first = Ask::draw(&mut draw, first);
        let mut second = Ask::draw(&mut draw, second);
        // It has to wait for the first one, and no longer than that.
        second.deadline = second.deadline.max(first.deadline);
        if send_together(&mut stream, vec![first, second], router, record) {
            kept = Some(stream);
        }
        thread::sleep(Duration::from_millis(draw.between(1, 25)));
    }
}

/// Sends requests in one write, and reads their answers in order. A connection that ends behind an answer leaves the rest to be
/// sent again. Whether all were answered.
fn send_together(stream: &mut TcpStream, asks: Vec<Ask>, router: &str, record: &Record) -> bool {
    let bytes: Vec<u8> = asks.iter().flat_map(Ask::text).collect();
    let at = record.now();
    if stream.write_all(&bytes).is_err() {
        return false;
    }
    for ask in &asks {
        record.sent(at, ask, router);
    }
    let mut answers = Answers::of(stream);
    let mut all_are_answered = true;
    for (at, ask) in asks.into_iter().enumerate() {
        let status = answers.next();
        all_are_answered &= status.is_some();
        record.saw(match status {
            Some(status) => Observation::Answered { id: ask.id, status },
            None if at > 0 => Observation::ReusedConnectionClosed { id: ask.id },
            None => Observation::ConnectionLost { id: ask.id },
        });
    }
    all_are_answered
}

/// Answers that come one behind the other.
struct Answers<'a> {
    stream: &'a mut TcpStream,
    input: Ring,
}

impl Answers<'_> {
    fn of(stream: &mut TcpStream) -> Answers<'_> {
        Answers {
            stream,
            input: Ring::new(ANSWER_BOUND),
        }
    }

    /// The status of the next answer, once it is complete; none: the connection has ended before.
    fn next(&mut self) -> Option<u16> {
        let mut answer = Reader::for_responses(ANSWER_BOUND);
        let mut bytes = [0; 4096];
        while !answer.read(&mut self.input).ok()? {
            let room = bytes.len().min(self.input.room());
            let count = self.stream.read(&mut bytes[..room]).ok()?;
            if count == 0 || !self.input.push(&bytes[..count]) {
                return None;
            }
        }
        answer.status()
    }
}
