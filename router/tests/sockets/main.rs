//! Tests that start the built program on loopback and exchange messages with it as clients, nodes and discovery do.

mod chunks;
mod clients;
#[path = "../common/mod.rs"]
mod common;
mod discovery;
mod long_requests;
mod nodes;
mod process;
