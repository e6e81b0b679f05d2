//! Starts the built program on loopback and speaks to it as clients, nodes and discovery do.

mod clients;
#[path = "../common/mod.rs"]
mod common;
mod discovery;
mod nodes;
mod process;
