//! A node on a thread for each connection: what it does with each shard request, and the faults of its sockets.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use ternpick_wire::frames;
use ternpick_wire::ring::Ring;

use super::{lock, BOUND};

/// How long a thread waits for bytes before it looks at its state again.
const TURN: Duration = Duration::from_millis(2);
/// The shortest wait for bytes: a read time-out of zero is refused.
const MIN_WAIT: Duration = Duration::from_micros(50);
/// The input buffer of a connection, in bytes.
const INPUT_BYTES: usize = 64 * 1024;
/// The most bytes of one read.
const READ_BYTES: usize = 16 * 1024;
/// The bytes that a slow reader takes at a time, and its pause between two reads.
const SLOW_READ_BYTES: usize = 16;
const SLOW_READ_PAUSE: Duration = Duration::from_millis(1);
/// The most frames that wait to be taken from [`Node::frames`]; further ones are dropped.
const MAX_RECORDED_FRAMES: usize = 1 << 16;

/// What a node does with a shard request.
#[derive(Clone, Copy, PartialEq)]
pub enum Act {
    Serve,
    /// Serves a value that names the statement and the shard, and that no other shard request gets.
    Echo,
    Broke,
    Skipped,
    Silent,
    Reset,
    Nonsense,
    /// Answers under the id of a shard request that nobody sent.
    Misnamed,
    /// Announces more than it sends.
    Unfinished,
    /// Answers, and sends a second copy, a report that cannot be read and noise behind it.
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

type Watcher = Arc<dyn Fn(char, &str) + Send + Sync>;

/// Makes other bytes of an answer; it gets the id of the shard request and the answer's own bytes.
pub type Alteration = Arc<dyn Fn(&str, Vec<u8>) -> Vec<u8> + Send + Sync>;

/// A value that [`Act::Echo`] makes, and the shard request for which it does.
#[derive(Clone, Debug)]
pub struct EchoedValue {
    /// When the shard request was read.
    pub received_at: Instant,
    /// The id of the shard request.
    pub id: String,
    /// The statement.
    pub statement: String,
    /// The value.
    pub value: String,
}

/// The number of values that [`Act::Echo`] has made in this process.
static ECHOED_VALUES: AtomicU64 = AtomicU64::new(0);

/// What the threads of a node share.
struct Shared {
    service_time: Duration,
    acts: Arc<Mutex<[Act; 2]>>,
    fault: Mutex<Option<Fault>>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
    recorded_frames: SyncSender<(char, String)>,
    /// Gets each frame as it is read, before anything is done with it.
    watcher: Mutex<Option<Watcher>>,
    /// Changes the bytes of each answer before they are written.
    alteration: Mutex<Option<Alteration>>,
    sends: Mutex<HashMap<String, u64>>,
    echoed_values: Mutex<Vec<EchoedValue>>,
}

/// A node that listens on loopback.
pub struct Node {
    pub address: SocketAddr,
    /// What it does by shard: the first, and all others.
    pub acts: Arc<Mutex<[Act; 2]>>,
    /// Each frame that has come, by its letter, the earliest first.
    pub frames: Mutex<Receiver<(char, String)>>,
    pub streams: Arc<Mutex<Vec<TcpStream>>>,
    shared: Arc<Shared>,
}

impl Node {
    /// Starts a node that answers at once.
    ///
    /// # Panics
    /// If loopback has no port.
    pub fn start(acts: [Act; 2]) -> Node {
        Node::start_slow(acts, Duration::ZERO)
            .unwrap_or_else(|error| panic!("no port on loopback: {error}"))
    }

    /// Starts a node that takes `service_time` for each shard request.
    pub fn start_slow(acts: [Act; 2], service_time: Duration) -> std::io::Result<Node> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (recorded_frames, frames) = sync_channel(MAX_RECORDED_FRAMES);
        let (acts, streams) = (
            Arc::new(Mutex::new(acts)),
            Arc::<Mutex<Vec<TcpStream>>>::default(),
        );
        let shared = Arc::new(Shared {
            service_time,
            acts: Arc::clone(&acts),
            fault: Mutex::default(),
            streams: Arc::clone(&streams),
            recorded_frames,
            watcher: Mutex::default(),
            alteration: Mutex::default(),
            sends: Mutex::default(),
            echoed_values: Mutex::default(),
        });
        let node = Node {
            address: listener.local_addr()?,
            acts,
            frames: Mutex::new(frames),
            streams,
            shared: Arc::clone(&shared),
        };
        thread::spawn(move || accept(&listener, &shared));
        Ok(node)
    }

    /// Injects a fault, which replaces an earlier one.
    pub fn inject(&self, fault: Fault) {
        *lock(&self.shared.fault) = Some(fault);
        if fault == Fault::Reset {
            for stream in lock(&self.streams).iter() {
                // A connection may have ended already.
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Clears the fault.
    pub fn clear_fault(&self) {
        *lock(&self.shared.fault) = None;
    }

    /// Passes each frame to `watcher` as it is read, or to nobody.
    pub fn watch(&self, watcher: Option<Watcher>) {
        *lock(&self.shared.watcher) = watcher;
    }

    /// Changes the bytes of each answer from now on.
    pub fn alter_answers(&self, alteration: Alteration) {
        *lock(&self.shared.alteration) = Some(alteration);
    }

    /// How often each shard request was sent here, by its id.
    pub fn sends(&self) -> Vec<(String, u64)> {
        lock(&self.shared.sends)
            .iter()
            .map(|(id, sends)| (id.clone(), *sends))
            .collect()
    }

    /// The values that [`Act::Echo`] makes for the shard requests that have come.
    pub fn echoed_values(&self) -> Vec<EchoedValue> {
        lock(&self.shared.echoed_values).clone()
    }

    /// Waits for the next frame with a letter.
    ///
    /// # Panics
    /// If none comes in ten seconds.
    pub fn frame(&self, letter: char) -> String {
        loop {
            let next = lock(&self.frames).recv_timeout(BOUND);
            let (got, rest) = next.unwrap_or_else(|_| panic!("a frame '{letter}' in time"));
            if got == letter {
                return rest;
            }
        }
    }

    /// Answers a shard request on the latest connection. The router may have closed it, after an answer of another node.
    pub fn answer(&self, id: &str) {
        if let Some(stream) = lock(&self.streams).last_mut() {
            let _ = stream.write_all(&frame(b'a', &format!("{id} served 1 -\nlate")));
        }
    }
}

/// Encodes a frame.
pub fn frame(letter: u8, payload: &str) -> Vec<u8> {
    [
        &(1 + payload.len() as u32).to_le_bytes()[..],
        &[letter],
        payload.as_bytes(),
    ]
    .concat()
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    for stream in listener.incoming().map_while(Result::ok) {
        if let Ok(clone) = stream.try_clone() {
            lock(&shared.streams).push(clone);
        }
        let shared = Arc::clone(shared);
        thread::spawn(move || Service::new(stream, &shared).run());
    }
}

/// A shard request to answer when its time has come.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Pending {
    due: Instant,
    /// The order of arrival, by which those due at one instant are answered.
    number: u64,
    id: String,
    shard: usize,
    /// The value that [`Act::Echo`] serves.
    echoed_value: String,
}

/// The service of one connection ends: the router has closed it, or the node does.
struct Ended;

/// The service of one connection.
struct Service<'a> {
    stream: TcpStream,
    shared: &'a Shared,
    input: Ring,
    frame: Vec<u8>,
    pending: BinaryHeap<Reverse<Pending>>,
    last_number: u64,
}

impl<'a> Service<'a> {
    fn new(stream: TcpStream, shared: &'a Shared) -> Self {
        // Each answer is a small write of its own.
        let _ = stream.set_nodelay(true);
        Service {
            stream,
            shared,
            input: Ring::new(INPUT_BYTES),
            frame: Vec::new(),
            pending: BinaryHeap::new(),
            last_number: 0,
        }
    }

    fn run(mut self) {
        while self.turn().is_ok() {}
    }

    fn turn(&mut self) -> Result<(), Ended> {
        let fault = *lock(&self.shared.fault);
        if fault == Some(Fault::Stall) {
            thread::sleep(TURN);
            return Ok(());
        }
        self.answer_due(fault)?;
        self.read(fault)?;
        self.handle_frames()
    }

    /// Answers the shard requests whose time has come.
    fn answer_due(&mut self, fault: Option<Fault>) -> Result<(), Ended> {
        while let Some(Reverse(next)) = self.pending.peek() {
            if next.due > Instant::now() {
                return Ok(());
            }
            let Some(Reverse(request)) = self.pending.pop() else {
                return Ok(());
            };
            let act = lock(&self.shared.acts)[request.shard.min(1)];
            let bytes = self.altered(&request.id, answer(&request, act, fault));
            let ends = act == Act::Reset || fault == Some(Fault::Cut);
            if self.stream.write_all(&bytes).is_err() || ends {
                let _ = self.stream.shutdown(Shutdown::Both);
                return Err(Ended);
            }
        }
        Ok(())
    }

    fn altered(&self, id: &str, bytes: Vec<u8>) -> Vec<u8> {
        let alteration = lock(&self.shared.alteration).clone();
        match alteration {
            Some(alteration) if !bytes.is_empty() => alteration(id, bytes),
            _ => bytes,
        }
    }

    /// Reads what has come, or waits for it until the next answer is due.
    fn read(&mut self, fault: Option<Fault>) -> Result<(), Ended> {
        let wait = self.pending.peek().map_or(TURN, |next| {
            next.0.due.saturating_duration_since(Instant::now())
        });
        let is_slow = fault == Some(Fault::SlowReader);
        let most = if is_slow { SLOW_READ_BYTES } else { READ_BYTES };
        let mut bytes = [0; READ_BYTES];
        let room = most.min(self.input.room());
        let got = self
            .stream
            .set_read_timeout(Some(wait.clamp(MIN_WAIT, TURN)))
            .and_then(|()| self.stream.read(&mut bytes[..room]));
        match got {
            Ok(0) => return Err(Ended),
            Ok(count) if self.input.push(&bytes[..count]) => {}
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            _ => return Err(Ended),
        }
        if is_slow {
            thread::sleep(SLOW_READ_PAUSE);
        }
        Ok(())
    }

    fn handle_frames(&mut self) -> Result<(), Ended> {
        loop {
            let letter = match frames::read_frame(&mut self.input, &mut self.frame) {
                Ok(Some(letter)) => letter,
                Ok(None) => return Ok(()),
                Err(_) => return Err(Ended),
            };
            let text = String::from_utf8_lossy(&self.frame).into_owned();
            self.frame.clear();
            let watcher = lock(&self.shared.watcher).clone();
            if let Some(watcher) = watcher {
                watcher(letter.into(), &text);
            }
            if letter == b'q' {
                self.queue_shard_requests(&text);
            }
            // Frames that nobody takes are dropped.
            let _ = self.shared.recorded_frames.try_send((letter.into(), text));
        }
    }

    /// Queues the shard requests of a call: a line each (id, shard, wait, length of the statement), and the statement
    /// behind it.
    fn queue_shard_requests(&mut self, text: &str) {
        let (mut rest, due) = (text, Instant::now() + self.shared.service_time);
        while let Some((line, more)) = rest.split_once('\n') {
            let words: Vec<&str> = line.split(' ').collect();
            let number = |at: usize| words.get(at).and_then(|word| word.parse::<usize>().ok());
            let (Some(shard), Some(length)) = (number(1), number(3)) else {
                return;
            };
            let id = words[0].to_owned();
            *lock(&self.shared.sends).entry(id.clone()).or_default() += 1;
            self.last_number += 1;
            let statement = more.get(..length).unwrap_or_default();
            let echoed_value = self.make_value(&id, shard, statement);
            self.pending.push(Reverse(Pending {
                due,
                number: self.last_number,
                id,
                shard,
                echoed_value,
            }));
            rest = more.get(length..).unwrap_or_default();
        }
    }

    /// Makes the value that a shard request gets if it is echoed.
    fn make_value(&self, id: &str, shard: usize, statement: &str) -> String {
        if lock(&self.shared.acts)[shard.min(1)] != Act::Echo {
            return String::new();
        }
        let number = ECHOED_VALUES.fetch_add(1, Ordering::Relaxed);
        let value = format!("{statement}/{shard}#{number}");
        lock(&self.shared.echoed_values).push(EchoedValue {
            received_at: Instant::now(),
            id: id.to_owned(),
            statement: statement.to_owned(),
            value: value.clone(),
        });
        value
    }
}

/// The bytes of the answer to a shard request.
fn answer(request: &Pending, act: Act, fault: Option<Fault>) -> Vec<u8> {
    let shard = request.shard;
    let (id, end) = match act {
        Act::Serve | Act::Echo | Act::Chatty => (&request.id[..], "served"),
        Act::Misnamed => ("other.7", "served"),
        Act::Broke => (&request.id[..], "broke"),
        Act::Skipped => (&request.id[..], "skipped"),
        Act::Nonsense => (&request.id[..], "perhaps"),
        Act::Unfinished => return b"\xff\0\0\0a".to_vec(),
        Act::Silent | Act::Reset => return Vec::new(),
    };
    let value = match (end, act) {
        ("served", Act::Echo) => request.echoed_value.clone(),
        ("served", _) => format!("v{shard}"),
        _ => String::new(),
    };
    let whole = frame(b'a', &format!("{id} {end} 5 queue=1\n{value}"));
    match (act, fault) {
        (Act::Chatty, _) => {
            let copy = frame(b'a', &format!("{id} served 5 %%% %\nv{shard}"));
            [&copy[..], &copy, b"\xff\0\0\xff!"].concat()
        }
        (_, Some(Fault::Cut)) => whole[..whole.len() / 2].to_vec(),
        (_, Some(Fault::Spoilt)) => vec![0xff; whole.len()],
        _ => whole,
    }
}
