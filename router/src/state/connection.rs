//! One connection to a node: its buffer, the attempts that it carries, and whether it still takes more.
//!
//! Created by [`Nodes::connect`](crate::state::nodes::Nodes::connect); driven by the upstream writer and reader, which own
//! the socket's I/O. Nothing here reads or writes a socket.

use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use async_io::Async;
use event_listener::Event;
use ternpick::io_errors::FailureOwner;
use ternpick::types::{Micros, NodeId};
use ternpick_wire::ring::Ring;

use crate::state::descriptors::DescriptorPermit;
use crate::state::ids::AttemptKey;

/// How long a finished attempt is remembered: a response that comes later ends the connection.
pub(crate) const FINISHED_REMEMBERED_FOR: Micros = Micros(10_000_000);
/// How many finished attempts a connection remembers.
pub(crate) const FINISHED_REMEMBERED: usize = 1024;

/// An attempt that is over, of which a late or second response may still come.
pub(crate) struct FinishedAttempt {
    finished_at: Micros,
    name: Rc<str>,
}

/// A connection to a node, from the decision to open it until it is removed.
pub(crate) struct Connection {
    /// The node that it leads to.
    pub(crate) node: NodeId,
    /// Where the node listened when the connection was opened.
    pub(crate) address: SocketAddr,
    /// For whom its dial waits: the node, or this machine.
    pub(crate) dial_waits_for: Rc<Cell<FailureOwner>>,
    /// Its socket, once it is up.
    pub(crate) stream: Option<Rc<Async<TcpStream>>>,
    /// Carries no more attempts, and is closed once it carries none.
    pub(crate) retired: bool,
    /// Frames that are yet to be written.
    pub(crate) output: Ring,
    /// Bytes ever put into `output`.
    pub(crate) queued_bytes: u64,
    /// Bytes ever taken off `output` by the socket.
    pub(crate) written_bytes: u64,
    /// Attempts out on it, by the id that their responses name.
    pub(crate) attempts: HashMap<Rc<str>, AttemptKey>,
    /// Attempts that share a frame each, for when it is up or has room.
    pub(crate) waiting: VecDeque<Vec<AttemptKey>>,
    /// Attempts that are over; bounded by age and by number.
    pub(crate) finished: VecDeque<FinishedAttempt>,
    /// When it last carried something.
    pub(crate) last_used: Micros,
    /// When it last brought a frame that could be used.
    pub(crate) last_received: Micros,
    /// Ended by the router itself: a frame on it is not to be finished, or it has brought what cannot be used.
    pub(crate) abandoned: bool,
    /// The attempt whose response could not be used.
    pub(crate) bad_input_attempt: Option<AttemptKey>,
    /// Wakes its task: there is something to write, or it is retired.
    pub(crate) wake: Rc<Event>,
    _permit: DescriptorPermit,
}

impl Connection {
    /// A connection to `node` that is to be dialled, with room for `max_output_bytes` bytes that are yet to be written.
    pub(crate) fn new(
        node: NodeId,
        address: SocketAddr,
        now: Micros,
        max_output_bytes: usize,
        permit: DescriptorPermit,
    ) -> Self {
        Connection {
            node,
            address,
            dial_waits_for: Rc::new(Cell::new(FailureOwner::Peer)),
            stream: None,
            retired: false,
            output: Ring::new(max_output_bytes),
            queued_bytes: 0,
            written_bytes: 0,
            attempts: HashMap::new(),
            waiting: VecDeque::new(),
            finished: VecDeque::new(),
            last_used: now,
            last_received: Micros(0),
            abandoned: false,
            bad_input_attempt: None,
            wake: Rc::new(Event::new()),
            _permit: permit,
        }
    }

    /// Whether it carries nothing and has nothing to write.
    pub(crate) fn is_idle(&self) -> bool {
        self.attempts.is_empty() && self.waiting.is_empty() && self.output.is_empty()
    }

    /// Whether it may carry more attempts.
    pub(crate) fn is_usable(&self) -> bool {
        !self.retired && !self.abandoned
    }

    /// It carries no more attempts; its task is woken, and closes it once it carries none.
    pub(crate) fn retire(&mut self) {
        self.retired = true;
        self.wake.notify(1);
    }

    /// Ends it since its node has sent what cannot be used. The attempt whose response could not be used is the one that the
    /// bytes name, or the one out longest; of the others it is only known that they may have run.
    pub(crate) fn abandon_on_bad_input(&mut self, named: Option<&str>) {
        let named = named.and_then(|name| self.attempts.get(name));
        self.bad_input_attempt = named.or_else(|| self.attempts.values().min()).copied();
        self.abandoned = true;
    }

    /// Remembers that an attempt which it carried is over.
    pub(crate) fn mark_finished(&mut self, name: &Rc<str>, now: Micros) {
        while self.forgets_oldest(now) {
            self.finished.pop_front();
        }
        self.finished.push_back(FinishedAttempt {
            finished_at: now,
            name: Rc::clone(name),
        });
    }

    fn forgets_oldest(&self, now: Micros) -> bool {
        let full = self.finished.len() >= FINISHED_REMEMBERED;
        self.finished
            .front()
            .is_some_and(|oldest| full || now.since(oldest.finished_at) > FINISHED_REMEMBERED_FOR)
    }

    /// Whether it has carried an attempt of this name that is over and remembered.
    pub(crate) fn is_finished(&self, name: &str) -> bool {
        self.finished.iter().any(|attempt| *attempt.name == *name)
    }

    /// Puts a complete frame into its buffer, or nothing if there is no room.
    pub(crate) fn push(&mut self, frame: &[u8], now: Micros) -> bool {
        let pushed = self.output.push(frame);
        if pushed {
            self.queued_bytes += frame.len() as u64;
            self.last_used = now;
            self.wake.notify(1);
        }
        pushed
    }
}
