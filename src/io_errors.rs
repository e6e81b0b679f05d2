//! Classifies failed system calls by the party at fault and derives the delay before the next attempt. This is
//! the only such table; it maps the error numbers of Linux.
//!
//! Without the classification, a failure of one peer stopped all accepts for 50 ms, and a connect that failed for
//! lack of local resources counted against the node and used up a query's attempts within a millisecond.

use crate::time::Micros;

#[cfg(test)]
mod tests;

/// The party at fault for a failed system call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureOwner {
    /// No party: the call can be repeated immediately.
    None,
    /// The peer or the route to it: only that connection is affected.
    Peer,
    /// This machine, which lacks a resource: the call is retried after a delay and does not count against the peer.
    Machine,
    /// The route to the peer: the call is retried after a delay. If it still fails, [`route_failure_owner`]
    /// decides between the peer and this machine.
    Route,
}

/// Returns the party at fault for a failed accept(2). Network errors that are already pending on the new
/// connection belong to that peer. The failed connection has left the queue, so the next one can be accepted
/// immediately.
pub fn accept_failure_owner(errno: i32) -> FailureOwner {
    match errno {
        libc::EINTR | libc::EAGAIN => FailureOwner::None,
        libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM => FailureOwner::Machine,
        libc::ECONNABORTED | libc::EPROTO | libc::EPERM => FailureOwner::Peer,
        libc::ENETDOWN | libc::ENOPROTOOPT | libc::EHOSTDOWN | libc::ENONET => FailureOwner::Peer,
        libc::EHOSTUNREACH | libc::EOPNOTSUPP | libc::ENETUNREACH | libc::ETIMEDOUT => {
            FailureOwner::Peer
        }
        // An undocumented error may persist.
        _ => FailureOwner::Machine,
    }
}

/// Returns the party at fault for a failed socket(2) or connect(2).
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

/// Returns the party at fault for a missing route: the peer if other peers answered in the meantime, otherwise
/// this machine. When this machine briefly loses its network, all nodes are unreachable at once although none
/// of them has failed.
pub fn route_failure_owner(other_peers_answered: bool) -> FailureOwner {
    if other_peers_answered {
        FailureOwner::Peer
    } else {
        FailureOwner::Machine
    }
}

/// The delay after the second consecutive failure of this machine.
const FIRST_RETRY_DELAY: Micros = Micros(1_000);
/// The upper bound of the delay between retries.
const MAX_RETRY_DELAY: Micros = Micros(50_000);

/// Returns the delay after a number of consecutive failures that are, or may be, this machine's fault. There is
/// no delay after the first, so that a transient failure costs only its call; then the delay doubles each time.
pub fn retry_delay(consecutive_failures: u32) -> Micros {
    match consecutive_failures {
        0 | 1 => Micros(0),
        more => Micros(FIRST_RETRY_DELAY.0 << (more - 2).min(16)).min(MAX_RETRY_DELAY),
    }
}

/// The minimum time between two log lines about failed accepts.
const LOG_INTERVAL: Micros = Micros(1_000_000);
/// The number of consecutive failures of this machine after which a listener that is about to close stops
/// retrying. Their delays add up to a third of a second.
const PERSISTENT_FAILURES: u32 = 12;

/// The failed accepts of one listener.
#[derive(Default)]
pub struct AcceptFailures {
    /// The number of consecutive failures that are this machine's fault.
    consecutive_failures: u32,
    last_logged_at: Option<Micros>,
    /// The number of failures since the last log line.
    unlogged: u64,
}

impl AcceptFailures {
    /// Records a failed accept. Returns the delay before the next accept and, if a log line is due, the number of
    /// failures that it reports.
    pub fn record(&mut self, errno: i32, now: Micros) -> (Micros, Option<u64>) {
        let owner = accept_failure_owner(errno);
        if owner == FailureOwner::None {
            return (Micros(0), None);
        }
        self.unlogged += 1;
        // The failed connection of a peer has left the queue, and the next one may succeed.
        let wait = if owner == FailureOwner::Machine {
            self.consecutive_failures += 1;
            retry_delay(self.consecutive_failures)
        } else {
            Micros(0)
        };
        (wait, self.failures_to_log(now))
    }

    fn failures_to_log(&mut self, now: Micros) -> Option<u64> {
        let last = self.last_logged_at;
        if last.is_some_and(|last| now.since(last) < LOG_INTERVAL) {
            return None;
        }
        self.last_logged_at = Some(now);
        Some(std::mem::take(&mut self.unlogged))
    }

    /// Resets the count of consecutive failures after a successful accept.
    pub fn reset(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Whether accepts keep failing because of this machine.
    pub fn is_persistent(&self) -> bool {
        self.consecutive_failures >= PERSISTENT_FAILURES
    }
}
