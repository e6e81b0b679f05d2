//! What discovery tells each router of the machines: their standing, their last start, and the addresses at which that
//! router reaches them.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use super::relay::Pipe;
use super::routers::Routers;
use crate::standins::{entry_of, Discovery};

/// One machine. The address at which each router reaches it, in their order.
pub struct Listed {
    pub ready: bool,
    /// Its last start, in milliseconds of the wall clock; 0: long ago.
    pub started: u64,
    addresses: Vec<SocketAddr>,
}

impl Listed {
    /// It has just started.
    pub fn starts(&mut self) {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        self.started = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
    }

    /// Each router reaches it elsewhere from now on.
    pub fn moves(&mut self, node: SocketAddr) -> std::io::Result<()> {
        let moved = self
            .addresses
            .iter()
            .map(|_| Ok(Pipe::start(node)?.address));
        self.addresses = moved.collect::<std::io::Result<_>>()?;
        Ok(())
    }
}

pub struct Listings {
    machines: Mutex<Vec<Listed>>,
    discoveries: Vec<Discovery>,
    sets: usize,
}

impl Listings {
    pub fn of(routers: &Routers, nodes: usize, sets: usize) -> Listings {
        let listed = |at: usize| Listed {
            ready: true,
            started: 0,
            addresses: routers
                .all
                .iter()
                .map(|router| router.pipes[at].address)
                .collect(),
        };
        Listings {
            machines: Mutex::new((0..nodes).map(listed).collect()),
            discoveries: routers
                .all
                .iter()
                .map(|router| router.discovery.clone())
                .collect(),
            sets,
        }
    }

    /// Changes some machines' listings, and tells all routers.
    pub fn change(&self, some: &[usize], mut change: impl FnMut(&mut Listed)) {
        let mut machines = self.machines.lock().unwrap_or_else(PoisonError::into_inner);
        some.iter().for_each(|at| change(&mut machines[*at]));
        for (router, discovery) in self.discoveries.iter().enumerate() {
            let entry = |(at, listed): (usize, &Listed)| {
                let status = if listed.ready { "Ready" } else { "Terminating" };
                entry_of(
                    &format!("s{at}"),
                    listed.addresses[router],
                    status,
                    at % self.sets,
                    listed.started,
                )
            };
            let all: Vec<String> = machines.iter().enumerate().map(entry).collect();
            discovery.set(|roster| {
                roster.version += 1;
                roster.changes = all.join(",");
            });
        }
    }
}
