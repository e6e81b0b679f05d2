//! What the process takes from the operating system at its start: file descriptors and listening sockets.

use std::io;
use std::net::{SocketAddr, TcpListener};

use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};

/// A socket cannot listen.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {address}: {source}")]
pub(crate) struct ListenError {
    /// Where.
    pub(crate) address: SocketAddr,
    /// Why.
    pub(crate) source: io::Error,
}

/// The descriptors that the process may really hold; its own limit is raised as far as wanted and allowed.
pub(crate) fn raise_descriptor_limit(wanted: usize) -> usize {
    let limit = getrlimit(Resource::Nofile);
    let allowed = limit
        .maximum
        .map_or(wanted, |maximum| wanted.min(maximum as usize));
    let current = limit.current.map_or(wanted, |current| current as usize);
    let raised = Rlimit {
        current: Some(allowed as u64),
        ..limit
    };
    if current >= wanted || setrlimit(Resource::Nofile, raised).is_ok() {
        return allowed;
    }
    tracing::warn!(
        wanted,
        allowed = current,
        "fewer file descriptors may be held than configured"
    );
    current
}

fn bind(address: SocketAddr, backlog: usize) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    // Connections that wait to be accepted are the router's already, so there is room for all that it may hold.
    rustix::net::listen(&listener, i32::try_from(backlog).unwrap_or(i32::MAX))?;
    Ok(listener)
}

/// Binds the listeners, in the order of their addresses.
pub(crate) fn bind_all(
    addresses: &[SocketAddr],
    backlog: usize,
) -> Result<Vec<TcpListener>, ListenError> {
    let bound = addresses.iter().map(|address| {
        bind(*address, backlog).map_err(|source| ListenError {
            address: *address,
            source,
        })
    });
    bound.collect()
}
