//! A router whose wall clock differs from discovery's.

use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use ternpick_fault_injection::Plan;
use test_case::test_case;

use crate::common::cold::{overrun, RAMP};
use crate::common::faulty::Faulty;
use crate::common::*;
use crate::support::*;

const HOUR_MS: i64 = 3_600_000;

/// A node starts while the router's wall clock differs from discovery's. From its first moment the warming up node
/// gets no more load than slow start allows, and it gets full load once slow start is over.
#[test_case(0, false; "the clocks agree")]
#[test_case(HOUR_MS, false; "an hour ahead")]
#[test_case(-HOUR_MS, false; "an hour behind")]
#[test_case(8000, false; "eight seconds ahead")]
#[test_case(HOUR_MS, true; "an hour ahead, node started before the router")]
#[test_case(-HOUR_MS, true; "an hour behind, node started before the router")]
#[allow(
    clippy::too_many_lines,
    reason = "one scenario, in chronological order"
)]
fn slow_start_limits_a_new_node_whatever_the_wall_clock_shows(
    clock_offset_ms: i64,
    starts_before_router: bool,
) {
    let settings = SETTINGS
        .replace(r#""rules":{"#, RAMP)
        .replace(r#""positions":1"#, r#""positions":2"#);
    let nodes = vec![Node::start([Act::Serve; 2]), Node::start([Act::Serve; 2])];
    let addresses = [nodes[0].address, nodes[1].address];
    let listed = |index: usize, since_ms: u128| {
        let entry = entry(&format!("s{index}"), addresses[index], "Ready");
        entry
            .replace(r#""group":0"#, &format!(r#""group":{index}"#))
            .replace(r#""since_ms":0"#, &format!(r#""since_ms":{since_ms}"#))
    };
    let unix_ms = || {
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        since_epoch.expect("a time").as_millis()
    };
    let discovery = Discovery::default();
    discovery.set(|roster| roster.version = 1);
    let address = discovery.start();
    let (mut started, mut since_ms) = (Instant::now(), unix_ms());
    let known = if starts_before_router {
        [listed(0, 0), listed(1, since_ms)].join(",")
    } else {
        listed(0, 0)
    };
    let steps = vec![ternpick_fault_injection::Step {
        at_ms: 0,
        by_ms: clock_offset_ms,
    }];
    let faulty = Faulty::with(
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
    faulty.discovery.wait_until(|roster| roster.asked == 1);
    if !starts_before_router {
        (started, since_ms) = (Instant::now(), unix_ms());
    }
    let sent = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    let into = sent.clone();
    faulty.nodes[1].watch(Some(std::sync::Arc::new(move |letter, _: &str| {
        if letter == 'q' {
            into.lock()
                .expect("no test thread panicked with the lock held")
                .push(started.elapsed());
        }
    })));
    faulty.discovery.set(|roster| {
        (roster.version, roster.changes) = (2, [listed(0, 0), listed(1, since_ms)].join(","))
    });
    let address = faulty.router.address;
    thread::scope(|scope| {
        for client in 0..8 {
            scope.spawn(move || {
                for number in 0.. {
                    if started.elapsed() > 8500 * MS {
                        return;
                    }
                    let shards = r#"{"tablet":1,"fraction":1,"guess":100000}"#;
                    let text = request_of("whole", &format!("c{client}x{number}"), shards);
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
    // Slow start takes 6 s; the limit applies to each window of a second within that time.
    let cold: Vec<Duration> = sent.iter().copied().filter(|at| *at < 6000 * MS).collect();
    assert_eq!(overrun(&cold), None);
    let warm = sent.iter().filter(|at| **at > 7000 * MS).count();
    assert!(
        cold.len() >= 10 && warm > 60,
        "{} frames during slow start, {warm} in the 1.5 s after it",
        cold.len()
    );
}
