//! A guarded router on loopback: each hard case of identity caused in front of the program.

#[path = "../common/mod.rs"]
mod common;

mod audit;
mod certificates;
mod commands;
mod first_reads;
mod key_service;
mod reload;
mod revocations;
mod tls;
mod tokens;
