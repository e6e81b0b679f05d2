//! Stand-ins for the cases of the second review: data nodes, discovery, clients, and a router that is started with the
//! command of the deploy file. They use the standard library alone.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SIGHUP: i32 = 1;
pub const SIGINT: i32 = 2;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    #[link_name = "signal"]
    fn set_handler(signal: i32, handler: extern "C" fn(i32)) -> usize;
    fn prctl(option: i32, argument: usize) -> i32;
    fn getppid() -> i32;
}

/// `PR_SET_PDEATHSIG` of Linux: the signal that a process gets when the thread that has started it ends.
const SIGNAL_ON_PARENTS_END: i32 = 1;

// ---------------------------------------------------------------- time and record

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();
static CHILDREN: Mutex<Vec<i32>> = Mutex::new(Vec::new());
static FOLDER: OnceLock<PathBuf> = OnceLock::new();
static INTERRUPTED: AtomicBool = AtomicBool::new(false);

extern "C" fn interrupted(_: i32) {
    INTERRUPTED.store(true, Ordering::SeqCst);
}

/// Opens the record named by the first argument, makes a temporary folder, and ends the case after `limit`.
pub fn begin(limit: Duration) {
    START.get_or_init(Instant::now);
    let path = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "record.txt".into());
    let file = File::create(path).expect("the record cannot be written");
    let _ = RECORD.set(Mutex::new(file));
    let folder = std::env::temp_dir().join(format!("ternpick-review-2-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("no temporary folder");
    let _ = FOLDER.set(folder);
    for number in [SIGHUP, SIGINT, SIGTERM] {
        // SAFETY: the handler only stores a flag.
        unsafe {
            set_handler(number, interrupted);
        }
    }
    thread::spawn(move || {
        let until = Instant::now() + limit;
        while Instant::now() < until && !INTERRUPTED.load(Ordering::SeqCst) {
            sleep(20);
        }
        note("the case was interrupted, or took too long");
        end(2);
    });
}

pub fn folder() -> PathBuf {
    FOLDER.get().expect("begin was not called").clone()
}

/// Milliseconds since the start of the case.
pub fn ms(at: Instant) -> u128 {
    at.duration_since(*START.get().expect("begin was not called"))
        .as_millis()
}

pub fn note(line: &str) {
    let now = ms(Instant::now());
    if let Some(record) = RECORD.get() {
        let mut file = record
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = writeln!(file, "{now:>7} ms  {line}");
    }
}

/// Whether the case runs with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends all processes that the case has started, and the case with this status.
pub fn end(status: i32) -> ! {
    for pid in CHILDREN
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
        .drain(..)
    {
        signal(pid, SIGCONT);
        signal(pid, SIGKILL);
    }
    note(&format!("exit status {status}"));
    if let Some(folder) = FOLDER.get() {
        let _ = std::fs::remove_dir_all(folder);
    }
    std::process::exit(status);
}

/// Ends the case, which could not run.
pub fn cannot_run(why: &str) -> ! {
    note(&format!("the case cannot run: {why}"));
    eprintln!("the case cannot run: {why}");
    end(2)
}

/// Ends the case with its verdict.
pub fn verdict(breaks: &[String]) -> ! {
    for line in breaks {
        note(&format!("BROKEN: {line}"));
        println!("BROKEN: {line}");
    }
    if breaks.is_empty() {
        note("the rule held");
        println!("the rule held");
        end(0)
    }
    end(1)
}

pub fn signal(pid: i32, signal: i32) {
    // SAFETY: kill takes two numbers and touches no memory of this process.
    unsafe {
        kill(pid, signal);
    }
}

pub fn sleep(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

pub fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

pub fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis())
}

// ---------------------------------------------------------------- data nodes

/// What a node does with the parts that it gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It answers each part after this time.
    Serve(Duration),
    /// It takes parts and answers none.
    Silent,
    /// It drains: it finishes what it has, and turns away what is new.
    Drain,
}

/// A part that a node has received.
#[derive(Clone, Debug)]
pub struct Part {
    /// When the first byte of its frame was read.
    pub at: Instant,
    pub node: String,
    pub id: String,
    pub shard: u32,
    /// The time that the router has told the node, in milliseconds.
    pub told_ms: u64,
    pub key: Option<String>,
    pub statement: String,
}

pub struct Node {
    pub name: String,
    pub group: u32,
    pub address: SocketAddr,
    mode: Mutex<Mode>,
    parts: Mutex<Vec<Part>>,
    cancelled: Mutex<Vec<String>>,
}

impl Node {
    pub fn start(name: &str, group: u32, mode: Mode) -> Arc<Node> {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| cannot_run("no free port"));
        let node = Arc::new(Node {
            name: name.to_owned(),
            group,
            address: listener
                .local_addr()
                .unwrap_or_else(|_| cannot_run("no address")),
            mode: Mutex::new(mode),
            parts: Mutex::default(),
            cancelled: Mutex::default(),
        });
        let shared = Arc::clone(&node);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let node = Arc::clone(&shared);
                thread::spawn(move || node.serve(stream));
            }
        });
        node
    }

    pub fn set_mode(&self, mode: Mode) {
        *self.mode.lock().unwrap() = mode;
        note(&format!("node {} from now on: {mode:?}", self.name));
    }

    pub fn parts(&self) -> Vec<Part> {
        self.parts.lock().unwrap().clone()
    }

    fn serve(self: Arc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let writer = match stream.try_clone() {
            Ok(clone) => Arc::new(Mutex::new(clone)),
            Err(_) => return,
        };
        let mut bytes: Vec<u8> = Vec::new();
        let mut began = Instant::now();
        let mut buffer = [0; 64 * 1024];
        loop {
            let count = match stream.read(&mut buffer) {
                Ok(0) | Err(_) => return,
                Ok(count) => count,
            };
            if bytes.is_empty() {
                began = Instant::now();
            }
            bytes.extend_from_slice(&buffer[..count]);
            while bytes.len() >= 4 {
                let length = u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]) as usize;
                if bytes.len() < 4 + length {
                    break;
                }
                let frame: Vec<u8> = bytes.drain(..4 + length).skip(4).collect();
                self.handle(&frame, began, &writer);
                began = Instant::now();
            }
        }
    }

    fn handle(self: &Arc<Self>, frame: &[u8], at: Instant, writer: &Arc<Mutex<TcpStream>>) {
        match frame.first() {
            Some(b'q') => {
                for part in parse_parts(&frame[1..], at, &self.name) {
                    note(&format!(
                        "node {} gets part {} of shard {}, told {} ms, statement {}",
                        self.name, part.id, part.shard, part.told_ms, part.statement
                    ));
                    self.parts.lock().unwrap().push(part.clone());
                    self.begin(part, writer);
                }
            }
            Some(b'c') => {
                let id = String::from_utf8_lossy(&frame[1..]).trim().to_owned();
                note(&format!("node {} gets a cancel of {id}", self.name));
                self.cancelled.lock().unwrap().push(id);
            }
            Some(b'l') => send(writer, b'l', b"util=0.10,qps=2,queue=0"),
            Some(b'p') => send(writer, b'p', b"served"),
            _ => {}
        }
    }

    fn begin(self: &Arc<Self>, part: Part, writer: &Arc<Mutex<TcpStream>>) {
        let time = match *self.mode.lock().unwrap() {
            Mode::Serve(time) => time,
            Mode::Silent => return,
            Mode::Drain => {
                note(&format!(
                    "node {} drains and turns {} away",
                    self.name, part.id
                ));
                let line = format!("{} skipped 1 -\n", part.id);
                send(writer, b'a', line.as_bytes());
                return;
            }
        };
        let (node, writer) = (Arc::clone(self), Arc::clone(writer));
        thread::spawn(move || {
            thread::sleep(time);
            let line = format!("{} served 1 util=0.10,qps=2,queue=0\n", part.id);
            let value = value_of(&part.statement, part.shard);
            note(&format!(
                "node {} answers {} with {value}",
                node.name, part.id
            ));
            send(&writer, b'a', &[line.as_bytes(), value.as_bytes()].concat());
        });
    }
}

/// The value that a node makes for a statement and a shard.
pub fn value_of(statement: &str, shard: u32) -> String {
    format!("value-of-{statement}-{shard}")
}

fn send(writer: &Mutex<TcpStream>, letter: u8, rest: &[u8]) {
    let mut frame = (1 + rest.len() as u32).to_le_bytes().to_vec();
    frame.push(letter);
    frame.extend_from_slice(rest);
    let _ = writer.lock().unwrap().write_all(&frame);
}

fn parse_parts(mut rest: &[u8], at: Instant, node: &str) -> Vec<Part> {
    let mut parts = Vec::new();
    while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
        let line = String::from_utf8_lossy(&rest[..end]).into_owned();
        let words: Vec<&str> = line.split(' ').collect();
        let [id, shard, list, length] = words[..] else {
            break;
        };
        let length: usize = length.parse().unwrap_or(0);
        let field = |name: &str| {
            let found = list.split(',').find_map(|pair| pair.strip_prefix(name));
            found.map(str::to_owned)
        };
        let text = &rest[end + 1..(end + 1 + length).min(rest.len())];
        parts.push(Part {
            at,
            node: node.to_owned(),
            id: id.to_owned(),
            shard: shard.parse().unwrap_or(0),
            told_ms: field("d=").and_then(|told| told.parse().ok()).unwrap_or(0),
            key: field("k="),
            statement: String::from_utf8_lossy(text).into_owned(),
        });
        rest = &rest[(end + 1 + length).min(rest.len())..];
    }
    parts
}

// ---------------------------------------------------------------- discovery

#[derive(Clone)]
struct Listed {
    node: Arc<Node>,
    status: &'static str,
    since_ms: u128,
    /// The version in which the entry last changed.
    index: u64,
}

#[derive(Default)]
struct List {
    index: u64,
    entries: Vec<Listed>,
    /// By version: when discovery had it.
    had: BTreeMap<u64, Instant>,
    /// By version: when a router was first written it.
    written: BTreeMap<u64, Instant>,
    /// How late each answer is.
    delay: Duration,
    /// Whether the body of an answer comes in chunks, one for each word of the JSON text.
    chunked: bool,
}

pub struct Discovery {
    pub address: SocketAddr,
    /// Whether it accepts no new connection.
    closed: AtomicBool,
    streams: Mutex<Vec<TcpStream>>,
    list: Mutex<List>,
    changed: Condvar,
}

impl Discovery {
    pub fn start(nodes: &[Arc<Node>]) -> Arc<Discovery> {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|_| cannot_run("no free port"));
        let entries = nodes.iter().map(|node| Listed {
            node: Arc::clone(node),
            status: "Ready",
            since_ms: 0,
            index: 1,
        });
        let discovery = Arc::new(Discovery {
            address: listener
                .local_addr()
                .unwrap_or_else(|_| cannot_run("no address")),
            list: Mutex::new(List {
                index: 1,
                entries: entries.collect(),
                ..List::default()
            }),
            changed: Condvar::new(),
            closed: AtomicBool::new(false),
            streams: Mutex::default(),
        });
        let shared = Arc::clone(&discovery);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if shared.closed.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(clone) = stream.try_clone() {
                    shared.streams.lock().unwrap().push(clone);
                }
                let discovery = Arc::clone(&shared);
                thread::spawn(move || discovery.serve(stream));
            }
        });
        discovery
    }

    /// Accepts no new connection from now on, and closes the open ones after 1.5 s, as one that a new configuration
    /// has left.
    fn leave(self: &Arc<Self>) {
        self.closed.store(true, Ordering::SeqCst);
        // Wakes the task that accepts, which ends.
        let _ = TcpStream::connect(self.address);
        let discovery = Arc::clone(self);
        thread::spawn(move || {
            sleep(1_500);
            for stream in discovery.streams.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            note("the old discovery has closed its connections");
        });
    }

    /// Lists nodes with a status. Returns the version.
    pub fn set_status(&self, names: &[String], status: &'static str) -> u64 {
        let mut list = self.list.lock().unwrap();
        list.index += 1;
        let index = list.index;
        for entry in &mut list.entries {
            if names.contains(&entry.node.name) {
                entry.status = status;
                entry.index = index;
            }
        }
        list.had.insert(index, Instant::now());
        note(&format!(
            "discovery has version {index}: {names:?} {status}"
        ));
        self.changed.notify_all();
        index
    }

    /// Makes each answer that is written from now on this much later.
    pub fn set_delay(&self, delay: Duration) {
        self.list.lock().unwrap().delay = delay;
        note(&format!(
            "discovery answers {} ms late from now on",
            delay.as_millis()
        ));
    }

    /// Writes the body of each answer in chunks from now on, one for each word of the JSON text.
    pub fn set_chunked(&self) {
        self.list.lock().unwrap().chunked = true;
        note("discovery writes its answers in chunks, word by word");
    }

    /// When a version was first written to a router.
    pub fn written(&self, index: u64) -> Option<Instant> {
        self.list
            .lock()
            .unwrap()
            .written
            .range(index..)
            .map(|(_, at)| *at)
            .min()
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        while let Some(target) = read_head(&mut stream) {
            let field = |name: &str| -> Option<u64> {
                let query = target.split('?').nth(1)?;
                query
                    .split('&')
                    .find_map(|pair| pair.strip_prefix(name)?.parse().ok())
            };
            let after = field("after=");
            let wait = Duration::from_millis(field("wait_ms=").unwrap_or(0).min(60_000));
            note(&format!("discovery gets {target}"));
            let body = self.answer(after, wait);
            let (index, body) = body;
            let chunked = self.list.lock().unwrap().chunked;
            let response = if chunked {
                chunked_response(&body)
            } else {
                plain_response(&body)
            };
            if stream.write_all(response.as_bytes()).is_err() {
                note(&format!(
                    "discovery cannot answer {target}: the caller has left"
                ));
                return;
            }
            note(&format!(
                "discovery has answered {target} with version {index}"
            ));
            let mut list = self.list.lock().unwrap();
            list.written.entry(index).or_insert_with(Instant::now);
        }
    }

    fn answer(&self, after: Option<u64>, wait: Duration) -> (u64, String) {
        let until = Instant::now() + wait;
        let mut list = self.list.lock().unwrap();
        while after.is_some_and(|after| list.index <= after) {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            list = self.changed.wait_timeout(list, left).unwrap().0;
        }
        let delay = list.delay;
        drop(list);
        thread::sleep(delay);
        let list = self.list.lock().unwrap();
        (list.index, list_text(&list, after))
    }

    /// The whole list, as a router's configuration has it.
    pub fn known(&self) -> String {
        list_text(&self.list.lock().unwrap(), None)
    }
}

fn plain_response(body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// A response whose body comes in chunks, one for each word of the JSON text, as from an encoder that writes its words
/// straight to the connection.
fn chunked_response(body: &str) -> String {
    let head =
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut text = head.to_owned();
    let mut word = String::new();
    let mut in_text = false;
    let mut flush = |word: &mut String| {
        if !word.is_empty() {
            text.push_str(&format!("{:x}\r\n{word}\r\n", word.len()));
            word.clear();
        }
    };
    for letter in body.chars() {
        in_text ^= letter == '"';
        if !in_text && "{}[]:,".contains(letter) {
            flush(&mut word);
            word.push(letter);
            flush(&mut word);
        } else {
            word.push(letter);
        }
    }
    flush(&mut word);
    text.push_str("0\r\n\r\n");
    text
}

fn list_text(list: &List, after: Option<u64>) -> String {
    let entries: Vec<String> = list
        .entries
        .iter()
        .filter(|entry| match after {
            Some(after) => entry.index > after,
            None => entry.status != "Gone",
        })
        .map(|entry| {
            format!(
                "{{\"name\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"type\":\"std-2core\",\"group\":{},\
                 \"status\":\"{}\",\"weight\":1.0,\"since_ms\":{}}}",
                entry.node.name, entry.node.address, entry.node.group, entry.status, entry.since_ms
            )
        })
        .collect();
    format!(
        "{{\"index\":{},\"snapshot\":{},\"endpoints\":[{}]}}",
        list.index,
        after.is_none(),
        entries.join(",")
    )
}

/// Reads the head of a request without a body; returns its target.
fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0; 1];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return None,
        }
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    text.split(' ').nth(1).map(str::to_owned)
}

// ---------------------------------------------------------------- clients

/// A query that a client sends.
#[derive(Clone, Debug)]
pub struct Query {
    pub id: String,
    pub class: &'static str,
    pub shards: Vec<u32>,
    pub statement: String,
    pub deadline_ms: u64,
    pub key: Option<String>,
}

impl Query {
    pub fn text(&self) -> String {
        let count = self.shards.len();
        let rows: Vec<String> = self
            .shards
            .iter()
            .map(|shard| {
                format!(
                    "{{\"tablet\":{shard},\"fraction\":{:.6}}}",
                    1.0 / count as f64
                )
            })
            .collect();
        let body = format!(
            "{{\"tablets\":[{}],\"statement\":\"{}\"}}",
            rows.join(","),
            self.statement
        );
        let key = self
            .key
            .as_ref()
            .map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
        format!(
            "POST /{} HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {}\r\nReq-Kind: {}\r\nReq-Deadline-Ms: {}\r\n{key}\
             Content-Length: {}\r\n\r\n{body}",
            self.class, self.id, self.class, self.deadline_ms, body.len()
        )
    }
}

/// The answer to a query.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
    /// Whether the router closes the connection after it.
    pub closes: bool,
    /// When its last byte was read.
    pub at: Instant,
}

/// A client's connection to a router.
pub struct Client {
    pub stream: TcpStream,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Client {
        let stream = TcpStream::connect(address)
            .unwrap_or_else(|_| cannot_run("the router does not accept"));
        let _ = stream.set_nodelay(true);
        Client { stream }
    }

    /// Sends a query; returns when its last byte was written.
    pub fn send(&mut self, query: &Query) -> Instant {
        self.send_text(query, &query.text())
    }

    /// Sends a query in these words; returns when its last byte was written.
    pub fn send_text(&mut self, query: &Query, text: &str) -> Instant {
        let _ = self.stream.write_all(text.as_bytes());
        note(&format!(
            "client sends {} to {} for shards {:?}, it waits {} ms, statement {}",
            query.id, query.class, query.shards, query.deadline_ms, query.statement
        ));
        Instant::now()
    }

    /// Waits for an answer until `until`; none if none came.
    pub fn receive(&mut self, id: &str, until: Instant) -> Option<Answer> {
        let answer = read_response(&mut self.stream, until);
        match &answer {
            Some(answer) => note(&format!(
                "client gets {} for {id}: {}",
                answer.status,
                answer.body.trim_end()
            )),
            None => note(&format!("client has no answer for {id}")),
        }
        answer
    }

    pub fn ask(&mut self, query: &Query) -> Option<Answer> {
        let sent = self.send(query);
        self.receive(
            &query.id,
            sent + Duration::from_millis(query.deadline_ms + 500),
        )
    }
}

fn read_response(stream: &mut TcpStream, until: Instant) -> Option<Answer> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 * 1024];
    loop {
        if let Some(answer) = parse_response(&bytes) {
            return Some(answer);
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return None;
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

fn parse_response(bytes: &[u8]) -> Option<Answer> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length")
            .then(|| value.trim().parse::<usize>().ok())?
    });
    let body = &bytes[end + 4..];
    if body.len() < length.unwrap_or(0) {
        return None;
    }
    let closes = head.to_ascii_lowercase().contains("connection: close");
    Some(Answer {
        status,
        body: String::from_utf8_lossy(body).into_owned(),
        closes,
        at: Instant::now(),
    })
}

// ---------------------------------------------------------------- routers

pub struct Router {
    pub address: SocketAddr,
    pub pid: i32,
    pub config: PathBuf,
    _child: Child,
}

impl Router {
    /// Starts a router with these settings by the deploy file's command, and waits until it serves.
    pub fn start(name: &str, discovery: &Discovery, settings: &str) -> Router {
        let port = TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
        let address = port.unwrap_or_else(|_| cannot_run("no free port"));
        let config = folder().join(format!("{name}.json"));
        let text = format!(
            "{{\"name\":\"{name}\",\"listen\":\"{address}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"known\":{},\"settings\":{settings}}}",
            discovery.address,
            discovery.known()
        );
        std::fs::write(&config, text)
            .unwrap_or_else(|_| cannot_run("the configuration cannot be written"));
        let log = File::create(folder().join(format!("{name}.log")))
            .unwrap_or_else(|_| cannot_run("no log"));
        let command = std::fs::read_to_string("deploy/balancer.toml")
            .ok()
            .and_then(|text| {
                let line = text.lines().find(|line| line.starts_with("run = "))?;
                line.split('"').nth(1).map(str::to_owned)
            });
        let command = command.unwrap_or_else(|| cannot_run("the deploy file has no command"));
        let mut start = Command::new("/bin/sh");
        let case = std::process::id() as i32;
        // SAFETY: both calls take numbers or nothing and touch no memory. The router ends with the case, however that ends.
        unsafe {
            start.pre_exec(move || {
                prctl(SIGNAL_ON_PARENTS_END, SIGKILL as usize);
                // The case may have ended before that call.
                if getppid() != case {
                    return Err(std::io::ErrorKind::Other.into());
                }
                Ok(())
            });
        }
        let child = start
            .args(["-c", &command])
            .env("ROUTER_NAME", name)
            .env("ROUTER_LISTEN", address.to_string())
            .env("ROUTER_DISCOVERY", discovery.address.to_string())
            .env("ROUTER_CONFIG", &config)
            .env("TMPDIR", folder())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::from(log))
            .spawn()
            .unwrap_or_else(|_| cannot_run("the router cannot be started"));
        let pid = child.id() as i32;
        CHILDREN.lock().unwrap().push(pid);
        let router = Router {
            address,
            pid,
            config,
            _child: child,
        };
        router.wait_until_ready();
        note(&format!("router {name} serves"));
        router
    }

    fn wait_until_ready(&self) {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            if let Ok(mut stream) = TcpStream::connect(self.address) {
                let _ = stream
                    .write_all(b"GET /_health HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
                let answer = read_response(&mut stream, Instant::now() + Duration::from_secs(2));
                if answer.is_some_and(|answer| answer.status == 200) {
                    return;
                }
            }
            sleep(50);
        }
        cannot_run("the router is not ready");
    }

    /// Replaces the configuration file by one that names another discovery, and sends SIGHUP.
    pub fn move_discovery(&self, from: &Arc<Discovery>, to: &Discovery) {
        let text = std::fs::read_to_string(&self.config).unwrap_or_default();
        let text = text.replacen(
            &format!("\"discovery\":\"{}\"", from.address),
            &format!("\"discovery\":\"{}\"", to.address),
            1,
        );
        let beside = self.config.with_extension("new");
        let replaced =
            std::fs::write(&beside, text).and_then(|()| std::fs::rename(&beside, &self.config));
        if replaced.is_err() {
            cannot_run("the configuration cannot be replaced");
        }
        self.signal(
            SIGHUP,
            "SIGHUP: a new configuration names another discovery",
        );
        from.leave();
    }

    pub fn signal(&self, number: i32, name: &str) {
        signal(self.pid, number);
        note(&format!("router gets {name}"));
    }
}
