//! The state of a running router, one owner to a file. Nothing here does I/O or decides.

pub mod budget;
pub(crate) mod client_transfer;
pub mod clients;
pub(crate) mod connection;
pub mod descriptors;
pub(crate) mod discovery;
pub(crate) mod ids;
pub mod in_flight;
pub(crate) mod listener;
pub mod nodes;
pub(crate) mod shutdown;
