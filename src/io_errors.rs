//! Whom a failed system call concerns, and what follows: the one table of it (errors by their numbers on
//! Linux). Without it a failure of one peer stopped all accepting for 50 ms; a connect that this machine could
//! not make counted against its node, and a query's attempts were used up within a millisecond.

use crate::time::Micros;

#[cfg(test)]
mod tests;

/// Whom a failure concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureOwner {
    /// Nobody: the same call again, at once.
    None,
    /// The other side, or the route to it: that connection alone suffers.
    Peer,
    /// This machine, for want of something: again in a little while, and no peer is blamed.
    Machine,
    /// The route to the other side: again in a little while; in the end [`route_failure_owner`] says whom it concerns.
    Route,
}

/// accept(2): errors of the network that waits in the new connection are that peer's. It has been taken off
/// the queue, so the next one can be accepted at once.
pub fn accept_failure_owner(errno: i32) -> FailureOwner {
    match errno {
        libc::EINTR | libc::EAGAIN => FailureOwner::None,
        libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM => FailureOwner::Machine,
        libc::ECONNABORTED | libc::EPROTO | libc::EPERM => FailureOwner::Peer,
        libc::ENETDOWN | libc::ENOPROTOOPT | libc::EHOSTDOWN | libc::ENONET => FailureOwner::Peer,
        libc::EHOSTUNREACH | libc::EOPNOTSUPP | libc::ENETUNREACH | libc::ETIMEDOUT => {
            FailureOwner::Peer
        }
        // What it does not document may last.
        _ => FailureOwner::Machine,
    }
}

/// socket(2) and connect(2).
pub fn connect_failure_owner(errno: i32) -> FailureOwner {
    match errno {
        libc::EINTR => FailureOwner::None,
        libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM | libc::EADDRNOTAVAIL => {
            FailureOwner::Machine
        }
        libc::EAGAIN | libc::EPERM | libc::EACCES | libc::ENETDOWN | libc::EADDRINUSE => {
            FailureOwner::Machine
        }
        libc::ENETUNREACH | libc::EHOSTUNREACH => FailureOwner::Route,
        _ => FailureOwner::Peer,
    }
}

/// Whom a missing route concerns: that peer if others were heard from meanwhile, else this machine. When its
/// network is gone for a moment, all nodes are out of reach at once, and none of them has failed.
pub fn route_failure_owner(others_heard: bool) -> FailureOwner {
    if others_heard {
        FailureOwner::Peer
    } else {
        FailureOwner::Machine
    }
}

/// The pause after the second failure in a row that concerns this machine.
const FIRST_PAUSE: Micros = Micros(1_000);
/// Pauses do not grow beyond this.
const LONGEST_PAUSE: Micros = Micros(50_000);

/// How long to wait after so many failures in a row that concern this machine (or may): not at all after the
/// first, so that one that passes costs no more than its call, then twice as long each time.
pub fn retry_delay(in_a_row: u32) -> Micros {
    match in_a_row {
        0 | 1 => Micros(0),
        more => Micros(FIRST_PAUSE.0 << (more - 2).min(16)).min(LONGEST_PAUSE),
    }
}

/// The shortest time between two log lines on failed accepts.
const LOG_INTERVAL: Micros = Micros(1_000_000);
/// Failures of this machine in a row, with their pauses a third of a second, after which the listener that is
/// about to close no longer waits for it.
const LASTING_FAILURES: u32 = 12;

/// Failed accepts of one listener.
#[derive(Default)]
pub struct AcceptFailures {
    /// Those in a row that concern this machine.
    in_a_row: u32,
    last_logged: Option<Micros>,
    /// Those since the last log line.
    not_logged: u64,
}

impl AcceptFailures {
    /// Counts one. Returns how long to wait, and how many failures to log, if it is time to.
    pub fn record(&mut self, errno: i32, now: Micros) -> (Micros, Option<u64>) {
        let owner = accept_failure_owner(errno);
        if owner == FailureOwner::None {
            return (Micros(0), None);
        }
        self.not_logged += 1;
        // A failure that concerns a peer has taken it off the queue, and says nothing of the next.
        let wait = if owner == FailureOwner::Machine {
            self.in_a_row += 1;
            retry_delay(self.in_a_row)
        } else {
            Micros(0)
        };
        (wait, self.failures_to_log(now))
    }

    fn failures_to_log(&mut self, now: Micros) -> Option<u64> {
        let last = self.last_logged;
        if last.is_some_and(|last| now.since(last) < LOG_INTERVAL) {
            return None;
        }
        self.last_logged = Some(now);
        Some(std::mem::take(&mut self.not_logged))
    }

    /// An accept has succeeded.
    pub fn reset(&mut self) {
        self.in_a_row = 0;
    }

    /// Whether this machine's fault has lasted.
    pub fn is_persistent(&self) -> bool {
        self.in_a_row >= LASTING_FAILURES
    }
}
