//! Hot restart: how a running process hands listeners, state and connections to a new one, without I/O.
//!
//! [`OldProcess`] and [`NewProcess`] are the two sides as state machines. Their drivers (`router/src/lifecycle/upgrade.rs`
//! and `takeover.rs`) report messages, lost links, ended processes and the time to them, and carry out the [`Effect`]s that
//! they return, in order. [`encode`] and [`decode`] turn a [`Message`] into a frame for the link and back. The drivers own
//! sockets, descriptors, processes and the clock.
//!
//! The steps: hello, offer, checked, descriptors, got, state, ready, commit, took; then the old process drains. Until the
//! old process has received [`Message::Took`], every failure ends with the old process serving. From then on the new one
//! serves, unless it ends while the old one still drains: then the old one serves again.

mod connections;
mod effect;
mod injected_bug;
mod lease;
mod message;
mod new_process;
mod old_process;
mod timeouts;

#[cfg(test)]
mod tests;

pub use connections::should_migrate;
pub use effect::Effect;
pub use lease::{retained_places, Lease, LeaseSplit};
pub use message::{decode, encode, DecodeError, Decoded, Message, FRAME_BOUND, VERSION};
pub use new_process::{NewProcess, OldProcessEvent};
pub use old_process::{NewProcessEvent, OldProcess};
pub use timeouts::StepTimeouts;
