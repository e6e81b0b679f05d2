//! Shared support of these tests: a record of frames, a query in flight, waiting with a time limit.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;

pub(crate) const MS: Duration = Duration::from_millis(1);

/// Records the frames that some nodes read, with their times.
#[derive(Clone, Default)]
pub(crate) struct Record(pub(crate) Arc<Mutex<Vec<(Instant, char, String)>>>);

impl Record {
    pub(crate) fn of(nodes: &[Node]) -> Record {
        let record = Record::default();
        for node in nodes {
            let into = record.clone();
            node.watch(Some(Arc::new(move |letter, rest| {
                into.0
                    .lock()
                    .expect("no test thread panicked with the lock held")
                    .push((Instant::now(), letter, rest.to_owned()));
            })));
        }
        record
    }

    /// Returns the number of shard requests that the nodes received after `then`.
    pub(crate) fn shard_requests_after(&self, then: Instant) -> usize {
        self.0
            .lock()
            .expect("no test thread panicked with the lock held")
            .iter()
            .filter(|(at, letter, _)| *letter == 'q' && *at > then)
            .count()
    }

    /// Waits until a frame with this letter is recorded.
    pub(crate) fn wait(&self, wanted: char) {
        let late = Instant::now() + BOUND;
        while !self
            .0
            .lock()
            .expect("no test thread panicked with the lock held")
            .iter()
            .any(|(_, letter, _)| *letter == wanted)
        {
            assert!(
                Instant::now() < late,
                "no frame '{wanted}' within {BOUND:?}"
            );
            thread::sleep(MS);
        }
    }
}

pub(crate) fn eventually(condition: &str, mut holds: impl FnMut() -> bool) {
    let late = Instant::now() + BOUND;
    while !holds() {
        assert!(Instant::now() < late, "not within {BOUND:?}: {condition}");
        thread::sleep(MS);
    }
}

/// A query with a shard request in flight to one of two nodes that do not answer.
pub(crate) struct QueryInFlight {
    pub(crate) router: Router,
    pub(crate) nodes: Vec<Node>,
    pub(crate) record: Record,
    pub(crate) client: TcpStream,
    _discovery: Discovery,
}

pub(crate) fn query_in_flight(index: &str) -> QueryInFlight {
    let (router, nodes, _discovery) = Router::with(&[Act::Silent, Act::Silent]);
    let (record, mut client) = (Record::of(&nodes), router.connect());
    client
        .write_all(request(index, "r").as_bytes())
        .expect("written");
    record.wait('q');
    QueryInFlight {
        router,
        nodes,
        record,
        client,
        _discovery,
    }
}

/// Returns whether the connection ends without a reset; discards the bytes before its end.
pub(crate) fn ends_in_order(stream: &mut TcpStream) -> bool {
    stream.read_to_end(&mut Vec::new()).is_ok()
}
