//! Tests of what the router believes of a node's answer, and when: its length, its bytes in pieces, and its size.

#[path = "../common/mod.rs"]
mod common;
mod drawn;
mod lengths;
mod pieces;
mod repeated_ids;
mod sizes;
mod support;
