//! What the platform's peers send each other, as bytes: HTTP/1.1 with clients, discovery and other routers ([`http`],
//! [`query`], [`discovery`]), frames with data nodes ([`frames`]). Parsers read from a [`ring::Ring`] as far as bytes have
//! arrived and do no I/O.

pub mod discovery;
pub mod frames;
pub mod http;
pub mod query;
pub mod ring;
