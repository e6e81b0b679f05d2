//! Nodes and discovery as the platform's protocol has them, on threads and loopback: for loads, and for tests that start
//! the program. A node does with each part as it is told to, after a while, and suffers what it is told to.

use std::collections::{BinaryHeap, HashMap};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use ternpick_wire::frames;
use ternpick_wire::ring::Ring;

/// How long a thread waits for bytes before it looks at its state again.
const TURN: Duration = Duration::from_millis(2);
/// How long somebody waits for what must come.
const BOUND: Duration = Duration::from_secs(10);
const INPUT: usize = 64 * 1024;
/// Frames that are told, until they are taken; further ones are not.
const MOST_TOLD: usize = 1 << 16;

/// What a node does with a part.
#[derive(Clone, Copy, PartialEq)]
pub enum Act {
    Serve,
    Broke,
    Skipped,
    Silent,
    Reset,
    Nonsense,
    /// Answers under the id of a part that nobody asked for.
    Misnamed,
    /// Announces more than it sends.
    Unfinished,
    /// Answers, and lets a second copy, a report that cannot be read and noise follow.
    Chatty,
}

/// What happens to a node's sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Reads and answers nothing.
    Stall,
    /// Breaks its connections.
    Reset,
    /// Half an answer, then the end.
    Cut,
    /// Some bytes a millisecond.
    SlowReader,
    /// Bytes that are no answer.
    Spoilt,
}

struct Shared {
    takes: Duration,
    acts: Arc<Mutex<[Act; 2]>>,
    suffers: Mutex<Option<Fault>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    told: SyncSender<(char, String)>,
    /// Hears of each frame as it is read, before anything is done with it.
    watcher: Mutex<Option<Watcher>>,
    /// Changes the bytes of each answer before they are written.
    alteration: Mutex<Option<Alteration>>,
    sends: Mutex<HashMap<String, u64>>,
}

type Watcher = Arc<dyn Fn(char, &str) + Send + Sync>;

/// Makes other bytes of an answer; it gets the id of the shard request and the answer's own bytes.
pub type Alteration = Arc<dyn Fn(&str, Vec<u8>) -> Vec<u8> + Send + Sync>;

pub struct Node {
    pub address: SocketAddr,
    /// By shard: the first, and all others.
    pub acts: Arc<Mutex<[Act; 2]>>,
    /// Each frame that has come, by its letter, the earliest first.
    pub frames: Mutex<Receiver<(char, String)>>,
    pub streams: Arc<Mutex<Vec<TcpStream>>>,
    shared: Arc<Shared>,
}

/// What a thread that panicked has left is as good as ever.
fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Node {
    /// One that answers at once.
    ///
    /// # Panics
    /// Where loopback has no port.
    pub fn start(acts: [Act; 2]) -> Node {
        Node::start_slow(acts, Duration::ZERO)
            .unwrap_or_else(|error| panic!("no port on loopback: {error}"))
    }

    /// One that takes so long for each part.
    pub fn start_slow(acts: [Act; 2], takes: Duration) -> std::io::Result<Node> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (told, frames) = sync_channel(MOST_TOLD);
        let (acts, streams) = (
            Arc::new(Mutex::new(acts)),
            Arc::<Mutex<Vec<TcpStream>>>::default(),
        );
        let shared = Arc::new(Shared {
            takes,
            acts: Arc::clone(&acts),
            suffers: Mutex::default(),
            streams: Arc::clone(&streams),
            told,
            watcher: Mutex::default(),
            alteration: Mutex::default(),
            sends: Mutex::default(),
        });
        let (address, frames) = (listener.local_addr()?, Mutex::new(frames));
        let node = Node {
            address,
            acts,
            frames,
            streams,
            shared: Arc::clone(&shared),
        };
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                if let Ok(clone) = stream.try_clone() {
                    lock(&shared.streams).push(clone);
                }
                let shared = Arc::clone(&shared);
                thread::spawn(move || serve(stream, &shared));
            }
        });
        Ok(node)
    }

    pub fn suffers(&self, fault: Fault) {
        *lock(&self.shared.suffers) = Some(fault);
        if fault == Fault::Reset {
            for stream in lock(&self.streams).iter() {
                // One that has ended already is no matter.
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// From now on each frame is told as it is read; or no more.
    pub fn watch(&self, watcher: Option<Watcher>) {
        *lock(&self.shared.watcher) = watcher;
    }

    /// Changes the bytes of each answer from now on.
    pub fn alter_answers(&self, alteration: Alteration) {
        *lock(&self.shared.alteration) = Some(alteration);
    }

    pub fn recovers(&self) {
        *lock(&self.shared.suffers) = None;
    }

    /// How often each part was sent here, by its id.
    pub fn sends(&self) -> Vec<(String, u64)> {
        lock(&self.shared.sends)
            .iter()
            .map(|(part, sends)| (part.clone(), *sends))
            .collect()
    }

    /// The next frame of a letter, waited for.
    ///
    /// # Panics
    /// Where none comes in ten seconds.
    pub fn frame(&self, letter: char) -> String {
        loop {
            let next = lock(&self.frames).recv_timeout(BOUND);
            let (got, rest) = next.unwrap_or_else(|_| panic!("a frame '{letter}' in time"));
            if got == letter {
                return rest;
            }
        }
    }

    /// Answers a part on the latest connection. The router may have had an answer from elsewhere, and have left.
    pub fn answer(&self, id: &str) {
        if let Some(stream) = lock(&self.streams).last_mut() {
            let _ = stream.write_all(&frame(b'a', &format!("{id} served 1 -\nlate")));
        }
    }
}

pub fn frame(letter: u8, rest: &str) -> Vec<u8> {
    [
        &(1 + rest.len() as u32).to_le_bytes()[..],
        &[letter],
        rest.as_bytes(),
    ]
    .concat()
}

/// A part to answer when its time has come, the earliest first.
type Due = (std::cmp::Reverse<(Instant, u64)>, String, usize);

fn serve(mut stream: TcpStream, shared: &Shared) {
    // Each answer is a small write of its own.
    let _ = stream.set_nodelay(true);
    let (mut input, mut into, mut due, mut number) =
        (Ring::new(INPUT), Vec::new(), BinaryHeap::new(), 0);
    loop {
        let suffers = *lock(&shared.suffers);
        if suffers == Some(Fault::Stall) {
            thread::sleep(TURN);
            continue;
        }
        while due
            .peek()
            .is_some_and(|(at, ..): &Due| at.0 .0 <= Instant::now())
        {
            let Some((_, id, shard)) = due.pop() else {
                break;
            };
            let act = lock(&shared.acts)[shard.min(1)];
            let bytes = answer(&id, shard, act, suffers);
            let alteration = lock(&shared.alteration).clone();
            let bytes = match alteration {
                Some(alteration) if !bytes.is_empty() => alteration(&id, bytes),
                _ => bytes,
            };
            let ends = act == Act::Reset || suffers == Some(Fault::Cut);
            if stream.write_all(&bytes).is_err() || ends {
                return drop(stream.shutdown(Shutdown::Both));
            }
        }
        let next = due.peek().map_or(TURN, |(at, ..)| {
            at.0 .0.saturating_duration_since(Instant::now())
        });
        let wait = next.clamp(Duration::from_micros(50), TURN);
        let mut bytes = [0; 16 * 1024];
        let slow = suffers == Some(Fault::SlowReader);
        let room = if slow { 16 } else { bytes.len() }.min(input.room());
        let got = stream
            .set_read_timeout(Some(wait))
            .and_then(|()| stream.read(&mut bytes[..room]));
        match got {
            Ok(0) => return,
            Ok(count) if input.push(&bytes[..count]) => {}
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            _ => return,
        }
        if slow {
            thread::sleep(Duration::from_millis(1));
        }
        loop {
            match frames::read_frame(&mut input, &mut into) {
                Ok(Some(letter)) => {
                    let text = String::from_utf8_lossy(&into).into_owned();
                    into.clear();
                    let watcher = lock(&shared.watcher).clone();
                    if let Some(watcher) = watcher {
                        watcher(letter.into(), &text);
                    }
                    if letter == b'q' {
                        take(&text, shared, &mut due, &mut number);
                    }
                    // One that nobody takes is not told.
                    let _ = shared.told.try_send((letter.into(), text));
                }
                Ok(None) => break,
                Err(_) => return,
            }
        }
    }
}

/// Takes the parts of a call: a line each (id, shard, wait, length of the text), and its text behind it.
fn take(text: &str, shared: &Shared, due: &mut BinaryHeap<Due>, number: &mut u64) {
    let (mut left, at) = (text, Instant::now() + shared.takes);
    while let Some((line, more)) = left.split_once('\n') {
        let words: Vec<&str> = line.split(' ').collect();
        let figure = |at: usize| words.get(at).and_then(|word| word.parse::<usize>().ok());
        let (Some(shard), Some(length)) = (figure(1), figure(3)) else {
            return;
        };
        *lock(&shared.sends).entry(words[0].to_owned()).or_default() += 1;
        *number += 1;
        due.push((std::cmp::Reverse((at, *number)), words[0].to_owned(), shard));
        left = more.get(length..).unwrap_or_default();
    }
}

/// The bytes that go out for a part.
fn answer(id: &str, shard: usize, act: Act, suffers: Option<Fault>) -> Vec<u8> {
    let (id, end) = match act {
        Act::Serve | Act::Chatty => (id, "served"),
        Act::Misnamed => ("other.7", "served"),
        Act::Broke => (id, "broke"),
        Act::Skipped => (id, "skipped"),
        Act::Nonsense => (id, "perhaps"),
        Act::Unfinished => return b"\xff\0\0\0a".to_vec(),
        Act::Silent | Act::Reset => return Vec::new(),
    };
    let value = if end == "served" {
        format!("v{shard}")
    } else {
        String::new()
    };
    let whole = frame(b'a', &format!("{id} {end} 5 queue=1\n{value}"));
    match (act, suffers) {
        (Act::Chatty, _) => {
            let copy = frame(b'a', &format!("{id} served 5 %%% %\nv{shard}"));
            [&copy[..], &copy, b"\xff\0\0\xff!"].concat()
        }
        (_, Some(Fault::Cut)) => whole[..whole.len() / 2].to_vec(),
        (_, Some(Fault::Spoilt)) => vec![0xff; whole.len()],
        _ => whole,
    }
}

/// Discovery: answers each call for a version that it has passed, or with 503 while it is down.
#[derive(Clone, Default)]
pub struct Discovery(pub Arc<(Mutex<Roster>, Condvar)>);

#[derive(Default)]
pub struct Roster {
    pub version: u64,
    pub changes: String,
    pub down: bool,
    /// Calls that are open while this is set are never answered, nor once it is no longer: the way there has gone.
    pub silent: bool,
    /// Calls that are open while this is set end without an answer, and so do new ones.
    pub cut: bool,
    /// Answers have no length and last until their connection ends.
    pub endless: bool,
    /// The version that the last call asked after, and the number of calls.
    pub asked: u64,
    pub calls: usize,
}

impl Discovery {
    /// Serves at an address of its own.
    ///
    /// # Panics
    /// Where loopback has no port.
    pub fn start(&self) -> SocketAddr {
        let bound = TcpListener::bind("127.0.0.1:0").and_then(|of| Ok((of.local_addr()?, of)));
        let (address, listener) =
            bound.unwrap_or_else(|error| panic!("no port on loopback: {error}"));
        let of = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let of = of.clone();
                thread::spawn(move || of.serve(stream));
            }
        });
        address
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Some(head) = read_head(&mut stream) {
            let after = head
                .split("after=")
                .nth(1)
                .and_then(|rest| rest.split('&').next()?.parse().ok());
            let mut roster = lock(&self.0 .0);
            let wait = head
                .split("wait_ms=")
                .nth(1)
                .and_then(|rest| rest.split([' ', '&']).next()?.parse().ok());
            let late = Instant::now() + Duration::from_millis(wait.unwrap_or(0));
            roster.asked = after.unwrap_or(0);
            roster.calls += 1;
            self.0 .1.notify_all();
            let mut silent = roster.silent;
            while !silent
                && after.is_some_and(|after| roster.version <= after)
                && !(roster.down || roster.cut)
            {
                let left = late.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break;
                }
                roster = self
                    .0
                     .1
                    .wait_timeout(roster, left)
                    .unwrap_or_else(PoisonError::into_inner)
                    .0;
                silent |= roster.silent;
            }
            if roster.cut {
                return;
            }
            if silent {
                drop(roster);
                let _ = stream.read(&mut [0]);
                return;
            }
            let (status, body) = match roster.down {
                true => ("503 Down", String::new()),
                false => {
                    // What the caller has already does not come again.
                    let news = after.is_none_or(|after| roster.version > after);
                    let (version, changes) =
                        (roster.version, if news { &roster.changes[..] } else { "" });
                    (
                        "200 OK",
                        format!(
                            r#"{{"index":{version},"snapshot":{},"endpoints":[{changes}]}}"#,
                            after.is_none()
                        ),
                    )
                }
            };
            let length = match roster.endless {
                true => "Connection: close".to_owned(),
                false => format!("Content-Length: {}", body.len()),
            };
            let answer = format!("HTTP/1.1 {status}\r\n{length}\r\n\r\n{body}");
            if stream.write_all(answer.as_bytes()).is_err() || roster.endless {
                return;
            }
        }
    }

    pub fn set(&self, change: impl FnOnce(&mut Roster)) {
        change(&mut lock(&self.0 .0));
        self.0 .1.notify_all();
    }

    /// Waits until the router has asked as wanted.
    ///
    /// # Panics
    /// Where it has not in ten seconds.
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

pub fn read_head(stream: &mut TcpStream) -> Option<String> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

pub fn entry(name: &str, address: SocketAddr, status: &str) -> String {
    entry_of(name, address, status, 0, 0)
}

/// The same, of a group, and with its last start.
pub fn entry_of(
    name: &str,
    address: SocketAddr,
    status: &str,
    group: usize,
    since_ms: u64,
) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"a","group":{group},"status":"{status}","since_ms":{since_ms}}}"#
    )
}
