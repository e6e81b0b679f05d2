//! Bodies in chunks of any sound form, from discovery and from clients. The size lines of chunks were counted as bytes of
//! the head, so that a sound body in small chunks was rejected however short it was.

use std::io::Write;
use std::net::TcpStream;

use ternpick_simulation::standins::{entry_of, ChunkForm};
use ternpick_wire::http::{CHUNK_FRAMING_BASE_BYTES, MAX_BODY_BYTES};
use test_case::test_case;

use crate::common::*;
use crate::long_requests::{body_of, head_of, longest_body, start};

/// A chunk's extension of about twenty bytes.
const EXTENSION: &str = ";signature=0123456789";
const TRAILER: &str = "Checksum: 5be2a07c19f04d63\r\n";
/// The nodes of a list of about 18 KB.
const LISTED_NODES: usize = 140;

const PLAIN: ChunkForm = ChunkForm {
    bytes: 1,
    extension: "",
    trailer: "",
};

/// Guards against drains that are never learned, because the list of a new discovery comes in small chunks and every call
/// for it fails in the same way.
#[test_case(PLAIN; "of one byte")]
#[test_case(ChunkForm { bytes: 4, ..PLAIN }; "of four bytes")]
#[test_case(ChunkForm { extension: EXTENSION, trailer: TRAILER, ..PLAIN }; "of one byte with extensions and a trailer")]
#[test_case(ChunkForm { bytes: 300, ..PLAIN }; "of 300 bytes")]
fn a_reload_reads_the_list_of_a_new_discovery_in_chunks(form: ChunkForm) {
    let (router, nodes, old) = Router::with(&[Act::Serve, Act::Serve]);
    old.wait_until(|roster| roster.calls == 1);
    let mut listed = vec![
        entry("s0", nodes[0].address, "Terminating"),
        entry("s1", nodes[1].address, "Ready"),
    ];
    for number in 2..LISTED_NODES {
        listed.push(entry_of(&format!("s{number}"), free(), "Terminating", 1, 0));
    }
    let new = Discovery::default();
    new.set(|roster| {
        (roster.version, roster.changes) = (3, listed.join(","));
        roster.chunks = Some(form);
    });
    let address = new.start().to_string();
    router.reload(|text| text.replace(&router.discovery.to_string(), &address));
    // The call after the one for the complete list carries its version.
    new.wait_until(|roster| roster.asked == 3);
    drain_frames(&nodes[0]);
    let mut client = router.connect();
    for id in 0..8 {
        assert_eq!(ask(&mut client, "whole", &format!("r{id}")).0, 200);
    }
    assert_eq!(drain_frames(&nodes[0]), 0, "the draining node gets nothing");
}

/// Takes the frames that a node has read. Returns how many of them were shard requests.
fn drain_frames(node: &Node) -> usize {
    let frames = node.frames.lock().expect("no thread panicked");
    frames
        .try_iter()
        .filter(|(letter, _)| *letter == 'q')
        .count()
}

fn send_in_chunks(client: &mut TcpStream, id: &str, chunked_body: &str) -> u16 {
    let head = head_of(id, "Transfer-Encoding: chunked");
    // A rejected request may be answered before it is written whole.
    let _ = client.write_all(format!("{head}{chunked_body}").as_bytes());
    answer(client).0
}

#[test_case(PLAIN, 14_000; "of one byte")]
#[test_case(ChunkForm { bytes: 4, ..PLAIN }, 14_000; "of four bytes")]
#[test_case(ChunkForm { extension: EXTENSION, trailer: TRAILER, ..PLAIN }, 14_000; "of one byte with extensions and a trailer")]
#[test_case(ChunkForm { bytes: 5_000, ..PLAIN }, 14_000; "of 5000 bytes")]
#[test_case(PLAIN, MAX_BODY_BYTES; "of one byte, the longest body")]
#[test_case(ChunkForm { extension: EXTENSION, trailer: TRAILER, ..PLAIN }, MAX_BODY_BYTES; "with extensions, the longest body")]
fn serves_a_query_in_chunks(form: ChunkForm, statement_bytes: usize) {
    let (router, _nodes, _discovery) = start();
    let body = match statement_bytes {
        MAX_BODY_BYTES => longest_body(),
        shorter => body_of(shorter),
    };
    let mut client = router.connect();
    for id in ["r1", "r2"] {
        assert_eq!(send_in_chunks(&mut client, id, &form.encode(&body)), 200);
    }
}

/// Guards against requests whose chunks take up time and memory without end.
#[test]
fn rejects_a_chunk_extension_without_an_end() {
    let (router, _nodes, _discovery) = start();
    let endless = format!("1;{}", "e".repeat(2 * CHUNK_FRAMING_BASE_BYTES));
    assert_eq!(send_in_chunks(&mut router.connect(), "r1", &endless), 413);
    let form = ChunkForm {
        extension: EXTENSION,
        ..PLAIN
    };
    let too_long = format!("{} ", longest_body());
    let status = send_in_chunks(&mut router.connect(), "r2", &form.encode(&too_long));
    assert_eq!(status, 413);
    assert_eq!(ask(&mut router.connect(), "whole", "r3").0, 200);
}
