//! Hot restart: how a running process hands listeners, state and connections to a new one, without I/O.
//!
//! [`OldProcess`] and [`NewProcess`] are the two sides as state machines. Their drivers
//! (`router/src/lifecycle/upgrade.rs` and `takeover.rs`) pass them messages, lost links, ended processes and the
//! time, and carry out the [`Effect`]s that they return, in order. [`encode`] and [`decode`] convert a [`Message`] to
//! a frame for the link and back. The drivers own sockets, descriptors, processes and the clock.
//!
//! The steps: hello, offer, checked, descriptors, got, state, ready, commit, took; then the old process drains. Until
//! the old process has received [`Message::Took`], the old process continues to serve after every failure. From then
//! on the new one serves. If the new one ends while the old one still drains, the old one serves again, unless a stop
//! was requested. [`Requests`] makes stops and reloads reach both processes, whichever of them receives one.

mod connections;
mod effect;
mod injected_bug;
mod lease;
mod message;
mod new_process;
mod old_process;
mod requests;
mod timeouts;

#[cfg(test)]
mod tests;

pub use connections::should_migrate;
pub use effect::Effect;
pub use lease::{retained_places, Lease, LeaseSplit};
pub use message::{decode, encode, DecodeError, Decoded, Message, MAX_BODY_BYTES, VERSION};
pub use new_process::{NewProcess, OldProcessEvent};
pub use old_process::{NewProcessEvent, OldProcess};
pub use requests::{Phase, Request, RequestEffect, Requester, Requests};
pub use timeouts::StepTimeouts;
