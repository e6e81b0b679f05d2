//! The wire formats of the platform: HTTP/1.1 with clients, discovery and other routers ([`http`], [`query`],
//! [`discovery`]), and frames with data nodes ([`frames`]). The parsers are incremental: they consume the bytes that
//! have arrived in a [`ring::Ring`] and do no I/O.

pub mod discovery;
pub mod frames;
pub mod http;
pub mod query;
pub mod ring;
