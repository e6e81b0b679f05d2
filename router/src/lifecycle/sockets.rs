//! The file descriptor limit and the listening sockets that a process acquires at its start.

use std::io;
use std::net::{SocketAddr, TcpListener};

use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};

/// A listening socket cannot be opened.
#[derive(Debug, thiserror::Error)]
#[error("cannot listen on {address}: {source}")]
pub(crate) struct ListenError {
    /// The address of the socket.
    pub(crate) address: SocketAddr,
    /// The cause.
    pub(crate) source: io::Error,
}

/// Raises the process's descriptor limit to `wanted`, as far as the hard limit allows. Returns the number of
/// descriptors that the router may hold.
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
    // Connections in the backlog already count as the router's, so the backlog has room for all that it may hold.
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
