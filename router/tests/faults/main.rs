//! System calls that fail in the ways that Linux documents, clocks that step, a process that is held up: the program as it
//! ships, under plans that a preloaded library carries out. All rules hold.

mod accepts;
mod calls;
mod clients;
mod clocks;
#[path = "../common/mod.rs"]
mod common;
mod held_up;
mod support;
