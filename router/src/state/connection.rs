//! One connection to a node: its output buffer, the attempts that it carries, and whether it accepts more attempts.
//!
//! [`Nodes::connect`](crate::state::nodes::Nodes::connect) creates a connection. The upstream writer and reader drive
//! it and do the socket I/O; nothing here reads or writes a socket.

use std::cell::Cell;
use std::collections::VecDeque;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

use async_io::Async;
use event_listener::Event;
use ternpick::io_errors::FailureOwner;
use ternpick::types::{Micros, NodeId};
use ternpick_wire::ring::Ring;

use crate::state::carried_attempts::CarriedAttempts;
use crate::state::descriptors::DescriptorPermit;
use crate::state::ids::AttemptKey;

/// A connection to a node, from the decision to open it until it is removed.
pub(crate) struct Connection {
    /// The node that it connects to.
    pub(crate) node: NodeId,
    /// The node's address when the connection was opened.
    pub(crate) address: SocketAddr,
    /// What its dial is waiting for: the node, or a resource of this machine.
    pub(crate) dial_waits_for: Rc<Cell<FailureOwner>>,
    /// Its socket, once it is connected.
    pub(crate) stream: Option<Rc<Async<TcpStream>>>,
    /// Whether it accepts no more attempts and is closed as soon as it carries none.
    pub(crate) retired: bool,
    /// Frames that have not been written to the socket yet.
    pub(crate) output: Ring,
    /// The total number of bytes ever put into `output`.
    pub(crate) queued_bytes: u64,
    /// The total number of bytes ever written from `output` to the socket.
    pub(crate) written_bytes: u64,
    /// The attempts that have been queued or sent on it.
    pub(crate) attempts: CarriedAttempts,
    /// Attempts that wait until it is connected or its buffer has room; each inner list shares a frame.
    pub(crate) waiting: VecDeque<Vec<AttemptKey>>,
    /// The number of load reports that the router has requested on it and not received.
    pub(crate) awaited_reports: usize,
    /// When a frame was last queued or received on it.
    pub(crate) last_used: Micros,
    /// When a valid frame was last received on it.
    pub(crate) last_received: Micros,
    /// Whether the router itself ends it, because a frame must not be written to its end, the dial failed on this
    /// machine, or the node has sent invalid input.
    pub(crate) abandoned: bool,
    /// The attempt that is held responsible for invalid input.
    pub(crate) bad_input_attempt: Option<AttemptKey>,
    /// Notified to wake its task when there is something to write or the connection is retired.
    pub(crate) wake: Rc<Event>,
    _permit: DescriptorPermit,
}

impl Connection {
    /// Creates a connection to `node` that its task has to dial, with an output buffer of at most `max_output_bytes`.
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
            attempts: CarriedAttempts::default(),
            waiting: VecDeque::new(),
            awaited_reports: 0,
            last_used: now,
            last_received: Micros(0),
            abandoned: false,
            bad_input_attempt: None,
            wake: Rc::new(Event::new()),
            _permit: permit,
        }
    }

    /// Whether it has no attempts and nothing to write.
    pub(crate) fn is_idle(&self) -> bool {
        self.attempts.in_flight_count() == 0 && self.waiting.is_empty() && self.output.is_empty()
    }

    /// Whether it accepts more attempts.
    pub(crate) fn is_usable(&self) -> bool {
        !self.retired && !self.abandoned
    }

    /// Stops it from accepting attempts and wakes its task, which closes it once it carries none.
    pub(crate) fn retire(&mut self) {
        self.retired = true;
        self.wake.notify(1);
    }

    /// Abandons it because its node has sent invalid input. The attempt held responsible is the one that the input
    /// names by its `wire_id`, or else the oldest one; the other attempts may have run.
    pub(crate) fn abandon_on_bad_input(&mut self, wire_id: Option<&str>) {
        let named_attempt = wire_id.and_then(|wire_id| self.attempts.get(wire_id));
        self.bad_input_attempt = named_attempt.or_else(|| self.attempts.in_flight().min());
        self.abandoned = true;
    }

    /// Ends an attempt that has no answer. If too many are unanswered, it accepts no more attempts.
    pub(crate) fn end_unanswered(&mut self, wire_id: &Rc<str>) {
        self.attempts.end_unanswered(wire_id);
        if self.attempts.is_full() {
            self.retire();
        }
    }

    /// Counts a load report that has been received; returns false if none was requested.
    pub(crate) fn take_awaited_report(&mut self) -> bool {
        let is_awaited = self.awaited_reports > 0;
        self.awaited_reports = self.awaited_reports.saturating_sub(1);
        is_awaited
    }

    /// Queues a complete frame and wakes its task. Returns false, without queueing any byte, if the buffer has no
    /// room for it.
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
