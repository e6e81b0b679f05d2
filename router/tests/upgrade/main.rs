//! Upgrades on loopback: under load, with new processes that fail at each step, with the old one killed.

#[path = "../common/mod.rs"]
mod common;
mod failures;
mod handover;
mod interrupted;
mod load;
mod measures;
mod overlap;
mod repeats;
mod requests;
mod sent_ahead;
mod state;
mod support;
