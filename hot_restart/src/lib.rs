//! How an old process hands its work to a new one, without I/O: [`OldProcess`] and [`NewProcess`] are the two sides as state
//! machines. Each is told what was heard, lost, done or how late it is, and answers with effects to carry out in order;
//! [`encode`] and [`decode`] turn messages into frames. The driver passes bytes, descriptors and time.
//!
//! Until the old side has heard [`Message::Took`] every way leads back to "the old one serves"; from then on every way
//! leads on to "the new one serves", and back only where the new one dies while the old one still lives.

mod lease;
mod message;
mod new_process;
mod old_process;

#[cfg(test)]
mod model;

pub use lease::Lease;
pub use message::{decode, encode, DecodeError, Decoded, Message, FRAME_BOUND, VERSION};
pub use new_process::{NewProcess, OldProcessEvent};
pub use old_process::{NewProcessEvent, OldProcess};

use ternpick::types::Micros;

/// What a driver is to do, in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Starts the new process, with an end of a new link.
    Spawn,
    Send(Message),
    /// Sends the listeners' descriptors, with [`Message::Descriptors`].
    PassListeners,
    /// Sends the snapshot in pieces ([`Message::State`]).
    PassState,
    /// Accepts clients from now on, or no more. Connections that wait stay in the listener that both hold.
    Accept(bool),
    /// Clients' connections that stand idle go over the link, one by one; or no more.
    PassClients(bool),
    /// What this side may use from now on.
    Use(Lease),
    /// Ends the other process: asked first, then for good.
    EndPeer,
    /// Binds the listeners itself and serves from what it was started with: the old one has died before it gave any.
    BindAnew,
    /// Leaves, having nothing left in hand.
    Exit,
    /// One line for the people on call.
    Log(String),
}

/// How long each step may take; a step that takes longer fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct StepTimeouts {
    /// Until the new process says hello: its start.
    pub hello: Micros,
    /// Each step between.
    pub step: Micros,
    /// Reading the state in and getting ready.
    pub ready: Micros,
    /// After the commit: silence of the new one, while the old one drains.
    pub silence: Micros,
}

impl Default for StepTimeouts {
    fn default() -> Self {
        let s = |seconds: u64| Micros(seconds * 1_000_000);
        StepTimeouts {
            hello: s(10),
            step: s(3),
            ready: s(10),
            silence: s(3),
        }
    }
}
