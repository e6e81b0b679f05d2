//! Upgrades under load, some of which fail on purpose.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::common::{self, request, Act, BOUND};
use crate::support::{standin, Ends, Upgradable, MS};
use hdrhistogram::Histogram;

/// What clients and nodes have seen.
#[derive(Default)]
struct Seen {
    asked: AtomicU64,
    answers: Mutex<BTreeMap<u16, u64>>,
    lost: Mutex<Vec<String>>,
    again: AtomicU64,
    gap: Mutex<Duration>,
}

/// One lookup, to its one answer. As the protocol has it, a request that crosses the close of a kept connection is sent
/// once more on a new one.
fn one(address: SocketAddr, stream: &mut Option<TcpStream>, seen: &Seen, id: &str) {
    for again in 0..2 {
        let kept = stream.is_some();
        let began = Instant::now();
        let Ok(mut open) = stream
            .take()
            .map_or_else(|| TcpStream::connect(address), Ok)
        else {
            continue;
        };
        let _ = open.set_read_timeout(Some(BOUND));
        let _ = open.set_nodelay(true);
        let asked = open.write_all(request("half", id).as_bytes());
        let mut first = [0; 1];
        if asked.is_ok() && open.peek(&mut first).is_ok_and(|count| count > 0) {
            let (status, head, _) = common::answer(&mut open);
            *seen
                .answers
                .lock()
                .expect("no test thread panicked with the lock held")
                .entry(status)
                .or_default() += 1;
            if !kept {
                let mut gap = seen
                    .gap
                    .lock()
                    .expect("no test thread panicked with the lock held");
                *gap = gap.max(began.elapsed());
            }
            *stream = (!head.contains("Connection: close")).then_some(open);
            return;
        }
        if !kept || again == 1 {
            break;
        }
        seen.again.fetch_add(1, Ordering::Relaxed);
    }
    seen.lost
        .lock()
        .expect("no test thread panicked with the lock held")
        .push(id.to_owned());
}

/// Processes that run on a configuration, and the descriptors and resident KiB of all of them.
fn sampled_processes(config: &str) -> [u64; 3] {
    let mut seen = [0; 3];
    for entry in std::fs::read_dir("/proc").into_iter().flatten().flatten() {
        let path = entry.path();
        let command = std::fs::read(path.join("cmdline")).unwrap_or_default();
        let command = String::from_utf8_lossy(&command);
        if !command.contains(config) || command.contains("upgrade\0") {
            continue;
        }
        let status = std::fs::read_to_string(path.join("status")).unwrap_or_default();
        let rss = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:")?.trim().strip_suffix(" kB"));
        let fds = std::fs::read_dir(path.join("fd")).map_or(0, |of| of.count() as u64);
        let kib = rss.and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        seen.iter_mut()
            .zip([1, fds, kib])
            .for_each(|(sum, own)| *sum += own);
    }
    seen
}

#[allow(
    clippy::too_many_lines,
    reason = "one scenario, told in the order in which it happens"
)]
fn under_load(upgrades: usize, failing: usize) {
    let of = Upgradable::start(&[Act::Serve, Act::Serve, Act::Serve], "");
    let (seen, stop) = (Seen::default(), AtomicBool::new(false));
    let steady = Mutex::new(Histogram::<u64>::new(3).expect("a histogram"));
    let during = Mutex::new(Histogram::<u64>::new(3).expect("a histogram"));
    let upgrading = AtomicBool::new(false);
    let (mut good, mut bad, mut steps) = (0, 0, Vec::new());
    let hows = [
        "die:1",
        "die:3",
        "garbage:2",
        "die:4",
        "die:5",
        "version:0",
        "die:2",
        "half:3",
    ];
    let highest = Mutex::new([0; 3]);
    thread::scope(|scope| {
        let (program, config) = (&highest, of.router.config.display().to_string());
        let sampled = &stop;
        scope.spawn(move || {
            while !sampled.load(Ordering::Relaxed) {
                let now = sampled_processes(&config);
                program
                    .lock()
                    .expect("no test thread panicked with the lock held")
                    .iter_mut()
                    .zip(now)
                    .for_each(|(most, now)| *most = now.max(*most));
                thread::sleep(4 * MS);
            }
        });
        for client in 0..6 {
            let (of, seen, stop, steady, during, upgrading) =
                (&of, &seen, &stop, &steady, &during, &upgrading);
            scope.spawn(move || {
                let (mut stream, mut number, began) = (None, 0u64, Instant::now());
                let gap = if client == 5 { MS } else { 4 * MS };
                while !stop.load(Ordering::Relaxed) {
                    // Open loop: a lookup is due every 4 ms, the last client's every 1 ms; its time counts from then.
                    let due = began + gap * number as u32;
                    if let Some(wait) = due.checked_duration_since(Instant::now()) {
                        thread::sleep(wait);
                    }
                    number += 1;
                    // The last client connects anew for each.
                    if client == 5 || number.is_multiple_of(16) {
                        stream = None;
                    }
                    let when = upgrading.load(Ordering::Relaxed);
                    seen.asked.fetch_add(1, Ordering::Relaxed);
                    one(
                        of.router.address,
                        &mut stream,
                        seen,
                        &format!("l{client}x{number}"),
                    );
                    let when = when || upgrading.load(Ordering::Relaxed);
                    let took = due.elapsed().as_micros() as u64;
                    let mut to = if when { during } else { steady }
                        .lock()
                        .expect("no test thread panicked with the lock held");
                    to.record(took).expect("recorded");
                }
            });
        }
        let _ends = Ends(&stop);
        thread::sleep(500 * MS);
        for at in 0..upgrades {
            let fails = at * failing / upgrades != (at + 1) * failing / upgrades;
            upgrading.store(true, Ordering::Relaxed);
            let began = Instant::now();
            let (done, text) = if fails {
                of.upgrade(&["--program", &standin(&of, hows[bad % hows.len()])])
            } else {
                of.upgrade(&[])
            };
            assert_eq!(done, !fails, "{text}");
            if done {
                steps.push((began.elapsed(), text));
            }
            of.settled();
            thread::sleep(50 * MS);
            upgrading.store(false, Ordering::Relaxed);
            (good, bad) = (good + usize::from(done), bad + usize::from(fails));
            thread::sleep(150 * MS);
        }
    });
    // From the nodes' side: how often each part was asked for.
    let mut parts: BTreeMap<String, usize> = BTreeMap::new();
    for node in &of.nodes {
        for (letter, rest) in node
            .frames
            .lock()
            .expect("no test thread panicked with the lock held")
            .try_iter()
        {
            for line in rest.split("find").filter(|_| letter == 'q') {
                if let Some((id, _)) = line.split_once(' ') {
                    *parts.entry(id.to_owned()).or_default() += 1;
                }
            }
        }
    }
    let most = parts.values().max().copied().unwrap_or(0);
    let twice = parts.values().filter(|count| **count > 1).count();
    let (asked, answers) = (
        seen.asked.load(Ordering::Relaxed),
        seen.answers
            .lock()
            .expect("no test thread panicked with the lock held")
            .clone(),
    );
    println!("| upgrades | failed on purpose | lookups | answers by status | lost | sent once more | parts | sent more than once | most sends | longest connect and answer, ms |");
    println!(
        "| {good} | {bad} | {asked} | {answers:?} | {} | {} | {} | {twice} | {most} | {:.1} |",
        seen.lost
            .lock()
            .expect("no test thread panicked with the lock held")
            .len(),
        seen.again.load(Ordering::Relaxed),
        parts.len(),
        seen.gap
            .lock()
            .expect("no test thread panicked with the lock held")
            .as_secs_f64()
            * 1e3
    );
    for (name, of) in [("steady", &steady), ("during upgrades", &during)] {
        let of = of
            .lock()
            .expect("no test thread panicked with the lock held");
        let at = |q| of.value_at_quantile(q) as f64 / 1000.0;
        println!(
            "| {name} | {} | p50 {:.2} ms | p99 {:.2} ms | p99.9 {:.2} ms | most {:.2} ms |",
            of.len(),
            at(0.5),
            at(0.99),
            at(0.999),
            of.max() as f64 / 1000.0
        );
    }
    steps.sort_by_key(|(took, _)| *took);
    if let Some((took, text)) = steps.get(steps.len() / 2) {
        println!(
            "middle upgrade {:.0} ms:\n{text}at the highest: {:?} processes, descriptors and KiB of them together",
            took.as_secs_f64() * 1e3,
            highest.lock().expect("no test thread panicked with the lock held")
        );
    }
    assert_eq!(
        *seen
            .lost
            .lock()
            .expect("no test thread panicked with the lock held"),
        Vec::<String>::new()
    );
    assert_eq!(answers.values().sum::<u64>(), asked, "one answer each");
    assert_eq!(
        answers.keys().copied().collect::<Vec<u16>>(),
        [200],
        "{answers:?}"
    );
    assert!(most <= 3, "within what the index allows");
}

#[test]
fn ten_upgrades_under_load_lose_no_lookup() {
    let number = |name: &str, otherwise: usize| {
        std::env::var(name)
            .ok()
            .and_then(|text| text.parse().ok())
            .unwrap_or(otherwise)
    };
    under_load(number("UPGRADES", 10), number("UPGRADES_FAILING", 4));
}
