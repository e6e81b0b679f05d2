//! A router with scripted nodes, and what its clients are served.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;

use crate::common::scripted::{self, Call, Record, Script, Step};
use crate::common::*;

/// A router and two nodes that hold the same shards and follow one script.
pub(crate) struct Scripted {
    pub(crate) router: Router,
    record: Arc<Record>,
    _discovery: Discovery,
}

/// What a client got for a query.
pub(crate) struct Served {
    pub(crate) status: u16,
    /// The values by shard; empty unless the status is 200.
    pub(crate) values: Vec<(u32, String)>,
}

impl Scripted {
    pub(crate) fn start(
        settings: &str,
        script: impl Fn(&Call) -> Vec<Step> + Send + Sync + 'static,
    ) -> Scripted {
        let record = Arc::<Record>::default();
        let script: Arc<Script> = Arc::new(script);
        let listed = ["s0", "s1"].map(|name| {
            let address = scripted::start(&record, &script);
            entry(name, address, "Ready")
        });
        let discovery = Discovery::default();
        let router = Router::start_with(
            discovery.start(),
            &listed.join(","),
            1024,
            192,
            settings,
            |_| (),
        );
        Scripted {
            router,
            record,
            _discovery: discovery,
        }
    }

    /// How many attempts nodes have read of a shard request.
    pub(crate) fn attempts_of(&self, id: &str) -> u32 {
        let attempts = self.record.attempts.lock().expect("no thread panicked");
        attempts.get(id).copied().unwrap_or_default()
    }

    /// Whether this machine held up a node's response to a part of a query, so that the response shows nothing.
    pub(crate) fn was_held_up(&self, id: &str) -> bool {
        let held_up = self.record.held_up.lock().expect("no thread panicked");
        held_up
            .iter()
            .any(|part| part.starts_with(&format!("{id}.")))
    }
}

/// The value that a sound node returns for a shard request.
pub(crate) fn value_of(id: &str) -> String {
    let hash = id.bytes().fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    format!("{hash:016x}")
}

/// Sends a query of equal parts, and reads its final answer.
pub(crate) fn query(client: &mut TcpStream, index: &str, id: &str, shards: u32) -> Served {
    let fraction = 1.0 / f64::from(shards);
    let parts: Vec<String> = (0..shards)
        .map(|shard| format!(r#"{{"tablet":{shard},"fraction":{fraction}}}"#))
        .collect();
    let text = request_of(index, id, &parts.join(","));
    client.write_all(text.as_bytes()).expect("written");
    let (status, _, body) = answer(client);
    let values = if status == 200 {
        values_in(&body)
    } else {
        Vec::new()
    };
    Served { status, values }
}

fn values_in(body: &str) -> Vec<(u32, String)> {
    let body: serde_json::Value = serde_json::from_str(body).expect("JSON");
    let pieces = body["pieces"].as_array().expect("pieces");
    let value = |piece: &serde_json::Value| {
        let shard = piece["tablet"].as_u64().expect("a shard") as u32;
        (shard, piece["cell"].as_str().expect("a value").to_owned())
    };
    pieces.iter().map(value).collect()
}

/// Asserts that each value is the one that a sound node returns.
pub(crate) fn assert_values(id: &str, served: &Served, context: &str) {
    for (shard, value) in &served.values {
        let part = format!("{id}.{shard}");
        assert_eq!(*value, value_of(&part), "{part}: {context}");
    }
}
