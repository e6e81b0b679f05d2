//! What is still owed in the instant in which something ends: scripted peers act at the exact moment, held by a signal or by
//! what the other side has shown, against the program as it ships. `docs/endings.md` has the table.

mod clients;
mod closing;
mod cold;
#[path = "../common/mod.rs"]
mod common;
mod discovery;
mod support;
mod time_outs;
