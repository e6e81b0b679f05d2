//! Clients in an open loop, each lookup on a connection of its own; what they ask and what came back goes into the history.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use ternpick_history::EventKind;
use ternpick_wire::http::Reader;
use ternpick_wire::ring::Ring;

use super::plan::FleetPlan;
use super::History;

/// A client gives its router so long, and then leaves: longer than the deadline that it names.
const LEAVES: Duration = Duration::from_millis(2500);
const DEADLINE_MS: u64 = 1400;
const ANSWER_BOUND: usize = 1 << 20;
const PARTS: u64 = 4;
/// The indexes, with the least share of each.
const INDEXES: [(&str, f64); 3] = [("half", 0.5), ("whole", 1.0), ("once", 1.0)];

fn request(index: &str, id: &str, first: u64, shards: u64) -> String {
    let part = |at| format!(r#"{{"tablet":{},"fraction":0.25}}"#, (first + at) % shards);
    let parts: Vec<String> = (0..PARTS).map(part).collect();
    let body = format!(r#"{{"tablets":[{}],"statement":"find"}}"#, parts.join(","));
    format!(
        "POST /{index} HTTP/1.1\r\nHost: x\r\nReq-Id: {id}\r\nReq-Deadline-Ms: {DEADLINE_MS}\r\nConnection: close\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// One lookup; none: no answer, and whether nobody had taken it.
fn ask(to: SocketAddr, text: &str) -> Result<Reader, bool> {
    let late = Instant::now() + LEAVES;
    let mut stream = TcpStream::connect_timeout(&to, LEAVES).map_err(|_| true)?;
    let sent = stream
        .set_nodelay(true)
        .and_then(|()| stream.write_all(text.as_bytes()));
    sent.map_err(|_| false)?;
    let (mut reader, mut input, mut bytes) = (
        Reader::for_responses(ANSWER_BOUND),
        Ring::new(ANSWER_BOUND),
        [0; 8192],
    );
    loop {
        if reader.read(&mut input).map_err(|_| false)? {
            return Ok(reader);
        }
        let left = late
            .checked_duration_since(Instant::now())
            .filter(|left| !left.is_zero())
            .ok_or(false)?;
        stream.set_read_timeout(Some(left)).map_err(|_| false)?;
        let room = bytes.len().min(input.room());
        match stream.read(&mut bytes[..room]) {
            Ok(count) if count > 0 && input.push(&bytes[..count]) => {}
            _ => return Err(false),
        }
    }
}

fn answered(lookup: String, least: f64, answer: &Reader) -> EventKind {
    let body: serde_json::Value = serde_json::from_slice(answer.body()).unwrap_or_default();
    EventKind::Answered {
        lookup,
        status: answer.status().unwrap_or_default(),
        version: answer
            .header("policy-version")
            .and_then(|version| version.parse().ok()),
        unguarded: answer.header("policy-guard").is_some(),
        parts: body["pieces"]
            .as_array()
            .map_or(0, |pieces| pieces.len() as u64),
        of: PARTS,
        whole: body["full"] == true,
        least,
    }
}

/// One client among many; its lookups are due whatever became of those before.
pub fn client(
    plan: &FleetPlan,
    number: usize,
    routers: &[(String, SocketAddr)],
    began: Instant,
    stop: &AtomicBool,
    history: &History,
) {
    let gap = Duration::from_secs_f64(plan.clients as f64 / plan.rate);
    let first = gap.mul_f64(number as f64 / plan.clients as f64);
    for turn in 0u32.. {
        let due = began + first + gap * turn;
        while let Some(wait) = due.checked_duration_since(Instant::now()) {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            std::thread::sleep(wait.min(Duration::from_millis(100)));
        }
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let pick = number + turn as usize;
        let ((name, address), (index, least)) =
            (&routers[pick % routers.len()], INDEXES[pick % 5 % 3]);
        let shards = plan.shards() as u64;
        let first_shard = if shards == PARTS {
            0
        } else {
            (pick as u64).wrapping_mul(0x9e37_79b9) % shards
        };
        let lookup = format!("c{number}x{turn}");
        let asked = EventKind::Asked {
            lookup: lookup.clone(),
            router: name.clone(),
            index: index.to_owned(),
        };
        history.note(asked);
        history.note(
            match ask(*address, &request(index, &lookup, first_shard, shards)) {
                Ok(answer) => answered(lookup, least, &answer),
                Err(refused) => EventKind::Unanswered { lookup, refused },
            },
        );
    }
}
