//! A wall clock that reads another time than discovery's.

use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use ternpick_fault_injection::Plan;
use test_case::test_case;

use crate::common::cold::{overrun, RAMP};
use crate::common::faulty::Faulty;
use crate::common::*;
use crate::support::*;

const HOUR: i64 = 3_600_000;

/// A node that starts while the router's wall clock reads another time than discovery's: the cold node gets what it bears, from the
/// first moment, and is warm when its time is over.
#[test_case(0, false; "the clocks agree")]
#[test_case(HOUR, false; "an hour ahead")]
#[test_case(-HOUR, false; "an hour behind")]
#[test_case(8000, false; "some seconds ahead")]
#[test_case(HOUR, true; "an hour ahead, and it started before the router")]
#[test_case(-HOUR, true; "an hour behind, and it started before the router")]
#[allow(
    clippy::too_many_lines,
    reason = "one scenario, told in the order in which it happens"
)]
fn a_cold_node_is_known_to_be_cold_whatever_the_wall_clock_reads(by_ms: i64, before: bool) {
    let settings = SETTINGS
        .replace(r#""rules":{"#, RAMP)
        .replace(r#""positions":1"#, r#""positions":2"#);
    let nodes = vec![Node::start([Act::Serve; 2]), Node::start([Act::Serve; 2])];
    let addresses = [nodes[0].address, nodes[1].address];
    let listed = |at: usize, since: u128| {
        let entry = entry(&format!("s{at}"), addresses[at], "Ready");
        entry
            .replace(r#""group":0"#, &format!(r#""group":{at}"#))
            .replace(r#""since_ms":0"#, &format!(r#""since_ms":{since}"#))
    };
    let unix = || {
        let unix = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        unix.expect("a time").as_millis()
    };
    let discovery = Discovery::default();
    discovery.set(|roster| roster.version = 1);
    let address = discovery.start();
    let (mut started, mut since) = (Instant::now(), unix());
    let known = if before {
        [listed(0, 0), listed(1, since)].join(",")
    } else {
        listed(0, 0)
    };
    let steps = vec![ternpick_fault_injection::Step { at_ms: 0, by_ms }];
    let of = Faulty::with(
        &settings,
        nodes,
        discovery,
        address,
        &known,
        &Plan {
            steps,
            ..plan(Vec::new())
        },
    );
    of.discovery.wait_until(|roster| roster.asked == 1);
    if !before {
        (started, since) = (Instant::now(), unix());
    }
    let sent = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    let into = sent.clone();
    of.nodes[1].watch(Some(std::sync::Arc::new(move |letter, _: &str| {
        if letter == 'q' {
            into.lock()
                .expect("no test thread panicked with the lock held")
                .push(started.elapsed());
        }
    })));
    of.discovery.set(|roster| {
        (roster.version, roster.changes) = (2, [listed(0, 0), listed(1, since)].join(","))
    });
    let address = of.router.address;
    thread::scope(|scope| {
        for client in 0..8 {
            scope.spawn(move || {
                for number in 0.. {
                    if started.elapsed() > 8500 * MS {
                        return;
                    }
                    let parts = r#"{"tablet":1,"fraction":1,"guess":100000}"#;
                    let text = request_of("whole", &format!("c{client}x{number}"), parts);
                    let mut stream = TcpStream::connect(address).expect("a connection");
                    std::io::Write::write_all(&mut stream, text.as_bytes()).expect("written");
                    answer(&mut stream);
                    thread::sleep(10 * MS);
                }
            });
        }
    });
    let sent = sent
        .lock()
        .expect("no test thread panicked with the lock held");
    // While it is cold; each window of a second that begins and ends in that time.
    let cold: Vec<Duration> = sent.iter().copied().filter(|at| *at < 6000 * MS).collect();
    assert_eq!(overrun(&cold), None);
    let warm = sent.iter().filter(|at| **at > 7000 * MS).count();
    assert!(
        cold.len() >= 10 && warm > 60,
        "{} while cold, {warm} in 1.5 s once warm",
        cold.len()
    );
}
