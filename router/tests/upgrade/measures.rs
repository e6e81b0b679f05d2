//! Measurements, run by hand.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::Instant;

use crate::common::{self, Act, BOUND};
use crate::support::{Ends, Upgradable, COLD, MS};
use hdrhistogram::Histogram;

/// The first ten seconds after a change of process, with a node that hangs and one that is cold: the share of lookups that
/// are answered within their soft deadline. A measurement of half a minute.
#[test]
#[ignore = "a measurement"]
#[allow(
    clippy::too_many_lines,
    reason = "one scenario, told in the order in which it happens"
)]
fn the_first_seconds_after_an_upgrade_and_after_a_restart() {
    println!("| change | lookups | in time | late | turned away | failed | no connection | p50, ms | p99 | p99.9 | most |");
    for (word, restart) in [
        ("none", None),
        ("upgrade", Some(false)),
        ("restart", Some(true)),
    ] {
        let settings = common::SETTINGS.replace(r#""rules":{"#, COLD);
        let acts = [Act::Serve, Act::Serve, Act::Serve, Act::Silent, Act::Serve];
        let mut of = Upgradable::start_on(&acts, "", &settings, |at, entry| {
            let now = std::time::SystemTime::now()
                .duration_since(std::time::UNIX_EPOCH)
                .expect("a time")
                .as_millis();
            entry.replace(
                r#""since_ms":0"#,
                &format!(r#""since_ms":{}"#, if at == 4 { now } else { 0 }),
            )
        });
        let (address, pid) = (of.router.address, of.router.child.id().to_string());
        let (config, settings) = (
            of.router.config.clone(),
            of.folder.path().join("settings.cue"),
        );
        let counts: Mutex<BTreeMap<&str, u64>> = Mutex::default();
        let times = Mutex::new(Histogram::<u64>::new(3).expect("a histogram"));
        let (stop, counting) = (AtomicBool::new(false), AtomicBool::new(false));
        thread::scope(|scope| {
            for client in 0..8 {
                let (counts, times, stop, counting) = (&counts, &times, &stop, &counting);
                scope.spawn(move || {
                    let began = Instant::now();
                    for number in 0u32.. {
                        let due = began + 40 * MS * number;
                        if let Some(wait) = due.checked_duration_since(Instant::now()) {
                            thread::sleep(wait);
                        }
                        if stop.load(Ordering::Relaxed) {
                            return;
                        }
                        let counted = counting.load(Ordering::Relaxed);
                        let mut outcome = "no connection";
                        if let Ok(mut stream) = TcpStream::connect(address) {
                            let _ = stream.set_read_timeout(Some(BOUND));
                            let parts = r#"{"tablet":0,"fraction":0.5,"guess":100000},{"tablet":1,"fraction":0.5,"guess":100000}"#;
                            let text = common::request_of("whole", &format!("m{client}x{number}"), parts);
                            let mut first = [0; 1];
                            if stream.write_all(text.as_bytes()).is_ok() && stream.peek(&mut first).is_ok_and(|n| n > 0) {
                                outcome = match common::answer(&mut stream).0 {
                                    200 if due.elapsed() <= 600 * MS => "in time",
                                    200 => "late",
                                    503 => "turned away",
                                    _ => "failed",
                                };
                            }
                        }
                        if counted {
                            *counts.lock().expect("no test thread panicked with the lock held").entry(outcome).or_default() += 1;
                            times.lock().expect("no test thread panicked with the lock held").record(due.elapsed().as_micros() as u64).expect("recorded");
                        }
                    }
                });
            }
            let _ends = Ends(&stop);
            thread::sleep(5000 * MS);
            counting.store(true, Ordering::Relaxed);
            match restart {
                None => {}
                Some(false) => assert!(of.upgrade(&[]).0),
                Some(true) => {
                    let _ = Command::new("kill").args(["-TERM", &pid]).output();
                    let _ = of.router.child.wait();
                    let mut command = Command::new(env!("CARGO_BIN_EXE_ternpick"));
                    command
                        .args(["serve", "--config"])
                        .arg(&config)
                        .arg("--settings")
                        .arg(&settings);
                    of.router.child = command.env("RUST_LOG", "off").spawn().expect("it starts");
                }
            }
            thread::sleep(10_000 * MS);
        });
        let counts = counts
            .into_inner()
            .expect("no test thread panicked with the lock held");
        let of = |name: &str| counts.get(name).copied().unwrap_or(0);
        let all: u64 = counts.values().sum();
        let times = times
            .into_inner()
            .expect("no test thread panicked with the lock held");
        let at = |q| times.value_at_quantile(q) as f64 / 1000.0;
        println!(
            "| {word} | {all} | {} | {} | {} | {} | {} | {:.1} | {:.1} | {:.1} | {:.1} |",
            of("in time"),
            of("late"),
            of("turned away"),
            of("failed"),
            of("no connection"),
            at(0.5),
            at(0.99),
            at(0.999),
            at(1.0)
        );
    }
}
