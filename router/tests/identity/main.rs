//! The router program with authentication on loopback: edge cases of keys, tokens, certificates, revocations, TLS and
//! settings.

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
