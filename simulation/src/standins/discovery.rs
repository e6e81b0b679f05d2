//! Discovery on a thread for each connection: answers each call for a version later than the caller's, or with 503 while
//! it is down.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use super::{lock, read_head, BOUND};

/// The number of pieces in which a body is written over [`Roster::body_time`].
const BODY_PIECES: u32 = 8;

/// Discovery, with the endpoint list that it serves.
#[derive(Clone, Default)]
pub struct Discovery(pub Arc<(Mutex<Roster>, Condvar)>);

/// The form in which a body comes in chunks.
#[derive(Clone, Copy, Debug)]
pub struct ChunkForm {
    /// The bytes of each chunk but the last ones.
    pub bytes: usize,
    /// What stands behind each size, from its semicolon on.
    pub extension: &'static str,
    /// The lines of the trailer, each with its line end.
    pub trailer: &'static str,
}

impl ChunkForm {
    /// Encodes a body.
    pub fn encode(&self, body: &str) -> String {
        let mut text = String::new();
        for chunk in body.as_bytes().chunks(self.bytes) {
            let chunk = String::from_utf8_lossy(chunk);
            text += &format!("{:x}{}\r\n{chunk}\r\n", chunk.len(), self.extension);
        }
        text + "0\r\n" + self.trailer + "\r\n"
    }
}

/// The endpoint list, what is wrong with discovery, and the calls that have come.
#[derive(Default)]
pub struct Roster {
    /// The version of the list.
    pub version: u64,
    /// The entries that changed with this version, or all of them.
    pub changes: String,
    /// Calls are answered with 503.
    pub down: bool,
    /// Calls that are open while this is set are never answered, also once it is no longer set: their connections are
    /// cut.
    pub silent: bool,
    /// Calls that are open while this is set end without an answer, and so do new ones.
    pub cut: bool,
    /// The form of answers that come in chunks; others have a length.
    pub chunks: Option<ChunkForm>,
    /// Answers have no length and last until their connection ends.
    pub endless: bool,
    /// How much later than otherwise each answer is written. It holds the list as it was before.
    pub delay: Duration,
    /// The time over which the body of each answer is written in [`BODY_PIECES`] pieces, behind its head.
    pub body_time: Duration,
    /// The version that the last call named.
    pub asked: u64,
    /// The number of calls.
    pub calls: usize,
}

/// One call: the version after which changes are wanted, if any, and when it has to be answered without changes.
struct Call {
    after: Option<u64>,
    answer_by: Instant,
}

impl Call {
    fn parse(head: &str) -> Call {
        let parameter = |name: &str| {
            let value = head.split(name).nth(1)?.split([' ', '&']).next()?;
            value.parse().ok()
        };
        let wait = parameter("wait_ms=").unwrap_or(0);
        Call {
            after: parameter("after="),
            answer_by: Instant::now() + Duration::from_millis(wait),
        }
    }
}

impl Roster {
    fn is_news(&self, after: Option<u64>) -> bool {
        after.is_none_or(|after| self.version > after)
    }

    /// The answer to a call, without changes that the caller has already.
    fn answer(&self, after: Option<u64>) -> String {
        let (version, complete) = (self.version, after.is_none());
        let changes = if self.is_news(after) {
            &self.changes[..]
        } else {
            ""
        };
        let (status, body) = if self.down {
            ("503 Down", String::new())
        } else {
            let list =
                format!(r#"{{"index":{version},"snapshot":{complete},"endpoints":[{changes}]}}"#);
            ("200 OK", list)
        };
        let (framing, body) = match self.chunks {
            _ if self.endless => ("Connection: close".to_owned(), body),
            Some(form) => ("Transfer-Encoding: chunked".to_owned(), form.encode(&body)),
            None => (format!("Content-Length: {}", body.len()), body),
        };
        format!("HTTP/1.1 {status}\r\n{framing}\r\n\r\n{body}")
    }
}

/// The outcome of waiting for an answer to a call.
enum Wait<'a> {
    /// The call is answered now.
    Over(MutexGuard<'a, Roster>),
    /// The call is never answered.
    Silent,
}

/// Writes the head of an answer at once, and its body in pieces over `body_time`.
fn write_slowly(stream: &mut TcpStream, answer: &str, body_time: Duration) -> io::Result<()> {
    let head_bytes = answer.find("\r\n\r\n").map_or(answer.len(), |end| end + 4);
    let (head, body) = answer.split_at(head_bytes);
    if body_time.is_zero() {
        return stream.write_all(answer.as_bytes());
    }
    stream.write_all(head.as_bytes())?;
    let piece_bytes = body.len().div_ceil(BODY_PIECES as usize).max(1);
    for piece in body.as_bytes().chunks(piece_bytes) {
        thread::sleep(body_time / BODY_PIECES);
        stream.write_all(piece)?;
    }
    Ok(())
}

impl Discovery {
    /// Serves at an address of its own.
    ///
    /// # Panics
    /// If loopback has no port.
    pub fn start(&self) -> SocketAddr {
        let bound = TcpListener::bind("127.0.0.1:0")
            .and_then(|listener| Ok((listener.local_addr()?, listener)));
        let (address, listener) =
            bound.unwrap_or_else(|error| panic!("no port on loopback: {error}"));
        let discovery = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let discovery = discovery.clone();
                thread::spawn(move || discovery.serve(stream));
            }
        });
        address
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Some(head) = read_head(&mut stream) {
            let call = Call::parse(&head);
            let Wait::Over(roster) = self.wait_for_news(&call) else {
                let _ = stream.read(&mut [0]);
                return;
            };
            if roster.cut {
                return;
            }
            let answer = roster.answer(call.after);
            let (delay, body_time, endless) = (roster.delay, roster.body_time, roster.endless);
            drop(roster);
            thread::sleep(delay);
            if write_slowly(&mut stream, &answer, body_time).is_err() || endless {
                return;
            }
        }
    }

    /// Counts a call, and waits until there are changes for it, its time is over, or discovery fails.
    fn wait_for_news(&self, call: &Call) -> Wait<'_> {
        let (roster, changed) = &*self.0;
        let mut roster = lock(roster);
        roster.asked = call.after.unwrap_or(0);
        roster.calls += 1;
        changed.notify_all();
        let mut silent = roster.silent;
        while !(silent || roster.is_news(call.after) || roster.down || roster.cut) {
            let left = call.answer_by.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            roster = changed
                .wait_timeout(roster, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
            silent |= roster.silent;
        }
        if silent && !roster.cut {
            Wait::Silent
        } else {
            Wait::Over(roster)
        }
    }

    /// Changes the list or its faults, and lets waiting calls see it.
    pub fn set(&self, change: impl FnOnce(&mut Roster)) {
        change(&mut lock(&self.0 .0));
        self.0 .1.notify_all();
    }

    /// Waits until the router has called as wanted.
    ///
    /// # Panics
    /// If it has not in ten seconds.
    pub fn wait_until(&self, wanted: impl Fn(&Roster) -> bool) {
        let (roster, timed_out) = {
            let roster = lock(&self.0 .0);
            self.0
                 .1
                .wait_timeout_while(roster, BOUND, |roster| !wanted(roster))
                .unwrap_or_else(PoisonError::into_inner)
        };
        assert!(
            !timed_out.timed_out(),
            "asked after {} in {} calls",
            roster.asked,
            roster.calls
        );
    }
}
