//! The stages that a request passes: take_in, admit, route, send, relay, book.

pub mod admission;
pub mod auth_filter;
pub mod completion;
pub mod dispatch;
pub mod listener;
pub mod stream;
pub mod upstream_reader;
pub mod upstream_writer;
