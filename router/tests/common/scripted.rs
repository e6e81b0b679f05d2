//! A node that writes exactly the bytes that a test gives for each shard request, in the pieces that it gives.

use std::collections::{HashMap, HashSet};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use ternpick_wire::frames;
use ternpick_wire::ring::Ring;

use super::shard_requests;

const INPUT_BYTES: usize = 64 * 1024;
/// A pause behind a frame's announced end that this machine may add by itself without a router being misled.
const EVEN_PAUSE: Duration = Duration::from_micros(1_500);
/// The most that a pause behind a frame's announced end may exceed those within the frame.
const EVEN_FACTOR: f64 = 1.5;

/// A step of a node's response.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    Write(Vec<u8>),
    Pause(Duration),
    /// Ends the connection.
    Close,
}

/// One shard request, as a script sees it.
pub(crate) struct Call {
    /// The id that the answer carries.
    pub(crate) id: String,
    pub(crate) shard: u32,
    /// How many attempts of this shard request came before, to any node with this script.
    pub(crate) earlier_attempts: u32,
}

/// What a node does with a shard request.
pub(crate) type Script = dyn Fn(&Call) -> Vec<Step> + Send + Sync;

/// What the nodes of a script have seen.
#[derive(Default)]
pub(crate) struct Record {
    /// The attempts that have come, by the ids of their shard requests.
    pub(crate) attempts: Mutex<HashMap<String, u32>>,
    /// Shard requests whose responses were held up by this machine behind a frame's announced end. A router cannot
    /// know that more was to come.
    pub(crate) held_up: Mutex<HashSet<String>>,
}

/// Starts a node that responds by `script`.
pub(crate) fn start(record: &Arc<Record>, script: &Arc<Script>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let (record, script) = (Arc::clone(record), Arc::clone(script));
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (record, script) = (Arc::clone(&record), Arc::clone(&script));
            thread::spawn(move || serve(stream, &record, &*script));
        }
    });
    address
}

fn serve(mut stream: TcpStream, record: &Record, script: &Script) {
    stream.set_nodelay(true).expect("a socket");
    let (mut input, mut frame) = (Ring::new(INPUT_BYTES), Vec::new());
    loop {
        match stream.read(input.free()) {
            Ok(count) if count > 0 => input.commit(count),
            _ => return,
        }
        while let Some(letter) = frames::read_frame(&mut input, &mut frame).expect("a frame") {
            let text = String::from_utf8(std::mem::take(&mut frame)).expect("text");
            for request in shard_requests::read(letter.into(), &text) {
                let id = format!("{}.{}", request.request, request.shard);
                let call = Call {
                    earlier_attempts: record.count(&id),
                    id,
                    shard: request.shard,
                };
                if respond(&mut stream, &call, script(&call), record).is_err() {
                    return;
                }
            }
        }
    }
}

impl Record {
    /// Counts an attempt; returns how many came before.
    fn count(&self, id: &str) -> u32 {
        let mut attempts = self.attempts.lock().expect("no thread panicked");
        let count = attempts.entry(id.to_owned()).or_default();
        *count += 1;
        *count - 1
    }
}

fn respond(
    stream: &mut TcpStream,
    call: &Call,
    steps: Vec<Step>,
    record: &Record,
) -> std::io::Result<()> {
    let (mut written, mut longest) = (Vec::new(), Duration::ZERO);
    let mut last_write = Instant::now();
    for step in steps {
        match step {
            Step::Pause(pause) => thread::sleep(pause),
            Step::Close => return stream.shutdown(Shutdown::Both),
            Step::Write(bytes) => {
                let began = Instant::now();
                stream.write_all(&bytes)?;
                let pause = last_write.elapsed();
                if has_reached_announced_end(&written) {
                    if pause > EVEN_PAUSE.max(longest.mul_f64(EVEN_FACTOR)) {
                        let mut held_up = record.held_up.lock().expect("no thread panicked");
                        held_up.insert(call.id.clone());
                    }
                } else if !written.is_empty() {
                    longest = longest.max(pause);
                }
                written.extend_from_slice(&bytes);
                last_write = began;
            }
        }
    }
    Ok(())
}

fn has_reached_announced_end(written: &[u8]) -> bool {
    let announced = written
        .first_chunk()
        .map(|length| 4 + u32::from_le_bytes(*length) as usize);
    announced.is_some_and(|end| written.len() >= end)
}

/// The bytes of an answer with `value`, whose frame announces `excess` bytes more than it has.
pub(crate) fn answer_bytes(id: &str, value: &str, excess: i64) -> Vec<u8> {
    let mut bytes = super::frame(b'a', &format!("{id} served 5 queue=1\n{value}"));
    let length = i64::try_from(bytes.len() - 4).expect("a length") + excess;
    let length = u32::try_from(length.max(0)).expect("a length");
    bytes[..4].copy_from_slice(&length.to_le_bytes());
    bytes
}

/// Writes `bytes` one by one, with `pause` between them.
pub(crate) fn byte_by_byte(bytes: &[u8], pause: Duration) -> Vec<Step> {
    bytes
        .iter()
        .flat_map(|byte| [Step::Write(vec![*byte]), Step::Pause(pause)])
        .collect()
}
