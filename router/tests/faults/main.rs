//! Tests of the program under injected faults: system calls that fail in the ways that Linux documents, clock steps,
//! and a blocked process. The program runs unmodified; a preloaded library injects the faults of a plan. The router's
//! guarantees must hold.

mod accepts;
mod calls;
mod clients;
mod clocks;
#[path = "../common/mod.rs"]
mod common;
mod held_up;
mod support;
