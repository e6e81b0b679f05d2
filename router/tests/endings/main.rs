//! How requests are completed when a client, a connection, a deadline or the router ends at the same moment. Scripted peers act at
//! exact moments, which a signal or an observed effect defines, against the program as it ships. See the table in
//! `docs/endings.md`.

mod clients;
mod closing;
mod cold;
#[path = "../common/mod.rs"]
mod common;
mod discovery;
mod support;
mod time_outs;
