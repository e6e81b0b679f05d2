//! The decisions of ternpick, the root node of a sharded search service, free of any protocol.
//!
//! [`brain::Brain`] is told what the router sees and acts through [`interface::Actions`].
//! [`cadence::Cadence`] says how the roster's watch is kept, [`shutdown::Shutdown`] by when a stop owes
//! what.

pub mod brain;
pub mod cadence;
pub mod interface;
pub mod io_errors;
pub mod shutdown;
pub mod slow_start;
pub mod types;
