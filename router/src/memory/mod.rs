//! What is kept in memory: ring buffers, lookups and calls, connections to nodes, names, descriptors.

pub mod budget;
pub mod clients;
pub mod descriptors;
pub mod in_flight;
pub mod nodes;
