//! The load on a cold node from all router processes together.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use test_case::test_case;

use crate::common::cold::{overrun, RAMP};
use crate::common::*;
use crate::support::*;

// Term 3: a cold node must not be overloaded by the sum of what all router processes send.

/// At its start the node bears 4 shard requests, so 10 within a second are accepted and 11 are too many. One second later, or
/// spread over a longer time, 11 are accepted.
#[test]
fn overrun_finds_a_second_with_too_many_shard_requests() {
    let at = |from: u64, count: u64, apart: u64| -> Vec<Duration> {
        (0..count)
            .map(|number| Duration::from_millis(from + number * apart))
            .collect()
    };
    assert_eq!(overrun(&at(0, 10, 1)), None);
    assert_eq!(
        overrun(&at(0, 11, 1)).map(|(first, count, _)| (first, count)),
        Some((Duration::ZERO, 11))
    );
    assert_eq!(
        (overrun(&at(1000, 11, 1)), overrun(&at(0, 11, 200))),
        (None, None)
    );
}

/// The cold node is the only replica of its shard, and each router gets far more queries than it may send there. The routers
/// learn of its start late and all at once, and some are restarted within the window. Part of the node's capacity must be used,
/// and no window may be overrun.
#[test_case(20)]
#[test_case(30)]
#[allow(
    clippy::too_many_lines,
    reason = "one scenario, in the order in which it happens"
)]
fn the_sum_of_all_routers_shard_requests_does_not_overrun_a_cold_node(processes: usize) {
    let settings = SETTINGS
        .replace(r#""rules":{"#, RAMP)
        .replace(r#""positions":1"#, r#""positions":2"#)
        .replace(r#""balancers":1"#, &format!(r#""balancers":{processes}"#));
    let nodes = [Node::start([Act::Serve; 2]), Node::start([Act::Serve; 2])];
    let listed = |at: usize, since: u128| {
        let since = format!(r#""since_ms":{since}"#);
        let entry = entry(&format!("s{at}"), nodes[at].address, "Ready");
        entry
            .replace(r#""group":0"#, &format!(r#""group":{at}"#))
            .replace(r#""since_ms":0"#, &since)
    };
    let (discovery, known) = (Discovery::default(), listed(0, 0));
    discovery.set(|roster| roster.version = 1);
    let address = discovery.start();
    // Each router gets a random seed of its own, as far apart as those of the platform.
    let seed = |at: usize| at.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let start = |at| Router::start_seeded(seed(at), address, &known, 256, 4, &settings, |_| ());
    let mut routers: Vec<Router> = (0..processes).map(start).collect();
    let record = Record::of(&nodes[1..]);
    let (started, unix) = (Instant::now(), std::time::SystemTime::now());
    let unix = unix
        .duration_since(std::time::UNIX_EPOCH)
        .expect("a time")
        .as_millis();
    thread::sleep(1500 * MS);
    let changes = [listed(0, 0), listed(1, unix)].join(",");
    discovery.set(|roster| (roster.version, roster.changes) = (2, changes));
    let addresses: Vec<_> = routers.iter().map(|router| router.address).collect();
    let ends = started + Duration::from_secs(5);
    thread::scope(|scope| {
        for (client, address) in addresses.into_iter().enumerate() {
            scope.spawn(move || {
                for number in 0.. {
                    if Instant::now() > ends {
                        return;
                    }
                    let parts = r#"{"tablet":1,"fraction":1,"guess":100000}"#;
                    let text = request_of("whole", &format!("c{client}x{number}"), parts);
                    // A router that is being restarted refuses the connection.
                    if let Ok(mut stream) = TcpStream::connect(address) {
                        let _ = stream.set_read_timeout(Some(BOUND));
                        let _ = stream
                            .write_all(text.as_bytes())
                            .and_then(|()| stream.read(&mut [0; 512]));
                    }
                    thread::sleep(20 * MS);
                }
            });
        }
        thread::sleep(400 * MS);
        for router in routers.iter_mut().take(processes / 2) {
            router.signal("-KILL");
            router.child.wait().expect("it ends");
            router.again();
        }
    });
    let calls = record
        .0
        .lock()
        .expect("no test thread panicked with the lock held");
    let sent: Vec<Duration> = calls
        .iter()
        .filter(|call| call.1 == 'q')
        .map(|call| call.0 - started)
        .collect();
    assert_eq!(overrun(&sent), None);
    assert!(
        sent.len() >= 10,
        "the cold node got only {} shard requests, expected at least 10",
        sent.len()
    );
}
