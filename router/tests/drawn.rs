//! Faults drawn by seed in twos and threes, under load and over a stop: real processes, stand-in nodes and discovery, clients that
//! keep connections, leave, stop halfway, send first requests late. Everybody writes down what he saw; `ternpick-history` judges.
//! A few seeds here; many by command:
//!
//!     DRAWN=1..101 cargo test -p ternpick-router --test drawn -- --ignored --nocapture

mod common;

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use ternpick_fault_injection::{Call, Effect as Does, Plan, Role, Rule, Step};
use ternpick_history::requests::{check, Effect, Saw, Terms};

use common::faulty::Faulty;
use common::*;

const MS: Duration = Duration::from_millis(1);
/// The longest deadline, and so the earliest kill after a signal.
const LONGEST: u64 = 1900;
const KILL: Duration = Duration::from_millis(700 + LONGEST);
/// Clients send for so long.
const LOAD: Duration = Duration::from_millis(3200);

/// A small generator: the same plays for the same seed.
struct Draw(u64);

impl Draw {
    fn new(seed: u64) -> Draw {
        let mut of = Draw(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x2545_f491_4f6c_dd1d);
        for _ in 0..8 {
            of.below(2);
        }
        of
    }

    fn below(&mut self, most: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 16) % most
    }

    fn between(&mut self, from: u64, to: u64) -> u64 {
        from + self.below(to - from)
    }

    fn one<T: Copy>(&mut self, of: &[T]) -> T {
        of[self.below(of.len() as u64) as usize]
    }
}

/// What was seen, by one clock.
#[derive(Clone)]
struct Record {
    began: Instant,
    events: Arc<Mutex<Vec<(u64, Saw)>>>,
}

impl Record {
    fn now(&self) -> u64 {
        self.began.elapsed().as_micros() as u64
    }

    fn saw(&self, saw: Saw) {
        self.events
            .lock()
            .expect("no test thread panicked with the lock held")
            .push((self.now(), saw));
    }
}

/// The kinds of fault that are drawn.
const KINDS: [&str; 8] = [
    "accepts fail",
    "calls are interrupted",
    "reads and writes are short",
    "dials fail for a while",
    "sockets fail for a while",
    "connections to nodes break",
    "the wall clock steps",
    "it is held up before writes",
];

/// A fault of a kind: its rules and steps.
fn fault(kind: usize, draw: &mut Draw) -> (Vec<Rule>, Vec<Step>) {
    let every = draw.between(2, 6);
    let from = draw.between(0, 1500);
    let rules = match kind {
        0 => {
            let errors = [
                "ECONNABORTED",
                "ENFILE",
                "EMFILE",
                "ENOBUFS",
                "EINTR",
                "EPROTO",
            ];
            vec![Rule::fails(Call::Accept, Role::Listener, every, &errors)]
        }
        1 => [Call::Receive, Call::Send, Call::Accept, Call::Wait]
            .map(|call| Rule::fails(call, Role::Any, every, &["EINTR"]))
            .to_vec(),
        2 => {
            let most = draw.between(1, 40) as usize;
            [Call::Receive, Call::Send]
                .map(|call| Rule::new(call, Role::Any, 1, Does::Short(most)))
                .to_vec()
        }
        3 => {
            let error = draw.one(&["EADDRNOTAVAIL", "ENETUNREACH", "EHOSTUNREACH", "ENOBUFS"]);
            vec![Rule::fails(Call::Connect, Role::Node, 1, &[error]).between(from, from + 400)]
        }
        4 => {
            let error = draw.one(&["EMFILE", "ENFILE", "ENOBUFS"]);
            vec![Rule::fails(Call::Socket, Role::Any, 1, &[error]).between(from, from + 400)]
        }
        5 => {
            let errors = ["ETIMEDOUT", "EHOSTUNREACH", "ECONNRESET"];
            vec![Rule::fails(
                Call::Receive,
                Role::Node,
                draw.between(15, 40),
                &errors,
            )]
        }
        6 => {
            let by_ms = draw.one(&[3_600_000, -3_600_000, 5000, -5000]);
            return (Vec::new(), vec![Step { at_ms: from, by_ms }]);
        }
        _ => {
            let (on, ms) = (draw.one(&[Role::Node, Role::Client]), draw.between(50, 150));
            vec![Rule::new(
                Call::Send,
                on,
                draw.between(20, 60),
                Does::HeldUp(ms),
            )]
        }
    };
    (rules, Vec::new())
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
fn client(number: u64, seed: u64, address: SocketAddr, router: &str, record: &Record) {
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
fn watch(node: &Node, name: &str, record: &Record) {
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

/// One play: the kinds of fault that struck, by number of strikes, and what was broken.
#[allow(
    clippy::too_many_lines,
    reason = "one scenario, told in the order in which it happens"
)]
fn play(seed: u64) -> (BTreeMap<usize, u64>, Vec<String>) {
    let mut draw = Draw::new(seed);
    let routers = if draw.below(8) == 0 { 5 } else { 1 };
    let mut kinds: Vec<usize> = (0..KINDS.len()).collect();
    while kinds.len() > 2 + draw.below(2) as usize {
        kinds.remove(draw.below(kinds.len() as u64) as usize);
    }
    let (mut rules, mut steps, mut of_kind) = (Vec::new(), Vec::new(), Vec::new());
    for kind in &kinds {
        let (more, step) = fault(*kind, &mut draw);
        of_kind.extend(more.iter().map(|_| *kind));
        rules.extend(more);
        steps.extend(step);
    }
    // How many nodes hang, from when on.
    let (hangs, hang_at) = (draw.one(&[0, 1, 1, 3]), draw.between(400, 1800));
    let outage = (draw.below(2) == 0).then(|| draw.between(200, 1500));
    let drains = (draw.below(2) == 0).then(|| draw.between(100, 1000));
    let stop = (draw.below(4) > 0).then(|| draw.between(600, 1600));
    let said = format!("seed {seed}: {routers} routers, {hangs} hang at {hang_at}, discovery down {outage:?}, drains {drains:?}, stop {stop:?}, {rules:?}, {steps:?}");
    let settings = SETTINGS.replace(
        "\"deadline\":3000000",
        &format!("\"deadline\":{}", LONGEST * 1000),
    );

    let record = Record {
        began: Instant::now(),
        events: Arc::default(),
    };
    let nodes: Vec<Node> = (0..3).map(|_| Node::start([Act::Serve; 2])).collect();
    nodes
        .iter()
        .enumerate()
        .for_each(|(at, node)| watch(node, &format!("s{at}"), &record));
    let listed = |status: &str| {
        let of = |at: usize| {
            entry(
                &format!("s{at}"),
                nodes[at].address,
                if at == 1 { status } else { "Ready" },
            )
        };
        [of(0), of(1), of(2)].join(",")
    };
    let (ready, draining) = (listed("Ready"), listed("Terminating"));
    let discovery = Discovery::default();
    discovery.set(|roster| roster.version = 1);
    let address = discovery.start();
    let plan = Plan {
        seed,
        rules: rules.clone(),
        steps,
        ..Plan::default()
    };
    let mut all: Vec<Faulty> = (0..routers)
        .map(|_| {
            Faulty::with(
                &settings,
                Vec::new(),
                discovery.clone(),
                address,
                &ready,
                &plan,
            )
        })
        .collect();
    let acts: Vec<Arc<Mutex<[Act; 2]>>> = nodes
        .iter()
        .rev()
        .take(hangs)
        .map(|node| Arc::clone(&node.acts))
        .collect();
    let began = Instant::now();
    thread::scope(|scope| {
        for (at, of) in all.iter().enumerate() {
            for number in 0..5 {
                let (record, address) = (record.clone(), of.router.address);
                scope.spawn(move || client(number, seed, address, &format!("n{at}"), &record));
            }
        }
        let until =
            |ms: u64| thread::sleep(Duration::from_millis(ms).saturating_sub(began.elapsed()));
        let (writes, discovery) = (record.clone(), discovery.clone());
        scope.spawn(move || {
            until(hang_at);
            for acts in acts {
                *acts
                    .lock()
                    .expect("no test thread panicked with the lock held") = [Act::Silent; 2];
            }
        });
        scope.spawn(move || {
            let mut due: Vec<(u64, u8)> = Vec::new();
            due.extend(outage.iter().flat_map(|at| [(*at, 0), (at + 800, 1)]));
            due.extend(drains.iter().map(|at| (*at, 2)));
            due.sort_unstable();
            for (at, what) in due {
                until(at);
                match what {
                    0 => discovery.set(|roster| roster.down = true),
                    1 => discovery.set(|roster| roster.down = false),
                    _ => discovery
                        .set(|roster| (roster.version, roster.changes) = (2, draining.clone())),
                }
            }
            // Told from when it can be reached.
            if let Some(at) = drains {
                let from = outage
                    .filter(|of| (*of..of + 800).contains(&at))
                    .map_or(at, |of| of + 800);
                until(from);
                writes.saw(Saw::Drains { node: "s1".into() });
            }
        });
        if let Some(at) = stop {
            until(at);
            for (number, of) in all.iter_mut().enumerate() {
                record_stop(of, &format!("n{number}"), scope, &record);
            }
        }
    });
    let log: String = all.iter().map(Faulty::log).collect();
    let mut strikes: BTreeMap<usize, u64> = kinds.iter().map(|kind| (*kind, 0)).collect();
    for of in &all {
        for (rule, kind) in of_kind.iter().enumerate() {
            *strikes.entry(*kind).or_default() += of.strikes.of(rule);
        }
    }
    // A step always comes.
    strikes.entry(6).and_modify(|count| *count = 1);
    let events = record
        .events
        .lock()
        .expect("no test thread panicked with the lock held");
    // A write that is held up begins its attempt so much later than it was decided: nobody can look in between.
    let held = rules.iter().filter_map(|rule| match rule.effect {
        Does::HeldUp(ms) => Some(ms * 1000),
        _ => None,
    });
    let terms = Terms::default();
    let terms = Terms {
        gone: terms.gone + held.max().unwrap_or(0),
        ..terms
    };
    let mut breaks: Vec<String> = check(&events, terms)
        .iter()
        .map(|of| format!("{of:?}"))
        .collect();
    if log.contains("panicked") {
        breaks.push("a process panicked".into());
    }
    let sent = events
        .iter()
        .filter(|(_, saw)| matches!(saw, Saw::Sent { .. }))
        .count();
    let whole = events
        .iter()
        .filter(|(_, saw)| matches!(saw, Saw::Answered { status: 200, .. }))
        .count();
    println!(
        "seed {seed}: {sent} sent, {whole} whole, strikes {strikes:?}, {} breaks",
        breaks.len()
    );
    if !breaks.is_empty() {
        println!("{said}\n{breaks:?}\n{log}");
        let ids: Vec<&str> = breaks
            .iter()
            .filter_map(|of| of.split('"').nth(1))
            .collect();
        for (at, saw) in events.iter().filter(|(_, saw)| {
            ids.iter()
                .any(|id| format!("{saw:?}").contains(&format!("\"{id}\"")))
        }) {
            println!("{at} {saw:?}");
        }
        for (at, saw) in events
            .iter()
            .filter(|(_, saw)| matches!(saw, Saw::ToldToEnd { .. } | Saw::Killed { .. }))
        {
            println!("{at} {saw:?}");
        }
    }
    (strikes, breaks)
}

/// Tells a process to end, and kills it as early as the protocol allows.
fn record_stop<'scope>(
    of: &'scope mut Faulty,
    name: &str,
    scope: &'scope thread::Scope<'scope, '_>,
    record: &Record,
) {
    let (name, record) = (name.to_owned(), record.clone());
    record.saw(Saw::ToldToEnd {
        router: name.clone(),
    });
    of.router.signal("-TERM");
    let told = Instant::now();
    scope.spawn(move || {
        while told.elapsed() < KILL {
            if of.router.child.try_wait().expect("a child").is_some() {
                return;
            }
            thread::sleep(2 * MS);
        }
        record.saw(Saw::Killed { router: name });
        of.router.child.kill().expect("killed");
    });
}

/// Plays some seeds, a few at a time; every kind of fault that was drawn has to have struck, and no rule may be broken.
fn plays(seeds: std::ops::Range<u64>, abreast: usize) {
    let (next, results) = (Mutex::new(seeds.clone()), Mutex::new(Vec::new()));
    thread::scope(|scope| {
        for _ in 0..abreast {
            scope.spawn(|| loop {
                let Some(seed) = next
                    .lock()
                    .expect("no test thread panicked with the lock held")
                    .next()
                else {
                    return;
                };
                let (strikes, breaks) = play(seed);
                results
                    .lock()
                    .expect("no test thread panicked with the lock held")
                    .push((seed, strikes, breaks));
            });
        }
    });
    let results = results
        .into_inner()
        .expect("no test thread panicked with the lock held");
    let mut by_kind: BTreeMap<usize, (usize, usize, u64)> = BTreeMap::new();
    for (_, strikes, breaks) in &results {
        for (kind, count) in strikes {
            let of = by_kind.entry(*kind).or_default();
            *of = (
                of.0 + 1,
                of.1 + usize::from(!breaks.is_empty()),
                of.2 + count,
            );
        }
    }
    for (kind, (drawn, broken, struck)) in &by_kind {
        println!("| {} | {drawn} | {struck} | {broken} |", KINDS[*kind]);
    }
    let broken: Vec<u64> = results
        .iter()
        .filter(|of| !of.2.is_empty())
        .map(|of| of.0)
        .collect();
    assert!(broken.is_empty(), "seeds with broken rules: {broken:?}");
    let idle: Vec<&str> = by_kind
        .iter()
        .filter(|of| of.1 .2 == 0)
        .map(|of| KINDS[*of.0])
        .collect();
    assert!(idle.is_empty(), "faults that never struck: {idle:?}");
    assert_eq!(results.len() as u64, seeds.end - seeds.start);
}

#[test]
fn no_rule_is_broken_under_faults_drawn_by_a_few_seeds() {
    plays(1..13, 4);
}

#[test]
#[ignore = "long: by command, with DRAWN=1..101"]
fn no_rule_is_broken_under_faults_drawn_by_many_seeds() {
    let range = std::env::var("DRAWN").unwrap_or_else(|_| "1..101".into());
    let (from, to) = range.split_once("..").expect("DRAWN=FROM..TO");
    plays(
        from.parse().expect("a number")..to.parse().expect("a number"),
        6,
    );
}
