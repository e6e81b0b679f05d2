//! The effects that the state machines return and their drivers carry out.

use crate::lease::Lease;
use crate::message::Message;

/// An action for a driver. The driver carries out the effects of one call in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Effect {
    /// Start the new process with one end of a new link.
    Spawn,
    /// Send a message over the link.
    Send(Message),
    /// Send the listeners' descriptors together with [`Message::Descriptors`].
    PassListeners,
    /// Send the snapshot in pieces ([`Message::State`]).
    PassState,
    /// Start (true) or stop (false) accepting clients. Connections that were not accepted stay in the queue of the
    /// listener that both processes hold.
    Accept(bool),
    /// Start (true) or stop (false) sending idle client connections over the link, one at a time.
    PassClients(bool),
    /// Shut down the listening sockets: no process accepts on them any more.
    ShutDownListeners,
    /// Limit this process to this part of the capacity from now on.
    ApplyLease(Lease),
    /// End the other process: the first time with a signal that it can handle, after that with one that it cannot.
    EndPeer,
    /// Bind the listeners and serve from the configuration alone: the old process ended before it passed its listeners.
    BindListeners,
    /// End this process, which has nothing in flight.
    Exit,
    /// Log one line for operators.
    Log(String),
}
