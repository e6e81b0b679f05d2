//! Stand-ins for the review's cases: clients, data nodes, discovery, and the start of routers. They use the standard
//! library alone. Every address is a loopback address.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn getpid() -> i32;
    fn write(descriptor: i32, bytes: *const u8, count: usize) -> isize;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Sends a signal to a process; a negative id names a process group.
pub fn signal(pid: i32, number: i32) -> bool {
    unsafe { kill(pid, number) == 0 }
}

/// Whether a process, or a process of a group (negative id), exists.
pub fn exists(pid: i32) -> bool {
    signal(pid, 0)
}

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// The record of a run: one line for each thing sent, answered or run, with its time.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &Path) -> Record {
        Record {
            began: Instant::now(),
            lines: Arc::new(Mutex::new(
                File::create(path).expect("the record can be written"),
            )),
        }
    }

    pub fn at(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn say(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.at().as_secs_f64());
        let _ = self.lines.lock().unwrap().write_all(line.as_bytes());
    }

    /// Says a line on standard output too.
    pub fn tell(&self, text: &str) {
        self.say(text);
        println!("{text}");
    }
}

/// A small generator of pseudo-random numbers, so that a seed gives the same requests.
pub struct Dice(u64);

impl Dice {
    pub fn new(seed: u64) -> Dice {
        Dice(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_F491_4F6C_DD1D) >> 11
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.below(high - low + 1)
    }
}

/// The value that a sound data node makes for a part: 16 hexadecimal digits that depend on the part's id alone.
pub fn value_of(part_id: &str) -> String {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in part_id.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    format!("{hash:016x}")
}

// ---------------------------------------------------------------------------------------------- data nodes

/// One part that a data node has received.
pub struct Part {
    pub id: String,
    pub shard: u32,
    pub list: String,
    pub text: String,
}

/// What a data node does with a part: the answer's frame as bytes, after a delay; or nothing.
pub type Act = Arc<dyn Fn(&Part) -> Option<(Duration, Vec<u8>)> + Send + Sync>;

/// The frame of an answer.
pub fn answer_frame(id: &str, end: &str, value: &str) -> Vec<u8> {
    let rest = format!("a{id} {end} 1 qps=8,util=0.3,queue=1\n{value}");
    let mut frame = (rest.len() as u32).to_le_bytes().to_vec();
    frame.extend_from_slice(rest.as_bytes());
    frame
}

pub struct Node {
    pub name: String,
    pub address: SocketAddr,
}

impl Node {
    /// Starts a data node. `act` decides on each part; every frame that comes is recorded.
    pub fn start(name: &str, record: &Record, act: Act) -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let (own, record) = (name.to_owned(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (own, record, act) = (own.clone(), record.clone(), Arc::clone(&act));
                thread::spawn(move || serve_node(&own, &record, &act, stream));
            }
        });
        Node {
            name: name.to_owned(),
            address,
        }
    }
}

fn serve_node(name: &str, record: &Record, act: &Act, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(writer) = stream.try_clone() else {
        return;
    };
    let writer = Arc::new(Mutex::new(writer));
    loop {
        let mut length = [0; 4];
        if stream.read_exact(&mut length).is_err() {
            return;
        }
        let mut frame = vec![0; u32::from_le_bytes(length) as usize];
        if stream.read_exact(&mut frame).is_err() || frame.is_empty() {
            return;
        }
        match frame[0] {
            b'q' => {
                for part in parts_of(&frame[1..]) {
                    record.say(&format!("{name} got {} [{}]", part.id, part.list));
                    let Some((delay, bytes)) = act(&part) else {
                        continue;
                    };
                    let (writer, record, name) =
                        (Arc::clone(&writer), record.clone(), name.to_owned());
                    thread::spawn(move || {
                        thread::sleep(delay);
                        record.say(&format!("{name} answers {}", part.id));
                        let _ = writer.lock().unwrap().write_all(&bytes);
                    });
                }
            }
            b'c' => record.say(&format!(
                "{name} told to give up {}",
                String::from_utf8_lossy(&frame[1..])
            )),
            letter @ (b'l' | b'p') => {
                let rest: &[u8] = if letter == b'l' {
                    b"lqps=8,util=0.3,queue=1"
                } else {
                    b"pserved"
                };
                let mut frame = (rest.len() as u32).to_le_bytes().to_vec();
                frame.extend_from_slice(rest);
                let _ = writer.lock().unwrap().write_all(&frame);
            }
            _ => return,
        }
    }
}

fn parts_of(mut rest: &[u8]) -> Vec<Part> {
    let mut parts = Vec::new();
    while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
        let line = String::from_utf8_lossy(&rest[..end]).into_owned();
        let words: Vec<&str> = line.split(' ').collect();
        let length: usize = words[3].parse().unwrap_or(0);
        let text = String::from_utf8_lossy(&rest[end + 1..end + 1 + length]).into_owned();
        parts.push(Part {
            id: words[0].to_owned(),
            shard: words[1].parse().unwrap_or(0),
            list: words[2].to_owned(),
            text,
        });
        rest = &rest[end + 1 + length..];
    }
    parts
}

// ---------------------------------------------------------------------------------------------- discovery

struct List {
    index: u64,
    /// For each node: its entry, and the version at which it last changed.
    entries: BTreeMap<String, (String, u64)>,
    closed: bool,
}

/// Discovery, which answers for the whole list and for watches.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<(Mutex<List>, Condvar)>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    record: Record,
    name: String,
}

pub fn entry(node: &Node, group: u32, status: &str) -> String {
    format!(
        r#"{{"name":"{}","address":"{}","zone":"city-hall","type":"two-core-std","group":{group},"status":"{status}","weight":1.0,"since_ms":0}}"#,
        node.name, node.address
    )
}

impl Discovery {
    pub fn start(name: &str, record: &Record, entries: &[(String, String)]) -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let list = List {
            index: 41,
            entries: entries
                .iter()
                .map(|(name, text)| (name.clone(), (text.clone(), 41)))
                .collect(),
            closed: false,
        };
        let discovery = Discovery {
            address: listener.local_addr().unwrap(),
            list: Arc::new((Mutex::new(list), Condvar::new())),
            connections: Arc::default(),
            record: record.clone(),
            name: name.to_owned(),
        };
        let served = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.list.0.lock().unwrap().closed {
                    return;
                }
                let _ = stream.set_nodelay(true);
                served
                    .connections
                    .lock()
                    .unwrap()
                    .push(stream.try_clone().unwrap());
                let served = served.clone();
                thread::spawn(move || served.serve(stream));
            }
        });
        discovery
    }

    /// Changes the entry of a node; watches are answered at once.
    pub fn change(&self, name: &str, text: &str) {
        let mut list = self.list.0.lock().unwrap();
        list.index += 1;
        let index = list.index;
        list.entries
            .insert(name.to_owned(), (text.to_owned(), index));
        self.list.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        loop {
            let Some(head) = read_head(&mut reader) else {
                return;
            };
            let target = head[0].split(' ').nth(1).unwrap_or("").to_owned();
            let number = |key: &str| {
                target
                    .split(['?', '&'])
                    .find_map(|pair| pair.strip_prefix(key))
                    .and_then(|text| text.parse::<u64>().ok())
            };
            let after = number("after=");
            let wait_until = Instant::now() + ms(number("wait_ms=").unwrap_or(0).min(60_000));
            let mut list = self.list.0.lock().unwrap();
            while after == Some(list.index) && Instant::now() < wait_until && !list.closed {
                let left = wait_until.saturating_duration_since(Instant::now());
                list = self.list.1.wait_timeout(list, left).unwrap().0;
            }
            let told: Vec<&str> = list
                .entries
                .values()
                .filter(|(_, changed)| after.is_none_or(|after| *changed > after))
                .map(|(text, _)| text.as_str())
                .collect();
            let body = format!(
                r#"{{"index":{},"snapshot":{},"endpoints":[{}]}}"#,
                list.index,
                after.is_none(),
                told.join(",")
            );
            let news = after.is_none() || !told.is_empty();
            drop(list);
            let text = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            if news {
                self.record
                    .say(&format!("{} told {target}: {body}", self.name));
            }
        }
    }

    /// From now on accepts no connection.
    pub fn refuse(&self) {
        self.list.0.lock().unwrap().closed = true;
        // Wakes the accept loop, which then drops its listener.
        let _ = TcpStream::connect(self.address);
    }

    /// Closes the open connections.
    pub fn cut(&self) {
        for stream in self.connections.lock().unwrap().drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        self.list.1.notify_all();
    }
}

// ---------------------------------------------------------------------------------------------- clients

fn read_head(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let mut head = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            if head.is_empty() {
                continue;
            }
            return Some(head);
        }
        head.push(line);
    }
}

/// An answer of the router.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
    /// Whether the router announced that it closes the connection.
    pub last: bool,
}

/// A client's connection, which is kept.
pub struct Connection {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr) -> Option<Connection> {
        let stream = TcpStream::connect_timeout(&address, ms(500)).ok()?;
        let _ = stream.set_nodelay(true);
        let reader = BufReader::new(stream.try_clone().ok()?);
        Some(Connection { stream, reader })
    }

    pub fn send(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).is_ok()
    }

    /// The answer; an error if the connection ends before its last byte, or nothing comes within `patience`.
    pub fn answer(&mut self, patience: Duration) -> std::io::Result<Answer> {
        self.stream.set_read_timeout(Some(patience))?;
        let ended =
            || std::io::Error::new(std::io::ErrorKind::UnexpectedEof, "the connection ended");
        let mut head = Vec::new();
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line)? == 0 {
                return Err(ended());
            }
            let line = line.trim_end().to_ascii_lowercase();
            if line.is_empty() {
                break;
            }
            head.push(line);
        }
        let value = |name: &str| {
            head.iter()
                .find_map(|line| line.strip_prefix(name))
                .map(str::trim)
        };
        let status = head[0]
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let length = value("content-length:")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let mut body = vec![0; length];
        self.reader.read_exact(&mut body)?;
        Ok(Answer {
            status,
            body: String::from_utf8_lossy(&body).into_owned(),
            last: value("connection:") == Some("close"),
        })
    }
}

/// A lookup as a client sends it.
pub fn lookup(index: &str, id: &str, deadline_ms: u64, shards: &[u32], text: &str) -> String {
    let share = 1.0 / shards.len() as f64;
    let tablets: Vec<String> = shards
        .iter()
        .map(|shard| format!(r#"{{"tablet":{shard},"fraction":{share},"guess":90000}}"#))
        .collect();
    let body = format!(
        r#"{{"tablets":[{}],"statement":"{text}"}}"#,
        tablets.join(",")
    );
    format!(
        "POST /{index} HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\nReq-Kind: {index}\r\nReq-Deadline-Ms: {deadline_ms}\r\nIdempotency-Key: k{id}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// The values of the pieces in an answer's body: (shard, value).
pub fn pieces(body: &str) -> Vec<(u32, String)> {
    body.split('{')
        .filter_map(|piece| {
            let value = piece
                .split("\"cell\":\"")
                .nth(1)?
                .split('"')
                .next()?
                .to_owned();
            let shard = piece.split("\"tablet\":").nth(1)?;
            let digits: String = shard.chars().take_while(char::is_ascii_digit).collect();
            Some((digits.parse().ok()?, value))
        })
        .collect()
}

// ---------------------------------------------------------------------------------------------- routers

/// A folder for a run's files, which is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Folder {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("rv-{name}-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

/// A router that was started with the deploy file's command, in a process group of its own.
pub struct Router {
    pub child: Child,
    pub address: SocketAddr,
    guard: Child,
}

impl Router {
    /// Starts `target/release/ternpick serve` and waits until its health check answers 200.
    pub fn start(
        record: &Record,
        config: &Path,
        settings: Option<&Path>,
        address: SocketAddr,
        log: &Path,
    ) -> Option<Router> {
        let settings = settings
            .map(|path| format!(" --settings {}", path.display()))
            .unwrap_or_default();
        let command = format!(
            "exec target/release/ternpick serve --config {}{settings}",
            config.display()
        );
        record.say(&format!("starts: {command}"));
        let log = File::options().create(true).append(true).open(log).ok()?;
        let guard = guard(config.parent()?)?;
        let pipe = guard.stdin.as_ref()?.as_raw_fd();
        let mut shell = Command::new("/bin/sh");
        shell
            .arg("-c")
            .arg(command)
            .env("ROUTER_CONFIG", config)
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .process_group(0);
        // Runs in the new process, which already leads its group, before it becomes the shell.
        unsafe { shell.pre_exec(move || tell_own_id(pipe)) };
        let child = shell.spawn().ok()?;
        let router = Router {
            child,
            address,
            guard,
        };
        end_in_any_case(router.pid());
        for _ in 0..200 {
            if let Some(mut connection) = Connection::open(address) {
                if connection.send(
                    "GET /_health HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n",
                ) && connection
                    .answer(ms(500))
                    .is_ok_and(|answer| answer.status == 200)
                {
                    record.say("the router serves");
                    return Some(router);
                }
            }
            thread::sleep(ms(25));
        }
        None
    }

    pub fn pid(&self) -> i32 {
        self.child.id() as i32
    }

    /// Whether the process that `run` started has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_some()
    }

    /// Whether any process of the router lives.
    pub fn any_lives(&mut self) -> bool {
        let _ = self.child.try_wait();
        exists(-self.pid())
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        signal(-self.pid(), SIGKILL);
        let _ = self.child.wait();
        signal(self.guard.id() as i32, SIGKILL);
        let _ = self.guard.wait();
    }
}

/// Writes the id of the calling process as a line to a pipe, without any allocation.
fn tell_own_id(pipe: i32) -> std::io::Result<()> {
    let mut line = [b'\n'; 12];
    let mut first = line.len() - 1;
    let mut id = unsafe { getpid() };
    while id > 0 {
        first -= 1;
        line[first] = b'0' + (id % 10) as u8;
        id /= 10;
    }
    let count = line.len() - first;
    let written = unsafe { write(pipe, line[first..].as_ptr(), count) };
    if written != count as isize {
        return Err(std::io::Error::last_os_error());
    }
    Ok(())
}

/// Starts a shell that waits for the end of this process, however it comes, and then ends all processes of the router and
/// removes the run's folder. It is started before the router and reads the router's group from a pipe; the router's
/// process writes it there before it runs the program. After that only this process holds the writing end, so that the
/// pipe ends with it. The shell is in a group of its own, so that an interrupt from a terminal does not reach it.
fn guard(folder: &Path) -> Option<Child> {
    Command::new("/bin/sh")
        .args([
            "-c",
            "read -r group && { read -r end; kill -9 \"-$group\" 2>/dev/null; }; rm -rf -- \"$0\"",
        ])
        .arg(folder)
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .process_group(0)
        .spawn()
        .ok()
}

/// Ends a router's processes and the run, with the status for a case that could not run, should it last over 110 s.
fn end_in_any_case(group: i32) {
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(110));
        signal(-group, SIGKILL);
        std::process::exit(2);
    });
}

/// The configuration that the platform hands a router: a small deployment with three indexes, two sets of nodes that
/// hold four shards each.
pub fn config(address: SocketAddr, discovery: SocketAddr, entries: &[(String, String)]) -> String {
    let known: Vec<&str> = entries.iter().map(|(_, text)| text.as_str()).collect();
    format!(
        r#"{{"name":"n0","listen":"{address}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"sockets":1024,"memory_mb":192}},
 "known":{{"index":41,"snapshot":true,"endpoints":[{}]}},
 "settings":{{
  "areas":["city-hall"],"zone":0,"balancers":3,"tick":5000,"discovery":"on_request","weights":"nominal","valueBy":"work",
  "classes":[
   {{"name":"main-break-sweep","semantics":"idempotent","onTime":1500000,"deadline":3000000,"worth":5.0,"lateValue":0.3}},
   {{"name":"address-history","semantics":"idempotent","onTime":2000000,"deadline":6000000,"worth":1.0,"lateValue":0.1}},
   {{"name":"lockout-tag","semantics":"deduplicated","window":1500000,"keyScope":"all","onTime":1500000,"deadline":3000000,"worth":1.0,"lateValue":0.0}}],
  "ceilings":{{"attemptsCap":3,"cancel":true,"dialTimeout":250000,"idleClose":30000000,"mostHeld":400,"probing":true,
   "peers":false,"retryAfter":false,"secondCopies":true,"streamsPerConn":32}},
  "charges":{{"connection":0.0,"crossZone":0.0085,"handshake":0.02,"lateFail":0.08,"probe":0.011,"waste":0.08}},
  "extra":{{"shards":8,"positions":2,"reach":1,"bundleMax":8,"callCost":40000,"classNeed":[1.0,1.0,1.0],
   "minShare":[0.7,1.0,1.0],"secondStep":[0,0,0],"shortWorth":[0.9,0.9,0.9],"warmKeys":true}},
  "report":{{"via":"inline","columns":["tps","load_share","depth"]}},
  "rules":{{"askWithin":10000000,"coldFrom":0.18,"fall":1000000,"fallMultiple":2.0,"graceToAnswer":20000,
   "stopSendingWithin":500000,"warmWithin":14000000}}}}}}"#,
        known.join(",")
    )
}

/// Whether the case runs with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |text| text != "0")
}

pub fn seed() -> u64 {
    std::env::var("SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(1)
}

/// Starts `count` data nodes, half of them in each set, and returns them with their entries.
pub fn nodes(count: usize, record: &Record, act: &Act) -> (Vec<Node>, Vec<(String, String)>) {
    let nodes: Vec<Node> = (0..count)
        .map(|number| Node::start(&format!("s-{number}"), record, Arc::clone(act)))
        .collect();
    let entries = nodes
        .iter()
        .enumerate()
        .map(|(number, node)| (node.name.clone(), entry(node, number as u32 % 2, "Ready")))
        .collect();
    (nodes, entries)
}

/// Set once the run is over.
#[derive(Clone, Default)]
pub struct Over(Arc<AtomicBool>);

impl Over {
    pub fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    pub fn get(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}
