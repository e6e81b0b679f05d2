//! Whom a failed system call concerns, and what follows: the one table of it (errors by their numbers on
//! Linux). A failure of one peer stopped all accepting for 50 ms; a dial that this machine could not make
//! was held against its node, and a lookup's attempts were gone within a millisecond.

use crate::types::Micros;

#[cfg(test)]
mod tests;

/// Whom a failure concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Owner {
    /// Nobody: the same call again, at once.
    Nobody,
    /// The other side, or the way to it: that connection alone suffers.
    Peer,
    /// This machine, for want of something: again in a little while, and no peer is blamed.
    Machine,
    /// The way there: again in a little while; in the end [`route`] says whose.
    Route,
}

/// accept(2): errors of the network that waits in the new connection are that peer's. It has been taken off
/// the queue, so the next one can be accepted at once.
pub fn accept(errno: i32) -> Owner {
    match errno {
        libc::EINTR | libc::EAGAIN => Owner::Nobody,
        libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM => Owner::Machine,
        libc::ECONNABORTED | libc::EPROTO | libc::EPERM => Owner::Peer,
        libc::ENETDOWN | libc::ENOPROTOOPT | libc::EHOSTDOWN | libc::ENONET => Owner::Peer,
        libc::EHOSTUNREACH | libc::EOPNOTSUPP | libc::ENETUNREACH | libc::ETIMEDOUT => Owner::Peer,
        // What it does not document may last.
        _ => Owner::Machine,
    }
}

/// socket(2) and connect(2).
pub fn dial(errno: i32) -> Owner {
    match errno {
        libc::EINTR => Owner::Nobody,
        libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM | libc::EADDRNOTAVAIL => {
            Owner::Machine
        }
        libc::EAGAIN | libc::EPERM | libc::EACCES | libc::ENETDOWN | libc::EADDRINUSE => {
            Owner::Machine
        }
        libc::ENETUNREACH | libc::EHOSTUNREACH => Owner::Route,
        _ => Owner::Peer,
    }
}

/// Whose a way is that was not there: that peer's if others were heard meanwhile, else this machine's own.
/// When its network is gone for a moment, all nodes are out of reach at once, and none of them has failed.
pub fn route(others_heard: bool) -> Owner {
    if others_heard {
        Owner::Peer
    } else {
        Owner::Machine
    }
}

/// The first pause after a failure of this machine's, and the longest.
const PAUSES: (Micros, Micros) = (Micros(1_000), Micros(50_000));

/// How long to wait after so many failures in a row that concern this machine (or may): not at all after
/// the first, so that one that passes costs no more than its call, then twice as long each time.
pub fn pause(in_a_row: u32) -> Micros {
    match in_a_row {
        0 | 1 => Micros(0),
        more => Micros(PAUSES.0 .0 << (more - 2).min(16)).min(PAUSES.1),
    }
}

/// A line on failed accepts comes no oftener.
const SAY_AGAIN: Micros = Micros(1_000_000);
/// Failures of this machine's in a row, with their pauses a third of a second, after which it is not waited
/// for as the listener goes.
const LASTS: u32 = 12;

/// Failed accepts: those of this machine's in a row, when any were last said, and how many since.
#[derive(Default)]
pub struct AcceptFailures {
    in_a_row: u32,
    said: Option<Micros>,
    unsaid: u64,
}

impl AcceptFailures {
    /// Counts one: how long to wait, and how many to speak of, if it is time to.
    pub fn next(&mut self, errno: i32, now: Micros) -> (Micros, Option<u64>) {
        let owner = accept(errno);
        if owner == Owner::Nobody {
            return (Micros(0), None);
        }
        // One that concerns a peer has taken it off the queue, and says nothing of the next.
        let machine = owner == Owner::Machine;
        self.in_a_row += u32::from(machine);
        self.unsaid += 1;
        let due = self.said.is_none_or(|said| now.since(said) >= SAY_AGAIN);
        let said = due.then(|| std::mem::take(&mut self.unsaid));
        self.said = if due { Some(now) } else { self.said };
        (
            if machine {
                pause(self.in_a_row)
            } else {
                Micros(0)
            },
            said,
        )
    }

    pub fn passed(&mut self) {
        self.in_a_row = 0;
    }

    /// Whether this machine's trouble has lasted.
    pub fn lasts(&self) -> bool {
        self.in_a_row >= LASTS
    }
}
