//! Nodes and discovery as the platform's protocol has them, on threads and loopback: for loads, and for tests that start
//! the program.

mod discovery;
mod node;

use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

pub use discovery::{ChunkForm, Discovery, Roster};
pub use node::{frame, Act, Alteration, EchoedValue, Fault, Node};

/// The longest wait for what must come.
const BOUND: Duration = Duration::from_secs(10);

/// Locks a mutex also after a thread has panicked with it: what that thread has left is valid.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Reads a head up to its empty line; `None` if the connection ends before.
pub fn read_head(stream: &mut TcpStream) -> Option<String> {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

/// Encodes an entry of the endpoint list.
pub fn entry(name: &str, address: SocketAddr, status: &str) -> String {
    entry_of(name, address, status, 0, 0)
}

/// Encodes an entry with its shard group and the time of its last start.
pub fn entry_of(
    name: &str,
    address: SocketAddr,
    status: &str,
    group: usize,
    since_ms: u64,
) -> String {
    format!(
        r#"{{"name":"{name}","address":"{address}","zone":"a","group":{group},"status":"{status}","since_ms":{since_ms}}}"#
    )
}
