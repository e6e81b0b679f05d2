//! The state of a running router. Each file owns one part of it. Nothing here does I/O or makes routing decisions.

pub(crate) mod admission_record;
pub(crate) mod carried_attempts;
pub(crate) mod client_transfer;
pub(crate) mod client_turns;
pub(crate) mod clients;
pub(crate) mod connection;
pub(crate) mod descriptors;
pub(crate) mod discovery;
pub(crate) mod forwarded_ids;
pub(crate) mod ids;
pub(crate) mod in_flight;
pub(crate) mod listener;
pub(crate) mod log_limit;
pub(crate) mod memory_budget;
pub(crate) mod nodes;
pub(crate) mod predecessor_ids;
pub(crate) mod recent_pause;
pub(crate) mod requests;
pub(crate) mod response_size;
pub(crate) mod shutdown;
pub(crate) mod turns;
pub(crate) mod wake_time;
