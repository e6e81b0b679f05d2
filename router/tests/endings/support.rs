//! What the tests of endings share: a record of frames, a lookup with a call out, waiting with a bound.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;

pub(crate) const MS: Duration = Duration::from_millis(1);

/// The frames of some nodes as they are read, with their times.
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

    /// Calls that have come after `then`.
    pub(crate) fn calls_after(&self, then: Instant) -> usize {
        self.0
            .lock()
            .expect("no test thread panicked with the lock held")
            .iter()
            .filter(|(at, letter, _)| *letter == 'q' && *at > then)
            .count()
    }

    /// Waits for the first frame of a letter.
    pub(crate) fn wait(&self, wanted: char) {
        let late = Instant::now() + BOUND;
        while !self
            .0
            .lock()
            .expect("no test thread panicked with the lock held")
            .iter()
            .any(|(_, letter, _)| *letter == wanted)
        {
            assert!(Instant::now() < late, "a frame '{wanted}' in time");
            thread::sleep(MS);
        }
    }
}

pub(crate) fn eventually(what: &str, mut is: impl FnMut() -> bool) {
    let late = Instant::now() + BOUND;
    while !is() {
        assert!(Instant::now() < late, "{what} in time");
        thread::sleep(MS);
    }
}

/// A lookup with a call out at one of two nodes that say nothing.
pub(crate) struct InHand {
    pub(crate) router: Router,
    pub(crate) nodes: Vec<Node>,
    pub(crate) record: Record,
    pub(crate) client: TcpStream,
    _discovery: Discovery,
}

pub(crate) fn in_hand(index: &str) -> InHand {
    let (router, nodes, _discovery) = Router::with(&[Act::Silent, Act::Silent]);
    let (record, mut client) = (Record::of(&nodes), router.connect());
    client
        .write_all(request(index, "r").as_bytes())
        .expect("written");
    record.wait('q');
    InHand {
        router,
        nodes,
        record,
        client,
        _discovery,
    }
}

/// Whether the connection ends in order; what comes before its end is passed over.
pub(crate) fn ends_in_order(stream: &mut TcpStream) -> bool {
    stream.read_to_end(&mut Vec::new()).is_ok()
}
