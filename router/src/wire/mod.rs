//! What is spoken on the wire: HTTP/1.1 with clients and discovery, frames with nodes. Nothing here does I/O.

pub mod discovery;
pub mod frames;
pub mod http;
pub mod query;
