//! Nodes and discovery as the platform's protocol has them, on threads: a node answers each part after a while, and
//! suffers what it is told to.

use std::collections::{BinaryHeap, HashMap};
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use super::FaultKind;
use ternpick_wire::frames;
use ternpick_wire::ring::Ring;

/// How long a thread waits for bytes before it looks at its state again.
const TURN: Duration = Duration::from_millis(2);
const INPUT: usize = 64 * 1024;

struct Shared {
    takes: Duration,
    suffers: Mutex<Option<FaultKind>>,
    /// Sends by part's id, as the checker of the load counts them.
    sends: Mutex<HashMap<String, u64>>,
    streams: Mutex<Vec<TcpStream>>,
}

pub struct Node {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Node {
    pub fn start(takes: u64) -> std::io::Result<Node> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let shared = Arc::new(Shared {
            takes: Duration::from_micros(takes),
            suffers: Mutex::default(),
            sends: Mutex::default(),
            streams: Mutex::default(),
        });
        let node = Node { address: listener.local_addr()?, shared: Arc::clone(&shared) };
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let shared = Arc::clone(&shared);
                if let Ok(clone) = stream.try_clone() {
                    lock(&shared.streams).push(clone);
                }
                thread::spawn(move || serve(stream, &shared));
            }
        });
        Ok(node)
    }

    pub fn suffers(&self, kind: FaultKind) {
        *lock(&self.shared.suffers) = Some(kind);
        if kind == FaultKind::Reset {
            for stream in lock(&self.shared.streams).iter() {
                // One that has ended already is no matter.
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    pub fn recovers(&self) {
        *lock(&self.shared.suffers) = None;
    }

    /// How often each part was sent here, by its id.
    pub fn sends(&self) -> Vec<(String, u64)> {
        lock(&self.shared.sends).iter().map(|(part, sends)| (part.clone(), *sends)).collect()
    }
}

/// What a thread that panicked has left is as good as ever.
fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An answer that is due, the earliest first.
type Due = (std::cmp::Reverse<Instant>, String);

fn serve(mut stream: TcpStream, shared: &Shared) {
    let _ = stream.set_nodelay(true);
    if stream.set_read_timeout(Some(TURN)).is_err() {
        return;
    }
    let (mut input, mut frame, mut due) = (Ring::new(INPUT), Vec::new(), BinaryHeap::<Due>::new());
    loop {
        let suffers = *lock(&shared.suffers);
        if suffers == Some(FaultKind::Stall) {
            thread::sleep(TURN);
            continue;
        }
        let mut out = Vec::new();
        while due.peek().is_some_and(|(at, _)| at.0 <= Instant::now()) {
            let Some((_, id)) = due.pop() else { break };
            out.extend(answer(&id, suffers));
        }
        if !out.is_empty() && stream.write_all(&out).is_err()
            || suffers == Some(FaultKind::Cut) && !out.is_empty()
        {
            return;
        }
        if let (Some((at, _)), false) = (due.peek(), shared.takes.is_zero()) {
            let wait = at.0.saturating_duration_since(Instant::now()).clamp(Duration::from_micros(50), TURN);
            let _ = stream.set_read_timeout(Some(wait));
        }
        let mut bytes = [0; 16 * 1024];
        let most = if suffers == Some(FaultKind::SlowReader) { 16 } else { bytes.len() };
        let room = most.min(input.room());
        match stream.read(&mut bytes[..room]) {
            Ok(0) => return,
            Ok(count) if input.push(&bytes[..count]) => {}
            Ok(_) => return,
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return,
        }
        if suffers == Some(FaultKind::SlowReader) {
            thread::sleep(Duration::from_millis(1));
        }
        loop {
            match frames::next(&mut input, &mut frame) {
                Ok(Some(b'q')) => {
                    take(&frame, shared, &mut due);
                    frame.clear();
                }
                Ok(Some(_)) => frame.clear(),
                Ok(None) => break,
                Err(_) => return,
            }
        }
    }
}

/// Takes the parts of a call: a line each (id, shard, wait, length of the text), and its text behind it.
fn take(frame: &[u8], shared: &Shared, due: &mut BinaryHeap<Due>) {
    let (mut left, at) = (frame, Instant::now() + shared.takes);
    while let Some(end) = left.iter().position(|byte| *byte == b'\n') {
        let line = String::from_utf8_lossy(&left[..end]).into_owned();
        let words: Vec<&str> = line.split(' ').collect();
        let length = words.iter().skip(2).find_map(|word| word.parse::<usize>().ok()).unwrap_or(0);
        if let Some(id) = words.first() {
            *lock(&shared.sends).entry((*id).to_owned()).or_default() += 1;
            due.push((std::cmp::Reverse(at), (*id).to_owned()));
        }
        left = left.get(end + 1 + length..).unwrap_or_default();
    }
}

fn answer(id: &str, suffers: Option<FaultKind>) -> Vec<u8> {
    let text = format!("{id} served 1 queue=1\nvalue");
    let length = (1 + text.len() as u32).to_le_bytes();
    let frame = [&length[..], b"a", text.as_bytes()].concat();
    match suffers {
        Some(FaultKind::Cut) => frame[..frame.len() / 2].to_vec(),
        Some(FaultKind::Spoilt) => vec![0xff; frame.len()],
        _ => frame,
    }
}

pub struct Discovery {
    pub address: SocketAddr,
}

impl Discovery {
    /// Lists the nodes, each the only holder of what falls to it, and has no news.
    pub fn start(nodes: Vec<SocketAddr>) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let body = list(&nodes);
                thread::spawn(move || tell(stream, &body));
            }
        });
        Ok(Discovery { address })
    }
}

/// The list as discovery words it.
pub fn list(nodes: &[SocketAddr]) -> String {
    let entries: Vec<serde_json::Value> = nodes
        .iter()
        .enumerate()
        .map(|(at, address)| {
            serde_json::json!({"name": format!("s{at}"), "address": address.to_string(), "zone": "a", "group": 0,
                "status": "Ready", "since_ms": 0})
        })
        .collect();
    serde_json::json!({"index": 1, "snapshot": true, "endpoints": entries}).to_string()
}

fn tell(mut stream: TcpStream, body: &str) {
    let mut head = Vec::new();
    let mut byte = [0; 1];
    while stream.read(&mut byte).is_ok_and(|count| count == 1) {
        head.push(byte[0]);
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        // A call after what is known waits for news; there are none.
        if String::from_utf8_lossy(&head).contains("after=") {
            thread::sleep(Duration::from_secs(30));
        }
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
        head.clear();
    }
}
