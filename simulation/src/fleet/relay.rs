//! Relays between processes: whole requests between routers, which may be cut one way, late, out of order, doubled and
//! lost; bytes between a router and a node or discovery, which may be cut.

use std::collections::{BinaryHeap, HashMap};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use ternpick_wire::http::{Reader, MAX_HEAD_BYTES};
use ternpick_wire::ring::Ring;

const BOUND: Duration = Duration::from_secs(30);
const TURN: Duration = Duration::from_millis(20);

/// What befalls the talk of all routers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Weather {
    /// Each request is late by this, at least and at most; unequal: out of order too.
    pub late: (Duration, Duration),
    pub doubled: f64,
    pub lost: f64,
}

/// A request on its way: when it goes on, to whom.
struct Letter {
    due: Instant,
    number: u64,
    to: usize,
    bytes: Vec<u8>,
}

impl PartialEq for Letter {
    fn eq(&self, other: &Self) -> bool {
        (self.due, self.number) == (other.due, other.number)
    }
}

impl Eq for Letter {}

impl PartialOrd for Letter {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Letter {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.due, other.number).cmp(&(self.due, self.number))
    }
}

struct State {
    /// One way each, by numbers of routers.
    cuts: HashMap<(usize, usize), u32>,
    weather: Weather,
    chance: Pcg64Mcg,
    numbers: u64,
    carried: u64,
}

/// What is on its way from one router to another.
#[derive(Default)]
struct Link {
    letters: Mutex<BinaryHeap<Letter>>,
    more: Condvar,
}

/// The talk between routers.
pub struct Relay {
    state: Mutex<State>,
    /// By target, then by sender.
    links: Vec<Vec<Link>>,
    names: Vec<String>,
    targets: Vec<SocketAddr>,
    ends: AtomicBool,
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Relay {
    /// A relay for routers that really listen at `targets`; where others reach them comes back.
    pub fn start(
        names: Vec<String>,
        targets: Vec<SocketAddr>,
        seed: u64,
    ) -> std::io::Result<(Arc<Relay>, Vec<SocketAddr>)> {
        let state = State {
            cuts: HashMap::new(),
            weather: Weather::default(),
            chance: Pcg64Mcg::seed_from_u64(seed),
            numbers: 0,
            carried: 0,
        };
        let count = targets.len();
        let ends = AtomicBool::new(false);
        let links = (0..count)
            .map(|_| (0..count).map(|_| Link::default()).collect())
            .collect();
        let relay = Arc::new(Relay {
            state: Mutex::new(state),
            links,
            names,
            targets,
            ends,
        });
        let mut addresses = Vec::new();
        for to in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            addresses.push(listener.local_addr()?);
            let own = Arc::clone(&relay);
            thread::spawn(move || {
                for stream in listener.incoming().map_while(Result::ok) {
                    if own.ends.load(Ordering::Relaxed) {
                        return;
                    }
                    let own = Arc::clone(&own);
                    thread::spawn(move || own.take(stream, to));
                }
            });
            for from in 0..count {
                let own = Arc::clone(&relay);
                thread::spawn(move || own.carry(from, to));
            }
        }
        Ok((relay, addresses))
    }

    pub fn cut(&self, from: usize, to: usize, cut: bool) {
        let mut state = lock(&self.state);
        let count = state.cuts.entry((from, to)).or_default();
        *count = if cut {
            *count + 1
        } else {
            count.saturating_sub(1)
        };
    }

    pub fn set(&self, weather: Weather) {
        lock(&self.state).weather = weather;
    }

    pub fn mend(&self) {
        let mut state = lock(&self.state);
        state.cuts.clear();
        state.weather = Weather::default();
    }

    /// Requests that went through.
    pub fn carried(&self) -> u64 {
        lock(&self.state).carried
    }

    pub fn end(&self) {
        self.ends.store(true, Ordering::Relaxed);
        self.links
            .iter()
            .flatten()
            .for_each(|link| link.more.notify_all());
    }

    /// Takes one router's requests for another; each is answered at once, for what becomes of it is the relay's matter.
    fn take(&self, mut stream: TcpStream, to: usize) {
        let timed = stream
            .set_read_timeout(Some(BOUND))
            .and_then(|()| stream.set_nodelay(true));
        let (mut input, mut bytes) = (Ring::new(MAX_HEAD_BYTES), [0; 16 * 1024]);
        while timed.is_ok() {
            let mut reader = Reader::for_requests();
            loop {
                match reader.read(&mut input) {
                    Ok(true) => break,
                    Ok(false) => {}
                    Err(_) => return,
                }
                let room = bytes.len().min(input.room());
                match stream.read(&mut bytes[..room]) {
                    Ok(count) if count > 0 && input.push(&bytes[..count]) => {}
                    _ => return,
                }
            }
            let from = reader
                .header("fleet-from")
                .and_then(|from| self.names.iter().position(|name| name == from));
            let Some(from) = from else { return };
            if !self.post(from, to, &reader) {
                // A cut is silence: whoever asks waits in vain.
                thread::sleep(Duration::from_millis(1100));
                return;
            }
            if stream
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                .is_err()
            {
                return;
            }
        }
    }

    fn post(&self, from: usize, to: usize, request: &Reader) -> bool {
        let mut state = lock(&self.state);
        if state.cuts.get(&(from, to)).is_some_and(|count| *count > 0) {
            return false;
        }
        let body = request.body();
        let (path, name, length) = (request.path(), &self.names[from], body.len());
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: x\r\nFleet-From: {name}\r\nContent-Length: {length}\r\n\r\n"
        );
        let bytes = [head.as_bytes(), body].concat();
        let Weather {
            late,
            doubled,
            lost,
        } = state.weather;
        if lost > 0.0 && state.chance.random_bool(lost) {
            return true;
        }
        let copies = 1 + u64::from(doubled > 0.0 && state.chance.random_bool(doubled));
        for _ in 0..copies {
            let span = late.1.saturating_sub(late.0);
            let by = late.0 + span.mul_f64(state.chance.random::<f64>());
            state.numbers += 1;
            let letter = Letter {
                due: Instant::now() + by,
                number: state.numbers,
                to,
                bytes: bytes.clone(),
            };
            lock(&self.links[to][from].letters).push(letter);
        }
        self.links[to][from].more.notify_all();
        true
    }

    /// Carries on what goes from one router to another.
    fn carry(&self, from: usize, to: usize) {
        let (mut kept, link) = (None::<TcpStream>, &self.links[to][from]);
        while !self.ends.load(Ordering::Relaxed) {
            let letter = {
                let mut letters = lock(&link.letters);
                let (due, now) = (letters.peek().map(|letter| letter.due), Instant::now());
                match due {
                    Some(at) if at <= now => letters.pop(),
                    _ => {
                        let wait = due.map_or(Duration::from_millis(500), |at| {
                            at.saturating_duration_since(now)
                        });
                        drop(link.more.wait_timeout(letters, wait));
                        continue;
                    }
                }
            };
            // What is on its way when a cut begins is lost.
            let letter = letter.filter(|_| {
                let mut state = lock(&self.state);
                let cut = state.cuts.get(&(from, to)).is_some_and(|count| *count > 0);
                state.carried += u64::from(!cut);
                !cut
            });
            if let Some(letter) = letter {
                kept = send(kept.take(), self.targets[letter.to], &letter.bytes);
            }
        }
    }
}

fn send(kept: Option<TcpStream>, to: SocketAddr, bytes: &[u8]) -> Option<TcpStream> {
    let mut stream = match kept {
        Some(stream) => stream,
        None => {
            let stream = TcpStream::connect_timeout(&to, Duration::from_millis(200)).ok()?;
            stream.set_nodelay(true).ok()?;
            // One that stands still is not waited for: what it does not take is lost.
            stream
                .set_read_timeout(Some(Duration::from_millis(500)))
                .ok()?;
            stream
        }
    };
    stream.write_all(bytes).ok()?;
    let mut answer = Vec::new();
    let mut byte = [0; 256];
    while !answer.windows(4).any(|some| some == b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(count) if count > 0 => answer.extend_from_slice(&byte[..count]),
            _ => return None,
        }
    }
    answer.starts_with(b"HTTP/1.1 200").then_some(stream)
}

/// Bytes between one router and one other process; a cut is silence both ways.
pub struct Pipe {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Pipe {
    pub fn start(target: SocketAddr) -> std::io::Result<Pipe> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let (address, cut) = (listener.local_addr()?, Arc::new(AtomicBool::new(false)));
        let own = Arc::clone(&cut);
        thread::spawn(move || {
            for near in listener.incoming().map_while(Result::ok) {
                let Ok(far) = TcpStream::connect(target) else {
                    continue;
                };
                for (from, to) in [
                    (near.try_clone(), far.try_clone()),
                    (far.try_clone(), near.try_clone()),
                ] {
                    if let (Ok(from), Ok(to)) = (from, to) {
                        let cut = Arc::clone(&own);
                        thread::spawn(move || pump(from, to, &cut));
                    }
                }
            }
        });
        Ok(Pipe { address, cut })
    }

    pub fn cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, cut: &AtomicBool) {
    let mut bytes = [0; 16 * 1024];
    let ready = from
        .set_read_timeout(Some(TURN))
        .and_then(|()| to.set_nodelay(true));
    while ready.is_ok() {
        if cut.load(Ordering::Relaxed) {
            thread::sleep(TURN);
            continue;
        }
        match from.read(&mut bytes) {
            Ok(0) => break,
            Ok(count) => {
                if to.write_all(&bytes[..count]).is_err() {
                    break;
                }
            }
            Err(e)
                if matches!(
                    e.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) => {}
            Err(_) => break,
        }
    }
    // Either end may have gone first.
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
